// Simulates the load of a large fleet on one scheduler replica: short jobs at a
// fixed rate, long-running tasks and a maintenance wave. Prints starts and
// orders per second, the CPU cores used, the CPU time per start and the jobs
// left. Endpoints respond at once and never fail, and the platform answers
// every host operation with Busy; nothing is sent over a network.
//
// --backlog_tasks, --queues, --lengths_per_s and --host_milli_cores play a
// leader after an outage: many tasks wait, few can be placed, the configuration
// is large, and callers ask for the length of their queue. The load of the
// incident is --backlog_tasks=15000 --queues=1500 --lengths_per_s=100
// --jobs_per_s=38 --tasks=4 --host_milli_cores=18600 --long_jobs=30. Also
// prints the CPU time of the longest step, which bounds how late a heartbeat is
// sent.

#include "core/event_log.h"
#include "scheduling/schedule_node.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

DEFINE_int32(endpoints, 350,
             "number of endpoints, distributed evenly over the pools");
DEFINE_int32(jobs_per_s, 90, "jobs per second");
DEFINE_int32(seconds, 10, "simulated seconds under load");
DEFINE_int32(tasks, 8, "tasks per step");
DEFINE_int32(steps, 2, "steps per job");
DEFINE_int32(long_jobs, 40, "number of jobs with long-running tasks");
DEFINE_int32(long_tasks, 24, "tasks of each long-running job");
DEFINE_int32(backlog_tasks, 0, "short tasks that wait when the load begins");
DEFINE_int32(queues, 4, "number of queues in the configuration");
DEFINE_int32(lengths_per_s, 0, "queue length calls per second");
DEFINE_int32(host_milli_cores, 64'000, "cores of one endpoint, in thousandths");
DEFINE_bool(wave, true, "run a maintenance wave over two fifths of the hosts");
DEFINE_bool(log, false, "format log events, as the daemon does, to /dev/null");

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;

namespace {

constexpr int StepMs = 2;
constexpr int HeartbeatMs = 1500;
constexpr int PoolCount = 4;
constexpr std::uint32_t TaskMilliCores = 6200;
constexpr double MeanTaskMs = 640;
constexpr const char *Address = "10.0.0.1";

double cpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

struct load_endpoint {
  endpoint_facts Facts;
  std::uint64_t Sequence = 0;
  std::uint64_t LastEnd = 0;
  std::map<task_key, std::uint32_t> Running;
  std::vector<end_row> Ends;
  std::uint64_t OpenPoll = 0;
  std::int64_t PollUntilMs = 0;
};

struct run_finish {
  std::int64_t AtMs = 0;
  std::size_t Endpoint = 0;
  task_key Task;
  bool operator>(const run_finish &Other) const { return AtMs > Other.AtMs; }
};

class load_simulation {
public:
  load_simulation() : Node(makeNode()) {
    for (int Index = 0; Index != FLAGS_endpoints; ++Index) {
      auto &Endpoint = Endpoints.emplace_back();
      Endpoint.Facts.Id = "i-" + std::to_string(100'000 + Index);
      Endpoint.Facts.IncarnationMs = 1;
      Endpoint.Facts.Address = core::network_address::parse(
          "10.1." + std::to_string(Index / 256) + "." +
          std::to_string(Index % 256) + ":80");
      Endpoint.Facts.Pool = pool(Index % (PoolCount + 1));
      Endpoint.Facts.Zone = "z";
      Endpoint.Facts.Capacity = {
          static_cast<std::uint32_t>(FLAGS_host_milli_cores), 1'000'000, 0};
      Endpoint.Facts.Rack = "r" + std::to_string(Index / 20);
      ByAddress[core::toText(Endpoint.Facts.Address)] = Endpoints.size() - 1;
    }
  }

  void simulate() {
    while (!Node.isLeading())
      step(false);
    call(configure_call{makeConfiguration()});
    for (int Ms = 0; Ms < 2000; Ms += StepMs)
      step(false);
    submitLongRunning();
    if (FLAGS_wave)
      startWave();
    for (int Ms = 0; Ms < 1000; Ms += StepMs)
      step(false);
    submitBacklog();
    LongestStep = 0;
    auto Before = Cpu;
    auto StartsBefore = Starts;
    for (int Ms = 0; Ms < FLAGS_seconds * 1000; Ms += StepMs)
      step(true);
    auto Used = Cpu - Before;
    auto Ran = static_cast<double>(Starts - StartsBefore);
    std::printf("endpoints %d  starts/s %.0f  orders/s %.0f  cores %.3f  "
                "us a start %.0f  live jobs at the end %zu  "
                "us a step %.0f  longest step us %.0f\n",
                FLAGS_endpoints, Ran / FLAGS_seconds,
                static_cast<double>(Orders) / FLAGS_seconds,
                Used / FLAGS_seconds, Used / Ran * 1e6,
                Node.state().liveJobs().size(),
                Used / FLAGS_seconds * StepMs * 1e3, LongestStep * 1e6);
  }

private:
  static std::string pool(int Index) { return "pool" + std::to_string(Index); }

  static configuration makeConfiguration() {
    configuration Configuration;
    Configuration.Version = 1;
    for (int Index = 0; Index <= PoolCount; ++Index)
      Configuration.Pools.push_back(
          {pool(Index), "", true, Index == PoolCount});
    for (int Index = 0; Index != FLAGS_queues; ++Index) {
      queue_spec Queue;
      Queue.Name = "q" + std::to_string(Index);
      Queue.HostName = "h";
      Queue.PathPrefix = "/q" + std::to_string(Index) + "/";
      Queue.Pool = pool(Index % PoolCount);
      Queue.MaxAttempts = 3;
      Queue.TargetLatencyMs = 600;
      Queue.SlackThousandths = 1600;
      Configuration.Queues.push_back(Queue);
    }
    return Configuration;
  }

  schedule_node makeNode() {
    scheduler_settings Settings;
    Settings.Name = "load";
    Settings.Address = Address;
    Settings.Leader.HasPlatform = true;
    replication::replica_id Self{Address, 1};
    replication::membership Initial;
    Initial.Members.push_back({Self, true});
    return {Settings, Self, {}, Initial, Metrics, now()};
  }

  core::time_point now() const {
    return core::time_point(std::chrono::milliseconds(NowMs));
  }

  void call(call_body Body) {
    Node.handle({++LastCall, std::move(Body)}, now());
  }

  void step(bool IsLoaded) {
    NowMs += StepMs;
    finishRuns();
    for (std::size_t Index = 0; Index != Endpoints.size(); ++Index)
      answerPoll(Endpoints[Index]);
    auto Begin = cpuSeconds();
    for (std::size_t Index = 0; Index != Endpoints.size(); ++Index)
      if ((NowMs + static_cast<std::int64_t>(Index) * StepMs) % HeartbeatMs <
          StepMs)
        sendHeartbeat(Endpoints[Index]);
    if (IsLoaded)
      submit();
    if (IsLoaded)
      requestLengths();
    for (auto &Answer : std::exchange(Answers, {}))
      Node.orderFinished(std::move(Answer), now());
    Node.tick(now());
    auto Actions = Node.takeActions(now());
    for (const auto &Write : Actions.Writes)
      Node.stored(Write.Ticket, now());
    auto Used = cpuSeconds() - Begin;
    Cpu += Used;
    LongestStep = std::max(LongestStep, Used);
    Orders += IsLoaded ? Actions.Orders.size() : 0;
    for (const auto &Order : Actions.Orders)
      execute(Order);
  }

  void sendHeartbeat(load_endpoint &Endpoint) {
    endpoint_heartbeat Heartbeat;
    Heartbeat.Facts = Endpoint.Facts;
    Heartbeat.Sequence = ++Endpoint.Sequence;
    Heartbeat.ClockMs = static_cast<std::uint64_t>(NowMs);
    call(heartbeat_call{std::move(Heartbeat)});
  }

  void submit() {
    Backlog += FLAGS_jobs_per_s * StepMs / 1000.0;
    for (; Backlog >= 1; Backlog -= 1)
      submitShort();
  }

  /// Submits the backlog at a rate that the queue of proposals takes.
  void submitBacklog() {
    constexpr int JobsPerStep = 20;
    auto Left = FLAGS_backlog_tasks / FLAGS_tasks;
    while (Left > 0) {
      for (int Job = 0; Job != JobsPerStep && Left > 0; ++Job, --Left)
        submitShort();
      step(false);
    }
  }

  void submitShort() {
    job_spec Job;
    Job.Id = "job" + std::to_string(1'000'000'000 + ++Jobs);
    Job.Payload = std::string(150, 'x');
    std::lognormal_distribution<double> Spread(-0.125, 0.5);
    for (int Index = 0; Index != FLAGS_steps; ++Index) {
      step_spec Step;
      Step.Count = static_cast<std::uint32_t>(FLAGS_tasks);
      Step.Size = {TaskMilliCores, 100, 0};
      Step.EstimateMs = static_cast<std::uint32_t>(MeanTaskMs * Spread(Random));
      if (Index > 0)
        Step.DependsOn = {static_cast<std::uint32_t>(Index - 1)};
      Job.Steps.push_back(Step);
    }
    auto Path = queuePath(Jobs) + Job.Id;
    call(submit_call{"h", Path, std::move(Job)});
  }

  static std::string queuePath(std::uint64_t Number) {
    return "/q" +
           std::to_string(Number % static_cast<std::uint64_t>(FLAGS_queues)) +
           "/";
  }

  void requestLengths() {
    Lengths += FLAGS_lengths_per_s * StepMs / 1000.0;
    for (; Lengths >= 1; Lengths -= 1)
      call(queue_length_call{"h", queuePath(++LengthCalls)});
  }

  void submitLongRunning() {
    for (int Index = 0; Index != FLAGS_long_jobs; ++Index) {
      job_spec Job;
      Job.Id = "long" + std::to_string(1'000'000'000 + Index);
      step_spec Step;
      Step.Count = static_cast<std::uint32_t>(FLAGS_long_tasks);
      Step.Size = {TaskMilliCores, 100, 0};
      Step.IsLongRunning = true;
      Step.MaxPerEndpoint = 1;
      Step.MaxUnavailable = 2;
      Job.Steps.push_back(Step);
      auto Path = "/q" + std::to_string(Index % PoolCount) + "/" + Job.Id;
      call(submit_call{"h", Path, std::move(Job)});
    }
  }

  void startWave() {
    start_wave_call Wave{1, {}, 26'000, 56};
    for (std::size_t Index = 0; Index < Endpoints.size() * 2 / 5; ++Index)
      Wave.Hosts.push_back("m-" + Endpoints[Index].Facts.Id);
    call(std::move(Wave));
  }

  void finishRuns() {
    while (!Finishes.empty() && Finishes.top().AtMs <= NowMs) {
      auto Finish = Finishes.top();
      Finishes.pop();
      auto &Endpoint = Endpoints[Finish.Endpoint];
      auto Run = Endpoint.Running.find(Finish.Task);
      if (Run == Endpoint.Running.end())
        continue;
      Endpoint.Ends.push_back(
          {++Endpoint.LastEnd, Finish.Task, Run->second, run_end::Done, ""});
      Endpoint.Running.erase(Run);
    }
  }

  endpoint_answer answer(const load_endpoint &Endpoint) const {
    endpoint_answer Answer;
    Answer.Verdict = endpoint_verdict::Accepted;
    Answer.ClockMs = static_cast<std::uint64_t>(NowMs);
    Answer.IncarnationMs = Endpoint.Facts.IncarnationMs;
    return Answer;
  }

  void answerPoll(load_endpoint &Endpoint) {
    if (Endpoint.OpenPoll == 0 ||
        (Endpoint.Ends.empty() && NowMs < Endpoint.PollUntilMs))
      return;
    auto Answer = answer(Endpoint);
    for (const auto &[Task, Attempt] : Endpoint.Running)
      Answer.Running.push_back({Task, Attempt, "", 100, std::nullopt});
    Answer.Ended = Endpoint.Ends;
    Answers.push_back({std::exchange(Endpoint.OpenPoll, 0), std::move(Answer)});
  }

  void execute(const order &Order) {
    if (std::holds_alternative<list_hosts_order>(Order.Body)) {
      hosts_answer Page;
      for (const auto &Endpoint : Endpoints)
        Page.Hosts.push_back({"m-" + Endpoint.Facts.Id,
                              Endpoint.Facts.Pool,
                              host_state::Up,
                              "z",
                              {},
                              Endpoint.Facts.Capacity,
                              Endpoint.Facts.Id});
      Answers.push_back({Order.Id, std::move(Page)});
      return;
    }
    if (Order.Endpoint == 0) {
      Answers.push_back({Order.Id, host_verdict::Busy});
      return;
    }
    auto Index = ByAddress.find(core::toText(Order.Address))->second;
    auto &Endpoint = Endpoints[Index];
    if (const auto *Start = std::get_if<start_order>(&Order.Body)) {
      ++Starts;
      Endpoint.Running[Start->Task] = Start->Attempt;
      std::exponential_distribution<double> Spread(1 / MeanTaskMs);
      bool IsLong = Start->Task.Job.starts_with("long");
      if (!IsLong)
        Finishes.push({NowMs + static_cast<std::int64_t>(Spread(Random)), Index,
                       Start->Task});
      Answers.push_back({Order.Id, answer(Endpoint)});
      return;
    }
    if (const auto *Poll = std::get_if<poll_order>(&Order.Body)) {
      std::erase_if(Endpoint.Ends, [&](const end_row &End) {
        return End.Number <= Poll->Cursor;
      });
      Endpoint.OpenPoll = Order.Id;
      Endpoint.PollUntilMs = NowMs + Poll->WaitMs;
      return;
    }
    Answers.push_back({Order.Id, answer(Endpoint)});
  }

  std::mt19937_64 Random{1};
  core::metrics_registry Metrics;
  std::int64_t NowMs = 1000;
  schedule_node Node;
  std::vector<load_endpoint> Endpoints;
  std::map<std::string, std::size_t> ByAddress;
  std::priority_queue<run_finish, std::vector<run_finish>, std::greater<>>
      Finishes;
  std::vector<order_result> Answers;
  std::uint64_t LastCall = 0;
  std::uint64_t Jobs = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Orders = 0;
  std::uint64_t LengthCalls = 0;
  double Backlog = 0;
  double Lengths = 0;
  double Cpu = 0;
  double LongestStep = 0; ///< CPU seconds.
};

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (FLAGS_log)
    core::initializeLog("/dev/null", core::log_level::Info, "load");
  load_simulation Simulation;
  Simulation.simulate();
}
