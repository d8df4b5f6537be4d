#include "scheduling/rank_book.h"

#include <algorithm>
#include <iterator>

namespace lycheetrestle::scheduling {

namespace {

constexpr std::int64_t RefreshMs = 500;
// Longer than any pause between two rounds of placement.
constexpr std::int64_t KeepMs = 3000;

std::uint32_t doneTasks(const occurrence_record &Occurrence) {
  std::uint32_t Done = 0;
  for (const auto &Step : Occurrence.Steps)
    Done += Step.Done;
  return Done;
}

} // namespace

job_rank rank_book::rankOf(const job_record &Job,
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
    Found->AskedMs = NowMs;
    auto Rank = Found->Rank;
    if (Rank.Group != 0)
      Rank.Group = groupAt(Rank, NowMs);
    return Rank;
  }
  Found->Done = Done;
  Found->RankedMs = NowMs;
  Found->AskedMs = NowMs;
  Found->Rank =
      scheduling::rankOf(Job, Occurrence, Queue, Durations.modelOf(Job), NowMs);
  return Found->Rank;
}

void rank_book::prune(std::int64_t NowMs) {
  for (auto Item = Entries.begin(); Item != Entries.end();) {
    std::erase_if(Item->second, [&](const entry &Entry) {
      return NowMs - Entry.AskedMs > KeepMs;
    });
    Item = Item->second.empty() ? Entries.erase(Item) : std::next(Item);
  }
}

} // namespace lycheetrestle::scheduling
