#include "fake_site.h"
#include "schedule_fixture.h"
#include "scheduling/refusal_log.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>

// Guards against heartbeats of another writer that take a sound endpoint off
// the list, for as long as they are repeated or until they are removed, and
// against a sound incarnation that is not recorded because a clock was stepped.

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FarFutureMs = 900'000'000'000'000;
constexpr std::uint64_t FarSequence = 900'000'000'000'000;
constexpr int StartupMs = 1700; // The first heartbeats arrive within it.
// Tasks of the fake site take at most 1.7 s; an odd heartbeat may delay a start
// by one heartbeat interval.
constexpr int MaxJobMs = 4000;

std::optional<core::network_address> address(const std::string &Text) {
  return core::network_address::parse(Text);
}

struct odd_case {
  std::string Name;
  std::function<void(endpoint_heartbeat &)> Change;
};

std::vector<odd_case> oddCases() {
  return {
      {"later start time, address of nobody",
       [](endpoint_heartbeat &Odd) {
         Odd.Facts.IncarnationMs = FarFutureMs;
         Odd.Facts.Address = address("10.9.9.9:9");
         Odd.Sequence = FarSequence;
         Odd.ClockMs = 5;
       }},
      {"later start time, address of the endpoint",
       [](endpoint_heartbeat &Odd) { Odd.Facts.IncarnationMs = FarFutureMs; }},
      {"earlier start time",
       [](endpoint_heartbeat &Odd) {
         Odd.Facts.IncarnationMs = 0;
         Odd.Sequence = FarSequence;
       }},
      {"address of another endpoint",
       [](endpoint_heartbeat &Odd) {
         Odd.Facts.Address = address("10.0.0.3:80");
       }},
      {"no address, as in records of earlier versions",
       [](endpoint_heartbeat &Odd) {
         Odd.Facts.Address.reset();
         Odd.Facts.IncarnationMs = FarFutureMs;
       }},
      {"sequence number far ahead",
       [](endpoint_heartbeat &Odd) { Odd.Sequence = FarSequence; }},
      {"sequence number and clock far ahead",
       [](endpoint_heartbeat &Odd) {
         Odd.Sequence = FarSequence;
         Odd.ClockMs = FarSequence;
       }},
      {"sequence number far ahead, clock at 0",
       [](endpoint_heartbeat &Odd) {
         Odd.Sequence = FarSequence;
         Odd.ClockMs = 0;
       }},
      {"pool that is not configured",
       [](endpoint_heartbeat &Odd) {
         Odd.Facts.Pool = "nowhere";
         ++Odd.Sequence;
       }},
  };
}

/// A site that gets an odd heartbeat with the id of each of its endpoints every
/// second, and a job every two seconds.
class odd_site : public fake_site {
public:
  explicit odd_site(odd_case Case)
      : fake_site(2, 1, {}), Case(std::move(Case)) {}

  void sendOdd() {
    for (std::uint32_t Index = 0; Index != 2; ++Index) {
      auto Odd = heartbeatOf(Index);
      Case.Change(Odd);
      receive(Odd);
    }
  }
  void runSeconds(int Seconds) {
    for (int Second = 0; Second != Seconds; ++Second) {
      sendOdd();
      if (Second % 2 == 0)
        submit();
      run(1000);
    }
  }
  void submit() {
    auto Id = "j" + std::to_string(++Jobs);
    apply(submission(makeJob(Id, {makeStep(4)})));
    SubmittedMs[Id] = wallMs();
  }
  /// Checks that each job that is old enough completed, and that the recorded
  /// incarnations are those of the endpoints.
  void check() {
    for (const auto &[Id, Ms] : SubmittedMs) {
      INFO(Id);
      const auto *Job = State.findJob(Id);
      if (wallMs() - Ms < MaxJobMs)
        continue;
      REQUIRE(Job->State == job_state::Complete);
      CHECK(Job->EndedMs - Ms < MaxJobMs);
    }
    for (std::uint32_t Index = 0; Index != 2; ++Index) {
      auto Facts = heartbeatOf(Index).Facts;
      const auto *Recorded = State.findEndpoint(Facts.Id);
      REQUIRE(Recorded);
      CHECK(Recorded->Facts == Facts);
    }
  }

private:
  odd_case Case;
  int Jobs = 0;
  std::map<std::string, std::int64_t> SubmittedMs;
};

/// \returns the entry with the address of each recorded endpoint replaced by a
/// text that versions without a check accepted.
std::string withOddAddress(const std::string &Entry, const std::string &Text) {
  auto Items = nlohmann::json::from_cbor(Entry);
  for (std::size_t Index = 1; Index < Items.size(); Index += 2)
    if (Items[Index] == command(record_endpoint{}).index())
      Items[Index + 1][0][2] = Text;
  std::string Bytes;
  nlohmann::json::to_cbor(Items, Bytes);
  return Bytes;
}

} // namespace

