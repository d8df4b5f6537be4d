#include "scheduling/rank_cache.h"

#include <algorithm>
#include <iterator>

namespace lycheetrestle::scheduling {

namespace {

// Much longer than a task waits that can still be in time.
constexpr std::int64_t RetentionMs = 10'000;

std::uint32_t doneTasks(const occurrence_record &Occurrence) {
  std::uint32_t Done = 0;
  for (const auto &Step : Occurrence.Steps)
    Done += Step.Done;
  return Done;
}

} // namespace

rank_cache::queue_terms rank_cache::termsOf(const queue_spec *Queue) {
  if (!Queue)
    return {};
  return {Queue->Priority, Queue->SlackThousandths, Queue->TargetLatencyMs,
          true};
}

job_rank rank_cache::rankOf(const job_record &Job,
                            const occurrence_record &Occurrence,
                            const queue_spec *Queue, std::int64_t NowMs) {
  auto &List = Entries[Job.Spec.Id];
  auto Found = std::find_if(List.begin(), List.end(), [&](const entry &Entry) {
    return Entry.Occurrence == Occurrence.Number;
  });
  auto Done = doneTasks(Occurrence);
  const auto &Model = Durations.modelOf(Job);
  auto Terms = termsOf(Queue);
  if (Found == List.end()) {
    Found = List.emplace(List.end());
    Found->Occurrence = Occurrence.Number;
  } else if (Found->Done == Done && Found->Terms == Terms &&
             Found->Revision == Model.revision() && NowMs >= Found->RankedMs) {
    Found->UsedMs = NowMs;
    auto Rank = Found->Rank;
    if (Rank.Group != LongRunningGroup)
      Rank.Group = groupAt(Rank, NowMs);
    return Rank;
  }
  Found->Done = Done;
  Found->Terms = Terms;
  Found->Revision = Model.revision();
  Found->RankedMs = NowMs;
  Found->UsedMs = NowMs;
  Found->Rank = scheduling::rankOf(Job, Occurrence, Queue, Model, NowMs);
  return Found->Rank;
}

void rank_cache::prune(std::int64_t NowMs) {
  for (auto Item = Entries.begin(); Item != Entries.end();) {
    std::erase_if(Item->second, [&](const entry &Entry) {
      return NowMs - Entry.UsedMs > RetentionMs;
    });
    Item = Item->second.empty() ? Entries.erase(Item) : std::next(Item);
  }
}

} // namespace lycheetrestle::scheduling
