#include "control/control_loop.h"

#include "core/event_log.h"
#include "core/invariant.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::control {

namespace {

using core::error_code;
using core::failure;
using core::verdict;

// A request without an outcome after this time is answered with a failure whose
// verdict states whether it may have run; the caller resends it under the same
// submission id.
constexpr core::duration RequestTimeout = std::chrono::seconds(10);
// Proposals wait for the pending write, so that one sync covers all that arrive
// in the meantime. They no longer wait for a write that is slower than this.
constexpr core::duration MaxWriteWait = std::chrono::milliseconds(50);
// Older platform reports no longer describe the current state of the hosts and
// are discarded.
constexpr core::duration MaxPlatformReportAge = std::chrono::seconds(5);
// Interval of attempts to transfer leadership during a shutdown.
constexpr core::duration TransferInterval = std::chrono::milliseconds(500);
// Processing output can produce further output, for example a proposal of the
// reconciler after an applied entry. What is left after this many rounds waits
// for the next call of takeActions().
constexpr int MaxOutputRounds = 4;

replication::raft_settings raftSettings(const control_settings &Settings,
                                        const replication::replica_id &Self) {
  replication::raft_settings Result;
  Result.Self = Self;
  Result.Heartbeat = Settings.Timing.Heartbeat;
  Result.ElectionTimeout = Settings.Timing.ElectionTimeout;
  Result.Seed = Self.Incarnation ^ std::hash<std::string>()(Self.Name);
  return Result;
}

std::vector<std::string> entryNames(const control_settings &Settings) {
  std::vector<std::string> Names;
  for (const auto &Entry : Settings.Entries)
    Names.push_back(Entry.Name);
  return Names;
}

/// \returns the name of the object that a command changes, as used in the log
/// and in BusyObjects.
std::string objectOf(const fleet::command_body &Body) {
  struct visitor {
    std::string operator()(const fleet::request_host_goal &C) const {
      return "host/" + C.Host;
    }
    std::string operator()(const fleet::change_host_state &C) const {
      return "host/" + C.Host;
    }
    std::string operator()(const fleet::start_wave &) const { return "wave"; }
    std::string operator()(const fleet::pause_wave &) const { return "wave"; }
    std::string operator()(const fleet::resume_wave &) const { return "wave"; }
    std::string operator()(const fleet::finish_wave &) const { return "wave"; }
    std::string operator()(const fleet::cancel_job &C) const {
      return "job/" + std::to_string(C.Job);
    }
    std::string operator()(const fleet::start_job &C) const {
      return "job/" + std::to_string(C.Job);
    }
    std::string operator()(const fleet::renew_job_lease &C) const {
      return "job/" + std::to_string(C.Job);
    }
    std::string operator()(const fleet::change_job_state &C) const {
      return "job/" + std::to_string(C.Job);
    }
    std::string operator()(const fleet::submit_declaration &) const {
      return "declaration";
    }
    std::string operator()(const fleet::submit_job &) const { return "job"; }
    std::string operator()(const fleet::reserve_key &C) const {
      return "key/" + C.Key;
    }
    std::string operator()(const fleet::complete_key &C) const {
      return "key/" + C.Key;
    }
    std::string operator()(const fleet::abandon_key &C) const {
      return "key/" + C.Key;
    }
  };
  return std::visit(visitor(), Body);
}

bool isKeyCommand(const fleet::command_body &Body) {
  return std::holds_alternative<fleet::reserve_key>(Body) ||
         std::holds_alternative<fleet::complete_key>(Body) ||
         std::holds_alternative<fleet::abandon_key>(Body);
}

fleet::fleet_state restoreState(const std::string &Bytes) {
  auto Outcome =
      core::capture([&] { return fleet::fleet_state::restore(Bytes); });
  core::checkInvariant(Outcome.index() == 0,
                       "the state machine can restore its own snapshot");
  return std::move(std::get<0>(Outcome));
}

} // namespace

control_loop::control_loop(control_settings NewSettings,
                           replication::replica_id NewSelf,
                           replication::persistent_state Found,
                           replication::membership Initial,
                           core::metrics_registry &Metrics,
                           core::time_point Now)
    : Settings(std::move(NewSettings)), Self(std::move(NewSelf)),
      Metrics(Metrics),
      Raft(raftSettings(Settings, Self), Found, std::move(Initial), Now),
      Entries(entryNames(Settings)),
      Reconciler(reconciler::reconciler_settings()), LastTime(Now) {
  if (!Found.Snapshot)
    return;
  State = restoreState(Found.Snapshot->State);
  AppliedIndex = Found.Snapshot->LastIndex;
  CompactedIndex = AppliedIndex;
}

bool control_loop::isReady() const {
  return !ShutdownSince && Raft.status().Leader.has_value();
}