TEST_CASE("an odd heartbeat that is repeated every second does not displace a "
          "sound endpoint") {
  for (const auto &Case : oddCases()) {
    INFO(Case.Name);
    odd_site Site(Case);
    Site.run(StartupMs);
    Site.runSeconds(40);
    Site.run(MaxJobMs);
    Site.check();
    CHECK(Site.MaxConcurrentRuns == 1);
  }
}

TEST_CASE("an odd heartbeat that comes before the first sound one, and to each "
          "new leader, does not keep that out") {
  for (const auto &Case : oddCases()) {
    INFO(Case.Name);
    odd_site Site(Case);
    Site.sendOdd();
    Site.run(2 * StartupMs);
    Site.runSeconds(10);
    Site.run(MaxJobMs);
    Site.check();
    Site.changeLeader();
    Site.sendOdd();
    Site.run(2 * StartupMs);
    Site.runSeconds(10);
    Site.run(MaxJobMs);
    Site.check();
    CHECK(Site.MaxConcurrentRuns == 1);
  }
}

TEST_CASE("a single odd heartbeat for each endpoint of a pool does not stop "
          "the pool") {
  for (const auto &Case : oddCases()) {
    INFO(Case.Name);
    odd_site Site(Case);
    Site.run(StartupMs);
    Site.sendOdd();
    Site.submit();
    Site.run(MaxJobMs);
    Site.check();
  }
}

// Guards against ends that are never read: an endpoint lists a bounded number
// of them, and the next ones only after those were confirmed.
TEST_CASE("odd heartbeats do not keep the ends of a sound endpoint from being "
          "confirmed") {
  for (const auto &Case : oddCases()) {
    INFO(Case.Name);
    odd_site Site(Case);
    Site.limitEnds(3);
    Site.run(StartupMs);
    Site.runSeconds(30);
    Site.run(MaxJobMs);
    Site.check();
    CHECK(Site.MaxConcurrentRuns == 1);
  }
}

