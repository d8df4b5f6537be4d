#include "virtual_cluster.h"

#include "replication/membership_rules.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::replication {

namespace {

using std::chrono::milliseconds;

// Small, so that lagging followers need snapshots.
constexpr std::size_t CompactAfterEntries = 40;

} // namespace

virtual_cluster::virtual_cluster(std::size_t Size, std::uint64_t Seed,
                                 raft_settings TheSettings)
    : Random(Seed), Settings(std::move(TheSettings)), Hosts(Size),
      Generation(Size, 0) {
  Settings.Seed = Seed;
  membership Initial;
  for (std::size_t I = 0; I < Size; ++I) {
    Hosts[I].Id = {"control-" + std::to_string(I + 1), NextIncarnation++};
    Initial.Members.push_back({Hosts[I].Id, true});
  }
  for (std::size_t I = 0; I < Size; ++I)
    start(I, Initial);
}

std::size_t virtual_cluster::findHost(const std::string &Name) const {
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I].Id.Name == Name)
      return I;
  throw check_failed("messages are sent only to known hosts");
}

void virtual_cluster::schedule(core::time_point Time, std::size_t Host,
                               std::function<void()> Run) {
  Events.emplace(Time, event{Host, Generation[Host], std::move(Run)});
}

void virtual_cluster::runNext() {
  const auto First = Events.begin();
  Now = std::max(Now, First->first);
  event Event = std::move(First->second);
  Events.erase(First);
  const virtual_host &Host = Hosts[Event.Host];
  if (Event.Incarnation != Generation[Event.Host] || !Host.Node)
    return;
  if (Host.FrozenUntil > Now) {
    // Runs after the process thaws, in the same order.
    Events.emplace(Host.FrozenUntil, std::move(Event));
    return;
  }
  Event.Run();
  processOutput(Event.Host);
}

void virtual_cluster::run(core::duration Time) {
  const core::time_point End = Now + Time;
  while (!Events.empty() && Events.begin()->first <= End)
    runNext();
  Now = End;
}

bool virtual_cluster::runUntil(core::duration Time,
                               const std::function<bool()> &Condition) {
  const core::time_point End = Now + Time;
  while (!Condition()) {
    if (Events.empty() || Events.begin()->first > End)
      return false;
    runNext();
  }
  return true;
}

void virtual_cluster::start(std::size_t Host, membership Initial) {
  virtual_host &Slot = Hosts[Host];
  Slot.Initial = std::move(Initial);
  ++Generation[Host];
  raft_settings Own = Settings;
  Own.Self = Slot.Id;
  Own.Seed += Generation[Host];
  Slot.State = {};
  Slot.Proposals.clear();
  Slot.Reads.clear();
  Slot.SyncScheduled = false;
  Slot.Node = std::make_unique<raft_node>(Own, Slot.Disk.contents(),
                                          Slot.Initial, localNow(Host));
  processOutput(Host);
  scheduleTick(Host);
}

core::time_point virtual_cluster::localNow(std::size_t Host) const {
  const auto Real = static_cast<double>(Now.time_since_epoch().count());
  return core::time_point(core::duration(
      static_cast<core::duration::rep>(Real * Hosts[Host].ClockRate)));
}

void virtual_cluster::scheduleTick(std::size_t Host) {
  const core::duration Left = Hosts[Host].Node->nextTick() - localNow(Host);
  const core::time_point Next = std::max(
      Now + core::duration(static_cast<core::duration::rep>(
                static_cast<double>(Left.count()) / Hosts[Host].ClockRate)),
      Now + milliseconds(1));
  // Ticks at least every 50 ms, because the deadline changes.
  schedule(std::min(Next, Now + milliseconds(50)), Host, [this, Host] {
    Hosts[Host].Node->tick(localNow(Host));
    scheduleTick(Host);
  });
}

void virtual_cluster::scheduleSync(std::size_t Host) {
  virtual_host &Slot = Hosts[Host];
  if (Slot.SyncScheduled || Slot.Disk.isIdle())
    return;
  Slot.SyncScheduled = true;
  const auto Delay = Slot.DiskFull
                         ? milliseconds(200)
                         : milliseconds(1 + Random() % Slot.MaxSyncMs);
  schedule(Now + Delay, Host, [this, Host] {
    virtual_host &Slot = Hosts[Host];
    Slot.SyncScheduled = false;
    if (Slot.DiskFull)
      Slot.Node->storageFailed(localNow(Host));
    else
      Slot.Node->stored(Slot.Disk.syncOldest(), localNow(Host));
  });
}

