#include "core/metrics.h"
#include "fake_site.h"
#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

// Guards against long-running tasks that are assigned to an endpoint that was
// lost before, and wait 12 s for the end of their orders beside free endpoints.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// \returns a job with one step of long-running tasks.
job_spec makeLongRunningJob(std::string Id, std::uint32_t Count,
                            bool IsGang = false) {
  auto Step = makeStep(Count);
  Step.IsLongRunning = true;
  Step.IsGang = IsGang;
  return makeJob(std::move(Id), {Step});
}

/// \returns the number of start orders to the endpoint.
std::size_t countStarts(const fake_site &Site, const std::string &Endpoint) {
  return static_cast<std::size_t>(std::count_if(
      Site.SentOrders.begin(), Site.SentOrders.end(), [&](const order &Order) {
        return Order.EndpointId == Endpoint &&
               std::holds_alternative<start_order>(Order.Body);
      }));
}

/// \returns the number of polls that neither wait nor renew a lease.
std::size_t countChecks(const fake_site &Site) {
  return static_cast<std::size_t>(std::count_if(
      Site.SentOrders.begin(), Site.SentOrders.end(), [](const order &Order) {
        const auto *Poll = std::get_if<poll_order>(&Order.Body);
        return Poll && Poll->WaitMs == 0 && !Poll->LeaseExpiryMs;
      }));
}

/// \returns whether the task is assigned to an endpoint other than the lost
/// one.
bool isPlacedBeside(const fake_site &Site, const task_key &Task,
                    const std::string &Lost) {
  const auto *Record = Site.State.findTask(Task);
  const auto *Endpoint = Site.State.findEndpoint(Lost);
  return Record && Record->Endpoint != 0 &&
         !(Endpoint && Endpoint->Number == Record->Endpoint);
}

} // namespace

TEST_CASE("no long-running task is assigned to an endpoint that was lost "
          "shortly before") {
  constexpr std::uint32_t Endpoints = 3;
  auto Lost = GENERATE(0u, 1u, 2u);
  bool IsGang = GENERATE(false, true);
  CAPTURE(Lost, IsGang);
  fake_site Site(Endpoints, 1, {});
  Site.run(5000);
  auto LostId = "e" + std::to_string(Lost + 1);
  Site.setReachable(Lost, false);
  Site.run(2500);
  Site.apply(submission(makeLongRunningJob("j", 2, IsGang)));
  Site.run(1500);
  for (std::uint32_t Index = 0; Index != 2; ++Index)
    CHECK(isPlacedBeside(Site, {"j", 0, 0, Index}, LostId));
  CHECK(countStarts(Site, LostId) == 0);
}

TEST_CASE("a task that is not long-running starts without a contact check") {
  fake_site Site(2, 1, {});
  Site.run(5000);
  auto Checks = countChecks(Site);
  Site.apply(submission(makeJob("j", {makeStep(4)})));
  Site.run(100);
  CHECK(Site.Starts == 4);
  CHECK(countChecks(Site) == Checks);
}

TEST_CASE("a long-running task starts soon after its only endpoint answers "
          "again, and until then its line names the contact") {
  fake_site Site(1, 1, {});
  Site.run(5000);
  Site.setReachable(0, false);
  Site.apply(submission(makeLongRunningJob("j", 2)));
  Site.run(300);
  auto Unserved = Site.current().unservedTasks(
      core::time_point(std::chrono::milliseconds(Site.wallMs())), Site.wallMs(),
      false);
  REQUIRE(Unserved.size() == 2);
  for (const auto &Task : Unserved)
    CHECK(Task.WaitsFor == "contact");
  Site.run(3000);
  CHECK(countStarts(Site, "e1") == 0);
  Site.setReachable(0, true);
  Site.run(2000);
  CHECK(Site.Starts == 2);
}

