#include "core/event_log.h"
#include "scheduling/leader.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// After an end, the next list waits a little, so that ends that are close
// together share a list.
constexpr core::duration EndGathering = milliseconds(40);
// A task that was refused goes to another endpoint, or back after this time.
constexpr core::duration RefusalPause = milliseconds(150);
// Tasks without any progress for so long, and for three times their estimate,
// stand still.
constexpr core::duration MinStill = milliseconds(2500);
constexpr std::uint32_t StillEstimates = 3;

std::string_view name(endpoint_verdict Verdict) {
  switch (Verdict) {
  case endpoint_verdict::Accepted:
    return "accepted";
  case endpoint_verdict::Fenced:
    return "fenced";
  case endpoint_verdict::OldRun:
    return "old_run";
  case endpoint_verdict::LateOrder:
    return "late_order";
  case endpoint_verdict::NoRoom:
    return "no_room";
  case endpoint_verdict::BadTicket:
    return "bad_ticket";
  case endpoint_verdict::Unhealthy:
    return "unhealthy";
  case endpoint_verdict::OtherLife:
    return "other_life";
  case endpoint_verdict::BadOrder:
    return "bad_order";
  }
  return "unknown";
}

} // namespace

void leader::finished(order_result Result, core::time_point Now) {
  auto Found = Sent.find(Result.Id);
  if (Found == Sent.end())
    return;
  auto Done = std::move(Found->second);
  Sent.erase(Found);
  if (std::holds_alternative<start_order>(Done.Order.Body))
    --OpenStarts;
  if (const auto *Advise = std::get_if<advise_order>(&Done.Order.Body)) {
    finishAdvice(*Advise, Result, Now);
    return;
  }
  if (Done.Order.Endpoint == 0) {
    finishHosts(Done.Order, Result, Now);
    return;
  }
  auto Contact = Contacts.find(Done.Order.Endpoint);
  if (Contact == Contacts.end())
    return;
  touch(Contact->second);
  if (const auto *Start = std::get_if<start_order>(&Done.Order.Body))
    finishStart(Contact->second, *Start, Result, Now);
  else if (const auto *Stop = std::get_if<stop_order>(&Done.Order.Body))
    finishStop(Contact->second, *Stop, Result, Now);
  else if (const auto *Hold = std::get_if<hold_order>(&Done.Order.Body))
    finishHold(Contact->second, *Hold, Result, Done.SentAt, Now);
  else if (const auto *Pace = std::get_if<pace_order>(&Done.Order.Body)) {
    auto Run = Contact->second.Runs.find(Pace->Task);
    if (Run == Contact->second.Runs.end() ||
        Run->second.Attempt != Pace->Attempt)
      return;
    Run->second.IsOrderOpen = false;
    const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
    if (Answer && noteAnswer(Contact->second, *Answer, Now) &&
        Answer->Verdict == endpoint_verdict::Accepted)
      Run->second.PacedPercent = Pace->Percent;
  }
}

bool leader::noteAnswer(contact &Contact, const endpoint_answer &Answer,
                        core::time_point Now) {
  const auto &Facts = State.endpoints().find(Contact.Endpoint)->second.Facts;
  if (Answer.BornMs && *Answer.BornMs != Facts.BornMs &&
      Answer.Verdict != endpoint_verdict::OtherLife) {
    // The later life takes over what was ordered here when it announces
    // itself; until then nothing is known about it.
    Contact.IsReplaced = true;
    return false;
  }
  if (Answer.Verdict == endpoint_verdict::OtherLife) {
    if (Over.insert(Contact.Endpoint).second)
      core::logEvent(core::log_level::Warning, "endpoint_replaced",
                     {{"endpoint", Facts.Id}, {"born_ms", Facts.BornMs}});
    return false;
  }
  if (Answer.Verdict == endpoint_verdict::Fenced) {
    Contact.IsFenced = true;
    core::logEvent(core::log_level::Warning, "endpoint_fenced",
                   {{"endpoint", Facts.Id}, {"fence", Fence}});
    return false;
  }
  if (Contact.IsSuspect) {
    core::logEvent(core::log_level::Info, "endpoint_regained",
                   {{"endpoint", Facts.Id}});
    IsPlacementDue = true;
  }
  Contact.IsSuspect = false;
  Contact.LastAnswer = Now;
  if (Answer.ClockMs) {
    Contact.ClockMs = *Answer.ClockMs;
    Contact.ClockAt = Now;
  }
  return true;
}

void leader::noteSilence(contact &Contact, std::string_view What,
                         std::string_view Reason, core::time_point Now) {
  Metrics.add("unanswered_orders_total");
  if (Contact.IsSuspect)
    return;
  Contact.IsSuspect = true;
  Contact.NextHold = Now;
  core::logEvent(
      core::log_level::Warning, "endpoint_suspected",
      {{"endpoint", State.endpoints().find(Contact.Endpoint)->second.Facts.Id},
       {"order", What},
       {"reason", Reason},
       {"runs", Contact.Runs.size()}});
}

