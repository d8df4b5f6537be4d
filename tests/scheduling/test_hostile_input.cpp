#include "core/invariant.h"
#include "platform/site_documents.h"
#include "platform/site_messages.h"
#include "replication/raft_node.h"
#include "schedule_fixture.h"
#include "scheduling/leader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>
#include <stdexcept>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Throws an exception for each violated invariant during a test.
class throwing_invariants {
public:
  throwing_invariants()
      : Earlier(core::setInvariantHandler([](std::string_view What) {
          throw std::runtime_error(std::string(What));
        })) {}
  ~throwing_invariants() { core::setInvariantHandler(Earlier); }

private:
  core::invariant_handler Earlier;
};

// Limits of one round of the decision loop and of the state of one job.
constexpr std::size_t MaxOrdersPerRound = 3000;
constexpr std::size_t MaxCommandsPerRound = 12'000;
constexpr std::size_t MaxTasksPerJob = 10'000;
constexpr std::size_t MaxEntryBytes = replication::MaxEntryBytes;

/// Feeds documents with extreme values through the decoders to a replicated
/// state and its leader, and answers all orders with extreme answers.
class hostile_site {
public:
  explicit hostile_site(std::uint64_t Seed) : Random(Seed) {
    leader_settings Settings;
    Settings.HasPlatform = true;
    Settings.HasAdviser = true;
    commit({set_configuration{makeConfiguration(1)}});
    Leader.emplace(Settings, 5, State, Metrics, Now);
  }

  void round() {
    Now += std::chrono::milliseconds(pick({10, 20, 100, 3000}));
    WallMs += 50;
    if (occurs(30))
      send(configuration(), "/-/config/replace");
    if (occurs(300))
      submit();
    if (occurs(300))
      send(heartbeat(), "/-/instances/" + endpointId() + "/heartbeat");
    if (occurs(20))
      send(wave(), "/-/wave-start");
    if (occurs(20))
      send({}, "/-/instances/" + endpointId() + "/deregister");
    auto Commands = Leader->takeCommands(Now, WallMs);
    REQUIRE(Commands.size() <= MaxCommandsPerRound);
    commit(Commands);
    auto Orders = Leader->takeOrders(Now);
    REQUIRE(Orders.size() <= MaxOrdersPerRound);
    for (const auto &Order : Orders)
      answer(Order);
    if (occurs(10)) {
      auto Fence = ++Term;
      Leader.emplace(leader_settings(), Fence, State, Metrics, Now);
    }
    check();
  }

  schedule_state State;
  std::uint64_t Refused = 0;
  std::uint64_t Applied = 0;

private:
  bool occurs(unsigned Thousandths) { return Random() % 1000 < Thousandths; }
  template <typename Type> Type pick(std::initializer_list<Type> Values) {
    return *(Values.begin() + Random() % Values.size());
  }

