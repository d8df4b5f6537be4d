#include "scheduling/rank_cache.h"

#include <algorithm>
#include <iterator>

namespace lycheetrestle::scheduling {

namespace {

constexpr std::int64_t RefreshMs = 500;
// Longer than any interval between two rounds of placement.
constexpr std::int64_t RetentionMs = 3000;

std::uint32_t doneTasks(const occurrence_record &Occurrence) {
  std::uint32_t Done = 0;
  for (const auto &Step : Occurrence.Steps)
    Done += Step.Done;
  return Done;
}

} // namespace

cached_rank rank_cache::find(const job_record &Job,
                             const occurrence_record &Occurrence,
                             const queue_spec *Queue, std::int64_t NowMs) {
  auto &List = Entries[Job.Spec.Id];
  auto Found = std::find_if(List.begin(), List.end(), [&](const entry &Entry) {
    return Entry.Occurrence == Occurrence.Number;
  });
  auto Done = doneTasks(Occurrence);
  if (Found == List.end()) {
    Found = List.emplace(List.end());
    Found->Occurrence = Occurrence.Number;
  } else if (Found->Done == Done && NowMs - Found->RankedMs < RefreshMs &&
             NowMs >= Found->RankedMs) {
    Found->UsedMs = NowMs;
    auto Rank = Found->Rank;
    if (Rank.Group != LongRunningGroup)
      Rank.Group = groupAt(Rank, NowMs);
    return {Rank, Found->RankedMs + RefreshMs};
  }
  Found->Done = Done;
  Found->RankedMs = NowMs;
  Found->UsedMs = NowMs;
  Found->Rank =
      scheduling::rankOf(Job, Occurrence, Queue, Durations.modelOf(Job), NowMs);
  return {Found->Rank, NowMs + RefreshMs};
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
