#include "membership_site.h"

#include "schedule_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace lycheetrestle::scheduling::test {

namespace {

using std::chrono::milliseconds;

constexpr core::duration Step = milliseconds(10);
constexpr core::duration ConfigureInterval = milliseconds(700);
constexpr core::duration SubmitInterval = milliseconds(300);

std::string nameOf(std::size_t Index) {
  return "10.0.0." + std::to_string(Index + 1);
}

} // namespace

membership_site::membership_site(site_shape NewShape)
    : Shape(std::move(NewShape)), Random(Shape.Seed),
      Hosts(Shape.HasDisk.size()) {
  for (std::size_t Index = 0; Index != Hosts.size(); ++Index)
    Hosts[Index].Name = nameOf(Index);
  if (!Shape.IsEarlierVersion)
    return;
  replication::membership Initial;
  for (auto Seed : Shape.Seeds)
    Initial.Members.push_back({{nameOf(Seed), 1}, true});
  for (auto Seed : Shape.Seeds) {
    Hosts[Seed].Identity = replication::replica_id{nameOf(Seed), 1};
    Hosts[Seed].Initial = Initial;
  }
}

core::duration membership_site::randomTime(core::duration Limit) {
  return core::duration(static_cast<core::duration::rep>(
      randomBelow(static_cast<std::uint64_t>(Limit.count()) + 1)));
}

bool membership_site::isUp(std::size_t Index) const {
  return Hosts[Index].Replica || Hosts[Index].Observer;
}

const schedule_node *membership_site::replica(std::size_t Index) const {
  return Hosts[Index].Replica.get();
}

const observer_node *membership_site::observer(std::size_t Index) const {
  return Hosts[Index].Observer.get();
}

std::size_t membership_site::indexOf(const std::string &Name) const {
  return static_cast<std::size_t>(
      std::find_if(Hosts.begin(), Hosts.end(),
                   [&](const auto &Host) { return Host.Name == Name; }) -
      Hosts.begin());
}

void membership_site::start(std::size_t Index, core::duration After) {
  if (!isUp(Index))
    Hosts[Index].StartAt = Now + After;
}

std::vector<std::string> membership_site::laterSeeds() {
  std::vector<std::string> Result;
  for (const auto &Host : Hosts)
    Result.push_back(Host.Name);
  std::shuffle(Result.begin(), Result.end(), Random);
  Result.resize(Shape.Seeds.size());
  return Result;
}

void membership_site::boot(std::size_t Index) {
  auto &Host = Hosts[Index];
  Host.StartAt.reset();
  ++Host.Life;
  bool IsFirst = Host.Life == 1;
  scheduler_settings Settings;
  Settings.Address = Host.Name;
  Settings.Zone = Shape.Zones[Index];
  Settings.ToleratedLosses = Shape.ToleratedLosses;
  Settings.SnapshotEveryEntries = Shape.SnapshotEveryEntries;
  Settings.IsFounding = (IsFirst || Shape.IsAlwaysFounding) && !Host.Identity;
  Settings.StartNonce = Random();
  // The seeds change only after the cluster was founded, and at least one of
  // them is another host.
  if (!IsFirst && !Shape.LaterSeeds.empty())
    for (auto Seed : Shape.LaterSeeds)
      Settings.Seeds.push_back(nameOf(Seed));
  else if (IsFirst || !isFounded() || Shape.Seeds.size() < 2 ||
           randomBelow(2) == 0)
    for (auto Seed : Shape.Seeds)
      Settings.Seeds.push_back(nameOf(Seed));
  else
    Settings.Seeds = laterSeeds();
  Host.Dialled.clear();
  Host.RedialAt.clear();
  if (Shape.MaxRedialDelay > core::duration())
    for (auto &Other : Hosts)
      Other.RedialAt[Host.Name] = Now + randomTime(Shape.MaxRedialDelay);
  Host.FrozenUntil = {};
  Host.WasLeading = false;
  if (!Shape.HasDisk[Index]) {
    Host.Observer = std::make_unique<observer_node>(Settings);
    return;
  }
  if (!Host.Identity)
    Host.Identity =
        replication::replica_id{Host.Name, 2 + Random() % 1'000'000};
  Host.Metrics = std::make_unique<core::metrics_registry>();
  Host.Replica = std::make_unique<schedule_node>(
      Settings, *Host.Identity, Host.Disk.contents(), Host.Initial,
      *Host.Metrics, Now);
}

