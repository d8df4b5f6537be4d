// Restarts one scheduler replica with a log that contains large configurations
// and the starts and ends of runs, as after a loss of power, and measures the
// replay until the replica leads. Prints the CPU time of all steps and of the
// longest one, which bounds how late a heartbeat is sent, and of each part of
// the handling of one configuration and of the state.

#include "replication/raft_node.h"
#include "scheduling/schedule_node.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <utility>
#include <vector>

DEFINE_int32(entries, 470, "entries in the log after the snapshot");
DEFINE_int32(configurations, 6, "entries among them with a configuration");
DEFINE_int32(queues, 1500, "queues of a configuration");
DEFINE_int32(text_bytes, 1 << 20, "size of a configuration's document");
DEFINE_int32(jobs, 5000, "jobs, of four tasks, in the snapshot");

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;

namespace {

constexpr int StepMs = 2;
constexpr const char *Address = "10.0.0.1";

double cpuMs() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e3 +
         static_cast<double>(Time.tv_nsec) * 1e-6;
}

template <typename Callable>
auto measured(const char *Name, Callable &&Measured) {
  auto Begin = cpuMs();
  auto Result = Measured();
  std::printf("%-24s %8.2f ms\n", Name, cpuMs() - Begin);
  return Result;
}

configuration makeConfiguration(std::uint64_t Version) {
  configuration Configuration;
  Configuration.Version = Version;
  Configuration.Pools.push_back({"pool", "", true, false});
  for (int Index = 0; Index != FLAGS_queues; ++Index) {
    queue_spec Queue;
    Queue.Name = "queue-" + std::to_string(Index);
    Queue.HostName = "site-" + std::to_string(Index % 40) + ".example";
    Queue.PathPrefix = "/queue-" + std::to_string(Index) + "/";
    Queue.Pool = "pool";
    Configuration.Queues.push_back(std::move(Queue));
  }
  Configuration.Text.assign(static_cast<std::size_t>(FLAGS_text_bytes), 'x');
  return Configuration;
}

submit_job makeSubmission(int Number) {
  submit_job Submit;
  const auto Queue = Number % FLAGS_queues;
  Submit.HostName = "site-" + std::to_string(Queue % 40) + ".example";
  Submit.Job.Id = "job" + std::to_string(1'000'000 + Number);
  Submit.Path = "/queue-" + std::to_string(Queue) + "/" + Submit.Job.Id;
  Submit.Job.Payload = std::string(150, 'x');
  step_spec Step;
  Step.Count = 4;
  Step.Size = {1000, 100, 0};
  Step.EstimateMs = 500;
  Submit.Job.Steps.push_back(Step);
  return Submit;
}

/// \returns the entry with the commands of one batch.
replication::log_entry makeEntry(std::uint64_t Index,
                                 std::vector<command> Commands) {
  replication::log_entry Entry;
  Entry.Index = Index;
  Entry.Term = 1;
  Entry.Kind = replication::entry_kind::Command;
  Entry.Payload = encodeBatch({1000, std::move(Commands)});
  return Entry;
}

void measureParts(const schedule_state &State) {
  command Set = set_configuration{makeConfiguration(1000)};
  auto Encoded =
      measured("encode configuration", [&] { return encodeCommand(Set); });
  std::vector<std::string_view> One{Encoded};
  auto Payload = encodeBatch(1000, One);
  auto Batch =
      measured("decode configuration", [&] { return decodeBatch(Payload); });
  auto Copy = State;
  measured("apply configuration",
           [&] { return Copy.apply(Batch->Commands.front(), 1000); });
  auto Bytes = measured("take snapshot", [&] { return State.snapshot(); });
  measured("restore snapshot", [&] {
    return core::capture([&] { return schedule_state::restore(Bytes); })
        .index();
  });
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  schedule_state State;
  State.apply(set_configuration{makeConfiguration(1)}, 1000);
  for (int Job = 0; Job != FLAGS_jobs; ++Job)
    State.apply(makeSubmission(Job), 1000);
  measureParts(State);

  replication::replica_id Self{Address, 1};
  replication::membership Members;
  Members.Members.push_back({Self, true});
  replication::persistent_state Persisted;
  Persisted.Hard.Term = 1;
  Persisted.Snapshot = replication::snapshot{1, 1, Members, State.snapshot()};
  auto Spacing = std::max(1, FLAGS_entries / std::max(1, FLAGS_configurations));
  int Job = FLAGS_jobs;
  for (int Entry = 0; Entry != FLAGS_entries; ++Entry) {
    auto Index = static_cast<std::uint64_t>(Entry) + 2;
    if (Entry % Spacing == 0 && Entry / Spacing < FLAGS_configurations)
      Persisted.Entries.push_back(
          makeEntry(Index, {set_configuration{makeConfiguration(Index)}}));
    else
      Persisted.Entries.push_back(makeEntry(Index, {makeSubmission(Job++)}));
  }

  core::metrics_registry Metrics;
  scheduler_settings Settings;
  Settings.Name = "replay";
  Settings.Address = Address;
  std::int64_t NowMs = 1000;
  auto Now = [&] { return core::time_point(std::chrono::milliseconds(NowMs)); };
  auto Begin = cpuMs();
  schedule_node Node(Settings, Self, std::move(Persisted), {}, Metrics, Now());
  std::printf("%-24s %8.2f ms\n", "start", cpuMs() - Begin);
  double Longest = 0;
  double All = 0;
  double AfterElection = 0;
  int Steps = 0;
  while (!Node.isLeading()) {
    NowMs += StepMs;
    auto StepBegin = cpuMs();
    Node.tick(Now());
    auto Actions = Node.takeActions(Now());
    auto Used = cpuMs() - StepBegin;
    if (Node.status().Role == replication::raft_role::Leader)
      AfterElection += Used;
    for (const auto &Write : Actions.Writes)
      Node.stored(Write.Ticket, Now());
    Longest = std::max(Longest, Used);
    All += Used;
    Steps += Used > 0.1;
  }
  std::printf("%-24s %8.2f ms\n%-24s %8.2f ms\n%-24s %8.2f ms\n%-24s %8d\n",
              "replay", All, "from the election on", AfterElection,
              "longest step", Longest, "steps above 0.1 ms", Steps);
}