bool control_loop::isFormed() const { return Raft.status().LastIndex > 0; }

core::time_point control_loop::nextTick() const {
  auto Next = Raft.nextTick();
  if (isLeader())
    Next = std::min(Next, NextReconcile);
  return Next;
}

const replica_settings *control_loop::findReplica(std::string_view Name) const {
  for (const auto &Replica : Settings.Controls)
    if (Replica.Name == Name)
      return &Replica;
  return nullptr;
}

std::string control_loop::leaderHeader() const {
  auto Leader = Raft.status().Leader;
  if (!Leader)
    return "";
  const auto *Replica = findReplica(Leader->Name);
  if (!Replica)
    return Leader->Name;
  return Leader->Name + " " + core::toString(Replica->Http);
}

failure control_loop::notLeader() const {
  auto Leader = Raft.status().Leader;
  return {error_code::NotLeader,
          Leader ? "another replica leads" : "no leader is known; try again",
          "leader", Leader ? Leader->Name : "", verdict::NotRun};
}

void control_loop::answerFailure(std::uint64_t Id, const failure &Failure) {
  auto Answer = failureAnswer(Id, Failure);
  if (Failure.Code == error_code::NotLeader)
    Answer.Leader = leaderHeader();
  Answers.push_back(std::move(Answer));
}

void control_loop::tick(core::time_point Now) {
  LastTime = Now;
  Raft.tick(Now);
  observeRole(Now);
  expireWaiting(Now);
  requestJoin(Now);
  if (!isLeader())
    return;
  if (ShutdownSince && QueuedProposals.empty() && LoggedProposals.empty() &&
      Now >= NextTransfer) {
    NextTransfer = Now + TransferInterval;
    Raft.transferLeadership(Now);
    return;
  }
  changeMembers(Now);
  reconcile(Now);
}

void control_loop::stored(std::uint64_t Ticket, core::time_point Now) {
  LastTime = Now;
  // Writes are executed in order, so all earlier ones are synced as well.
  PendingWrites.erase(PendingWrites.begin(), PendingWrites.upper_bound(Ticket));
  Raft.stored(Ticket, Now);
}

void control_loop::storageFailed(core::time_point Now) {
  LastTime = Now;
  Raft.storageFailed(Now);
  observeRole(Now);
}

void control_loop::platformReported(
    std::optional<std::vector<platform::host_report>> Reports,
    core::time_point Now) {
  PlatformReports = std::move(Reports);
  PlatformReportedAt = Now;
}

void control_loop::beginShutdown(core::time_point Now) {
  if (!ShutdownSince)
    ShutdownSince = Now;
}

bool control_loop::isDrained(core::time_point Now) const {
  if (!ShutdownSince)
    return false;
  if (!QueuedProposals.empty() || !LoggedProposals.empty() ||
      !PendingWrites.empty())
    return false;
  if (!isLeader() || Settings.Controls.size() == 1)
    return true;
  // Followers that are down cannot take over, so the wait is bounded.
  return Now - *ShutdownSince > 2 * Settings.Timing.ElectionTimeout;
}

void control_loop::observeRole(core::time_point Now) {
  auto Status = Raft.status();
  bool Leads = Status.Role == replication::raft_role::Leader;
  if (isLeader() && (!Leads || Status.Term != LeaderTerm))
    loseLeadership();
  if (!Leads || isLeader())
    return;
  LeaderTerm = Status.Term;
  LeaderStartIndex = Status.LastIndex;
  Entries.reset(Now);
  Reconciler.reset(Now);
  PlatformReports.reset();
  NextReconcile = Now;
  Joining.clear();
  Metrics.add("leaderships_total");
  core::logEvent(core::log_level::Info, "became_leader",
                 {{"term", Status.Term}, {"index", Status.LastIndex}});
}

void control_loop::loseLeadership() {
  core::logEvent(core::log_level::Info, "lost_leadership",
                 {{"term", LeaderTerm},
                  {"outcome_unknown", LoggedProposals.size()},
                  {"not_run", QueuedProposals.size()}});
  LeaderTerm = 0;
  // The next leader may still commit these entries, so their outcome is
  // unknown.
  failure Unknown{error_code::Unavailable,
                  "the leader changed before the outcome was known; resend "
                  "under the same submission id",
                  "", "", verdict::MayHaveRun};
  for (const auto &[Index, Proposal] : LoggedProposals)
    failProposal(Proposal, Unknown);
  LoggedProposals.clear();
  auto NotRun = notLeader();
  for (const auto &Proposal : QueuedProposals)
    failProposal(Proposal, NotRun);
  QueuedProposals.clear();
  BusyObjects.clear();
  for (auto &[Token, Group] : UnconfirmedReads)
    refuseReads(Group);
  UnconfirmedReads.clear();
  for (auto &Group : ConfirmedReads)
    refuseReads(Group);
  ConfirmedReads.clear();
  refuseReads(CollectedReads);
  CollectedReads = {};
}