void membership_site::stop(std::size_t Index) {
  auto &Host = Hosts[Index];
  Host.Replica.reset();
  Host.Observer.reset();
  Host.StartAt.reset();
  Host.WritesPending = 0;
}

void membership_site::kill(std::size_t Index) {
  while (!Hosts[Index].Disk.isIdle())
    Hosts[Index].Disk.syncOldest();
  stop(Index);
}

void membership_site::losePower(std::size_t Index) {
  Hosts[Index].Disk.crash(Random);
  stop(Index);
}

void membership_site::loseDisk(std::size_t Index) {
  REQUIRE(!isUp(Index));
  Hosts[Index].Disk = {};
  Hosts[Index].Identity.reset();
  Hosts[Index].Initial = {};
}

void membership_site::freeze(std::size_t Index, core::duration Time) {
  Hosts[Index].FrozenUntil = Now + Time;
}

void membership_site::slowDown(std::size_t Index, core::duration Sync) {
  Hosts[Index].SyncTime = Sync;
}

void membership_site::cut(std::size_t First, std::size_t Second,
                          core::duration Time) {
  CutUntil[std::minmax(First, Second)] = Now + Time;
}

bool membership_site::hasDialled(std::size_t From, std::size_t To) const {
  const auto &Host = Hosts[From];
  auto Redial = Host.RedialAt.find(Hosts[To].Name);
  return Host.Dialled.count(Hosts[To].Name) > 0 &&
         (Redial == Host.RedialAt.end() || Now >= Redial->second);
}

bool membership_site::isLinked(std::size_t First, std::size_t Second) const {
  // Either side may have opened the link.
  return isUp(First) && isUp(Second) && !isCut(First, Second) &&
         (hasDialled(First, Second) || hasDialled(Second, First));
}

void membership_site::receiveStatus(std::size_t Index,
                                    std::span<const std::string> Addresses) {
  if (auto &Host = Hosts[Index]; Host.Replica)
    Host.Replica->addPeers(Addresses);
  else if (Host.Observer)
    Host.Observer->addReplicas(Addresses);
}

void membership_site::reportLinks() {
  for (std::size_t Index = 0; Index != Hosts.size(); ++Index) {
    if (!Hosts[Index].Observer || Now < Hosts[Index].FrozenUntil)
      continue;
    for (std::size_t Peer = 0; Peer != Hosts.size(); ++Peer) {
      if (Peer == Index)
        continue;
      auto Reported = ReportedLinks.find({Index, Peer});
      std::pair Lives{Hosts[Index].Life, Hosts[Peer].Life};
      bool WasLinked = Reported != ReportedLinks.end() &&
                       Reported->second.first == Lives.first;
      bool IsLinked = isLinked(Index, Peer);
      if (WasLinked && (!IsLinked || Reported->second != Lives))
        Hosts[Index].Observer->linkChanged(Hosts[Peer].Name, false);
      if (IsLinked && (!WasLinked || Reported->second != Lives))
        Hosts[Index].Observer->linkChanged(Hosts[Peer].Name, true);
      if (IsLinked)
        ReportedLinks[{Index, Peer}] = Lives;
      else
        ReportedLinks.erase({Index, Peer});
    }
  }
}

bool membership_site::isCut(std::size_t First, std::size_t Second) const {
  auto Found = CutUntil.find(std::minmax(First, Second));
  return Found != CutUntil.end() && Now < Found->second;
}

void membership_site::disturb(unsigned Thousandths, core::duration Delay) {
  LostThousandths = Thousandths;
  MaxDelay = Delay;
}

