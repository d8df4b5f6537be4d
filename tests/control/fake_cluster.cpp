#include "fake_cluster.h"

#include <algorithm>

namespace lycheetrestle::control {

namespace {

void execute(replication::persistent_state &Disk,
             const replication::storage_write &Write) {
  auto EraseIf = [&](auto Condition) {
    Disk.Entries.erase(
        std::remove_if(Disk.Entries.begin(), Disk.Entries.end(), Condition),
        Disk.Entries.end());
  };
  if (Write.Hard)
    Disk.Hard = *Write.Hard;
  if (Write.Snapshot) {
    Disk.Snapshot = Write.Snapshot;
    EraseIf([&](const auto &Entry) {
      return Entry.Index <= Write.Snapshot->LastIndex;
    });
  }
  if (Write.TruncateFrom)
    EraseIf(
        [&](const auto &Entry) { return Entry.Index >= *Write.TruncateFrom; });
  Disk.Entries.insert(Disk.Entries.end(), Write.Append.begin(),
                      Write.Append.end());
}

} // namespace

fake_cluster::fake_cluster(int Replicas, int Entries) {
  replication::membership Initial;
  for (int Index = 1; Index <= Replicas; ++Index) {
    auto Name = "c" + std::to_string(Index);
    Settings.Controls.push_back({Name, "z", {}, {"127.0.0.1", 8000}});
    Initial.Members.push_back({{Name, 1}, true});
  }
  for (int Index = 1; Index <= Entries; ++Index) {
    Settings.Entries.push_back({"e" + std::to_string(Index), {}});
    Reporting.insert("e" + std::to_string(Index));
  }
  Settings.Cluster = "test";
  for (const auto &Member : Initial.Members) {
    auto &Node = Nodes[Member.Id.Name];
    Node.Id = Member.Id;
    Node.Initial = Initial;
    start(Node);
  }
}

void fake_cluster::start(node &Node) {
  auto Own = Settings;
  Own.Name = Node.Id.Name;
  Node.Writes.clear();
  Node.Loop = std::make_unique<control_loop>(std::move(Own), Node.Id, Node.Disk,
                                             Node.Initial, Metrics, Now);
}

void fake_cluster::kill(const std::string &Name) {
  Nodes.at(Name).Loop.reset();
  Nodes.at(Name).Writes.clear();
}

void fake_cluster::restart(const std::string &Name) { start(Nodes.at(Name)); }

void fake_cluster::restartEmpty(const std::string &Name,
                                std::uint64_t Incarnation) {
  auto &Node = Nodes.at(Name);
  Node = {};
  Node.Id = {Name, Incarnation};
  start(Node);
}

void fake_cluster::setDiskStalled(const std::string &Name, bool IsStalled) {
  Nodes.at(Name).IsDiskStalled = IsStalled;
}

void fake_cluster::setReporting(const std::string &Entry, bool IsReporting) {
  if (IsReporting)
    Reporting.insert(Entry);
  else
    Reporting.erase(Entry);
}

void fake_cluster::run(core::duration Time) {
  for (auto End = Now + Time; Now < End;)
    step();
}

bool fake_cluster::runUntil(const std::function<bool()> &Condition,
                            core::duration Limit) {
  for (auto End = Now + Limit; Now < End; step())
    if (Condition())
      return true;
  return Condition();
}

std::string fake_cluster::leader() const {
  std::string Name;
  std::uint64_t Term = 0;
  for (const auto &[Candidate, Node] : Nodes) {
    if (!Node.Loop)
      continue;
    auto Status = Node.Loop->status();
    if (Status.Role != replication::raft_role::Leader || Status.Term < Term)
      continue;
    Name = Candidate;
    Term = Status.Term;
  }
  return Name;
}

std::string fake_cluster::awaitLeader() {
  bool Agreed = runUntil([&] {
    auto Name = leader();
    if (Name.empty())
      return false;
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Pair) {
      if (!Pair.second.Loop || Isolated.count(Pair.first))
        return true;
      auto Known = Pair.second.Loop->status().Leader;
      return Known && Known->Name == Name;
    });
  });
  return Agreed ? leader() : std::string();
}

