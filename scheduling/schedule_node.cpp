#include "scheduling/schedule_node.h"

#include "core/event_log.h"
#include "core/invariant.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// Proposals wait for the write in progress, so that one sync covers all of
// them. A write that takes longer than this no longer delays them.
constexpr core::duration SlowWriteThreshold = milliseconds(20);
// Callers time out after some seconds; a change that is not applied within this
// time has an unknown outcome.
constexpr core::duration CallTimeout = milliseconds(2500);
constexpr core::duration TransferInterval = milliseconds(300);
// An entry has the time of the batch beside its commands.
constexpr std::size_t EntryHeaderBytes = 64;
constexpr std::size_t MaxCommandBytes =
    replication::MaxEntryBytes - EntryHeaderBytes;
// Commands applied in one takeActions(). A replay of 2,000 commands takes about
// 15 ms at a third of a core; heartbeats are due every 50 ms, and followers
// that miss them for 600 ms elect another leader.
constexpr std::size_t MaxCommandsPerStep = 2000;
// Payload applied in one takeActions(), apart from a single larger entry. A
// configuration of 1 MB takes 15 ms of a whole core to decode and apply, so a
// few of them in one step delay heartbeats more than 2,000 commands do.
constexpr std::size_t MaxBytesPerStep = 512u << 10;
// Each time-out is drawn from one to two times the shortest one, and voters
// answer the requests for votes that follow it.
constexpr int MaxElectionTimeouts = 2;
// Maximum number of rounds in takeActions(). One output can lead to the next,
// for example an applied start to an order.
constexpr int MaxRounds = 4;
// A snapshot of a state that nearly fills the disk frees little; it is repeated
// after this time, because the state shrinks when jobs end.
constexpr core::duration FullDiskSnapshotInterval = std::chrono::seconds(2);

replication::raft_settings raftSettings(const scheduler_settings &Settings,
                                        const replication::replica_id &Self) {
  replication::raft_settings Result;
  Result.Self = Self;
  Result.Heartbeat = Settings.Heartbeat;
  Result.ElectionTimeout = Settings.ElectionTimeout;
  Result.Seed = Self.Incarnation ^ std::hash<std::string>()(Self.Name);
  return Result;
}

schedule_state restoreState(const std::string &Bytes) {
  auto Outcome = core::capture([&] { return schedule_state::restore(Bytes); });
  core::checkInvariant(Outcome.index() == 0,
                       "a replicated snapshot of the schedule can be restored");
  return std::move(std::get<0>(Outcome));
}

/// \returns the properties of a step that placement depends on, for the log.
constexpr const char *RefusedForSpaceMetric = "changes_refused_for_space_total";

/// \returns whether the command is refused while the disk is nearly full. What
/// the leader decides on the jobs that it has, and cancellations, are small and
/// have the rest of the disk.
bool needsSpace(const command &Command) {
  return std::holds_alternative<set_configuration>(Command) ||
         std::holds_alternative<submit_job>(Command);
}

std::string describe(const step_spec &Step) {
  auto Text = std::to_string(Step.Count) + "x" +
              std::to_string(Step.Size.MilliCores) + "m/" +
              std::to_string(Step.Size.MemoryMb) + "MB/" +
              std::to_string(Step.EstimateMs) + "ms";
  if (Step.IsLongRunning)
    Text += ",lasts";
  if (Step.IsBestEffort)
    Text += ",fills";
  if (Step.IsGang)
    Text += ",gang";
  if (Step.TargetMs > 0)
    Text += ",target=" + std::to_string(Step.TargetMs);
  if (Step.MaxPerEndpoint > 0)
    Text += ",max=" + std::to_string(Step.MaxPerEndpoint);
  if (Step.MaxUnavailable > 0)
    Text += ",may_miss=" + std::to_string(Step.MaxUnavailable);
  return Text;
}

/// Appends an item to a list that is separated by commas.
void append(std::string &List, const std::string &Item) {
  if (!List.empty())
    List += ",";
  List += Item;
}

