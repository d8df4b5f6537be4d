#include "scheduling/queue_load.h"

#include "scheduling/job_order.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace lycheetrestle::scheduling {

namespace {

// Jobs that a job is compared with: the largest tenth has 25 of them.
constexpr std::size_t ComparedJobs = 256;
// Jobs between updates of the limits between the sizes.
constexpr std::size_t UpdateInterval = 32;
// Waiting steps of a pool that one take() counts; bounds its processor time.
constexpr std::size_t MaxCountedSteps = 10'000;

bool isCounted(const job_record &Job) { return !hasLongRunningStep(Job.Spec); }

queue_load_counter::queue_key keyOf(const job_record &Job) {
  return {Job.QueueHost, Job.QueuePrefix};
}

} // namespace

void job_size_classifier::record(double Work) {
  if (Newest.size() < ComparedJobs) {
    Newest.push_back(Work);
  } else {
    Newest[Next] = Work;
    Next = (Next + 1) % ComparedJobs;
  }
  if (++SinceUpdate >= UpdateInterval)
    update();
}

void job_size_classifier::update() {
  SinceUpdate = 0;
  auto Sorted = Newest;
  std::sort(Sorted.begin(), Sorted.end(), std::greater<>());
  LargestTenthFrom = Sorted[Sorted.size() / 10];
  NextFifthFrom = Sorted[Sorted.size() * 3 / 10];
}

job_size job_size_classifier::classify(double Work) const {
  if (Work > LargestTenthFrom)
    return job_size::LargestTenth;
  return Work > NextFifthFrom ? job_size::NextFifth : job_size::Small;
}

std::uint64_t size_counts::total() const {
  return std::accumulate(BySize.begin(), BySize.end(), std::uint64_t(0));
}

std::string size_counts::text() const {
  std::string Text;
  for (auto Count : BySize) {
    if (!Text.empty())
      Text += '/';
    Text += std::to_string(Count);
  }
  return Text;
}

double queue_load_counter::workOf(const job_record &Job) const {
  return workCoreSeconds(Job.Spec, Durations.modelOf(Job));
}

job_size queue_load_counter::sizeOf(const job_record &Job) const {
  auto Found = Classifiers.find(keyOf(Job));
  return Found == Classifiers.end() ? job_size::Small
                                    : Found->second.classify(workOf(Job));
}

queue_load *queue_load_counter::find(const job_record &Job) {
  if (!isCounted(Job))
    return nullptr;
  auto &Load = Loads[keyOf(Job)];
  Load.Pool = Job.Pool;
  return &Load;
}

void queue_load_counter::recordAccepted(const job_record &Job) {
  if (auto *Load = find(Job)) {
    Load->AcceptedJobs.add(sizeOf(Job));
    Classifiers[keyOf(Job)].record(workOf(Job));
  }
}

void queue_load_counter::recordStart(const job_record &Job) {
  if (auto *Load = find(Job))
    Load->StartedTasks.add(sizeOf(Job));
}

void queue_load_counter::recordCompleted(const job_record &Job) {
  if (auto *Load = find(Job))
    Load->CompletedJobs.add(sizeOf(Job));
}

std::map<queue_load_counter::queue_key, queue_load>
queue_load_counter::take(const waiting_index &Waiting, std::int64_t NowMs) {
  for (const auto &[Pool, Steps] : Waiting.pools()) {
    std::size_t Counted = 0;
    for (const auto &Indexed : Steps) {
      if (++Counted > MaxCountedSteps)
        break;
      const auto &Job = *Indexed.Step.Job;
      auto *Load = find(Job);
      if (!Load)
        continue;
      const auto &Tasks =
          Indexed.Step.Occurrence->Steps[Indexed.Step.Step].Tasks;
      auto Count = static_cast<std::uint64_t>(std::count_if(
          Tasks.begin(), Tasks.end(),
          [](const task_record &Task) { return Task.isWaiting(); }));
      Load->WaitingTasks.add(sizeOf(Job), Count);
      if (Job.Spec.RepeatCount == 0)
        Load->OldestWaitMs =
            std::max(Load->OldestWaitMs, NowMs - Job.SubmittedMs);
    }
  }
  return std::exchange(Loads, {});
}

} // namespace lycheetrestle::scheduling