void membership_site::run(core::duration Time) {
  for (auto End = Now + Time; Now < End;)
    step();
}

bool membership_site::runUntil(const std::function<bool()> &Condition,
                               core::duration Limit) {
  for (auto End = Now + Limit; Now < End; step())
    if (Condition())
      return true;
  return Condition();
}

std::optional<std::size_t> membership_site::leader() const {
  std::optional<std::size_t> Found;
  std::uint64_t Term = 0;
  for (std::size_t Index = 0; Index != Hosts.size(); ++Index) {
    const auto &Replica = Hosts[Index].Replica;
    if (!Replica || !Replica->isLeading() || Replica->status().Term < Term)
      continue;
    Found = Index;
    Term = Replica->status().Term;
  }
  return Found;
}

bool membership_site::isFounded() const {
  return std::any_of(Hosts.begin(), Hosts.end(), [](const auto &Host) {
    const auto &Contents = Host.Disk.contents();
    return Contents.Snapshot || !Contents.Entries.empty();
  });
}

bool membership_site::isCalm() const {
  for (std::size_t Index = 0; Index != Hosts.size(); ++Index)
    if (!isUp(Index) || Now < Hosts[Index].FrozenUntil)
      return false;
  return std::none_of(CutUntil.begin(), CutUntil.end(),
                      [&](const auto &Item) { return Now < Item.second; });
}

bool membership_site::hasFoundingMajority() const {
  auto Count = std::count_if(
      Shape.Seeds.begin(), Shape.Seeds.end(),
      [&](std::size_t Seed) { return isUp(Seed) && Hosts[Seed].Life == 1; });
  return 2 * static_cast<std::size_t>(Count) > Shape.Seeds.size();
}

std::size_t membership_site::voters() const {
  auto Leader = leader();
  if (!Leader)
    return 0;
  auto Status = Hosts[*Leader].Replica->status();
  return static_cast<std::size_t>(std::count_if(
      Status.Members.Members.begin(), Status.Members.Members.end(),
      [](const auto &Member) { return Member.Voter; }));
}

bool membership_site::isComplete() const {
  auto Leader = leader();
  if (!Leader)
    return false;
  auto Disks = static_cast<std::size_t>(
      std::count(Shape.HasDisk.begin(), Shape.HasDisk.end(), true));
  auto Wanted = std::max<std::size_t>(3, 2 * Shape.ToleratedLosses + 1);
  auto Expected = Hosts[*Leader].Replica->status();
  // A voter may be left over from the time before the membership was complete.
  if (voters() < std::min(Disks, Wanted))
    return false;
  for (std::size_t Index = 0; Index != Hosts.size(); ++Index) {
    if (!Shape.HasDisk[Index])
      continue;
    auto Member = std::find_if(Expected.Members.Members.begin(),
                               Expected.Members.Members.end(),
                               [&](const auto &Candidate) {
                                 return Candidate.Id.Name == Hosts[Index].Name;
                               });
    if (Member == Expected.Members.Members.end() || !Hosts[Index].Replica ||
        Member->Id != Hosts[Index].Identity ||
        Hosts[Index].Replica->status().LastIndex + 20 < Expected.LastIndex)
      return false;
  }
  return true;
}

std::string membership_site::describe() const {
  std::string Text =
      "now " +
      std::to_string(
          std::chrono::duration_cast<milliseconds>(Now.time_since_epoch())
              .count()) +
      " acknowledged " + std::to_string(AcknowledgedVersion) + " and " +
      std::to_string(AcknowledgedJobs.size()) + " jobs";
  for (const auto &Host : Hosts) {
    Text += "\n" + Host.Name + " life " + std::to_string(Host.Life);
    if (Host.Observer)
      Text += " observer, leader " + Host.Observer->leader(Now);
    if (!Host.Replica)
      continue;
    auto Status = Host.Replica->status();
    Text += " incarnation " + std::to_string(Host.Identity->Incarnation) +
            " role " + std::to_string(static_cast<int>(Status.Role)) +
            " term " + std::to_string(Status.Term) + " commit " +
            std::to_string(Status.CommitIndex) + " last " +
            std::to_string(Status.LastIndex) +
            (Status.IsRemoved ? " removed" : "") + " members";
    for (const auto &Member : Status.Members.Members)
      Text += " " + Member.Id.Name + "/" +
              std::to_string(Member.Id.Incarnation) + (Member.Voter ? "v" : "");
  }
  return Text;
}