std::string_view toText(replication::raft_role Role, bool IsPreVoting) {
  switch (Role) {
  case replication::raft_role::Learner:
    return "learner";
  case replication::raft_role::Follower:
    return "follower";
  case replication::raft_role::Candidate:
    return IsPreVoting ? "pre_vote" : "candidate";
  case replication::raft_role::Leader:
    return "leader";
  }
  return "unknown";
}

std::string_view toText(job_state JobState) {
  static constexpr std::array<std::string_view, 5> Names{
      "queued", "running", "complete", "failed", "cancelled"};
  return Names[static_cast<std::size_t>(JobState)];
}

std::string_view toText(apply_outcome Outcome) {
  switch (Outcome) {
  case apply_outcome::Accepted:
    return "accepted";
  case apply_outcome::Unchanged:
    return "unchanged";
  case apply_outcome::NoSuchQueue:
    return "no_such_queue";
  case apply_outcome::NoSuchJob:
    return "no_such_job";
  case apply_outcome::Unauthorized:
    return "unauthorized";
  case apply_outcome::Forbidden:
    return "forbidden";
  case apply_outcome::TooMany:
    return "too_many";
  case apply_outcome::Stale:
    return "stale";
  case apply_outcome::Invalid:
    return "invalid";
  }
  return "unknown";
}

} // namespace

schedule_node::schedule_node(scheduler_settings NewSettings,
                             replication::replica_id NewSelf,
                             replication::persistent_state Persisted,
                             replication::membership Initial,
                             core::metrics_registry &Metrics,
                             core::time_point Now)
    : Settings(std::move(NewSettings)), Self(std::move(NewSelf)),
      Metrics(Metrics),
      Raft(raftSettings(Settings, Self), Persisted, std::move(Initial), Now),
      Queued(MaxCommandBytes), Members(Settings.wantedVoters()) {
  addPeers(Settings.Seeds);
  bool IsSeed = std::find(Settings.Seeds.begin(), Settings.Seeds.end(),
                          Settings.Address) != Settings.Seeds.end();
  if (Settings.IsFounding && IsSeed)
    Acceptor.emplace(Settings.Seeds);
  auto Status = Raft.status();
  if (Status.LastIndex == 0 && Status.Members.Members.empty())
    Proposer.emplace(founding_candidate{Self, Settings.Zone},
                     Settings.wantedVoters(), Settings.StartNonce, Now);
  Ahead = ahead_decoder(std::move(Persisted.Entries));
  if (!Persisted.Snapshot)
    return;
  State = restoreState(Persisted.Snapshot->State);
  SnapshotBytes = Persisted.Snapshot->State.size();
  AppliedIndex = Persisted.Snapshot->LastIndex;
  CompactedIndex = AppliedIndex;
}

std::string schedule_node::leaderAddress() const {
  auto Known = Raft.status().Leader;
  return Known ? Known->Name : "";
}

std::optional<leader_load> schedule_node::load(core::time_point Now) const {
  if (!Leader)
    return std::nullopt;
  return Leader->load(Now, core::wallMilliseconds());
}

std::optional<replication_load>
schedule_node::replicationLoad(core::time_point Now) const {
  if (LeaderTerm == 0)
    return std::nullopt;
  replication_load Load;
  auto Status = Raft.status();
  Load.Term = Status.Term;
  Load.CommitIndex = Status.CommitIndex;
  Load.LastIndex = Status.LastIndex;
  Load.AppliedIndex = AppliedIndex;
  Load.Voters = 1;
  Load.ReachableVoters = Self.Name;
  for (const auto &Follower : Raft.followers(Now)) {
    Load.BlockedFollowers += Follower.IsBlocked;
    if (!Follower.IsVoter)
      continue;
    ++Load.Voters;
    append(Load.SyncedIndices,
           Follower.Id.Name + ":" + std::to_string(Follower.Match));
    if (Follower.ReplyAge < Settings.ElectionTimeout)
      append(Load.ReachableVoters, Follower.Id.Name);
  }
  Load.QueuedCommands = Queued.size();
  Load.OldestCommand = Queued.wait(Now);
  Load.PendingWrites = PendingWrites.size();
  Load.OldestWrite = oldestWrite(Now);
  Load.UncommittedEntries = ProposedEntries.size();
  if (!ProposedEntries.empty())
    Load.OldestEntry = Now - ProposedEntries.begin()->second.Since;
  Load.IsStarting = AppliedIndex < LeaderStartIndex;
  if (Load.IsStarting) {
    Load.UncommittedEntries = Status.LastIndex - Status.CommitIndex;
    Load.OldestEntry = Now - ElectedAt;
  }
  Load.Refusal = ProposalRefusal;
  return Load;
}