void leader::refuseRun(contact &Contact, const task_key &Task,
                       std::string_view Why, core::time_point Now) {
  auto &Run = Contact.Runs[Task];
  Run.IsEnded = true;
  Refused.push_back({Task, Run.Attempt, run_end::Refused, Run.Checkpoint});
  HeldBack[Task] = Now + RefusalPause;
  Metrics.add("starts_refused_total");
  core::logEvent(core::log_level::Info, "start_refused",
                 {{"job", Task.Job},
                  {"step", Task.Step},
                  {"index", Task.Index},
                  {"attempt", Run.Attempt},
                  {"endpoint", Contact.Endpoint},
                  {"reason", Why}});
}

void leader::finishStart(contact &Contact, const start_order &Order,
                         const order_result &Result, core::time_point Now) {
  auto Found = Contact.Runs.find(Order.Task);
  bool IsCurrent =
      Found != Contact.Runs.end() && Found->second.Attempt == Order.Attempt;
  if (IsCurrent)
    Found->second.IsOrderOpen = false;
  const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
  if (!Answer) {
    const auto &Silence = std::get<no_answer>(Result.Answer);
    if (IsCurrent && Silence.MayHaveRun)
      ++Found->second.LostStarts;
    noteSilence(Contact, "start", Silence.Reason, Now);
    return;
  }
  if (!noteAnswer(Contact, *Answer, Now) || !IsCurrent ||
      Found->second.Phase != run_phase::Sent)
    return;
  auto &Run = Found->second;
  switch (Answer->Verdict) {
  case endpoint_verdict::Accepted:
    Run.Phase = run_phase::Present;
    Run.KnownSince = Now;
    Run.PercentSince = Now;
    if (Order.Checkpoint.empty())
      Run.StartedAt = Now;
    return;
  case endpoint_verdict::LateOrder:
    return; // It is sent again with a lease from the clock just learnt.
  case endpoint_verdict::OldRun:
    // It ended there, and the end is in the list, or it can never start there.
    Run.Phase = run_phase::Doubtful;
    Run.KnownSince = Now;
    return;
  default:
    break;
  }
  if (Answer->Verdict == endpoint_verdict::BadTicket)
    Advice.refused(Order.Task,
                   State.endpoints().find(Contact.Endpoint)->second.Facts.Id);
  if (Answer->Verdict == endpoint_verdict::Unhealthy)
    Contact.Health.note(Order.Task.Job, false, Now);
  if (Run.LostStarts == 0) {
    refuseRun(Contact, Order.Task, name(Answer->Verdict), Now);
    return;
  }
  // An earlier copy of the order may still be carried out; a stop prevents it.
  Run.Phase = run_phase::Stopping;
  Run.NextOrder = Now;
}

void leader::finishStop(contact &Contact, const stop_order &Order,
                        const order_result &Result, core::time_point Now) {
  auto Found = Contact.Runs.find(Order.Task);
  bool IsCurrent =
      Found != Contact.Runs.end() && Found->second.Attempt == Order.Attempt;
  if (IsCurrent)
    Found->second.IsOrderOpen = false;
  const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
  if (!Answer) {
    noteSilence(Contact, "stop", std::get<no_answer>(Result.Answer).Reason,
                Now);
    return;
  }
  if (!noteAnswer(Contact, *Answer, Now) || !IsCurrent ||
      Answer->Verdict != endpoint_verdict::Accepted)
    return;
  Found->second.IsStopAcknowledged = true;
  Found->second.KnownSince = Now;
}

void leader::finishHold(contact &Contact, const hold_order &Order,
                        const order_result &Result, core::time_point SentAt,
                        core::time_point Now) {
  if (Contact.OpenHold == Result.Id)
    Contact.OpenHold.reset();
  const auto *Answer = std::get_if<endpoint_answer>(&Result.Answer);
  if (!Answer) {
    noteSilence(Contact, "hold", std::get<no_answer>(Result.Answer).Reason,
                Now);
    return;
  }
  if (!noteAnswer(Contact, *Answer, Now) ||
      Answer->Verdict != endpoint_verdict::Accepted)
    return;
  Contact.CursorSent = std::max(Contact.CursorSent, Order.Cursor);
  readLists(Contact, *Answer, SentAt, Now);
  measurePace(Contact, *Answer, Now);
}