  /// \returns a number that is valid, at a limit or beyond it.
  json number() {
    return pick<json>({0,
                       1,
                       2,
                       3,
                       250,
                       9999,
                       10'000,
                       2'147'483'647,
                       2'147'483'648,
                       4'294'967'295,
                       4'294'967'297,
                       1'000'000'000'000'000,
                       INT64_MAX,
                       UINT64_MAX,
                       -1,
                       1e300,
                       nullptr,
                       "text",
                       json::array(),
                       true});
  }
  json smallNumber() { return 1 + Random() % 4; }
  json text() {
    return pick<json>({"", "a", "rack-1", std::string(1024, 'x'),
                       std::string(1025, 'x'), std::string(100'000, 'x'),
                       "\xc3\xa9\x01", 7});
  }
  std::string endpointId() {
    return pick<std::string>({"e1", "e2", "e3", "e4", "", "\xff",
                              std::string(1000, 'i'), std::string(5000, 'i')});
  }
  std::string jobId() {
    static constexpr char Digits[] = "0123456789abcdef";
    std::string Id(16, '0');
    Id[15] = Digits[Random() % 16];
    Id[14] = Digits[Random() % 4];
    return Id;
  }
  std::string taskName() {
    auto Part = [&] {
      return pick<std::string>({"0", "0", "0", "1", "2", "255", "9999",
                                "4294967295", "4294967296", "x", ""});
    };
    return jobId() + "." + Part() + "." + Part() + "." + Part();
  }

  json configuration() {
    json Route{
        {"name", "q"},      {"host", Host},       {"pathPrefix", Prefix},
        {"service", "a"},   {"timeoutMs", 3000},  {"priority", 0},
        {"maxAttempts", 2}, {"slackFactor", 1.6}, {"targetLatencyMs", 600}};
    for (const char *Field : {"priority", "maxAttempts", "slackFactor",
                              "targetLatencyMs", "timeoutMs"})
      if (occurs(200))
        Route[Field] = number();
    if (occurs(200))
      Route["advice"] = {{"decisionMs", number()},
                         {"perWorkerMs", number()},
                         {"validMs", number()}};
    return {{"version", ++Version},
            {"routes", json::array({Route})},
            {"services", {{{"name", "a"}}, {{"name", "b"}}}}};
  }

  json step(std::uint64_t Index) {
    json Step{{"count", occurs(100) ? json(200) : smallNumber()},
              {"cpu", 500},
              {"memMb", 10},
              {"estimateMs", 500}};
    for (const char *Field : {"count", "cpu", "memMb", "gpu", "estimateMs",
                              "maxPerServer", "targetMs", "mayMiss"})
      if (occurs(60))
        Step[Field] = number();
    for (const char *Field :
         {"gang", "sameRack", "longRunning", "fills", "checkpointable"})
      if (occurs(150))
        Step[Field] = true;
    for (const char *Field : {"requiredLabel", "dataRack", "image"})
      if (occurs(60))
        Step[Field] = text();
    if (Index > 0 && occurs(500))
      Step["dependsOn"] = json::array({Random() % Index});
    if (occurs(20))
      Step["dependsOn"] = json::array({number(), number()});
    return Step;
  }

  void submit() {
    json Job{{"spec", occurs(100) ? text() : json("s")}};
    auto Count = occurs(30) ? 256 : 1 + Random() % 3;
    for (std::uint64_t Index = 0; Index != Count; ++Index)
      Job["phases"].push_back(step(Index));
    // All occurrences are due at once.
    if (occurs(200))
      Job["repeatCount"] = 2'147'483'647;
    if (occurs(50))
      Job["repeatCount"] = number();
    if (occurs(50))
      Job["startAtMs"] = number();
    if (occurs(50))
      Job["intervalMs"] = number();
    http::request Request;
    Request.Method = occurs(100) ? "DELETE" : "POST";
    Request.Host = Host;
    Request.Target =
        Prefix + (occurs(20) ? std::string(6000, '\xfe') : "") + "/" + jobId();
    Request.Body = Job.dump();
    handle(Adapter.DecodeCallerCall(Request));
  }

  json heartbeat() {
    json Beat{{"service", "a"},
              {"addr", "10.0.0.1:80"},
              {"zone", "z"},
              {"state", occurs(30) ? "draining" : "ready"},
              {"capacity", {{"cpu", 16'000}, {"memMb", 32'768}}},
              {"labels", {"a", "rack-1"}},
              {"clockMs", WallMs},
              {"seq", ++Beats},
              {"born", occurs(20) ? Random() % 5 : 1}};
    for (const char *Field : {"born", "clockMs", "seq", "remainingMs"})
      if (occurs(40))
        Beat[Field] = number();
    if (occurs(50))
      Beat["capacity"] = {{"cpu", number()}, {"memMb", number()}};
    if (occurs(50))
      Beat["labels"] = json::array({text(), text()});
    return Beat;
  }

  json wave() {
    json Hosts = json::array();
    for (std::uint64_t Index = Random() % 6; Index != 0; --Index)
      Hosts.push_back("h" + std::to_string(Random() % 5));
    if (occurs(100))
      Hosts.push_back(text());
    return {{"wave", Random() % 20},
            {"machines", Hosts},
            {"deadlineS", occurs(300) ? number() : json(20)},
            {"maxCount", occurs(300) ? number() : json(1)}};
  }

  void send(const json &Body, const std::string &Path) {
    http::request Request;
    Request.Method = "POST";
    Request.Target = Path;
    Request.Body = Body.dump();
    handle(Adapter.DecodeControlCall(Request));
  }

  void handle(const decoded_call &Decoded) {
    if (!Decoded.Call) {
      ++Refused;
      checkRefusal(Decoded.Refusal);
      return;
    }
    if (const auto *Submit = std::get_if<submit_call>(&*Decoded.Call))
      commit({submit_job{Submit->HostName, Submit->Path, Submit->Job}});
    else if (const auto *Cancel = std::get_if<cancel_call>(&*Decoded.Call))
      commit({cancel_job{Cancel->HostName, Cancel->Path, Cancel->Job}});
    else if (const auto *Set = std::get_if<configure_call>(&*Decoded.Call))
      commit({set_configuration{Set->Configuration}});
    else if (const auto *Wave = std::get_if<start_wave_call>(&*Decoded.Call))
      commit({start_wave{Wave->Wave, Wave->Hosts, Wave->DeadlineMs,
                         Wave->MaxCount}});
    else if (const auto *Beat = std::get_if<heartbeat_call>(&*Decoded.Call)) {
      if (!Leader->recordHeartbeat(Beat->Heartbeat, Now))
        commit({record_endpoint{Beat->Heartbeat.Facts}});
    } else if (const auto *Left = std::get_if<deregister_call>(&*Decoded.Call))
      Leader->recordDeregistration(Left->EndpointId, Now);
  }

  /// A refused request gets an error that names the field and the value.
  static void checkRefusal(const http::response &Refusal) {
    INFO(Refusal.Body.substr(0, 300));
    REQUIRE(Refusal.Status == 400);
    auto Document = json::parse(Refusal.Body);
    CHECK_FALSE(Document.at("error").get<std::string>().empty());
    CHECK_FALSE(Document.at("field").get<std::string>().empty());
    CHECK(Refusal.Body.size() < 2000);
  }

  /// Passes commands through the log.
  void commit(const std::vector<command> &Commands) {
    for (const auto &Command : Commands) {
      command_batch Batch;
      Batch.TimeMs = WallMs;
      Batch.Commands.push_back(Command);
      auto Bytes = encodeBatch(Batch);
      REQUIRE(Bytes.size() <= MaxEntryBytes);
      auto Decoded = decodeBatch(Bytes);
      REQUIRE(Decoded);
      auto Outcome = State.apply(Decoded->Commands[0], WallMs);
      REQUIRE(Outcome != apply_outcome::Invalid);
      Applied += Outcome == apply_outcome::Accepted;
      if (Leader)
        Leader->recordApplied(Command, Outcome, Now);
    }
  }

  json runRow() {
    return pick<json>(
        {json::array({taskName(), smallNumber(), "c", Random() % 101, 5}),
         json::array({taskName(), number(), text(), number(), number()}),
         json::array({taskName()}), number(), json::object()});
  }

  /// Rows about the order's own run, so that runs progress, and others.
  json endpointBody(const order &Order) {
    json Body{{"clockMs", occurs(30) ? number() : json(WallMs)}};
    if (occurs(30))
      Body["born"] = number();
    if (occurs(30))
      Body["reason"] =
          pick<json>({"fence", "old", "late", "room", "ticket", 7});
    json Running = json::array();
    json Finished = json::array();
    auto Endpoint = State.endpoints().find(Order.Endpoint);
    if (Endpoint != State.endpoints().end())
      for (const auto &Key : Endpoint->second.Runs) {
        const auto *Task = State.findTask(Key);
        REQUIRE(Task);
        auto Name = platform::encodeTask(Key);
        if (occurs(400))
          Running.push_back(
              json::array({Name, Task->Attempt, "", Random() % 101, 3}));
        else if (occurs(500))
          Finished.push_back(json::array(
              {++Ends, Name, Task->Attempt,
               pick<std::string>({"done", "done", "done", "failed", "stopped",
                                  "lapsed", "broken", "alone", "?"}),
               "c"}));
      }
    for (std::uint64_t Count = Random() % 4; Count != 0; --Count) {
      Running.push_back(runRow());
      Finished.push_back(
          json::array({number(), taskName(), number(),
                       pick<std::string>({"done", "failed", ""}), text()}));
    }
    Body["running"] = occurs(20) ? number() : Running;
    Body["finished"] = occurs(20) ? number() : Finished;
    return Body;
  }

  json hostList() {
    json Hosts = json::array();
    for (int Number = 1; Number <= 5; ++Number)
      Hosts.push_back(
          {{"machine", "h" + std::to_string(Number)},
           {"pool", pick<std::string>({"a", "b", "?"})},
           {"state",
            pick<std::string>({"up", "up", "up", "upkeep", "moving", "?"})},
           {"id", pick<std::string>({"e" + std::to_string(Number), "", "e1"})},
           {"capacity", {{"cpu", occurs(50) ? number() : json(16000)}}},
           {"labels", {"a", 7}}});
    if (occurs(100))
      Hosts.push_back(number());
    return {{"machines", Hosts}};
  }

  void answer(const order &Order) {
    // The encoder must accept what the leader decided.
    REQUIRE_FALSE(Adapter.EncodeOrder(Order).Request.Target.empty());
    http::client_result Result;
    Result.WasSent = true;
    Result.IsComplete = !occurs(50);
    Result.Response.Status = pick<std::uint16_t>(
        {200, 200, 200, 200, 200, 200, 200, 400, 409, 421, 429, 500, 503, 0});
    json Body = Order.Endpoint != 0 ? endpointBody(Order) : hostList();
    if (std::holds_alternative<advise_order>(Order.Body))
      Body = {{"allowed", {{"e1", "t"}, {text(), text()}, {number()}}},
              {"validMs", number()}};
    Result.Response.Body = occurs(20) ? "{" : Body.dump();
    Leader->finishOrder({Order.Id, Adapter.DecodeAnswer(Order, Result)}, Now);
  }

  void check() {
    for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
      std::size_t Tasks = 0;
      for (const auto &Occurrence : State.findJob(Id)->OpenOccurrences)
        for (const auto &Step : Occurrence.Steps)
          Tasks += Step.Tasks.size();
      REQUIRE(Tasks <= MaxTasksPerJob);
    }
    if (!occurs(20))
      return;
    auto Bytes = State.snapshot();
    auto Restored =
        core::capture([&] { return schedule_state::restore(Bytes); });
    REQUIRE(Restored.index() == 0);
    REQUIRE(std::get<0>(Restored).snapshot() == Bytes);
  }

  std::mt19937_64 Random;
  core::metrics_registry Metrics;
  site_adapter Adapter = platform::makeSiteAdapter({});
  core::time_point Now{1000s};
  std::int64_t WallMs = 1'700'000'000'000;
  std::uint64_t Term = 5;
  std::uint64_t Version = 1;
  std::uint64_t Beats = 0;
  std::uint64_t Ends = 0;
  std::optional<leader> Leader;
};

} // namespace

// Guards against an input that stops or blocks each scheduler that handles it.
TEST_CASE("documents and answers with extreme values violate no invariant and "
          "cause bounded work") {
  throwing_invariants Invariants;
  auto Seed = GENERATE(range(1, 7));
  INFO("seed " << Seed);
  hostile_site Site(static_cast<std::uint64_t>(Seed));
  for (int Round = 0; Round != 250; ++Round)
    Site.round();
  CHECK(Site.Refused > 20);
  CHECK(Site.Applied > 200);
}