core::duration schedule_node::oldestWrite(core::time_point Now) const {
  return PendingWrites.empty() ? core::duration()
                               : Now - PendingWrites.begin()->second;
}

std::optional<leaderless_state>
schedule_node::leaderless(core::time_point Now) const {
  if (!LeaderlessSince)
    return std::nullopt;
  auto Status = Raft.status();
  leaderless_state Result;
  Result.Since = Now - *LeaderlessSince;
  Result.Role = toText(Status.Role, Status.IsPreVoting);
  Result.Term = Status.Term;
  Result.CommitIndex = Status.CommitIndex;
  Result.LastIndex = Status.LastIndex;
  for (const auto &Member : Status.Members.Members) {
    if (!Member.Voter)
      continue;
    ++Result.Voters;
    if (Member.Id == Self) {
      Result.IsVoter = true;
      ++Result.HeardVoters;
      continue;
    }
    auto Heard = Members.lastHeard(Member.Id);
    if (!Heard || Now - *Heard > MaxElectionTimeouts * Settings.ElectionTimeout)
      continue;
    ++Result.HeardVoters;
    append(Result.HeardFrom, Member.Id.Name);
  }
  for (const auto &Voter : Status.GrantedBy)
    append(Result.GrantedBy, Voter.Name);
  for (const auto &Voter : Status.RefusedBy)
    append(Result.RefusedBy, Voter.Name);
  Result.IsStorageFailing = Status.StorageFailing;
  Result.IsRemoved = Status.IsRemoved;
  Result.PendingWrites = PendingWrites.size();
  Result.OldestWrite = oldestWrite(Now);
  return Result;
}

std::vector<unserved_task> schedule_node::unservedTasks(core::time_point Now) {
  if (!Leader)
    return {};
  return Leader->unservedTasks(Now, core::wallMilliseconds(),
                               IsLeaderBatchOpen);
}

std::vector<pool_blockage> schedule_node::blockedPools(core::time_point Now) {
  if (!Leader)
    return {};
  return Leader->blockedPools(Now, core::wallMilliseconds());
}

std::optional<job_outlook>
schedule_node::outlookOf(const job_record &Job,
                         const occurrence_record &Occurrence,
                         core::time_point Now) {
  if (!Leader)
    return std::nullopt;
  return Leader->outlookOf(Job, Occurrence, Now, core::wallMilliseconds());
}

std::optional<admission::decision>
schedule_node::estimate(const submit_job &Submit) const {
  if (!Leader)
    return std::nullopt;
  return Leader->estimate(Submit, core::wallMilliseconds());
}

bool schedule_node::wouldExceedRate(const workspaces::workspace_spec &Workspace,
                                    core::time_point Now) const {
  return Leader && Leader->wouldExceedRate(Workspace, Now);
}

core::time_point schedule_node::nextTick(core::time_point Now) const {
  if (!CommittedEntries.empty() || !Ahead.isDone())
    return Now;
  auto Next = Raft.nextTick();
  if (Leader)
    Next = std::min(Next, Leader->nextTime(Now));
  return Next;
}

void schedule_node::tick(core::time_point Now) {
  Raft.tick(Now);
  observeRole(Now);
  expirePendingCalls(Now);
  found(Now);
  requestJoin(Now);
  linkMembers();
  if (LeaderTerm == 0)
    return;
  if (ShutdownSince && Now >= NextTransfer) {
    NextTransfer = Now + TransferInterval;
    Raft.transferLeadership(Now);
    return;
  }
  changeMembers(Now);
}

void schedule_node::stored(std::uint64_t Ticket, core::time_point Now) {
  PendingWrites.erase(PendingWrites.begin(), PendingWrites.upper_bound(Ticket));
  Raft.stored(Ticket, Now);
}

