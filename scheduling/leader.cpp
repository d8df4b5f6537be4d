#include "scheduling/leader.h"

#include "core/event_log.h"
#include "scheduling/job_order.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Missed announcements after which an endpoint gets no new work. One may be
// lost or late; two in a row point at a fault.
constexpr int MissedBeats = 3;
// An endpoint that is silent for so long and has no runs is forgotten.
constexpr core::duration ForgetAfter = std::chrono::seconds(30);
// Starts in one log entry. It keeps an entry under 64 KB.
constexpr std::size_t MaxStartsPerBatch = 400;
// Start orders under way at once. It bounds the time that an order waits in
// this process to a fraction of its time-out, so that a peak beyond what one
// process can send lowers the rate of starts instead of making all of them time
// out. At 1,200 starts a second and 20 ms for an answer about 25 are under way.
constexpr std::size_t MaxOpenStarts = 256;
// Ranks change with time even when nothing happens.
constexpr core::duration PlacementInterval = milliseconds(100);
// News that arrives within this time shares a round of placement. It is short
// against the objectives of callers, and a round over a backlog is costly.
constexpr core::duration PlacementPause = milliseconds(15);
constexpr core::duration LostCheckInterval = milliseconds(20);
constexpr core::duration PruneInterval = std::chrono::seconds(2);
// An endpoint that leaves ends its tasks within this time.
constexpr core::duration LeaveMargin = milliseconds(300);
constexpr core::duration TickInterval = milliseconds(20);
// Orders of one leadership fit into so many bits: at 10,000 a second it would
// last three years.
constexpr unsigned OrderBits = 40;

} // namespace

leader::leader(leader_settings Settings, std::uint64_t Fence,
               const schedule_state &State, core::metrics_registry &Metrics,
               core::time_point Now)
    : Settings(Settings), Fence(Fence), State(State), Metrics(Metrics),
      StartedAt(Now), LastOrder(Fence << OrderBits) {
  adoptRuns(Now);
}

contact &leader::contactOf(std::uint32_t Endpoint, core::time_point Now) {
  auto [Found, IsNew] = Contacts.try_emplace(Endpoint);
  if (IsNew) {
    Found->second.Endpoint = Endpoint;
    Found->second.LastBeat = Now;
    Touched.push_back(Endpoint);
  }
  return Found->second;
}

void leader::adoptRuns(core::time_point Now) {
  for (const auto &[Number, Endpoint] : State.endpoints()) {
    auto &Contact = contactOf(Number, Now);
    // An earlier leader may have issued a whole lease just before it lost
    // its place; an endpoint's clock may be 2 % slow.
    Contact.LeaseOver =
        Now + Settings.EarlierLeader + Settings.Lease * 103 / 100;
    for (const auto &Key : Endpoint.Runs) {
      Contact.Runs[Key].Attempt = State.findTask(Key)->Attempt;
      RunAt[Key] = Number;
    }
  }
  for (const auto &[Id, Job] : State.jobs())
    if (isOver(Job.State) && Job.RunsLeft > 0)
      stopRunsOf(Job, Now);
}

void leader::stopRunsOf(const job_record &Job, core::time_point Now) {
  for (const auto &Occurrence : Job.Open)
    for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
      const auto &Tasks = Occurrence.Steps[Step].Tasks;
      for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index) {
        if (Tasks[Index].Endpoint == 0)
          continue;
        auto &Contact = contactOf(Tasks[Index].Endpoint, Now);
        auto Run =
            Contact.Runs.find({Job.Spec.Id, Occurrence.Number, Step, Index});
        if (Run == Contact.Runs.end())
          continue;
        Run->second.Phase = run_phase::Stopping;
        Run->second.NextOrder = Now;
        touch(Contact);
      }
    }
}

void leader::touch(contact &Contact) {
  if (std::exchange(Contact.DueAt, core::time_point()) != core::time_point())
    Touched.push_back(Contact.Endpoint);
}

void leader::runsChanged(std::uint32_t Endpoint) {
  auto Found = Contacts.find(Endpoint);
  if (Found == Contacts.end())
    return;
  Found->second.IsRoomStale = true;
  touch(Found->second);
}

