// The replicated log as its user sees it: proposals, fresh reads, requests of other replicas (design 4).
#include "raft/consensus.hpp"

#include <algorithm>

#include "runtime/log.hpp"

namespace reachridge {
namespace {

template <class Reply>
auto encode_reply(task<Reply> handler) -> task<value> {
  auto reply = co_await std::move(handler);
  co_return encode(reply);
}

// A majority that was silent for this long no longer follows; voters wait as long before they run (design 4.1).
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
                      std::string("task of the replicated log ended: ") + error.what());
      dump_log("a task of the replicated log ended");
    }
  };
  auto restored = log_.load(host_.random());
  self_ = {node_settings.address, log_.disk_id};
  if (restored) {
    if (!restored->state.is_null())
      state_machine_.restore(restored->state);
    commit_index_ = applied_index_ = restored->index;
  }
  // It may have promised a leader quiet just before it went down (design 4.4).
  if (log_.term > 0)
    last_leader_contact_ = host_.now();
  tasks_.spawn(election_timer());
  tasks_.spawn(apply_committed());
}

auto consensus::peer(const std::string& address) -> peer_connection& {
  auto& connection = connections_[address];
  if (!connection) {
    connection = std::make_unique<peer_connection>(
        host_,
        peer_connection::options{settings_.name, address, settings_.heartbeat_interval, settings_.failure_timeout});
    connection->on_process_gone = [this, address] {
      on_leader_process_gone(address);
    };
  }
  return *connection;
}

auto consensus::retry_after_heartbeat(errc code, const char* message, execution_outcome outcome) const
    -> request_error {
  return request_error(code, message, outcome, settings_.heartbeat_interval / millisecond);
}

auto consensus::call_leader(value message, monotonic_time until) -> task<value> {
  if (leader_address_.empty() || leader_address_ == self_.address)
    throw request_error(errc::no_leader, "no ledger leader is known here", execution_outcome::not_executed,
                        settings_.failure_timeout / millisecond);
  co_return co_await peer(leader_address_).call(std::move(message), until);
}

auto consensus::propose(value command, monotonic_time until) -> task<value> {
  if (!is_leader() || transferring_)
    throw retry_after_heartbeat(errc::no_leader, "this queen does not lead", execution_outcome::not_executed);
  if (encode_cbor(command).size() > max_command_bytes)
    throw request_error(errc::too_large, "the command fits into no frame");
  auto waiting = std::make_shared<proposal>();
  waiting->term = log_.term;
  proposals_[log_.append(log_.term, command)] = waiting;
  // The own sync and the followers' go on side by side; each counts once it is done (Raft thesis 10.2.1).
  tasks_.spawn(sync_own_log());
  log_grown_.wake();
  while (!waiting->result && !waiting->abandoned) {
    auto in_time = co_await waiting->done.wait(host_, until);
    if (!in_time)
      break;
  }
  if (!waiting->result)
    throw retry_after_heartbeat(errc::unclear, "the ledger did not agree in time", execution_outcome::unknown);
  co_return std::move(*waiting->result);
}

auto consensus::read_barrier(monotonic_time until) -> task<void> {
  auto asked = host_.now();
  auto term = log_.term;
  auto not_confirmed = request_error(errc::no_leader, "no majority confirms the newest state now",
                                     execution_outcome::not_executed, settings_.failure_timeout / millisecond);
  if (!is_leader())
    throw not_confirmed;
  auto first = first_own_index_;
  log_grown_.wake();
  while (last_quorum_contact() < asked) {
    auto in_time = co_await reply_received_.wait(host_, until);
    if (!in_time || !is_leader() || log_.term != term)
      throw not_confirmed;
  }
  // Until an entry of its own term is committed a leader may not know all that is (Raft, section 8).
  auto upto = std::max(commit_index_, first);
  while (applied_index_ < upto) {
    auto in_time = co_await commit_advanced_.wait(host_, until);
    if (!in_time || !is_leader() || log_.term != term)
      throw not_confirmed;
  }
}

auto consensus::apply_next() -> void {
  auto at = applied_index_ + 1;
  auto entry_term = log_.entry_at(at).term;
  auto command = decode_cbor(log_.entry_at(at).command);
  auto result = is_membership_command(command) ? encode(acknowledgement{}) : state_machine_.apply(at.get(), command);
  applied_index_ = at;
  // Settled: it speaks for the majority now.
  if (is_leader() && at == first_own_index_ && state_machine_.leader_changed)
    state_machine_.leader_changed();
  finish_proposal(at, entry_term, std::move(result));
  commit_advanced_.wake();
}

// The entry at `at` is applied. Where it is of another term than the proposal, another leader's entry took its place.
auto consensus::finish_proposal(log_index at, term_number entry_term, value result) -> void {
  auto waiting = proposals_.find(at);
  if (waiting == proposals_.end())
    return;
  if (waiting->second->term == entry_term)
    waiting->second->result = std::move(result);
  else
    waiting->second->abandoned = true;
  waiting->second->done.wake();
  proposals_.erase(waiting);
}

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
    case raft_operation::describe:
      co_return encode(on_describe(decode_describe_request(message)));
  }
  throw request_error(errc::malformed, "unknown request " + operation);
}

}  // namespace reachridge