void virtual_cluster::transmit(std::size_t From,
                               const outgoing_message &Message) {
  const std::size_t To = findHost(Message.To.Name);
  const unsigned Copies = Random() % 100 < Faults.DuplicatePercent ? 2 : 1;
  for (unsigned I = 0; I < Copies; ++I) {
    if (Blocked.count({From, To}) || Random() % 100 < Faults.LossPercent)
      continue;
    const auto Delay = std::chrono::microseconds(
        500 + Random() % (1000u * static_cast<unsigned>(Faults.MaxDelayMs)));
    schedule(Now + Delay, To,
             [this, To, Sender = Hosts[From].Id, Bytes = Message.Bytes] {
               Hosts[To].Node->receive(Sender, Bytes, localNow(To));
             });
  }
}

void virtual_cluster::processOutput(std::size_t Host) {
  virtual_host &Slot = Hosts[Host];
  raft_output Output = Slot.Node->takeOutput();
  const raft_status Status = Slot.Node->status();
  if (Output.Write)
    Slot.Disk.submit(std::move(*Output.Write));
  if (Output.Restore) {
    Slot.State = applied_state::fromBytes(Output.Restore->State);
    expect(Slot.State.Index == Output.Restore->LastIndex,
           "a snapshot is the state at its index");
    Checks.checkState(Slot.State);
  }
  for (const log_entry &Entry : Output.Committed) {
    Checks.checkCommitted(Entry, Status.Term);
    Slot.State.apply(Entry);
    Checks.checkState(Slot.State);
    const auto Proposal = Slot.Proposals.find(Entry.Index);
    if (Proposal != Slot.Proposals.end() && Proposal->second == Entry.Term)
      Checks.acknowledge(Entry.Index, Entry.Term);
  }
  for (const read_result &Read : Output.Reads) {
    const auto Request = Slot.Reads.find(Read.Token);
    expect(Request != Slot.Reads.end(), "a read is answered once");
    if (Read.Confirmed) {
      Checks.checkRead(Read.Index, Request->second);
      Slot.ConfirmedReads.insert(Read.Token);
      expect(Slot.State.Index >= Read.Index,
             "the state has applied the index of a confirmed read");
    }
    Slot.Reads.erase(Request);
  }
  for (const outgoing_message &Message : Output.Messages)
    transmit(Host, Message);
  Checks.checkStatus(Slot.Id, Status);
  if (Slot.State.Index > Status.SnapshotIndex + CompactAfterEntries)
    Slot.Node->compact(Slot.State.Index, Slot.State.toBytes());
  scheduleSync(Host);
}

std::optional<std::size_t> virtual_cluster::leader() const {
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    if (!Hosts[I].Node || Hosts[I].FrozenUntil > Now ||
        Hosts[I].Node->status().Role != raft_role::Leader)
      continue;
    if (!Best ||
        Hosts[I].Node->status().Term > Hosts[*Best].Node->status().Term)
      Best = I;
  }
  return Best;
}

std::optional<std::uint64_t> virtual_cluster::propose(std::size_t Host,
                                                      std::string Payload) {
  virtual_host &Slot = Hosts[Host];
  if (!Slot.Node || Slot.FrozenUntil > Now)
    return std::nullopt;
  const auto Index =
      core::capture([&] { return Slot.Node->propose(std::move(Payload)); });
  if (!std::holds_alternative<std::uint64_t>(Index))
    return std::nullopt;
  Slot.Proposals[std::get<0>(Index)] = Slot.Node->status().Term;
  processOutput(Host);
  return std::get<0>(Index);
}

std::optional<std::uint64_t> virtual_cluster::read(std::size_t Host) {
  virtual_host &Slot = Hosts[Host];
  if (!Slot.Node || Slot.FrozenUntil > Now)
    return std::nullopt;
  const auto Token =
      core::capture([&] { return Slot.Node->requestRead(localNow(Host)); });
  if (!std::holds_alternative<std::uint64_t>(Token))
    return std::nullopt;
  Slot.Reads[std::get<0>(Token)] = Checks.lastAcknowledged();
  processOutput(Host);
  return std::get<0>(Token);
}

void virtual_cluster::crash(std::size_t Host) {
  virtual_host &Slot = Hosts[Host];
  if (!Slot.Node)
    return;
  Slot.Node.reset();
  Slot.Disk.crash(Random);
  Checks.processEnded(Slot.Id);
}