void membership_site::step() {
  Now += Step;
  for (std::size_t Index = 0; Index != Hosts.size(); ++Index)
    if (Hosts[Index].StartAt && *Hosts[Index].StartAt <= Now)
      boot(Index);
  sendCalls();
  reportLinks();
  deliver();
  for (std::size_t Index = 0; Index != Hosts.size(); ++Index)
    if (isUp(Index) && Now >= Hosts[Index].FrozenUntil)
      execute(Index);
  if (StepHandler)
    StepHandler();
}

void membership_site::deliver() {
  std::vector<std::pair<core::time_point, message_in_flight>> Delayed;
  while (!Messages.empty() && Messages.begin()->first <= Now) {
    auto Message = std::move(Messages.begin()->second);
    Messages.erase(Messages.begin());
    auto &To = Hosts[Message.To];
    if (!isUp(Message.To) || To.Life != Message.ToLife ||
        Hosts[Message.From].Life != Message.FromLife ||
        isCut(Message.From, Message.To))
      continue;
    if (Now < To.FrozenUntil) {
      Delayed.emplace_back(To.FrozenUntil, std::move(Message));
      continue;
    }
    if (To.Replica)
      To.Replica->receive(Hosts[Message.From].Name, Message.Bytes, Now);
    else
      To.Observer->receive(Hosts[Message.From].Name, Message.Bytes, Now);
  }
  for (auto &[At, Message] : Delayed)
    Messages.emplace(At, std::move(Message));
}

void membership_site::post(std::size_t From, const peer_message &Message) {
  auto To = indexOf(Message.Peer);
  if (To == Hosts.size() || To == From || !isLinked(From, To) ||
      randomBelow(1000) < LostThousandths)
    return;
  // A link keeps the order of its messages.
  auto &Last = LastDelivery[{From, To}];
  Last = std::max(Last, Now + milliseconds(1) + randomTime(MaxDelay));
  Messages.emplace(Last, message_in_flight{From, To, Hosts[From].Life,
                                           Hosts[To].Life, Message.Bytes});
}

void membership_site::sync(simulated_host &Host) {
  while (Host.WritesPending > 0 && Now >= Host.NextSync) {
    Host.NextSync = Now + Host.SyncTime;
    --Host.WritesPending;
    Host.Replica->stored(Host.Disk.syncOldest(), Now);
  }
}

void membership_site::execute(std::size_t Index) {
  auto &Host = Hosts[Index];
  if (Host.Observer) {
    Host.Observer->tick(Now);
    auto Actions = Host.Observer->takeActions();
    Host.Dialled.insert(Actions.NewPeers.begin(), Actions.NewPeers.end());
    for (const auto &Message : Actions.Messages)
      post(Index, Message);
    return;
  }
  sync(Host);
  Host.Replica->tick(Now);
  auto Actions = Host.Replica->takeActions(Now);
  Host.Dialled.insert(Actions.NewPeers.begin(), Actions.NewPeers.end());
  for (auto &Write : Actions.Writes) {
    checkFounding(Write);
    if (Host.WritesPending == 0)
      Host.NextSync = Now + Host.SyncTime;
    ++Host.WritesPending;
    Host.Disk.submit(std::move(Write));
  }
  for (const auto &Message : Actions.Messages)
    post(Index, Message);
  for (const auto &Reply : Actions.Replies)
    finish(Reply);
  checkLeader(Index);
}