// Guards against answers that are too old whenever the next round comes.
TEST_CASE("long-running tasks start although rounds of placement are further "
          "apart than an answer counts as recent") {
  bool IsGang = GENERATE(false, true);
  core::time_point Now{1000s};
  core::metrics_registry Metrics;
  auto State = makeState(0);
  leader Leader(leader_settings(), 1, State, Metrics, Now);
  std::uint64_t ClockMs = 5000;
  auto Apply = [&](const command &Command) {
    Leader.recordApplied(Command, State.apply(Command, 1'000'000), Now);
  };
  auto Beat = [&](const std::string &Id) {
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = makeEndpoint(Id);
    Heartbeat.Facts.Address =
        core::network_address::parse("10.0.0." + Id.substr(1) + ":80");
    Heartbeat.Sequence = ClockMs;
    Heartbeat.ClockMs = ClockMs;
    if (!Leader.recordHeartbeat(Heartbeat, Now))
      Apply(record_endpoint{Heartbeat.Facts});
  };
  std::set<std::string> Started;
  auto PlayRound = [&](auto IsAnswered) {
    Now += 800ms;
    ClockMs += 800;
    Beat("e1");
    Beat("e2");
    for (const auto &Command : Leader.takeCommands(Now, 1'000'000))
      Apply(Command);
    for (const auto &Order : Leader.takeOrders(Now)) {
      if (std::holds_alternative<start_order>(Order.Body))
        Started.insert(Order.EndpointId);
      const auto *Poll = std::get_if<poll_order>(&Order.Body);
      if (!Poll || !IsAnswered(Order, *Poll))
        continue;
      endpoint_answer Answer;
      Answer.Verdict = endpoint_verdict::Accepted;
      Answer.ClockMs = ClockMs;
      Answer.IncarnationMs = 1;
      Leader.finishOrder({Order.Id, std::move(Answer)}, Now);
    }
  };
  Beat("e1");
  Beat("e2");
  // Only the first endpoint has answered when the job comes.
  PlayRound([](const order &Order, const poll_order &) {
    return Order.EndpointId == "e1";
  });
  auto Job = makeLongRunningJob("j", 2, IsGang);
  Job.Steps[0].MaxPerEndpoint = 1;
  Apply(submission(Job));
  for (int Round = 0; Round != 6; ++Round)
    PlayRound(
        [](const order &, const poll_order &Poll) { return Poll.WaitMs == 0; });
  CHECK(Started == std::set<std::string>{"e1", "e2"});
}

TEST_CASE("an answer that an endpoint gave before it was lost does not put a "
          "long-running task on it") {
  core::time_point Now{1000s};
  core::metrics_registry Metrics;
  auto State = makeState(0);
  leader Leader(leader_settings(), 1, State, Metrics, Now);
  auto Apply = [&](const command &Command) {
    Leader.recordApplied(Command, State.apply(Command, 1'000'000), Now);
  };
  endpoint_heartbeat Heartbeat;
  Heartbeat.Facts = makeEndpoint("e1");
  Heartbeat.Facts.Address = core::network_address::parse("10.0.0.1:80");
  Heartbeat.Sequence = 1;
  Heartbeat.ClockMs = 5000;
  Leader.recordHeartbeat(Heartbeat, Now);
  Apply(record_endpoint{Heartbeat.Facts});
  std::optional<std::uint64_t> Poll;
  std::optional<std::uint64_t> Check;
  bool IsStarted = false;
  auto Run = [&](int Steps) {
    for (; Steps > 0; --Steps, Now += 10ms) {
      for (const auto &Command : Leader.takeCommands(Now, 1'000'000))
        Apply(Command);
      for (const auto &Order : Leader.takeOrders(Now)) {
        IsStarted |= std::holds_alternative<start_order>(Order.Body);
        (Poll ? Check : Poll) = Order.Id;
      }
    }
  };
  Run(1);
  REQUIRE(Poll);
  Apply(submission(makeLongRunningJob("j", 1)));
  Run(5);
  REQUIRE(Check);
  auto Answered = *Check;
  Leader.finishOrder({*Poll, no_answer{true, "timeout"}}, Now);
  Run(2);
  endpoint_answer Answer;
  Answer.Verdict = endpoint_verdict::Accepted;
  Answer.ClockMs = 5000;
  Answer.IncarnationMs = 1;
  Leader.finishOrder({Answered, std::move(Answer)}, Now);
  Run(30);
  CHECK_FALSE(IsStarted);
}