void virtual_cluster::restart(std::size_t Host) {
  if (Hosts[Host].Node)
    return;
  Hosts[Host].FrozenUntil = Now;
  start(Host, Hosts[Host].Initial);
}

void virtual_cluster::loseDisk(std::size_t Host) {
  crash(Host);
  Hosts[Host].Disk = {};
  Hosts[Host].Id.Incarnation = NextIncarnation++;
  Hosts[Host].FrozenUntil = Now;
  start(Host, {});
}

bool virtual_cluster::mayLoseDisk(std::size_t Lost) const {
  const auto KeepsDisk = [&](const replica_id &Id) {
    const std::size_t Host = findHost(Id.Name);
    return Host != Lost && Hosts[Host].Id == Id;
  };
  std::vector<membership> Views;
  for (const virtual_host &Host : Hosts) {
    if (Host.Node)
      Views.push_back(Host.Node->status().Members);
    // Restarting from the disk may restore an older membership.
    Views.push_back(
        raft_node({.Self = Host.Id}, Host.Disk.contents(), Host.Initial, Now)
            .status()
            .Members);
  }
  return std::all_of(Views.begin(), Views.end(), [&](const membership &View) {
    return View.Members.empty() || hasMajority(View, KeepsDisk);
  });
}

void virtual_cluster::freeze(std::size_t Host, core::duration Time) {
  Hosts[Host].FrozenUntil = Now + Time;
}

void virtual_cluster::setDiskFull(std::size_t Host, bool Full) {
  Hosts[Host].DiskFull = Full;
}

void virtual_cluster::setBlocked(std::size_t From, std::size_t To,
                                 bool IsBlocked) {
  if (IsBlocked)
    Blocked.insert({From, To});
  else
    Blocked.erase({From, To});
}

void virtual_cluster::healAll() {
  Blocked.clear();
  Faults = {};
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    Hosts[I].DiskFull = false;
    Hosts[I].MaxSyncMs = 10;
    Hosts[I].FrozenUntil = std::min(Hosts[I].FrozenUntil, Now);
    restart(I);
  }
}

bool virtual_cluster::hasFullMembership() const {
  const auto Leader = leader();
  if (!Leader)
    return false;
  const membership Members = Hosts[*Leader].Node->status().Members;
  return std::all_of(Hosts.begin(), Hosts.end(), [&](const virtual_host &Host) {
    return isVoter(Members, Host.Id);
  });
}

void virtual_cluster::repairMembership() {
  const auto Leader = leader();
  if (!Leader)
    return;
  raft_node &Node = *Hosts[*Leader].Node;
  membership Target = Node.status().Members;
  auto &Members = Target.Members;
  const auto Old =
      std::find_if(Members.begin(), Members.end(), [&](const member &Member) {
        return Hosts[findHost(Member.Id.Name)].Id != Member.Id;
      });
  if (Old != Members.end()) {
    Members.erase(Old);
  } else {
    for (const virtual_host &Host : Hosts) {
      const member *Known = findMember(Target, Host.Id);
      if (!Known) {
        Members.push_back({Host.Id, false});
        break;
      }
      if (!Known->Voter && Node.hasCaughtUp(Host.Id)) {
        const_cast<member *>(Known)->Voter = true;
        break;
      }
    }
  }
  core::captureFailure([&]() -> core::result<void> {
    auto Index = Node.proposeMembership(Target);
    if (!Index)
      return Index.error();
    return {};
  });
  processOutput(*Leader);
}

void virtual_cluster::changeMembership() {
  const auto Leader = leader();
  if (!Leader || !hasFullMembership())
    return;
  membership Target = Hosts[*Leader].Node->status().Members;
  const std::size_t Chosen = Random() % Target.Members.size();
  if (Random() % 2 == 0)
    Target.Members.erase(Target.Members.begin() +
                         static_cast<std::ptrdiff_t>(Chosen));
  else
    Target.Members[Chosen].Voter = false;
  core::captureFailure([&]() -> core::result<void> {
    auto Index = Hosts[*Leader].Node->proposeMembership(Target);
    if (!Index)
      return Index.error();
    return {};
  });
  processOutput(*Leader);
}

void virtual_cluster::inject(std::size_t Host, const replica_id &From,
                             std::string Bytes) {
  Hosts[Host].Node->receive(From, Bytes, localNow(Host));
  processOutput(Host);
}

} // namespace lycheetrestle::replication
