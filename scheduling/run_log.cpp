#include "scheduling/run_log.h"

#include "core/event_log.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

// Runs in one line; a line has at most about a kilobyte.
constexpr std::size_t MaxRunsPerLine = 64;

} // namespace

void run_log::recordStart(const start_run &Start, std::string_view Result) {
  Starts.push_back({Start.Task, Start.Attempt, Start.Endpoint, "", Result});
}

void run_log::recordEnd(const end_run &End, std::uint32_t Endpoint,
                        std::string_view JobState, std::string_view Result) {
  if (End.Outcome == run_end::Done) {
    Done.push_back({End.Task, End.Attempt, Endpoint, JobState, Result});
    return;
  }
  core::logEvent(core::log_level::Info, "run_ended",
                 {{"job", End.Task.Job},
                  {"occurrence", End.Task.Occurrence},
                  {"step", End.Task.Step},
                  {"index", End.Task.Index},
                  {"attempt", End.Attempt},
                  {"endpoint", Endpoint},
                  {"how", toText(End.Outcome)},
                  {"job_state", JobState},
                  {"result", Result}});
}

void run_log::flush() {
  write("run_assigned", std::exchange(Starts, {}));
  write("run_ended", std::exchange(Done, {}));
}

void run_log::write(std::string_view Event, std::vector<entry> Entries) {
  auto Group = [](const entry &Entry) {
    return std::tie(Entry.Task.Job, Entry.Task.Occurrence, Entry.Task.Step,
                    Entry.Result);
  };
  std::stable_sort(Entries.begin(), Entries.end(),
                   [&](const entry &Left, const entry &Right) {
                     return Group(Left) < Group(Right);
                   });
  for (auto First = Entries.begin(); First != Entries.end();) {
    std::string Runs;
    std::size_t Count = 0;
    auto Next = First;
    for (; Next != Entries.end() && Count != MaxRunsPerLine &&
           Group(*Next) == Group(*First);
         ++Next, ++Count) {
      if (Count > 0)
        Runs += ',';
      Runs += std::to_string(Next->Task.Index) + ":" +
              std::to_string(Next->Attempt) + "@" +
              std::to_string(Next->Endpoint);
    }
    const auto &Task = First->Task;
    const auto &Newest = *std::prev(Next);
    if (Newest.JobState.empty())
      core::logEvent(core::log_level::Info, Event,
                     {{"job", Task.Job},
                      {"occurrence", Task.Occurrence},
                      {"step", Task.Step},
                      {"runs", Runs},
                      {"result", First->Result}});
    else
      core::logEvent(core::log_level::Info, Event,
                     {{"job", Task.Job},
                      {"occurrence", Task.Occurrence},
                      {"step", Task.Step},
                      {"runs", Runs},
                      {"how", toText(run_end::Done)},
                      {"job_state", Newest.JobState},
                      {"result", First->Result}});
    First = Next;
  }
}

} // namespace lycheetrestle::scheduling
