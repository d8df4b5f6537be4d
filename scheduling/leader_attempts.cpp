#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <utility>

// Jobs that can never be done because a configuration lowered the attempts of
// their queue below the failures of a waiting task. Jobs fail by a command of
// their own, so that a log of earlier versions gives the state it gave then.

namespace lycheetrestle::scheduling {

namespace {

// Limit of one batch; keeps it below 64 KB.
constexpr std::size_t MaxFailedJobsPerBatch = 400;

} // namespace

void leader::noteExhausted(const job_record &Job) {
  if (!isOver(Job.State) && State.hasExhaustedTask(Job))
    ExhaustedJobs.insert(Job.Spec.Id);
}

void leader::noteExhaustedJobs() {
  for (const auto &[SubmittedMs, Id] : State.liveJobs())
    noteExhausted(*State.findJob(Id));
}

void leader::collectExhausted(std::vector<command> &Commands) {
  for (std::size_t Count = 0;
       Count != MaxFailedJobsPerBatch && !ExhaustedJobs.empty(); ++Count)
    Commands.emplace_back(fail_job{
        std::move(ExhaustedJobs.extract(ExhaustedJobs.begin()).value())});
}

} // namespace lycheetrestle::scheduling