void leader::applied(const command &Command, apply_outcome Outcome,
                     core::time_point Now) {
  IsPlacementDue = true;
  if (const auto *End = std::get_if<end_run>(&Command)) {
    forgetRun(End->Task, End->Attempt);
    const auto *Job = State.findJob(End->Task.Job);
    if (Job && isOver(Job->State) && Job->RunsLeft > 0)
      stopRunsOf(*Job, Now);
    return;
  }
  if (Outcome == apply_outcome::Stale)
    return;
  if (const auto *Start = std::get_if<start_run>(&Command)) {
    auto &Contact = contactOf(Start->Endpoint, Now);
    // The order for it is about to be sent with a lease.
    Contact.LeaseOver =
        std::max(Contact.LeaseOver, Now + Settings.Lease * 103 / 100);
    auto &Run = Contact.Runs[Start->Task];
    Run = {};
    Run.Attempt = Start->Attempt;
    RunAt[Start->Task] = Start->Endpoint;
    runsChanged(Start->Endpoint);
    return;
  }
  if (const auto *Submit = std::get_if<submit_job>(&Command)) {
    const auto *Job = State.findJob(Submit->Job.Id);
    if (Job && Outcome == apply_outcome::Accepted && Job->Spec.RepeatCount == 0)
      Demand.note(Job->Pool,
                  workCoreSeconds(Job->Spec, Durations.modelOf(*Job)), Now);
    return;
  }
  if (const auto *Cancel = std::get_if<cancel_job>(&Command)) {
    const auto *Job = State.findJob(Cancel->Job);
    if (Job && Job->RunsLeft > 0)
      stopRunsOf(*Job, Now);
    return;
  }
  if (const auto *Note = std::get_if<note_endpoint>(&Command)) {
    if (const auto *Endpoint =
            State.findEndpoint(Note->Facts.Id, Note->Facts.BornMs)) {
      auto &Contact = contactOf(Endpoint->Number, Now);
      adoptFirstBeat(Contact, Endpoint->Facts);
      inheritRuns(Contact, *Endpoint, Now);
      runsChanged(Endpoint->Number);
    }
    Hosts.NextList = std::min(Hosts.NextList, Now);
    return;
  }
  if (std::holds_alternative<start_wave>(Command)) {
    Hosts.NextPlan = {};
    Hosts.NextWavePlan = {};
  }
  if (const auto *End = std::get_if<end_endpoint>(&Command)) {
    if (auto Found = Contacts.find(End->Endpoint); Found != Contacts.end()) {
      for (const auto &[Key, Run] : Found->second.Runs)
        if (auto Place = RunAt.find(Key);
            Place != RunAt.end() && Place->second == End->Endpoint)
          RunAt.erase(Place);
      Contacts.erase(Found);
    }
    Over.erase(End->Endpoint);
  }
}

void leader::forgetRun(const task_key &Task, std::uint32_t Attempt) {
  auto Place = RunAt.find(Task);
  if (Place == RunAt.end())
    return;
  auto Number = Place->second;
  auto Contact = Contacts.find(Number);
  if (Contact != Contacts.end()) {
    auto Run = Contact->second.Runs.find(Task);
    // A later start of the same task may have been applied meanwhile.
    if (Run != Contact->second.Runs.end() && Run->second.Attempt != Attempt)
      return;
    if (Run != Contact->second.Runs.end())
      Contact->second.Runs.erase(Run);
  }
  RunAt.erase(Place);
  runsChanged(Number);
}

void leader::inheritRuns(contact &Contact, const endpoint_record &Endpoint,
                         core::time_point Now) {
  for (const auto &Key : Endpoint.Runs) {
    auto [Found, IsNew] = Contact.Runs.try_emplace(Key);
    if (!IsNew)
      continue;
    auto &Run = Found->second;
    RunAt[Key] = Endpoint.Number;
    Run.Attempt = State.findTask(Key)->Attempt;
    Run.Phase = run_phase::Stopping;
    Run.NextOrder = Now;
    for (const auto &[Number, Earlier] : Contacts) {
      auto Known = Earlier.Runs.find(Key);
      if (Number != Endpoint.Number && Known != Earlier.Runs.end())
        Run.Checkpoint = Known->second.Checkpoint;
    }
    Contact.LeaseOver =
        std::max(Contact.LeaseOver, Now + Settings.Lease * 103 / 100);
  }
  std::erase_if(Contacts, [this](const auto &Item) {
    return State.endpoints().find(Item.first) == State.endpoints().end();
  });
}

void leader::adoptFirstBeat(contact &Contact, const endpoint_facts &Facts) {
  auto First = FirstBeats.find(Facts.Id);
  if (First == FirstBeats.end())
    return;
  const auto &[Beat, HeardAt] = First->second;
  if (Beat.Facts.BornMs == Facts.BornMs &&
      Contact.ClockAt == core::time_point()) {
    Contact.ClockMs = Beat.ClockMs;
    Contact.ClockAt = HeardAt;
    Contact.LastBeat = HeardAt;
  }
  FirstBeats.erase(First);
}

