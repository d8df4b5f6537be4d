#include "scheduling/waiting_index.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <variant>

namespace lycheetrestle::scheduling {

namespace {

/// Calls Visit with each waiting step of the job and the cached rank of its
/// occurrence.
template <typename Callable>
void visitWaitingSteps(const schedule_state &State, const job_record &Job,
                       rank_cache &Ranks, std::int64_t NowMs,
                       Callable &&Visit) {
  for (const auto &Occurrence : Job.OpenOccurrences) {
    std::optional<cached_rank> Rank;
    for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
      if (!hasWaitingTask(Job.Spec, Occurrence, Step))
        continue;
      if (!Rank)
        Rank = Ranks.find(Job, Occurrence, State.queueOf(Job), NowMs);
      Visit(*Rank, waiting_step{Rank->Rank, &Job, &Occurrence, Step});
    }
  }
}

} // namespace

bool waiting_index::indexed_step::operator<(const indexed_step &Other) const {
  return std::tie(Rank, SubmittedMs, Job, Occurrence, Step.Step) <
         std::tie(Other.Rank, Other.SubmittedMs, Other.Job, Other.Occurrence,
                  Other.Step.Step);
}

void waiting_index::recordApplied(const command &Command) {
  if (const auto *Submit = std::get_if<submit_job>(&Command))
    Changed.insert(Submit->Job.Id);
  else if (const auto *Cancel = std::get_if<cancel_job>(&Command))
    Changed.insert(Cancel->Job);
  else if (const auto *Open = std::get_if<open_occurrence>(&Command))
    Changed.insert(Open->Job);
  else if (const auto *Start = std::get_if<start_run>(&Command))
    Changed.insert(Start->Task.Job);
  else if (const auto *End = std::get_if<end_run>(&Command))
    Changed.insert(End->Task.Job);
  else if (!std::holds_alternative<record_host>(Command) &&
           !std::holds_alternative<record_contact>(Command) &&
           !std::holds_alternative<start_wave>(Command) &&
           !std::holds_alternative<order_maintenance>(Command) &&
           !std::holds_alternative<record_maintenance>(Command))
    // A configuration, or the end of an incarnation with any runs. These are
    // rare compared to rounds of placement.
    IsStale = true;
}

void waiting_index::update(std::int64_t NowMs) {
  // Ranks that were computed at a later time are computed again.
  if (IsStale || NowMs < UpdatedMs) {
    rebuild(NowMs);
    return;
  }
  UpdatedMs = NowMs;
  for (auto Job = Due.begin(); Job != Due.end() && Job->first <= NowMs; ++Job)
    Changed.insert(Job->second);
  auto Examined = std::exchange(Changed, {});
  // No step with outdated pointers is left when the first one is inserted.
  for (const auto &Id : Examined)
    erase(Id);
  for (const auto &Id : Examined)
    insert(Id, NowMs);
}

void waiting_index::rebuild(std::int64_t NowMs) {
  Pools.clear();
  Jobs.clear();
  Due.clear();
  Changed.clear();
  IsStale = false;
  UpdatedMs = NowMs;
  for (const auto &[SubmittedMs, Id] : State.liveJobs())
    insert(Id, NowMs);
}

void waiting_index::erase(const std::string &Id) {
  auto Found = Jobs.find(Id);
  if (Found == Jobs.end())
    return;
  auto Pool = Pools.find(Found->second.Pool);
  for (auto Step : Found->second.Steps)
    Pool->second.erase(Step);
  if (Pool->second.empty())
    Pools.erase(Pool);
  Due.erase({Found->second.DueMs, Id});
  Jobs.erase(Found);
}

void waiting_index::insert(const std::string &Id, std::int64_t NowMs) {
  ++ExaminedJobs;
  const auto *Job = State.findJob(Id);
  if (!Job || isOver(Job->State))
    return;
  job_entry Entry;
  Entry.DueMs = std::numeric_limits<std::int64_t>::max();
  visitWaitingSteps(
      State, *Job, Ranks, NowMs,
      [&](const cached_rank &Cached, const waiting_step &Step) {
        Entry.DueMs = std::min(Entry.DueMs, Cached.RefreshMs);
        // The occurrence is late from the next millisecond on.
        if (Cached.Rank.Group == InTimeGroup)
          Entry.DueMs = std::min(Entry.DueMs, Cached.Rank.LatestStartMs + 1);
        Entry.Steps.push_back(Pools[Job->Pool]
                                  .insert({Cached.Rank, Job->SubmittedMs, Id,
                                           Step.Occurrence->Number, Step})
                                  .first);
      });
  if (Entry.Steps.empty())
    return;
  Entry.Pool = Job->Pool;
  Due.emplace(Entry.DueMs, Id);
  Jobs.emplace(Id, std::move(Entry));
}

std::vector<waiting_step>
waiting_index::stepsOf(const std::set<std::string> &JobIds) const {
  std::vector<step_set::iterator> Found;
  for (const auto &Id : JobIds)
    if (auto Job = Jobs.find(Id); Job != Jobs.end())
      Found.insert(Found.end(), Job->second.Steps.begin(),
                   Job->second.Steps.end());
  std::sort(Found.begin(), Found.end(),
            [](auto Left, auto Right) { return *Left < *Right; });
  std::vector<waiting_step> Result;
  Result.reserve(Found.size());
  for (auto Step : Found)
    Result.push_back(Step->Step);
  return Result;
}

} // namespace lycheetrestle::scheduling
