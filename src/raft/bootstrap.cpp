// Startup of a replica that is not a voter: it creates a new log together with the other seeds, or joins the existing
// log (design 4.5).
#include <algorithm>
#include <utility>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto join_timeouts = 4;  // timeout of a join request, in failure timeouts

}  // namespace

// The replies of the peers to a describe request.
struct consensus::peer_survey {
  std::vector<voter> responders;  // all peers that replied, initialized or not
  // Address of a peer that belongs to a log, preferably of the leader; empty: no peer belongs to a log.
  std::string contact_address;
};

auto consensus::describe_peer(std::string address, describe_request request) -> task<describe_reply> {
  auto message = encode(request);
  auto answer = co_await peer(address).call(std::move(message), host_.now() + settings_.request_timeout);
  co_return decode_describe_reply(answer);
}

// Runs while this replica may not vote. Creates a new log if the settings allow it and all seeds reply and are blank;
// otherwise joins the existing log. A single seed must not create a log, because a seed that lost its disk would start
// a second history.
auto consensus::bootstrap_or_join() -> task<void> {
  auto is_seed =
      std::find(settings_.seeds.begin(), settings_.seeds.end(), local_voter_.address) != settings_.seeds.end();
  auto responders = std::vector<voter>();
  if (is_seed)
    responders.push_back(local_voter_);
  auto survey = co_await survey_peers(std::move(responders));
  auto all_blank = survey.contact_address.empty();
  auto all_replied = survey.responders.size() == settings_.seeds.size();
  auto may_bootstrap = !log_.initialized && settings_.may_bootstrap && is_seed;
  if (may_bootstrap && all_blank && all_replied)
    co_await bootstrap_log(std::move(survey.responders));
  else if (!all_blank)
    co_await join(survey.contact_address);
  else
    report_missing_log(survey);
  if (!may_vote())
    co_await sleep_for(host_, host_.jittered(settings_.heartbeat_interval));
}

// Logs once that no peer belongs to a log that this replica could join, and why it does not create one.
auto consensus::report_missing_log(const peer_survey& survey) -> void {
  if (std::exchange(missing_log_reported_, true))
    return;
  auto text = std::string("waits for a replicated log: this control node may ");
  text += settings_.may_bootstrap ? "create one once all seeds reply" : "not create one";
  text += ", replies from:";
  for (const auto& responder : survey.responders)
    text += " " + responder.address;
  reachridge::log(log_level::info, settings_.name, text);
}

// Asks every peer for its view of the log. Peers that do not reply are left out. `responders` is the initial content of
// the list of responders.
auto consensus::survey_peers(std::vector<voter> responders) -> task<peer_survey> {
  auto survey = peer_survey{std::move(responders), {}};
  for (const auto& address : peer_addresses()) {
    try {
      auto request = describe_request();
      auto reply = co_await describe_peer(address, request);
      survey.responders.push_back({address, reply.disk_id});
      if (!reply.initialized || reply.empty)
        continue;
      if (reply.leader == address || survey.contact_address.empty())
        survey.contact_address = address;
    } catch (const request_error&) {
    }
  }
  co_return survey;
}

// Creates a new log with these voters on the local disk.
auto consensus::bootstrap_log(std::vector<voter> initial_voters) -> task<void> {
  log_.bootstrap(std::move(initial_voters));
  try {
    co_await log_.sync();
    reachridge::log(log_level::info, settings_.name, "bootstrapped the replicated log");
  } catch (const request_error&) {
  }
}

// Sends join requests to `contact_address` until this replica is a voter, the process shuts down, or a request fails
// with an error other than `catching_up` or `busy`. A retry does not start over: the replica keeps the entries that it
// received as a learner. An error that repeats is logged once.
auto consensus::join(std::string contact_address) -> task<void> {
  while (!shutting_down_) {
    try {
      auto message = encode(join_request{local_voter_, log_.log_id()});
      co_await peer(contact_address).call(std::move(message), host_.now() + settings_.failure_timeout * join_timeouts);
      reported_join_error_.clear();
      co_return;
    } catch (const request_error& error) {
      auto is_repeated = std::exchange(reported_join_error_, error.what()) == error.what();
      if (!is_repeated)
        reachridge::log(log_level::info, settings_.name, std::string("join request failed: ") + error.what());
      auto may_succeed = error.code == errc::catching_up || error.code == errc::busy;
      if (!may_succeed || log_.failed())
        co_return;
    }
    co_await sleep_for(host_, host_.jittered(settings_.heartbeat_interval));
    if (log_.members().contains(local_voter_))
      co_return;
  }
}

// Called when this replica is a voter in its own log but hears from no leader: the other voters may have removed it.
// Joins again if a peer that knows a leader no longer lists this replica as a voter.
auto consensus::rejoin() -> task<void> {
  rejoining_ = true;
  auto contact_address = std::string();
  for (const auto& address : peer_addresses()) {
    try {
      auto request = describe_request{local_voter_};
      auto reply = co_await describe_peer(address, request);
      if (reply.leader.empty() || reply.requester_is_voter)
        continue;
      contact_address = address;
      break;
    } catch (const request_error&) {
    }
  }
  if (!contact_address.empty())
    co_await join(contact_address);
  rejoining_ = false;
}

}  // namespace reachridge
