// Guards against jobs that are refused although they have run or may run, and
// against refusals where nobody asked for them.

#include "schedule_fixture.h"
#include "scheduling/schedule_node.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

const std::string EndpointId = "e1";

/// The leader of a cluster of one with one endpoint of 8 cores, which answers
/// no order. Its writes finish immediately unless they are stalled.
class overloaded_scheduler {
public:
  explicit overloaded_scheduler(bool RefusesOverload)
      : Node(makeNode(RefusesOverload)) {
    while (!Node.isLeading())
      advance();
    call(configure_call{makeConfiguration(2)});
    // The leader accepts every job until it knows the pool.
    for (auto Until = Now + 4s; Now < Until;) {
      if ((Now.time_since_epoch() / 10ms) % 50 == 0)
        beat();
      advance();
    }
  }

  void advance() {
    Now += 10ms;
    Node.tick(Now);
    auto Actions = Node.takeActions(Now);
    for (const auto &Write : Actions.Writes)
      LastTicket = Write.Ticket;
    if (!IsStalled)
      Node.stored(LastTicket, Now);
    for (const auto &Reply : Actions.Replies)
      Replies[Reply.Id] = Reply;
  }

  std::uint64_t call(call_body Body) {
    Node.handle({++LastCall, std::move(Body)}, Now);
    return LastCall;
  }

  std::optional<reply> awaitReply(std::uint64_t Call) {
    for (auto Until = Now + 1s; Now < Until && Replies.count(Call) == 0;)
      advance();
    auto Found = Replies.find(Call);
    return Found == Replies.end() ? std::nullopt : std::optional(Found->second);
  }

  /// \param Seconds work of the job on all cores of the endpoint.
  std::uint64_t submit(const std::string &Id, std::uint32_t Seconds) {
    return call(submit_call{Host, Prefix + Id,
                            makeJob(Id, {makeStep(Seconds, 8000, 1000)}), ""});
  }

  reply_kind submitted(const std::string &Id, std::uint32_t Seconds) {
    auto Reply = awaitReply(submit(Id, Seconds));
    REQUIRE(Reply);
    return Reply->Kind;
  }

  void advanceTime(core::duration Time) {
    for (auto Until = Now + Time; Now < Until;)
      advance();
  }

  // Declared before Node, whose construction uses them.
  core::metrics_registry Metrics;
  core::time_point Now{1s};
  bool IsStalled = false;

private:
  void beat() {
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = makeEndpoint(EndpointId);
    Heartbeat.ClockMs = static_cast<std::uint64_t>(
        Now.time_since_epoch() / std::chrono::milliseconds(1));
    call(heartbeat_call{Heartbeat});
  }

  schedule_node makeNode(bool RefusesOverload) {
    scheduler_settings Settings;
    Settings.Address = "10.0.0.1";
    Settings.Leader.RefusesOverload = RefusesOverload;
    replication::replica_id Self{Settings.Address, 1};
    replication::membership Initial;
    Initial.Members.push_back({Self, true});
    return {Settings, Self, {}, Initial, Metrics, Now};
  }

  std::uint64_t LastCall = 0;
  std::uint64_t LastTicket = 0;
  std::map<std::uint64_t, reply> Replies;

public:
  schedule_node Node;
};

/// Submits jobs of 4 s until one is refused.
/// \returns the number of jobs accepted before, at most 100.
int fill(overloaded_scheduler &Scheduler) {
  for (int Number = 0; Number != 100; ++Number)
    if (Scheduler.submitted("fill" + std::to_string(Number), 4) !=
        reply_kind::Accepted)
      return Number;
  return 100;
}

} // namespace

TEST_CASE("a job that would be of no use is refused with a time to return",
          "[admission]") {
  overloaded_scheduler Scheduler(true);
  auto Accepted = fill(Scheduler);
  CHECK(Accepted >= 1);
  REQUIRE(Accepted < 100);
  auto Id = "fill" + std::to_string(Accepted);
  auto Reply = Scheduler.awaitReply(Scheduler.submit(Id, 4));
  REQUIRE(Reply);
  CHECK(Reply->Kind == reply_kind::Overloaded);
  CHECK(Reply->RetryAfterS >= admission::MinRetryAfterS);
  CHECK(Reply->RetryAfterS <= admission::MaxRetryAfterS);
  CHECK(Scheduler.Node.state().findJob(Id) == nullptr);
  CHECK(Scheduler.Metrics.counter("jobs_refused_total{reason=\"too_late\"}") ==
        2);
}

TEST_CASE("without the setting no job is refused", "[admission]") {
  overloaded_scheduler Scheduler(false);
  CHECK(fill(Scheduler) == 100);
}

// Guards against refusals that no setting asks for: on a deployment with
// workspaces they cost callers more than they gave.
TEST_CASE("without the setting no job is refused where the configuration "
          "requires keys",
          "[admission]") {
  overloaded_scheduler Scheduler(false);
  auto Configuration = makeConfiguration(3);
  Configuration.RequiresKeys = true;
  for (auto &Queue : Configuration.Queues)
    Queue.IsPublic = true;
  Scheduler.call(configure_call{Configuration});
  Scheduler.advanceTime(1s);
  CHECK(fill(Scheduler) == 100);
}

TEST_CASE("a known job is not refused", "[admission]") {
  overloaded_scheduler Scheduler(true);
  REQUIRE(fill(Scheduler) < 100);
  CHECK(Scheduler.submitted("fill0", 4) == reply_kind::Accepted);
}

TEST_CASE("a job with a copy that may still be committed is not refused",
          "[admission]") {
  overloaded_scheduler Other(true);
  auto Accepted = fill(Other);
  REQUIRE(Accepted < 100);
  // Refused as a new job behind the others.
  auto Id = "fill" + std::to_string(Accepted);
  overloaded_scheduler Scheduler(true);
  Scheduler.IsStalled = true;
  auto First = Scheduler.submit(Id, 4);
  for (int Number = 0; Number != Accepted + 20; ++Number)
    if (Number != Accepted)
      Scheduler.submit("fill" + std::to_string(Number), 4);
  auto Second = Scheduler.submit(Id, 4);
  Scheduler.IsStalled = false;
  for (auto Call : {First, Second}) {
    auto Reply = Scheduler.awaitReply(Call);
    REQUIRE(Reply);
    CHECK(Reply->Kind == reply_kind::Accepted);
  }
  CHECK(Scheduler.Metrics.counter("jobs_refused_total{reason=\"too_late\"}") >
        0);
}

TEST_CASE("a scheduler that gives up its leadership refuses no job",
          "[admission]") {
  overloaded_scheduler Scheduler(true);
  auto Accepted = fill(Scheduler);
  REQUIRE(Accepted < 100);
  Scheduler.Node.beginShutdown(Scheduler.Now);
  auto Reply = Scheduler.awaitReply(Scheduler.submit("late", 4));
  REQUIRE(Reply);
  CHECK(Reply->Kind == reply_kind::NotLeader);
}