void schedule_node::storageFailed(core::time_point Now) {
  Raft.storageFailed(Now);
  observeRole(Now);
}

void schedule_node::beginShutdown(core::time_point Now) {
  if (!ShutdownSince)
    ShutdownSince = Now;
}

bool schedule_node::isDrained(core::time_point Now) const {
  if (!ShutdownSince || !PendingWrites.empty())
    return false;
  // If no follower took over within two election time-outs, none is able to.
  return LeaderTerm == 0 || Now - *ShutdownSince > 2 * Settings.ElectionTimeout;
}

void schedule_node::observeRole(core::time_point Now) {
  auto Status = Raft.status();
  if (Status.Leader)
    LeaderlessSince.reset();
  else if (!LeaderlessSince)
    LeaderlessSince = Now;
  bool Leads = Status.Role == replication::raft_role::Leader;
  if (LeaderTerm != 0 && (!Leads || Status.Term != LeaderTerm))
    handleLeadershipLoss();
  if (!Leads)
    return;
  if (LeaderTerm == 0) {
    LeaderTerm = Status.Term;
    LeaderStartIndex = Status.LastIndex;
    ElectedAt = Now;
    Members.reset(Self, Settings.Zone, Now);
    Metrics.add("leaderships_total");
    core::logEvent(core::log_level::Info, "elected",
                   {{"term", Status.Term}, {"index", Status.LastIndex}});
  }
  if (Leader || AppliedIndex < LeaderStartIndex || ShutdownSince)
    return;
  // The previous leader has led no longer than that after the election; the
  // time until the log was applied is part of it.
  auto LeaderSettings = Settings.Leader;
  LeaderSettings.PreviousLeaderGrace -= Now - ElectedAt;
  LeaderSettings.OwnEndpoints = Settings.OwnEndpoints;
  Leader.emplace(LeaderSettings, LeaderTerm, State, Metrics, Now);
  reportDepartures(Now);
  core::logEvent(core::log_level::Info, "leading",
                 {{"term", LeaderTerm},
                  {"applied", AppliedIndex},
                  {"jobs", State.liveJobs().size()},
                  {"endpoints", State.endpoints().size()},
                  {"configuration", State.currentConfiguration().Version}});
}

void schedule_node::handleLeadershipLoss() {
  core::logEvent(core::log_level::Warning, "leadership_lost",
                 {{"term", LeaderTerm}});
  LeaderTerm = 0;
  Leader.reset();
  IsLeaderBatchOpen = false;
  // Entries in the log may still be committed by the next leader.
  for (const auto &[Index, Entry] : ProposedEntries)
    for (auto Call : Entry.Calls)
      answer(Call, reply_kind::Unknown);
  ProposedEntries.clear();
  for (auto Call : Queued.clear())
    answerNotLeader(Call);
  answer(OpenChanges.clear(), reply_kind::Unknown);
  ProposalRefusal.clear();
  for (auto &[Token, Group] : RequestedReads)
    refuse(Group);
  RequestedReads.clear();
  for (auto &Group : ConfirmedReads)
    refuse(Group);
  ConfirmedReads.clear();
  refuse(PendingReads);
  LeadershipConfirmedAt = {};
}

void schedule_node::expirePendingCalls(core::time_point Now) {
  for (const auto &Expired : Queued.takeExpired(CallTimeout, Now))
    answerDropped(Expired.Call, Expired.Command, reply_kind::Unavailable);
  answer(OpenChanges.expire(CallTimeout, Now), reply_kind::Unknown);
  for (auto &[Index, Entry] : ProposedEntries) {
    if (Now - Entry.Since <= CallTimeout)
      continue;
    for (auto &Call : Entry.Calls)
      answer(std::exchange(Call, 0), reply_kind::Unknown);
  }
  for (auto Read = RequestedReads.begin(); Read != RequestedReads.end();) {
    if (Now - Read->second.Since <= CallTimeout) {
      ++Read;
      continue;
    }
    refuse(Read->second);
    Read = RequestedReads.erase(Read);
  }
}

