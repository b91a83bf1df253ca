// The public interface of the replicated log: proposals, read barriers, and requests from other replicas (design 4).
#include "raft/consensus.hpp"

#include <algorithm>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

// Awaits a request handler and encodes its reply.
template <class Reply>
auto encode_reply(task<Reply> handler) -> task<value> {
  auto reply = co_await std::move(handler);
  co_return encode(reply);
}

// A leader steps down after it has heard from no majority for this time, and a follower waits at least this time
// without hearing from a leader before it starts an election (design 4.1).
auto election_timeout_for(const settings& node_settings) -> monotonic_time {
  return node_settings.failure_timeout * 3 / 8;
}

}  // namespace

consensus::consensus(host& process_host, const settings& node_settings, state_machine machine)
    : host_(process_host),
      settings_(node_settings),
      state_machine_(std::move(machine)),
      log_(*process_host.disk(), state_machine_.limits),
      election_timeout_(election_timeout_for(node_settings)),
      tasks_(process_host) {
  tasks_.on_error = [this](std::exception_ptr failure) {
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& error) {
      reachridge::log(log_level::error, settings_.name,
                      std::string("background task of the replicated log failed: ") + error.what());
      dump_log("background task of the replicated log failed");
    }
  };
  auto restored = log_.load(host_.random());
  local_voter_ = {node_settings.address, log_.disk_id};
  start_leaderless_period();
  log_loaded_state();
  if (restored) {
    if (!restored->state.is_null())
      state_machine_.restore(restored->state);
    commit_index_ = applied_index_ = restored->index;
  }
  // Just before the restart this replica may have acknowledged a leader's heartbeat. The replica must not vote for
  // another candidate until an election timeout has passed (design 4.4).
  if (log_.term > 0)
    last_leader_contact_ = host_.now();
  tasks_.spawn(run_current_role());
  tasks_.spawn(apply_committed());
}

auto consensus::peer(const std::string& address) -> peer_connection& {
  auto& connection = connections_[address];
  if (!connection) {
    connection = std::make_unique<peer_connection>(
        host_,
        peer_connection::options{settings_.name, address, settings_.heartbeat_interval, settings_.failure_timeout});
    connection->on_process_gone = [this, address] {
      on_process_gone(address);
    };
  }
  return *connection;
}

auto consensus::retryable_error(errc code, const char* message, execution_outcome outcome) const -> request_error {
  return request_error(code, message, outcome, settings_.heartbeat_interval / millisecond);
}

auto consensus::call_leader(value message, monotonic_time deadline) -> task<value> {
  if (leader_address_.empty() || leader_address_ == local_voter_.address)
    throw request_error(errc::no_leader, "no other control node is known as the leader of the replicated log",
                        execution_outcome::not_executed, settings_.failure_timeout / millisecond);
  co_return co_await peer(leader_address_).call(std::move(message), deadline);
}

auto consensus::propose(value command, monotonic_time deadline) -> task<value> {
  if (!is_leader() || transferring_)
    throw retryable_error(errc::no_leader,
                          "this control node is not the leader of the replicated log or is transferring its leadership",
                          execution_outcome::not_executed);
  if (encode_cbor(command).size() > max_command_bytes)
    throw request_error(errc::too_large, "the command exceeds the size limit of the replicated log");
  auto pending = std::make_shared<proposal>();
  pending->term = log_.term;
  proposals_[log_.append(log_.term, command)] = pending;
  // The leader syncs its disk in parallel with replication to the followers. Each copy counts towards the majority once
  // it is durable (Raft thesis 10.2.1).
  tasks_.spawn(sync_own_log());
  replication_needed_.wake();
  while (!pending->result && !pending->abandoned) {
    auto in_time = co_await pending->done.wait(host_, deadline);
    if (!in_time)
      break;
  }
  if (!pending->result)
    throw retryable_error(errc::unclear,
                          "the command is not known to be committed: the deadline passed or the leader changed",
                          execution_outcome::unknown);
  co_return std::move(*pending->result);
}

auto consensus::read_barrier(monotonic_time deadline) -> task<void> {
  auto requested_at = host_.now();
  auto term = log_.term;
  auto not_confirmed =
      request_error(errc::no_leader, "read barrier failed: no majority confirmed that this control node is the leader",
                    execution_outcome::not_executed, settings_.failure_timeout / millisecond);
  if (!is_leader())
    throw not_confirmed;
  auto required_index = term_start_index_;
  replication_needed_.wake();
  while (last_quorum_contact() < requested_at) {
    auto in_time = co_await reply_received_.wait(host_, deadline);
    if (!in_time || !is_leader() || log_.term != term)
      throw not_confirmed;
  }
  // A new leader does not know the latest commit index until an entry of its own term is committed (Raft, section 8).
  auto target_index = std::max(commit_index_, required_index);
  while (applied_index_ < target_index) {
    auto in_time = co_await commit_advanced_.wait(host_, deadline);
    if (!in_time || !is_leader() || log_.term != term)
      throw not_confirmed;
  }
}

auto consensus::apply_next() -> void {
  auto index = applied_index_ + 1;
  auto entry_term = log_.entry_at(index).term;
  auto command = decode_cbor(log_.entry_at(index).command);
  auto result = is_membership_command(command) ? encode(acknowledgement{}) : state_machine_.apply(index.get(), command);
  applied_index_ = index;
  // leadership_established() becomes true with the first entry of the leader's term.
  if (is_leader() && index == term_start_index_ && state_machine_.leader_changed)
    state_machine_.leader_changed();
  complete_proposal(index, entry_term, std::move(result));
  commit_advanced_.wake();
}

// Called after the entry at `index` is applied; wakes the caller of the proposal at that index. If the entry has
// another term than the proposal, the entry of another leader has replaced the proposed command.
auto consensus::complete_proposal(log_index index, term_number entry_term, value result) -> void {
  auto pending = proposals_.find(index);
  if (pending == proposals_.end())
    return;
  if (pending->second->term == entry_term)
    pending->second->result = std::move(result);
  else
    pending->second->abandoned = true;
  pending->second->done.wake();
  proposals_.erase(pending);
}

// Applies committed entries for the lifetime of the replica, and compacts the log when a snapshot is due.
auto consensus::apply_committed() -> task<void> {
  while (true) {
    while (applied_index_ < commit_index_)
      apply_next();
    compact();
    co_await commit_advanced_.wait(host_);
  }
}

auto consensus::handle_request(std::string operation, value message) -> task<value> {
  switch (decode_operation(operation)) {
    case raft_operation::request_vote:
      co_return co_await encode_reply(on_vote_request(decode_vote_request(message)));
    case raft_operation::append_entries:
      co_return co_await encode_reply(on_append(decode_append_request(message)));
    case raft_operation::install_snapshot:
      co_return co_await encode_reply(on_snapshot_chunk(decode_snapshot_chunk(message)));
    case raft_operation::timeout_now:
      co_return encode(on_timeout_now(decode_timeout_now_request(message)));
    case raft_operation::join: {
      auto request = decode_join_request(message);
      co_return co_await on_join(std::move(request));
    }
    case raft_operation::leave:
      co_return co_await on_leave(decode_leave_request(message));
    case raft_operation::describe:
      co_return encode(on_describe(decode_describe_request(message)));
  }
  throw request_error(errc::malformed, "unknown request " + operation);
}

}  // namespace reachridge