void control_loop::failProposal(const proposal &Proposal,
                                const failure &Failure) {
  if (const auto *Operator = std::get_if<operator_waiter>(&Proposal.Waiter)) {
    answerFailure(Operator->RequestId, Failure);
    return;
  }
  const auto *Key = std::get_if<key_waiter>(&Proposal.Waiter);
  // A command that may have run gets no reply: the entry then retries at the
  // next leader with the same holder. A Refused reply would let it treat the
  // key as free.
  if (!Key || Failure.Verdict != verdict::NotRun)
    return;
  routing::key_reply Reply;
  Reply.RequestId = Key->RequestId;
  Reply.Reason = std::string(core::toString(Failure.Code));
  sendToEntry(Key->Peer, Reply);
}

void control_loop::removeFirstQueued() {
  const auto &Waiter = QueuedProposals.front().Waiter;
  if (const auto *Object = std::get_if<object_waiter>(&Waiter))
    BusyObjects.erase(Object->Object);
  QueuedProposals.pop_front();
}

void control_loop::expireWaiting(core::time_point Now) {
  while (!QueuedProposals.empty() &&
         Now - QueuedProposals.front().Since > RequestTimeout) {
    failProposal(
        QueuedProposals.front(),
        {error_code::Overloaded,
         "the change was not written to the log within the request timeout", "",
         "", verdict::NotRun});
    removeFirstQueued();
  }
  for (auto &[Index, Proposal] : LoggedProposals) {
    if (Now - Proposal.Since <= RequestTimeout ||
        !std::holds_alternative<operator_waiter>(Proposal.Waiter))
      continue;
    failProposal(Proposal,
                 {error_code::DeadlinePassed,
                  "the change was not committed within the request timeout; "
                  "resend under the same submission id",
                  "", "", verdict::MayHaveRun});
    // The operator is answered; an empty object_waiter waits for nothing.
    Proposal.Waiter = object_waiter{};
  }
  for (auto Read = UnconfirmedReads.begin(); Read != UnconfirmedReads.end();) {
    if (Now - Read->second.Since <= RequestTimeout) {
      ++Read;
      continue;
    }
    refuseReads(Read->second);
    Read = UnconfirmedReads.erase(Read);
  }
}

void control_loop::proposeQueued(core::time_point Now) {
  if (!isLeader() || QueuedProposals.empty())
    return;
  if (!PendingWrites.empty() &&
      Now - PendingWrites.begin()->second <= MaxWriteWait)
    return;
  while (!QueuedProposals.empty()) {
    auto &Next = QueuedProposals.front();
    Next.Command.TimeMs = core::wallMilliseconds();
    auto Outcome = core::capture(
        [&] { return Raft.propose(fleet::encode(Next.Command)); });
    if (auto *Failure = std::get_if<failure>(&Outcome)) {
      if (Failure->Code != error_code::TooLarge)
        return; // Stays queued until accepted, expired or leadership is lost.
      // The log never accepts it, and the changes behind it must not wait.
      failProposal(Next, *Failure);
      removeFirstQueued();
      continue;
    }
    Next.Term = LeaderTerm;
    Metrics.add("proposals_total");
    LoggedProposals.emplace(std::get<0>(Outcome), std::move(Next));
    QueuedProposals.pop_front();
  }
}

control_actions control_loop::takeActions(core::time_point Now) {
  control_actions Actions;
  for (int Round = 0; Round != MaxOutputRounds; ++Round) {
    startReads(Now);
    proposeQueued(Now);
    auto Output = Raft.takeOutput();
    bool IsIdle = Output.Messages.empty() && !Output.Write && !Output.Restore &&
                  Output.Committed.empty() && Output.Reads.empty();
    process(std::move(Output), Actions, Now);
    observeRole(Now);
    finishReads(Now);
    if (IsIdle)
      break;
  }
  compactWhenDue();
  std::move(Messages.begin(), Messages.end(),
            std::back_inserter(Actions.Messages));
  Messages.clear();
  Actions.Answers = std::exchange(Answers, {});
  Actions.Platform = std::exchange(Platform, std::nullopt);
  return Actions;
}