void schedule_node::queue(command Command, std::uint64_t Call,
                          core::time_point Now) {
  bool IsStalled =
      !ProposedEntries.empty() &&
      Now - ProposedEntries.begin()->second.Since > proposal_queue::MaxWait;
  bool IsRefused = needsSpace(Command) && isStorageNearlyFull();
  if (!IsStalled && !IsRefused && Queued.accepts(Now)) {
    OpenChanges.add(Command);
    Queued.push(std::move(Command), Call, Now);
  } else if (!OpenChanges.contains(Command)) {
    if (IsRefused)
      Metrics.add(RefusedForSpaceMetric);
    answer(Call,
           isApplied(Command) ? reply_kind::Unknown : reply_kind::Unavailable);
  } else if (!OpenChanges.wait(Command, Call, Now)) {
    answer(Call, reply_kind::Unknown);
  }
}

bool schedule_node::isApplied(const command &Command) const {
  if (const auto *Submit = std::get_if<submit_job>(&Command))
    return State.findJob(Submit->Job.Id) != nullptr;
  const auto *Set = std::get_if<set_configuration>(&Command);
  return Set &&
         Set->Configuration.Version <= State.currentConfiguration().Version;
}

void schedule_node::refuseForSpace() {
  if (!isStorageNearlyFull())
    return;
  for (const auto &Refused : Queued.takeIf(needsSpace)) {
    Metrics.add(RefusedForSpaceMetric);
    answerDropped(Refused.Call, Refused.Command, reply_kind::Unavailable);
  }
}

void schedule_node::refuseOversized(const queued_command &Command) {
  core::logEvent(core::log_level::Warning, "command_refused",
                 {{"reason", "larger than the largest log entry"},
                  {"bytes", Command.Encoded.size()},
                  {"max_bytes", MaxCommandBytes},
                  {"verdict", "not-run"}});
  Metrics.add("commands_too_large_total");
  answerDropped(Command.Call, Command.Command, reply_kind::TooLarge);
  if (!Command.EndsLeaderBatch)
    return;
  // The batch ends with the last entry that was proposed for it.
  if (ProposedEntries.empty())
    IsLeaderBatchOpen = false;
  else
    ProposedEntries.rbegin()->second.IsLeaderBatch = true;
}

void schedule_node::propose(core::time_point Now) {
  if (LeaderTerm == 0)
    return;
  if (!PendingWrites.empty() &&
      Now - PendingWrites.begin()->second <= SlowWriteThreshold)
    return;
  auto WallMs = core::wallMilliseconds();
  // The batch is open until its last command is applied: the leader must not
  // decide on a state that lacks its earlier decisions.
  if (Leader && !IsLeaderBatchOpen && !ShutdownSince) {
    auto Decided = Leader->takeCommands(Now, WallMs);
    IsLeaderBatchOpen = !Decided.empty();
    Queued.pushDecided(std::move(Decided), Now);
  }
  refuseForSpace();
  while (true) {
    while (auto Oversized = Queued.takeOversized())
      refuseOversized(*Oversized);
    auto Proposal = Queued.take(WallMs);
    if (!Proposal)
      return;
    auto Outcome =
        core::capture([&] { return Raft.propose(Proposal->Payload); });
    if (const auto *Failure = std::get_if<core::failure>(&Outcome)) {
      Metrics.add("proposals_refused_total{code=\"" +
                  std::string(core::toString(Failure->Code)) + "\"}");
      ProposalRefusal = Failure->Message;
      Queued.putBack(std::move(*Proposal));
      return; // They stay queued until the log accepts them, their calls expire
              // or leadership is lost.
    }
    ProposalRefusal.clear();
    proposed_entry Entry;
    Entry.Since = Now;
    Entry.Term = LeaderTerm;
    Entry.Batch.TimeMs = WallMs;
    for (auto &Command : Proposal->Commands) {
      Entry.Batch.Commands.push_back(std::move(Command.Command));
      Entry.Calls.push_back(Command.Call);
      Entry.IsLeaderBatch |= Command.EndsLeaderBatch;
    }
    ProposedEntries.emplace(std::get<0>(Outcome), std::move(Entry));
    Metrics.add("entries_proposed_total");
  }
}

