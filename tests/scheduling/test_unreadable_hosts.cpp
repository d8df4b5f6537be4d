#include "restartable_scheduler.h"
#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

/// A pool with one host, whose endpoint works until the host leaves, and hosts
/// in standby. One row of each list may have no name.
class shrinking_site {
public:
  explicit shrinking_site(bool HasUnnamedRow) : HasUnnamedRow(HasUnnamedRow) {
    State.apply(set_configuration{makeConfiguration(1)}, 0);
    leader_settings Settings;
    Settings.HasPlatform = true;
    Leader.emplace(Settings, 5, State, Metrics, Now);
    apply(record_endpoint{makeEndpoint("e1")});
  }

  void removeHost() { IsHostThere = false; }
  void submitJob() { apply(submission(makeJob("j", {makeStep(1, 1000)}))); }
  /// Simulates the given time in steps of 50 ms.
  void run(core::duration Time) {
    for (auto End = Now + Time; Now < End; Now += 50ms) {
      ++Sequence;
      if (IsHostThere) {
        endpoint_heartbeat Heartbeat;
        Heartbeat.Facts = makeEndpoint("e1");
        Heartbeat.Sequence = Sequence;
        Heartbeat.ClockMs = 50 * Sequence;
        Leader->recordHeartbeat(Heartbeat, Now);
      }
      for (const auto &Command : Leader->takeCommands(Now, 1000))
        apply(Command);
      for (const auto &Order : Leader->takeOrders(Now))
        Leader->finishOrder({Order.Id, answer(Order)}, Now);
    }
  }

  bool IsHostOrdered = false; ///< A host was ordered to the pool.

private:
  static host_row row(std::string Name, std::string Pool, std::string Id) {
    host_row Row;
    Row.Name = std::move(Name);
    Row.Pool = std::move(Pool);
    Row.State = host_state::Up;
    Row.Capacity = {8000, 10'000, 0};
    Row.EndpointId = std::move(Id);
    return Row;
  }

  order_answer answer(const order &Order) {
    if (std::holds_alternative<list_hosts_order>(Order.Body)) {
      hosts_answer Page;
      Page.Hosts = {row("h2", "spare", ""), row("h3", "spare", "")};
      if (IsHostThere)
        Page.Hosts.push_back(row("h1", "a", "e1"));
      if (HasUnnamedRow)
        Page.UnreadableHosts = {""};
      return Page;
    }
    if (const auto *Move = std::get_if<move_host_order>(&Order.Body)) {
      IsHostOrdered |= Move->Pool == "a";
      return host_verdict::Accepted;
    }
    if (!IsHostThere)
      return no_answer{true, "timeout"};
    endpoint_answer Accepted;
    Accepted.Verdict = endpoint_verdict::Accepted;
    Accepted.ClockMs = 50 * Sequence;
    return Accepted;
  }
  void apply(const command &Command) {
    auto Outcome = State.apply(Command, 1000);
    if (Leader)
      Leader->recordApplied(Command, Outcome, Now);
  }

  bool HasUnnamedRow;
  bool IsHostThere = true;
  schedule_state State;
  core::metrics_registry Metrics;
  core::time_point Now{1000s};
  std::uint64_t Sequence = 0;
  std::optional<leader> Leader;
};

// The users' bound for the next run of a long-running task.
constexpr core::duration NextRunBound = 9s;
constexpr core::duration BeatInterval = 1500ms;
constexpr core::duration JobInterval = 300ms;
constexpr std::uint32_t TaskCount = 6;
const std::string LastingJob = "lasting";

/// Endpoints that end one after the other and are replaced, on hosts of which
/// one has no name in any list, and long-running tasks beside short ones.
class unnamed_site {
public:
  explicit unnamed_site(std::uint64_t Seed) : Random(Seed), Site(true) {
    Site.addUnnamedRow();
    for (int Index = 0; Index != 5; ++Index)
      addEndpoint();
    Site.hideHostName(Endpoints.front().Id);
    Site.finishRuns(500ms, LastingJob);
    advance(100ms);
    auto Step = makeStep(TaskCount, 2000);
    Step.IsLongRunning = true;
    Site.call(
        submit_call{Host, Prefix + LastingJob, makeJob(LastingJob, {Step})});
    advance(3s);
    REQUIRE(LastRun.size() == TaskCount);
  }