bool leader::noteBeat(const endpoint_beat &Beat, core::time_point Now) {
  const auto *Endpoint = State.findEndpoint(Beat.Facts.Id, Beat.Facts.BornMs);
  if (!Endpoint) {
    // Its clock is needed as soon as the new life is committed.
    FirstBeats[Beat.Facts.Id] = {Beat, Now};
    const auto *Newest = State.findEndpoint(Beat.Facts.Id);
    return Newest && Newest->Facts.BornMs > Beat.Facts.BornMs;
  }
  auto &Contact = contactOf(Endpoint->Number, Now);
  if (Beat.Sequence < Contact.Sequence)
    return true;
  Contact.Sequence = Beat.Sequence;
  Contact.LastBeat = Now;
  if (Contact.ClockAt == core::time_point() || Beat.ClockMs > Contact.ClockMs) {
    Contact.ClockMs = Beat.ClockMs;
    Contact.ClockAt = Now;
  }
  if (Beat.RemainingMs) {
    Contact.RemainingMs = Beat.RemainingMs;
    Contact.RemainingAt = Now;
  }
  return Endpoint->Facts == Beat.Facts ||
         (Endpoint->Facts.IsDraining && !Beat.Facts.IsDraining);
}

void leader::noteLeaving(std::string_view Id, core::time_point Now) {
  if (const auto *Endpoint = State.findEndpoint(Id))
    contactOf(Endpoint->Number, Now).LeavesAt = Now + LeaveMargin;
}

std::vector<command> leader::takeCommands(core::time_point Now,
                                          std::int64_t WallMs) {
  std::vector<command> Commands;
  for (auto &[Number, Cursor] : CursorAfterBatch) {
    auto Found = Contacts.find(Number);
    if (Found == Contacts.end())
      continue;
    Found->second.Cursor = std::max(Found->second.Cursor, Cursor);
    touch(Found->second);
  }
  CursorAfterBatch.clear();
  collectEnds(Commands);
  if (Now >= NextLostCheck) {
    NextLostCheck = Now + LostCheckInterval;
    collectLost(Commands, Now);
    collectOccurrences(Commands, WallMs);
  }
  planHosts(Commands, Now, WallMs);
  if ((IsPlacementDue && Now >= EarliestPlacement) || Now >= NextPlacement)
    collectStarts(Commands, Now, WallMs);
  if (Now >= NextPrune) {
    NextPrune = Now + PruneInterval;
    Ranks.prune(WallMs);
    Advice.prune(Now);
  }
  return Commands;
}

void leader::collectEnds(std::vector<command> &Commands) {
  for (auto Number : std::exchange(Listed, {})) {
    auto Found = Contacts.find(Number);
    if (Found == Contacts.end())
      continue;
    auto &Contact = Found->second;
    for (auto &End : Contact.NewEnds)
      Commands.emplace_back(std::move(End));
    Contact.NewEnds.clear();
    if (Contact.EndsSeen > Contact.Cursor)
      CursorAfterBatch[Number] = Contact.EndsSeen;
  }
  for (auto &End : Refused)
    Commands.emplace_back(std::move(End));
  Refused.clear();
}

void leader::collectLost(std::vector<command> &Commands, core::time_point Now) {
  for (auto Number : Over)
    Commands.emplace_back(end_endpoint{Number});
  for (auto &[Number, Contact] : Contacts) {
    if (Over.count(Number) > 0)
      continue;
    if (Contact.LeavesAt && Now >= *Contact.LeavesAt) {
      Commands.emplace_back(end_endpoint{Number});
      continue;
    }
    if (Contact.Runs.empty()) {
      if (Now - std::max(Contact.LastBeat, Contact.LastAnswer) > ForgetAfter)
        Commands.emplace_back(end_endpoint{Number});
      continue;
    }
    // An endpoint that answers tells by its list what became of its runs.
    if (!Contact.IsSuspect || Now < Contact.LeaseOver)
      continue;
    for (auto &[Key, Run] : Contact.Runs) {
      if (Run.IsEnded)
        continue;
      Run.IsEnded = true;
      core::logEvent(core::log_level::Warning, "run_lost",
                     {{"job", Key.Job},
                      {"step", Key.Step},
                      {"index", Key.Index},
                      {"attempt", Run.Attempt},
                      {"endpoint", Number},
                      {"reason", "lease over"}});
      Commands.emplace_back(
          end_run{Key, Run.Attempt, run_end::Lost, Run.Checkpoint});
    }
  }
}

void leader::collectOccurrences(std::vector<command> &Commands,
                                std::int64_t WallMs) {
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    const auto &Job = *State.findJob(Id);
    if (Job.Spec.RepeatCount == 0)
      continue;
    if (Job.NextOccurrence < Job.Spec.RepeatCount &&
        Job.Spec.StartAtMs + Job.NextOccurrence * Job.Spec.IntervalMs <= WallMs)
      Commands.emplace_back(open_occurrence{Id, Job.NextOccurrence});
  }
}