node_actions schedule_node::takeActions(core::time_point Now) {
  node_actions Actions;
  Timer.beginIteration();
  apply_budget Budget{MaxCommandsPerStep, MaxBytesPerStep};
  for (int Round = 0; Round != MaxRounds; ++Round) {
    flushReads(Now);
    propose(Now);
    Timer.finishPhase(Propose);
    auto Output = Raft.takeOutput();
    bool IsIdle = Output.Messages.empty() && !Output.Write && !Output.Restore &&
                  Output.Committed.empty() && Output.Reads.empty();
    process(std::move(Output), Actions, Now);
    Timer.finishPhase(Replicate);
    applyCommitted(Budget, Now);
    observeRole(Now);
    finishReads();
    Timer.finishPhase(Apply);
    if (IsIdle || Budget.isSpent())
      break;
  }
  if (Leader && !ShutdownSince)
    Actions.Orders = Leader->takeOrders(Now);
  Timer.finishPhase(Orders);
  if (CommittedEntries.empty() && !Budget.isSpent())
    Ahead.decode(Budget.Bytes);
  compactWhenDue(Now);
  std::move(Messages.begin(), Messages.end(),
            std::back_inserter(Actions.Messages));
  Messages.clear();
  Actions.Replies = std::exchange(Replies, {});
  Actions.NewPeers = std::exchange(NewPeers, {});
  Timer.finishIteration();
  return Actions;
}

std::optional<leader::phase_times::totals> schedule_node::takeLeaderTimes() {
  if (!Leader)
    return std::nullopt;
  return Leader->takeTimes();
}

void schedule_node::process(replication::raft_output Output,
                            node_actions &Actions, core::time_point Now) {
  if (Output.Restore && Output.Restore->LastIndex > AppliedIndex) {
    State = restoreState(Output.Restore->State);
    AppliedIndex = Output.Restore->LastIndex;
    CompactedIndex = AppliedIndex;
    CommandsSinceCompaction = 0;
    BytesSinceCompaction = 0;
    SnapshotBytes = Output.Restore->State.size();
    Ahead.clear();
    core::logEvent(core::log_level::Info, "snapshot_restored",
                   {{"index", AppliedIndex}});
  }
  std::move(Output.Committed.begin(), Output.Committed.end(),
            std::back_inserter(CommittedEntries));
  for (const auto &Read : Output.Reads) {
    auto Found = RequestedReads.find(Read.Token);
    if (Found == RequestedReads.end())
      continue;
    if (Read.Confirmed) {
      Found->second.Index = Read.Index;
      LeadershipConfirmedAt =
          std::max(LeadershipConfirmedAt, Found->second.Since);
      ConfirmedReads.push_back(std::move(Found->second));
    } else {
      refuse(Found->second);
    }
    RequestedReads.erase(Found);
  }
  for (auto &Message : Output.Messages)
    sendFrame(Message.To.Name, std::move(Message.Bytes), Message.To);
  if (!Output.Write)
    return;
  PendingWrites.emplace(Output.Write->Ticket, Now);
  Actions.Writes.push_back(std::move(*Output.Write));
}

void schedule_node::applyCommitted(apply_budget &Budget, core::time_point Now) {
  while (!CommittedEntries.empty() && !Budget.isSpent()) {
    auto Entry = std::move(CommittedEntries.front());
    CommittedEntries.pop_front();
    auto Commands = applyEntry(Entry, Now);
    Budget.Commands -= std::min(Budget.Commands, Commands);
    if (Commands > 0)
      Budget.Bytes -= std::min(Budget.Bytes, Entry.Payload.size());
  }
}