TEST_CASE("an endpoint that restarts under its id is used whatever its clock "
          "says") {
  // The start time is the wall clock of a host, which may have been stepped in
  // either direction since the endpoint started before.
  for (std::int64_t StepMs : {0, 6000, -6000, 86'400'000, -900'000}) {
    INFO("step " << StepMs);
    fake_site Site(1, 1, {});
    Site.restart(0, static_cast<std::uint64_t>(Site.wallMs()));
    Site.run(StartupMs);
    Site.apply(submission(makeJob("before", {makeStep(4, 1000, 500)})));
    Site.run(100);
    REQUIRE(Site.Starts == 4);
    auto Old = Site.heartbeatOf(0);
    Site.restart(0, static_cast<std::uint64_t>(Site.wallMs() + StepMs));
    for (int Round = 0; Round != 15; ++Round) {
      Site.run(1000);
      // A heartbeat of the earlier incarnation was delayed by a partition.
      ++Old.Sequence;
      Site.receive(Old);
    }
    Site.apply(submission(makeJob("after", {makeStep(4)})));
    Site.run(MaxJobMs);
    CHECK(Site.State.findJob("before")->State == job_state::Complete);
    CHECK(Site.State.findJob("after")->State == job_state::Complete);
    CHECK(Site.State.findEndpoint("e1")->Facts.IncarnationMs ==
          Site.heartbeatOf(0).Facts.IncarnationMs);
    CHECK(Site.MaxConcurrentRuns == 1);
  }
}

TEST_CASE("a delayed heartbeat of a crashed endpoint changes nothing once a "
          "later incarnation is registered") {
  fake_site Site(2, 1, {});
  Site.run(StartupMs);
  auto Old = Site.heartbeatOf(0);
  Site.crash(0);
  Site.run(StartupMs);
  auto Number = Site.State.findEndpoint("e1")->Number;
  REQUIRE(Site.State.endpoints().at(Number).Facts.IncarnationMs ==
          Site.heartbeatOf(0).Facts.IncarnationMs);
  Site.receive(Old);
  Site.run(100);
  CHECK(Site.State.findEndpoint("e1")->Number == Number);
  // Its sender crashed as well, and nothing answers at the address.
  Site.setReachable(0, false);
  for (int Round = 0; Round != 5; ++Round) {
    Site.receive(Old);
    Site.run(1000);
  }
  CHECK(Site.State.findEndpoint("e1")->Number == Number);
}

TEST_CASE("a late heartbeat does not replace the capacity in a newer one") {
  fake_site Site(1, 1, {});
  Site.run(StartupMs);
  auto Late = Site.heartbeatOf(0);
  Late.Facts.Capacity.MilliCores = 1;
  Site.run(3000);
  Site.receive(Late);
  CHECK(Site.State.findEndpoint("e1")->Facts.Capacity ==
        Site.heartbeatOf(0).Facts.Capacity);
}

TEST_CASE("a deregistration of an earlier incarnation does not end the later "
          "one") {
  fake_site Site(1, 1, {});
  Site.run(StartupMs);
  Site.crash(0);
  Site.run(StartupMs);
  auto Number = Site.State.findEndpoint("e1")->Number;
  Site.deregister("e1", 1);
  Site.run(1000);
  REQUIRE(Site.State.findEndpoint("e1"));
  CHECK(Site.State.findEndpoint("e1")->Number == Number);
  Site.deregister("e1", Site.heartbeatOf(0).Facts.IncarnationMs);
  Site.run(400);
  const auto *Recorded = Site.State.findEndpoint("e1");
  CHECK((!Recorded || Recorded->Number != Number));
}

TEST_CASE("records of earlier versions with an odd address are read and never "
          "used") {
  for (const char *Text :
       {"10.0.0.1:99999", "10.0.0.1", "", "u@10.0.0.1:80/x", "\r\n", "\xff"}) {
    INFO(Text);
    auto Sound = makeEndpoint("e1", 1);
    auto State = makeState(0);
    State.apply(record_endpoint{Sound}, 0);
    State.apply(submission(makeJob("j", {makeStep(1)})), 1);
    State.apply(start_run{{"j", 0, 0, 0}, 1, 1}, 2);
    // The odd incarnation displaced the sound one and took over its run; the
    // one without a sound one has none.
    command_batch Batch;
    Batch.Commands = {record_endpoint{makeEndpoint("e1", FarFutureMs)},
                      record_endpoint{makeEndpoint("odd", 7)}};
    auto Decoded = decodeBatch(withOddAddress(encodeBatch(Batch), Text));
    REQUIRE(Decoded);
    for (const auto &Command : Decoded->Commands)
      REQUIRE(State.apply(Command, 3) == apply_outcome::Accepted);
    auto Copy = core::capture(
        [&] { return schedule_state::restore(State.snapshot()); });
    REQUIRE(Copy.index() == 0);
    State = std::move(std::get<0>(Copy));
    REQUIRE(!State.findEndpoint("e1")->Facts.Address);

    core::metrics_registry Metrics;
    core::time_point Now{1000s};
    leader Leader({}, 5, State, Metrics, Now);
    auto Step = [&] {
      Now += 30ms;
      for (const auto &Command : Leader.takeCommands(Now, 10))
        Leader.recordApplied(Command, State.apply(Command, 10), Now);
      return Leader.takeOrders(Now);
    };
    for (int Round = 0; Round != 10; ++Round)
      CHECK(Step().empty());
    CHECK(!State.findEndpoint("odd"));
    // The sound incarnation answers and gets its run back.
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = Sound;
    Heartbeat.ClockMs = 100;
    Heartbeat.Sequence = 9;
    CHECK(Leader.recordHeartbeat(Heartbeat, Now));
    auto Orders = Step();
    REQUIRE(Orders.size() == 1);
    endpoint_answer Answer;
    Answer.Verdict = endpoint_verdict::Accepted;
    Answer.ClockMs = 101;
    Answer.IncarnationMs = 1;
    Leader.finishOrder({Orders[0].Id, Answer}, Now);
    Step();
    REQUIRE(State.findEndpoint("e1", 1));
    CHECK(State.findEndpoint("e1", 1)->Facts == Sound);
    CHECK(State.findTask({"j", 0, 0, 0})->Endpoint ==
          State.findEndpoint("e1", 1)->Number);
  }
}

TEST_CASE("a record that replaces a later start time survives encoding, and "
          "any other one has the format of earlier versions") {
  record_endpoint Record{makeEndpoint("e1", 5)};
  command_batch Batch;
  Batch.Commands = {Record};
  auto Old = nlohmann::json::from_cbor(encodeBatch(Batch));
  CHECK(Old[2].size() == 2);
  Record.Replaces = 3;
  Batch.Commands = {Record};
  auto Decoded = decodeBatch(encodeBatch(Batch));
  REQUIRE(Decoded);
  CHECK(*Decoded == Batch);
}

TEST_CASE("odd entries are logged once a minute for each sender, of a bounded "
          "number") {
  refusal_log Log;
  core::time_point Now{1s};
  CHECK(Log.isDue("e1", Now));
  CHECK(!Log.isDue("e1", Now + 59s));
  CHECK(Log.isDue("e2", Now + 59s));
  CHECK(Log.isDue("e1", Now + 60s));
  std::size_t Lines = 0;
  for (int Sender = 0; Sender != 10'000; ++Sender)
    Lines += Log.isDue(std::to_string(Sender) + std::string(5000, 'x'), Now);
  CHECK(Lines < 300);
}