  /// Ends each of the first endpoints, in a random order, and plays 12 s after
  /// each end.
  void endAll() {
    std::vector<std::string> Ids;
    for (const auto &Endpoint : Endpoints)
      Ids.push_back(Endpoint.Id);
    std::shuffle(Ids.begin(), Ids.end(), Random);
    for (const auto &Id : Ids) {
      advance(std::chrono::milliseconds(Random() % 2000));
      addEndpoint();
      bool IsLost = Random() % 2 == 0;
      if (!IsLost) {
        Site.call(deregister_call{Id});
        advance(50ms);
      }
      std::erase_if(Endpoints, [&](const endpoint &Endpoint) {
        return Endpoint.Id == Id;
      });
      for (std::uint32_t Index = 0; Index != TaskCount; ++Index)
        Interruptions += Site.isRunning({LastingJob, 0, 0, Index}, Id);
      if (IsLost)
        Site.powerOff(Id);
      else
        Site.exit(Id);
      advance(12s);
    }
  }

  core::duration LongestGap{};   ///< Of a long-running task without a run.
  std::size_t Interruptions = 0; ///< Runs that ended with their endpoint.
  std::size_t concurrentRuns() const { return Site.MaxConcurrentRuns; }

private:
  struct endpoint {
    std::string Id;
    core::time_point NextBeat{};
  };

  void addEndpoint() {
    Endpoints.push_back({"e" + std::to_string(++LastEndpoint), Site.Now});
  }

  void advance(core::duration Time) {
    for (auto End = Site.Now + Time; Site.Now < End;) {
      for (auto &Endpoint : Endpoints)
        if (Site.Now >= Endpoint.NextBeat) {
          Site.beat(Endpoint.Id);
          Endpoint.NextBeat = Site.Now + BeatInterval;
        }
      if (Site.Now >= NextJob) {
        auto Id = "s" + std::to_string(++LastJob);
        Site.call(submit_call{Host, Prefix + Id, makeJob(Id, {makeStep(2)})});
        NextJob = Site.Now + JobInterval;
      }
      Site.run(10ms);
      for (std::uint32_t Index = 0; Index != TaskCount; ++Index)
        if (Site.isRunning({LastingJob, 0, 0, Index}))
          LastRun[Index] = Site.Now;
        else if (LastRun.count(Index) > 0)
          LongestGap = std::max(LongestGap, Site.Now - LastRun[Index]);
    }
  }

  std::mt19937_64 Random;
  restartable_scheduler Site;
  std::vector<endpoint> Endpoints;
  int LastEndpoint = 0;
  int LastJob = 0;
  core::time_point NextJob{};
  std::map<std::uint32_t, core::time_point> LastRun;
};

} // namespace

// Guards against work that waits for ever for a host that is gone: it counted
// as supply of its pool, so that no other host was moved there.
TEST_CASE("a host that is gone is replaced although a row has no name") {
  for (bool HasUnnamedRow : {false, true}) {
    CAPTURE(HasUnnamedRow);
    shrinking_site Site(HasUnnamedRow);
    Site.run(3s);
    REQUIRE(!Site.IsHostOrdered);
    Site.removeHost();
    Site.submitJob();
    Site.run(20s);
    CHECK(Site.IsHostOrdered);
  }
}

// Guards against tasks that wait for a whole list of hosts, which never comes
// while one row has no name.
TEST_CASE("long-running tasks of endpoints that end run again in time although "
          "a row has no name") {
  auto Seed = GENERATE(range(1, 31));
  CAPTURE(Seed);
  unnamed_site Site(static_cast<std::uint64_t>(Seed));
  Site.endAll();
  INFO("longest gap " << std::chrono::duration_cast<std::chrono::milliseconds>(
                             Site.LongestGap)
                             .count()
                      << " ms");
  CHECK(Site.Interruptions >= TaskCount);
  CHECK(Site.LongestGap < NextRunBound);
  CHECK(Site.concurrentRuns() == 1);
}