std::size_t schedule_node::applyEntry(const replication::log_entry &Entry,
                                      core::time_point Now) {
  if (Entry.Index <= AppliedIndex)
    return 0; // The snapshot contains this entry.
  core::checkInvariant(Entry.Index == AppliedIndex + 1,
                       "committed entries are applied in order, without a gap");
  AppliedIndex = Entry.Index;
  std::optional<proposed_entry> Own;
  if (auto Found = ProposedEntries.find(Entry.Index);
      Found != ProposedEntries.end()) {
    Own = std::move(Found->second);
    ProposedEntries.erase(Found);
    if (Own->Term != Entry.Term) {
      for (auto Call : Own->Calls)
        answer(Call, reply_kind::Unknown);
      for (const auto &Command : Own->Batch.Commands)
        answer(OpenChanges.recordDropped(Command), reply_kind::Unknown);
      Own.reset();
    }
  }
  BytesSinceCompaction += Entry.Payload.size();
  if (Entry.Kind != replication::entry_kind::Command)
    return 0;
  auto Batch = Own ? std::optional(std::move(Own->Batch))
                   : Ahead.take(Entry.Index, Entry.Term);
  if (!Batch) {
    Metrics.add("entries_decoded_when_applied_total");
    Batch = decodeBatch(Entry.Payload);
  }
  core::checkInvariant(Batch.has_value(), "committed entries can be decoded");
  for (std::size_t Index = 0; Index != Batch->Commands.size(); ++Index) {
    const auto &Command = Batch->Commands[Index];
    auto Endpoint = endpointOf(Command);
    auto Outcome = State.apply(Command, Batch->TimeMs);
    if (Outcome == apply_outcome::Invalid) {
      Metrics.add("commands_invalid_total");
      core::logEvent(core::log_level::Error, "command_skipped",
                     {{"index", Entry.Index},
                      {"command", Command.index()},
                      {"reason", "it contradicts the state"}});
    }
    if (Leader)
      Leader->recordApplied(Command, Outcome, Now);
    if (!Own)
      continue;
    logApplied(Command, Outcome, Entry.Index, Endpoint);
    answerApplied(Own->Calls[Index], Command, Outcome);
    for (auto Call : OpenChanges.recordApplied(Command))
      answerApplied(Call, Command, Outcome);
  }
  Runs.flush();
  CommandsSinceCompaction += Batch->Commands.size();
  if (!Own)
    return Batch->Commands.size();
  if (Own->IsLeaderBatch)
    IsLeaderBatchOpen = false;
  Metrics.observe(
      "commit_latency_ms",
      std::chrono::duration<double, std::milli>(Now - Own->Since).count());
  return Batch->Commands.size();
}

std::uint32_t schedule_node::endpointOf(const command &Command) const {
  const auto *End = std::get_if<end_run>(&Command);
  const auto *Task = End ? State.findTask(End->Task) : nullptr;
  return Task ? Task->Endpoint : 0;
}

