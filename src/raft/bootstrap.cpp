// How a replica that is no voter becomes one: it founds the log with the other seeds, or joins the log there is (design
// 4.5).
#include <algorithm>

#include "raft/consensus.hpp"
#include "runtime/log.hpp"

namespace reachridge {
namespace {

constexpr auto join_timeouts = 4;  // failure timeouts that a request to join may take

}  // namespace

// What the peers of a blank replica say of themselves.
struct consensus::seed_survey {
  std::vector<voter> disks;  // all that answered, founded or not
  std::string via;           // one that belongs to a log, its leader if that is among them; empty: none does
};

auto consensus::describe_peer(std::string address, describe_request request) -> task<describe_reply> {
  auto message = encode(request);
  auto answer = co_await peer(address).call(std::move(message), host_.now() + settings_.request_timeout);
  co_return decode_describe_reply(answer);
}

// A blank disk: founds the log if it may and all seeds are there and blank, else joins. One seed alone that lost its
// disk would otherwise begin a second history.
auto consensus::bootstrap() -> task<void> {
  auto is_seed = std::find(settings_.seeds.begin(), settings_.seeds.end(), self_.address) != settings_.seeds.end();
  auto disks = std::vector<voter>();
  if (is_seed)
    disks.push_back(self_);
  auto survey = co_await survey_peers(std::move(disks));
  auto all_blank = survey.via.empty();
  auto all_answered = survey.disks.size() == settings_.seeds.size();
  auto may_found = !log_.initialized && settings_.may_bootstrap && is_seed;
  if (may_found && all_blank && all_answered)
    co_await found_log(std::move(survey.disks));
  else if (!all_blank)
    co_await join(survey.via);
  if (!may_vote())
    co_await sleep_for(host_, host_.jittered(settings_.heartbeat_interval));
}

auto consensus::survey_peers(std::vector<voter> blank_seeds) -> task<seed_survey> {
  auto survey = seed_survey{std::move(blank_seeds), {}};
  for (const auto& address : peers()) {
    try {
      auto request = describe_request();
      auto reply = co_await describe_peer(address, request);
      survey.disks.push_back({address, reply.disk_id});
      if (!reply.initialized || reply.empty)
        continue;
      if (reply.leader == address || survey.via.empty())
        survey.via = address;
    } catch (const request_error&) {
    }
  }
  co_return survey;
}

auto consensus::found_log(std::vector<voter> founders) -> task<void> {
  log_.bootstrap(std::move(founders));
  try {
    co_await log_.sync();
    reachridge::log(log_level::info, settings_.name, "the replicated log is founded");
  } catch (const request_error&) {
  }
}

// Asks to become a voter until it is one or the way to the leader is lost; what it has learned so far counts.
auto consensus::join(std::string via) -> task<void> {
  while (true) {
    try {
      auto message = encode(join_request{self_, log_.log_id()});
      co_await peer(via).call(std::move(message), host_.now() + settings_.failure_timeout * join_timeouts);
      co_return;
    } catch (const request_error& error) {
      reachridge::log(log_level::info, settings_.name, std::string("not yet a voter: ") + error.what());
      auto may_succeed = error.code == errc::catching_up || error.code == errc::busy;
      if (!may_succeed || log_.failed())
        co_return;
    }
    co_await sleep_for(host_, host_.jittered(settings_.heartbeat_interval));
    if (log_.members().contains(self_))
      co_return;
  }
}

// One that takes itself for a voter but hears no leader: the others may have gone on without it.
auto consensus::rejoin() -> task<void> {
  joining_ = true;
  auto via = std::string();
  for (const auto& address : peers()) {
    try {
      auto request = describe_request{self_};
      auto reply = co_await describe_peer(address, request);
      if (reply.leader.empty() || reply.requester_is_voter)
        continue;
      via = address;
      break;
    } catch (const request_error&) {
    }
  }
  if (!via.empty())
    co_await join(via);
  joining_ = false;
}

}  // namespace reachridge