void control_loop::process(replication::raft_output Output,
                           control_actions &Actions, core::time_point Now) {
  if (Output.Restore && Output.Restore->LastIndex > AppliedIndex) {
    State = restoreState(Output.Restore->State);
    AppliedIndex = Output.Restore->LastIndex;
    CompactedIndex = AppliedIndex;
    core::logEvent(core::log_level::Info, "snapshot_restored",
                   {{"index", AppliedIndex}});
  }
  for (const auto &Entry : Output.Committed)
    applyEntry(Entry, Now);
  for (const auto &Read : Output.Reads) {
    auto Found = UnconfirmedReads.find(Read.Token);
    if (Found == UnconfirmedReads.end())
      continue;
    if (Read.Confirmed) {
      Found->second.Index = Read.Index;
      ConfirmedReads.push_back(std::move(Found->second));
    } else {
      refuseReads(Found->second);
    }
    UnconfirmedReads.erase(Found);
  }
  for (auto &Message : Output.Messages) {
    control_frame Frame;
    Frame.To = Message.To;
    Frame.Bytes = std::move(Message.Bytes);
    sendFrame(Message.To.Name, std::move(Frame));
  }
  if (!Output.Write)
    return;
  PendingWrites.emplace(Output.Write->Ticket, Now);
  Actions.Writes.push_back(std::move(*Output.Write));
}

void control_loop::applyEntry(const replication::log_entry &Entry,
                              core::time_point Now) {
  if (Entry.Index <= AppliedIndex)
    return; // Already contained in the snapshot.
  core::checkInvariant(Entry.Index == AppliedIndex + 1,
                       "committed entries are applied without a gap");
  AppliedIndex = Entry.Index;
  std::optional<proposal> Own;
  if (auto Found = LoggedProposals.find(Entry.Index);
      Found != LoggedProposals.end()) {
    Own = std::move(Found->second);
    LoggedProposals.erase(Found);
    if (Own->Term != Entry.Term) {
      failProposal(*Own, {error_code::Unavailable,
                          "another leader replaced the change; resend under "
                          "the same submission id",
                          "", "", verdict::MayHaveRun});
      Own.reset();
    }
  }
  if (Entry.Kind != replication::entry_kind::Command)
    return;
  auto Decoded =
      core::capture([&] { return fleet::decodeCommand(Entry.Payload); });
  core::checkInvariant(Decoded.index() == 0, "committed commands are valid");
  const auto &Command = std::get<0>(Decoded);
  auto Result = State.apply(Command, Entry.Index);
  if (!isKeyCommand(Command.Body))
    core::logEvent(
        core::log_level::Info, "applied",
        {{"index", Entry.Index},
         {"object", objectOf(Command.Body)},
         {"actor", Command.Actor},
         {"result", Result.Failure ? core::toString(Result.Failure->Code)
                                   : std::string_view("accepted")}});
  if (!Own)
    return;
  Metrics.observe(
      "commit_latency_ms",
      std::chrono::duration<double, std::milli>(Now - Own->Since).count());
  if (const auto *Operator = std::get_if<operator_waiter>(&Own->Waiter)) {
    if (Result.Failure)
      answerFailure(Operator->RequestId, *Result.Failure);
    else
      Answers.push_back({Operator->RequestId, 200, Result.Response, ""});
  } else if (const auto *Key = std::get_if<key_waiter>(&Own->Waiter)) {
    replyToKey(*Key, Command.Body, Result);
  } else if (const auto *Object = std::get_if<object_waiter>(&Own->Waiter)) {
    BusyObjects.erase(Object->Object);
  }
}

void control_loop::compactWhenDue() {
  if (AppliedIndex - CompactedIndex < Settings.SnapshotEveryEntries)
    return;
  CompactedIndex = AppliedIndex;
  Raft.compact(AppliedIndex, State.snapshot());
  core::logEvent(core::log_level::Info, "snapshot_taken",
                 {{"index", AppliedIndex}});
}

void control_loop::reconcile(core::time_point Now) {
  if (Now < NextReconcile || AppliedIndex < LeaderStartIndex || ShutdownSince)
    return;
  NextReconcile = Now + Settings.Timing.ReconcileInterval;
  auto Before = Entries.inForce().Number;
  Entries.update(State.currentDeclaration().Number, Now,
                 core::wallMilliseconds());
  if (Entries.inForce().Number != Before)
    core::logEvent(core::log_level::Info, "declaration_in_force",
                   {{"number", Entries.inForce().Number}});
  if (Now - PlatformReportedAt > MaxPlatformReportAge)
    PlatformReports.reset();
  auto Statuses = Entries.statuses();
  auto Plan = Reconciler.plan(State, PlatformReports, Statuses, Now,
                              core::wallMilliseconds());
  for (auto &Body : Plan.Commands) {
    auto Object = objectOf(Body);
    if (!BusyObjects.insert(Object).second)
      continue;
    proposal Next;
    Next.Command.Actor = "system";
    Next.Command.Body = std::move(Body);
    Next.Waiter = object_waiter{std::move(Object)};
    Next.Since = Now;
    QueuedProposals.push_back(std::move(Next));
  }
  if (!Settings.PlatformUrl.empty())
    Platform = platform_round{std::move(Plan.Orders)};
}

} // namespace lycheetrestle::control