void schedule_node::logApplied(const command &Command, apply_outcome Outcome,
                               std::uint64_t Index, std::uint32_t Endpoint) {
  auto Result = toText(Outcome);
  auto Level = core::log_level::Info;
  if (const auto *Submit = std::get_if<submit_job>(&Command)) {
    core::logEvent(Level, "job_submitted",
                   {{"job", Submit->Job.Id},
                    {"queue", Submit->HostName + Submit->Path},
                    {"steps", Submit->Job.Steps.size()},
                    {"first_step", describe(Submit->Job.Steps.front())},
                    {"repeats", Submit->Job.RepeatCount},
                    {"configuration", State.currentConfiguration().Version},
                    {"index", Index},
                    {"result", Result}});
  } else if (const auto *Cancel = std::get_if<cancel_job>(&Command)) {
    core::logEvent(
        Level, "job_cancelled",
        {{"job", Cancel->Job}, {"index", Index}, {"result", Result}});
  } else if (const auto *Fail = std::get_if<fail_job>(&Command)) {
    core::logEvent(Level, "job_failed",
                   {{"job", Fail->Job},
                    {"reason", "attempts were lowered"},
                    {"index", Index},
                    {"result", Result}});
  } else if (const auto *Start = std::get_if<start_run>(&Command)) {
    Runs.recordStart(*Start, Result);
  } else if (const auto *End = std::get_if<end_run>(&Command)) {
    const auto *Job = State.findJob(End->Task.Job);
    Runs.recordEnd(*End, Endpoint, Job ? toText(Job->State) : "forgotten",
                   Result);
  } else if (const auto *Set = std::get_if<set_configuration>(&Command)) {
    core::logEvent(Level, "configuration_applied",
                   {{"version", Set->Configuration.Version},
                    {"in_force", State.currentConfiguration().Version},
                    {"index", Index},
                    {"result", Result}});
  } else if (const auto *Record = std::get_if<record_endpoint>(&Command)) {
    const auto *Recorded =
        State.findEndpoint(Record->Facts.Id, Record->Facts.IncarnationMs);
    core::logEvent(Level, "endpoint_noted",
                   {{"endpoint", Record->Facts.Id},
                    {"born_ms", Record->Facts.IncarnationMs},
                    {"address", core::toText(Record->Facts.Address)},
                    {"pool", Record->Facts.Pool},
                    {"draining", Record->Facts.IsDraining},
                    {"number", Recorded ? Recorded->Number : 0},
                    {"result", Result}});
  } else if (const auto *Ended = std::get_if<end_endpoint>(&Command)) {
    core::logEvent(Level, "endpoint_ended",
                   {{"endpoint", Ended->Endpoint},
                    {"cause", toText(Ended->End.Cause)},
                    {"result", Result}});
  } else if (const auto *Left = std::get_if<record_deregistration>(&Command)) {
    core::logEvent(
        Level, "endpoint_deregistered",
        {{"endpoint", Left->Endpoint}, {"index", Index}, {"result", Result}});
  } else if (const auto *Wave = std::get_if<start_wave>(&Command)) {
    core::logEvent(Level, "wave_started",
                   {{"wave", Wave->Wave},
                    {"hosts", Wave->Hosts.size()},
                    {"max_count", Wave->MaxCount},
                    {"deadline_ms", Wave->DeadlineMs},
                    {"result", Result}});
  } else if (const auto *Maintenance =
                 std::get_if<record_maintenance>(&Command)) {
    core::logEvent(Level, "maintenance_begun",
                   {{"wave", Maintenance->Wave},
                    {"host", Maintenance->Host},
                    {"result", Result}});
  }
}

bool schedule_node::isSnapshotDue(core::time_point Now) const {
  // Refused changes add nothing to the log, so the other limits might never be
  // reached again.
  bool FreesSpace = isStorageNearlyFull() && AppliedIndex > CompactedIndex &&
                    Now - LastCompaction >= FullDiskSnapshotInterval;
  return FreesSpace ||
         AppliedIndex - CompactedIndex >= Settings.SnapshotEveryEntries ||
         CommandsSinceCompaction >= Settings.SnapshotEveryCommands ||
         BytesSinceCompaction >= Settings.snapshotBytes();
}

bool schedule_node::isStorageNearlyFull() const {
  // The next snapshot is written beside the newest one and the log.
  auto NextSnapshotBytes = SnapshotBytes + BytesSinceCompaction;
  return Settings.DiskBytes != 0 &&
         (StoredBytes > Settings.maxStoredBytes() ||
          StoredBytes + NextSnapshotBytes + Settings.reservedBytes() >
              Settings.DiskBytes);
}

void schedule_node::setStoredBytes(std::uint64_t Bytes) {
  StoredBytes = Bytes;
  bool IsNearlyFull = isStorageNearlyFull();
  if (std::exchange(WasNearlyFull, IsNearlyFull) == IsNearlyFull)
    return;
  core::logEvent(core::log_level::Warning,
                 IsNearlyFull ? "disk_nearly_full" : "disk_has_space",
                 {{"stored_bytes", StoredBytes},
                  {"snapshot_bytes", SnapshotBytes},
                  {"disk_bytes", Settings.DiskBytes}});
}

void schedule_node::compactWhenDue(core::time_point Now) {
  if (!isSnapshotDue(Now))
    return;
  CompactedIndex = AppliedIndex;
  CommandsSinceCompaction = 0;
  BytesSinceCompaction = 0;
  LastCompaction = Now;
  auto Bytes = State.snapshot();
  SnapshotBytes = Bytes.size();
  core::logEvent(core::log_level::Info, "snapshot_taken",
                 {{"index", AppliedIndex}, {"bytes", Bytes.size()}});
  Raft.compact(AppliedIndex, std::move(Bytes));
}

} // namespace lycheetrestle::scheduling