bool leader::mayTakeWork(const endpoint_record &Endpoint,
                         const contact &Contact, core::time_point Now) const {
  if (Endpoint.Facts.IsDraining || Contact.IsSuspect || Contact.IsFenced ||
      Contact.IsReplaced || Contact.LeavesAt ||
      Contact.ClockAt == core::time_point() || Contact.Health.isAvoided(Now))
    return false;
  auto Heard = std::max(Contact.LastBeat, Contact.LastAnswer);
  if (Now - Heard > MissedBeats * Settings.BeatInterval)
    return false;
  const auto *Pool = State.findPool(Endpoint.Facts.Pool);
  if (!Pool || Pool->IsStandby)
    return false;
  auto Host = Hosts.HostOfEndpoint.find(Endpoint.Facts.Id);
  return Host == Hosts.HostOfEndpoint.end() ||
         (Hosts.Cordoned.find(Host->second) == Hosts.Cordoned.end() &&
          Hosts.Tasks.find(Host->second) == Hosts.Tasks.end());
}

void leader::measureRoom(contact &Contact,
                         const endpoint_record &Endpoint) const {
  Contact.IsRoomStale = false;
  auto &Target = Contact.Room;
  Target = {};
  Target.Endpoint = Endpoint.Number;
  Target.Pool = Endpoint.Facts.Pool;
  Target.Free = Endpoint.Facts.Capacity;
  Target.Labels = Endpoint.Facts.Labels;
  Target.Rack = Endpoint.Facts.Rack;
  for (const auto &Key : Endpoint.Runs) {
    const auto &Step = State.findJob(Key.Job)->Spec.Steps[Key.Step];
    auto Size = reservedSize(Step);
    auto Take = [](std::uint32_t &Free, std::uint32_t Used) {
      Free -= std::min(Free, Used);
    };
    Take(Target.Free.MilliCores, Size.MilliCores);
    Take(Target.Free.MemoryMb, Size.MemoryMb);
    Take(Target.Free.Accelerators, Size.Accelerators);
    Target.ServingRuns += Step.TargetMs > 0;
    Target.FillingRuns += Step.FillsIdle;
    Target.LongRunning += Step.IsLongRunning;
    if (Step.MaxPerEndpoint > 0)
      ++Target.RunsByStep[stepKey(Key)];
  }
}

std::vector<placement_target> leader::targets(core::time_point Now) {
  std::vector<placement_target> Targets;
  for (auto &[Number, Contact] : Contacts) {
    auto Endpoint = State.endpoints().find(Number);
    if (Endpoint == State.endpoints().end() ||
        !mayTakeWork(Endpoint->second, Contact, Now))
      continue;
    if (Contact.IsRoomStale)
      measureRoom(Contact, Endpoint->second);
    Targets.push_back(Contact.Room);
  }
  return Targets;
}

void leader::collectStarts(std::vector<command> &Commands, core::time_point Now,
                           std::int64_t WallMs) {
  IsPlacementDue = false;
  if (OpenStarts >= MaxOpenStarts) {
    Metrics.add("placements_put_off_total");
    IsPlacementDue = true;
    return;
  }
  NextPlacement = Now + PlacementInterval;
  EarliestPlacement = Now + PlacementPause;
  std::erase_if(HeldBack, [&](const auto &Item) { return Item.second <= Now; });
  auto Targets = targets(Now);
  placement_request Request;
  Request.NowMs = WallMs;
  Request.MaxStarts = std::min(MaxStartsPerBatch, MaxOpenStarts - OpenStarts);
  Request.Ranks = &Ranks;
  Request.IsHeldBack = [&](const task_key &Key) {
    return HeldBack.find(Key) != HeldBack.end();
  };
  wantAdvice(Targets, Now);
  Request.IsAllowed = [&](const task_key &Key, const job_record &Job,
                          std::uint32_t Endpoint) {
    return isAllowed(Key, Job, Endpoint, Now);
  };
  std::set<task_key> Placed;
  for (auto &Placement : placeRuns(State, Targets, Request)) {
    Placed.insert(Placement.Start.Task);
    Commands.emplace_back(std::move(Placement.Start));
  }
  noteStarvedPools(Placed, Now);
}

void leader::noteStarvedPools(const std::set<task_key> &Placed,
                              core::time_point Now) {
  for (const auto &[SubmittedMs, Id] : State.liveJobs()) {
    const auto &Job = *State.findJob(Id);
    for (const auto &Occurrence : Job.Open)
      for (std::uint32_t Step = 0; Step != Occurrence.Steps.size(); ++Step) {
        const auto &Tasks = Occurrence.Steps[Step].Tasks;
        if (!Job.Spec.Steps[Step].IsLongRunning)
          continue;
        for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index)
          if (Tasks[Index].isWaiting() &&
              Placed.count({Id, Occurrence.Number, Step, Index}) == 0)
            Hosts.StarvedAt[Job.Pool] = Now;
      }
  }
}

core::time_point leader::nextTime(core::time_point Now) const {
  return Now + TickInterval;
}

} // namespace lycheetrestle::scheduling