void leader::readLists(contact &Contact, const endpoint_answer &Answer,
                       core::time_point SentAt, core::time_point Now) {
  std::set<task_key> Present;
  for (const auto &Row : Answer.Running) {
    auto Found = Contact.Runs.find(Row.Task);
    if (Found == Contact.Runs.end() || Found->second.Attempt != Row.Attempt) {
      // It was started before a loss that this leader knows of, or late.
      const auto *Task = State.findTask(Row.Task);
      bool IsOwn = Task && Task->Endpoint == Contact.Endpoint &&
                   Task->Attempt == Row.Attempt;
      if (!IsOwn)
        Contact.Strays[Row.Task] = Row.Attempt;
      continue;
    }
    auto &Run = Found->second;
    Present.insert(Row.Task);
    if (!Row.Checkpoint.empty())
      Run.Checkpoint = Row.Checkpoint;
    if (Run.Phase == run_phase::Unsent || Run.Phase == run_phase::Sent ||
        Run.Phase == run_phase::Doubtful) {
      Run.Phase = run_phase::Present;
      Run.KnownSince = SentAt;
      Run.PercentSince = Now;
    }
    if (Row.Percent != Run.Percent) {
      Run.Percent = Row.Percent;
      Run.PercentSince = Now;
      continue;
    }
    const auto &Step = State.findJob(Row.Task.Job)->Spec.Steps[Row.Task.Step];
    auto Limit = std::max<core::duration>(
        MinStill, milliseconds(StillEstimates * Step.EstimateMs));
    if (Run.Phase == run_phase::Present && Run.PacedPercent == 100 &&
        Row.Percent < 100 && Now - Run.PercentSince > Limit) {
      core::logEvent(core::log_level::Warning, "run_stands_still",
                     {{"job", Row.Task.Job},
                      {"step", Row.Task.Step},
                      {"index", Row.Task.Index},
                      {"attempt", Row.Attempt},
                      {"endpoint", Contact.Endpoint},
                      {"percent", Row.Percent}});
      Contact.Health.note(Row.Task.Job, false, Now);
      Run.Phase = run_phase::Stopping;
      Run.NextOrder = Now;
    }
  }
  bool HasEnds = false;
  Listed.push_back(Contact.Endpoint);
  for (const auto &Row : Answer.Ended) {
    Contact.EndsSeen = std::max(Contact.EndsSeen, Row.Number);
    auto Found = Contact.Runs.find(Row.Task);
    if (Found == Contact.Runs.end() || Found->second.Attempt != Row.Attempt)
      continue;
    Present.insert(Row.Task);
    if (std::exchange(Found->second.IsEnded, true))
      continue;
    HasEnds = true;
    if (Row.How == run_end::Done && Found->second.StartedAt)
      noteDuration(Row.Task, Now - *Found->second.StartedAt);
    if (Row.How == run_end::Done || Row.How == run_end::Failed)
      Contact.Health.note(Row.Task.Job, Row.How == run_end::Done, Now);
    Contact.NewEnds.push_back({Row.Task, Row.Attempt, Row.How, Row.Checkpoint});
  }
  for (auto &[Key, Run] : Contact.Runs) {
    if (Run.IsEnded || Run.IsOrderOpen || Run.KnownSince >= SentAt ||
        Present.count(Key) > 0)
      continue;
    if (Run.Phase == run_phase::Doubtful ||
        (Run.Phase == run_phase::Stopping && Run.IsStopAcknowledged))
      refuseRun(Contact, Key, "not there", Now);
    else if (Run.Phase == run_phase::Present) {
      // It should be in one of the lists. A stop makes sure that no copy of
      // its order starts it later.
      Run.Phase = run_phase::Stopping;
      Run.NextOrder = Now;
    }
  }
  Contact.NextHold = HasEnds ? Now + EndGathering : Now;
}

void leader::noteDuration(const task_key &Task, core::duration Took) {
  const auto &Job = *State.findJob(Task.Job);
  const auto &Step = Job.Spec.Steps[Task.Step];
  auto TookMs = std::chrono::duration<double, std::milli>(Took).count();
  Metrics.observe("task_ms", TookMs);
  if (!Step.IsLongRunning && Step.EstimateMs > 0)
    Durations.note(Job, Step.EstimateMs, TookMs);
}

void leader::measurePace(contact &Contact, const endpoint_answer &Answer,
                         core::time_point Now) {
  bool HasFilling = false;
  bool HasServing = false;
  double Worst = 0;
  for (const auto &Row : Answer.Running) {
    const auto *Job = State.findJob(Row.Task.Job);
    if (!Job || Row.Task.Step >= Job->Spec.Steps.size())
      continue;
    const auto &Step = Job->Spec.Steps[Row.Task.Step];
    HasFilling |= Step.FillsIdle;
    if (Step.TargetMs == 0)
      continue;
    HasServing = true;
    if (Row.Load)
      Worst = std::max(Worst, static_cast<double>(*Row.Load) / Step.TargetMs);
  }
  Contact.MayInterfere = HasFilling && HasServing;
  if (!Contact.MayInterfere)
    return;
  auto Before = Contact.Pacer.percent();
  auto Percent = Contact.Pacer.update(Worst, Now);
  if (Percent != Before)
    core::logEvent(core::log_level::Info, "endpoint_paced",
                   {{"endpoint", Contact.Endpoint},
                    {"percent", Percent},
                    {"worst_ratio", Worst}});
}

} // namespace lycheetrestle::scheduling