void membership_site::checkFounding(const replication::storage_write &Write) {
  for (const auto &Entry : Write.Append) {
    if (Entry.Index != 1 || Shape.IsEarlierVersion)
      continue;
    INFO(describe());
    REQUIRE(Entry.Term == 1);
    REQUIRE(Entry.Kind == replication::entry_kind::Membership);
    if (FoundingEntry.empty())
      FoundingEntry = Entry.Payload;
    REQUIRE(Entry.Payload == FoundingEntry);
  }
}

void membership_site::checkLeader(std::size_t Index) {
  auto &Host = Hosts[Index];
  bool IsLeading = Host.Replica->isLeading();
  if (IsLeading == std::exchange(Host.WasLeading, IsLeading) || !IsLeading)
    return;
  auto Term = Host.Replica->status().Term;
  INFO(describe());
  REQUIRE(LeaderOfTerm.emplace(Term, Index).first->second == Index);
  // A leader that was overtaken before it noticed its election knows less.
  if (Term < LastTerm)
    return;
  LastTerm = Term;
  const auto &State = Host.Replica->state();
  REQUIRE(State.currentConfiguration().Version >= AcknowledgedVersion);
  for (const auto &Job : AcknowledgedJobs)
    REQUIRE(State.findJob(Job) != nullptr);
}

void membership_site::finish(const reply &Reply) {
  auto Found = Calls.find(Reply.Id);
  REQUIRE(Found != Calls.end());
  auto Call = std::move(Found->second);
  Calls.erase(Found);
  if (Reply.Kind != reply_kind::Accepted)
    return;
  if (Call.Version == 0) {
    AcknowledgedJobs.insert(Call.Job);
    return;
  }
  if (AcknowledgedVersion == 0) {
    auto Log = Hosts[Call.Host].Replica->status().CommitIndex;
    FirstCopies = static_cast<std::size_t>(
        std::count_if(Hosts.begin(), Hosts.end(), [&](const auto &Host) {
          const auto &Entries = Host.Disk.contents().Entries;
          return !Entries.empty() && Entries.back().Index >= Log;
        }));
  }
  AcknowledgedVersion = std::max(AcknowledgedVersion, Call.Version);
}

std::optional<std::size_t> membership_site::target() {
  auto Index = randomBelow(Hosts.size());
  for (int Redirects = 0; Redirects != 3; ++Redirects) {
    if (Index == Hosts.size() || !isUp(Index) || Now < Hosts[Index].FrozenUntil)
      return std::nullopt;
    const auto &Host = Hosts[Index];
    if (Host.Replica && Host.Replica->isLeading())
      return Index;
    auto Leader = Host.Replica ? Host.Replica->leaderAddress()
                               : Host.Observer->leader(Now);
    if (Leader.empty())
      return std::nullopt;
    Index = indexOf(Leader);
  }
  return std::nullopt;
}

void membership_site::sendCalls() {
  if (Now >= NextConfigure) {
    NextConfigure = Now + ConfigureInterval;
    if (AcknowledgedVersion == SentVersion)
      ++SentVersion;
    if (auto Index = target()) {
      auto Id = ++LastCall;
      Calls[Id] = {*Index, Hosts[*Index].Life, SentVersion, ""};
      Hosts[*Index].Replica->handle(
          {Id, configure_call{makeConfiguration(SentVersion)}}, Now);
    }
  }
  if (Now >= NextSubmit && AcknowledgedVersion > 0) {
    NextSubmit = Now + SubmitInterval;
    if (auto Index = target()) {
      auto Id = ++LastCall;
      auto Job = makeJob("j" + std::to_string(++LastJob), {makeStep(1)});
      Calls[Id] = {*Index, Hosts[*Index].Life, 0, Job.Id};
      auto Path = Prefix + Job.Id;
      Hosts[*Index].Replica->handle(
          {Id, submit_call{Host, std::move(Path), std::move(Job)}}, Now);
    }
  }
}

} // namespace lycheetrestle::scheduling::test