std::uint64_t fake_cluster::request(const std::string &Name,
                                    operation Operation) {
  loop(Name).handle({++LastRequest, std::move(Operation)}, Now);
  return LastRequest;
}

std::uint64_t fake_cluster::submit(const std::string &Name,
                                   const std::string &Submission,
                                   fleet::command_body Body) {
  return request(Name, submit_operation{Submission, "tester", std::move(Body)});
}

std::optional<control_answer> fake_cluster::answer(std::uint64_t Id) const {
  auto Found = Answers.find(Id);
  if (Found == Answers.end())
    return std::nullopt;
  return Found->second;
}

control_answer fake_cluster::await(std::uint64_t Id) {
  runUntil([&] { return answer(Id).has_value(); });
  return answer(Id).value_or(control_answer{Id, 0, "no answer", ""});
}

void fake_cluster::send(const std::string &Entry, const std::string &Replica,
                        const routing::message &Message) {
  InTransit.push_back({Entry, Replica, routing::encode(Message)});
}

void fake_cluster::sendReports() {
  if (Now < NextReport)
    return;
  NextReport = Now + std::chrono::seconds(1);
  auto Leader = leader();
  if (Leader.empty())
    return;
  const auto &State = loop(Leader).state();
  routing::entry_report Report;
  Report.Serving = true;
  Report.ViewIndex = State.viewIndex();
  Report.DeclarationNumber = State.currentDeclaration().Number;
  for (const auto &Entry : Reporting)
    send(Entry, Leader, Report);
}

void fake_cluster::step() {
  Now += Step;
  sendReports();
  auto Arrived = std::exchange(InTransit, {});
  for (const auto &Transfer : Arrived) {
    if (Isolated.count(Transfer.From) || Isolated.count(Transfer.To))
      continue;
    auto Node = Nodes.find(Transfer.To);
    if (Node == Nodes.end())
      Inboxes[Transfer.To].push_back(std::get<0>(core::capture(
          [&] { return routing::decodeMessage(Transfer.Bytes); })));
    else if (Node->second.Loop)
      Node->second.Loop->receive(Transfer.From, Transfer.Bytes, Now);
  }
  for (auto &[Name, Node] : Nodes)
    if (Node.Loop)
      collect(Name, Node);
}

void fake_cluster::collect(const std::string &Name, node &Node) {
  if (!Node.IsDiskStalled)
    for (const auto &Write : std::exchange(Node.Writes, {})) {
      execute(Node.Disk, Write);
      Node.Loop->stored(Write.Ticket, Now);
    }
  Node.Loop->tick(Now);
  auto Actions = Node.Loop->takeActions(Now);
  for (auto &Message : Actions.Messages)
    InTransit.push_back({Name, Message.Peer, std::move(Message.Bytes)});
  for (auto &Write : Actions.Writes)
    Node.Writes.push_back(std::move(Write));
  for (auto &Answer : Actions.Answers)
    Answers[Answer.Id] = std::move(Answer);
}

fleet::declaration smallDeclaration(std::uint64_t Number) {
  fleet::declaration Result;
  Result.Number = Number;
  fleet::pool_spec Pool;
  Pool.Name = "gate";
  Pool.Budget.MinAvailableHosts = 2;
  Result.Pools.push_back(Pool);
  Result.Services.push_back({"plots", "gate", fleet::work_class::Urgent, 2000});
  for (int Index = 1; Index <= 4; ++Index) {
    auto Text = std::to_string(Index);
    Result.Hosts.push_back(
        {"w" + Text, "gate", "z" + Text, "r" + Text, {64, 131072, 0}});
  }
  return Result;
}

} // namespace lycheetrestle::control
