#include "simulated_cluster.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace lycheetrestle::routing::test {

using namespace std::chrono_literals;

namespace {

constexpr int EntryCount = 5;
constexpr int ControlCount = 3;
constexpr int EndpointCount = 8;
constexpr core::duration TickInterval = 10ms;
// A probe sent just before the isolation may still be answered, so an isolated
// entry can serve for this long.
constexpr core::duration FreshnessBound = 3s;

bool isControlName(const std::string &Name) { return Name[0] == 'c'; }

} // namespace

void virtual_clock::runUntil(core::time_point End) {
  while (!Events.empty() && Events.begin()->first <= End) {
    auto First = Events.extract(Events.begin());
    Now = First.key();
    First.mapped()();
  }
  Now = End;
}

simulated_cluster::simulated_cluster(std::uint64_t Seed) : Random(Seed) {
  for (int Index = 1; Index <= EntryCount; ++Index) {
    auto Name = "e" + std::to_string(Index);
    Entries[Name].Name = Name;
    Processes.push_back(Name);
  }
  for (int Index = 1; Index <= ControlCount; ++Index)
    Processes.push_back("c" + std::to_string(Index));
  Leader = "c1";
  for (int Index = 0; Index < EndpointCount; ++Index) {
    endpoint Endpoint;
    Endpoint.Name = "ep" + std::to_string(Index);
    Endpoint.Host = "w" + std::to_string(Index % 6);
    Endpoint.Service = Index % 2 ? "plots" : "water";
    Endpoint.Address = "10.0.0." + std::to_string(Index + 1) + ":80";
    Endpoints.push_back(Endpoint);
  }
}

bool simulated_cluster::randomChance(double Probability) {
  return std::uniform_real_distribution<>()(Random) < Probability;
}

core::duration simulated_cluster::randomMilliseconds(std::uint64_t Low,
                                                     std::uint64_t High) {
  return std::chrono::microseconds(Low * 1000 +
                                   randomBelow((High - Low) * 1000 + 1));
}

void simulated_cluster::require(bool Holds,
                                const std::string &Violation) const {
  if (Holds)
    return;
  auto Time = std::chrono::duration<double>(Clock.now().time_since_epoch());
  throw std::logic_error(Violation + " at " + std::to_string(Time.count()) +
                         " s");
}

void simulated_cluster::deliver(const std::string &Name,
                                std::function<void(entry_router &)> Event) {
  auto &Entry = Entries.at(Name);
  if (!Entry.Router)
    return;
  if (Entry.IsFrozen) {
    Entry.Backlog.push_back(std::move(Event));
    return;
  }
  Event(*Entry.Router);
  processOutput(Entry);
}

void simulated_cluster::processOutput(entry &Entry) {
  auto Output = Entry.Router->takeOutput();
  for (const auto &Response : Output.Responses)
    onResponse(Response);
  for (const auto &Attempt : Output.Dispatch)
    dispatch(Entry, Attempt);
  for (const auto &Message : Output.Messages)
    send(Entry.Name, Message.Peer, Message.Message);
}

void simulated_cluster::startEntry(entry &Entry) {
  router_settings Settings;
  Settings.Self = Entry.Name;
  Settings.Incarnation = Random();
  for (const auto &Name : Processes)
    (isControlName(Name) ? Settings.Controls : Settings.Entries)
        .push_back(Name);
  Entry.Incarnation = Settings.Incarnation;
  Entry.Metrics = std::make_unique<core::metrics_registry>();
  Entry.Router =
      std::make_unique<entry_router>(Settings, *Entry.Metrics, Clock.now());
  Entry.LastIndex = 0;
  refreshLinks();
}

void simulated_cluster::stopEntry(entry &Entry) {
  Entry.Router.reset();
  Entry.Backlog.clear();
  Entry.IsFrozen = false;
  Entry.IsStopping = false;
  Entry.IsolatedSince.reset();
  refreshLinks();
  // The callers see their connections close.
  for (auto &[Id, Submission] : Submissions) {
    if (Submission.Entry != Entry.Name || Submission.Responses > 0 ||
        Submission.IsLost)
      continue;
    Submission.IsLost = true;
    Clock.after(randomMilliseconds(1, 500),
                [this, Copy = Submission] { resend(Copy); });
  }
}

void simulated_cluster::tickEntries() {
  for (auto &[Name, Entry] : Entries) {
    if (!Entry.Router || Entry.IsFrozen)
      continue;
    deliver(Name, [this](entry_router &Router) { Router.tick(Clock.now()); });
    checkEntry(Entry);
  }
  Clock.after(TickInterval, [this] { tickEntries(); });
}

void simulated_cluster::checkEntry(entry &Entry) {
  bool IsReady = Entry.Router->isReady(Clock.now());
  require(!IsReady || !Entry.IsolatedSince ||
              Clock.now() - *Entry.IsolatedSince <= FreshnessBound,
          Entry.Name +
              " serves although it has been isolated for more than 3 s");
  // Building the status is expensive, so the version is checked every 50 ms.
  if (Clock.now().time_since_epoch() % 50ms != 0us)
    return;
  auto Index = viewIndex(*Entry.Router);
  require(Index >= Entry.LastIndex,
          Entry.Name + " went back to an older version");
  Entry.LastIndex = Index;
}

std::uint64_t simulated_cluster::viewIndex(const entry_router &Router) const {
  auto Status = nlohmann::json::parse(Router.statusJson(Clock.now()));
  return Status["view_index"].get<std::uint64_t>();
}

simulated_cluster::link &simulated_cluster::linkOf(const std::string &Left,
                                                   const std::string &Right) {
  return Links[std::minmax(Left, Right)];
}

bool simulated_cluster::isAlive(const std::string &Name) const {
  return isControlName(Name) || Entries.at(Name).Router;
}

void simulated_cluster::refreshLinks() {
  for (std::size_t Left = 0; Left < Processes.size(); ++Left) {
    for (std::size_t Right = 0; Right < Left; ++Right) {
      const auto &A = Processes[Left];
      const auto &B = Processes[Right];
      auto &Link = linkOf(A, B);
      bool ShouldBeUp = !Link.IsCut && isAlive(A) && isAlive(B);
      if (Link.IsUp == ShouldBeUp)
        continue;
      Link.IsUp = ShouldBeUp;
      ++Link.Epoch;
      for (const auto &[Name, Peer] : {std::pair(A, B), std::pair(B, A)})
        if (!isControlName(Name))
          deliver(Name, [this, Peer = Peer, ShouldBeUp](entry_router &Router) {
            Router.onPeerChange(Peer, ShouldBeUp, Clock.now());
          });
    }
  }
}

void simulated_cluster::send(const std::string &From, const std::string &To,
                             const message &Message) {
  auto &Link = linkOf(From, To);
  if (!Link.IsUp || Link.IsCut || randomChance(LossProbability))
    return;
  auto Delay = randomChance(0.01) && AreFaultsOn ? randomMilliseconds(20, 600)
                                                 : randomMilliseconds(1, 3);
  auto &Last = Link.LastArrival[From < To];
  auto Arrival = std::max(Clock.now() + Delay, Last + 1us);
  Last = Arrival;
  Clock.after(Arrival - Clock.now(), [this, From, To, Epoch = Link.Epoch,
                                      Bytes = encode(Message)] {
    auto &Now = linkOf(From, To);
    if (Now.Epoch != Epoch || !Now.IsUp || Now.IsCut)
      return;
    auto Outcome = core::capture([&] { return decodeMessage(Bytes); });
    require(Outcome.index() == 0,
            "a message sent by an entry or by control cannot be decoded");
    auto Message = std::get<0>(Outcome);
    if (isControlName(To))
      return onControlMessage(To, From, Message);
    deliver(To, [this, From, Message](entry_router &Router) {
      Router.onMessage(From, Message, Clock.now());
    });
  });
}

void simulated_cluster::cut(const std::string &Left, const std::string &Right,
                            core::duration Length) {
  linkOf(Left, Right).IsCut = true;
  // The processes detect the cut after up to 1.5 s.
  Clock.after(randomMilliseconds(0, 1500), [this] { refreshLinks(); });
  Clock.after(Length, [this, Left, Right] {
    linkOf(Left, Right).IsCut = false;
    refreshLinks();
    for (const auto &Name : {Left, Right})
      if (!isControlName(Name))
        Entries.at(Name).IsolatedSince.reset();
  });
}

void simulated_cluster::isolate(const std::string &Name,
                                core::duration Length) {
  auto &Entry = Entries.at(Name);
  bool WasIsolated = Entry.IsolatedSince.has_value();
  for (const auto &Other : Processes)
    if (Other != Name)
      cut(Name, Other, Length);
  if (Entry.Router && !WasIsolated)
    Entry.IsolatedSince = Clock.now();
}

void simulated_cluster::onControlMessage(const std::string &To,
                                         const std::string &From,
                                         const message &Message) {
  if (auto *Probe = std::get_if<probe>(&Message)) {
    bool IsLeader = To == Leader;
    Clock.after(IsLeader ? randomMilliseconds(1, 120) : 0us,
                [this, To, From, IsLeader, Probe = *Probe] {
                  if (IsLeader && (To != Leader || !HasMajority))
                    return;
                  probe_reply Reply;
                  Reply.Nonce = Probe.Nonce;
                  Reply.Leader = Leader;
                  Reply.Confirmed = IsLeader;
                  if (IsLeader)
                    Reply.Delta = Control.deltaSince(Probe.KnownViewIndex);
                  send(To, From, Reply);
                });
  } else if (auto *Report = std::get_if<entry_report>(&Message)) {
    if (To == Leader)
      Control.onReport(From, *Report, EntryCount, Clock.now());
  } else if (auto *Reserve = std::get_if<key_reserve>(&Message)) {
    commit(To, From, *Reserve);
  } else if (auto *Complete = std::get_if<key_complete>(&Message)) {
    commit(To, From, *Complete);
  } else if (auto *Abandon = std::get_if<key_abandon>(&Message)) {
    commit(To, From, *Abandon);
  }
}

template <typename Command>
void simulated_cluster::commit(const std::string &To, const std::string &From,
                               const Command &Key) {
  if (To != Leader) {
    key_reply Reply;
    Reply.RequestId = Key.RequestId;
    Reply.Reason = "not-leader";
    return send(To, From, Reply);
  }
  Clock.after(
      randomMilliseconds(2, AreFaultsOn && randomChance(0.05) ? 400 : 8),
      [this, To, From, Key, Term = Term] {
        bool IsLeader = Term == this->Term && HasMajority;
        // A command of a deposed leader may or may not commit.
        if (!IsLeader && randomChance(0.5))
          return;
        auto Reply = Control.apply(Key);
        if (IsLeader)
          send(To, From, Reply);
      });
}

void simulated_cluster::faultLoop(core::time_point Until) {
  if (Clock.now() >= Until)
    return;
  auto Name = "e" + std::to_string(1 + randomBelow(EntryCount));
  auto &Entry = Entries.at(Name);
  switch (randomBelow(12)) {
  case 0:
  case 1: {
    auto Other = Processes[randomBelow(Processes.size())];
    if (Other != Name)
      cut(Name, Other, randomMilliseconds(50, 5000));
    break;
  }
  case 2:
    isolate(Name, randomMilliseconds(200, 8000));
    break;
  case 3:
  case 4:
    if (!Entry.Router || Entry.IsFrozen)
      break;
    Entry.IsFrozen = true;
    Clock.after(randomMilliseconds(100, 7000),
                [this, Name, Incarnation = Entry.Incarnation] {
                  auto &Resumed = Entries.at(Name);
                  if (Resumed.Incarnation != Incarnation || !Resumed.Router)
                    return;
                  Resumed.IsFrozen = false;
                  for (auto &Event : std::exchange(Resumed.Backlog, {}))
                    deliver(Name, std::move(Event));
                });
    break;
  case 5:
    if (!Entry.Router)
      break;
    stopEntry(Entry);
    Clock.after(randomMilliseconds(10, 3000), [this, Name] {
      if (!Entries.at(Name).Router)
        startEntry(Entries.at(Name));
    });
    break;
  case 10:
    if (!Entry.Router || Entry.IsFrozen || Entry.IsStopping)
      break;
    Entry.IsStopping = true;
    deliver(Name, [this](entry_router &Router) {
      Router.beginShutdown(Clock.now());
    });
    stopWhenIdle(Name, Entry.Incarnation, Clock.now() + 12s);
    break;
  case 6:
    Leader = "c" + std::to_string(1 + randomBelow(ControlCount));
    ++Term;
    break;
  case 7:
    // Control must work most of the time, or few keyed requests run.
    if (randomChance(0.6))
      break;
    HasMajority = false;
    Clock.after(randomMilliseconds(500, 6000), [this] { HasMajority = true; });
    break;
  case 8:
    if (HasMajority)
      Control.changeView(Random());
    break;
  case 9:
    replaceEndpoint(Endpoints[randomBelow(Endpoints.size())]);
    break;
  default:
    LossProbability = randomChance(0.5) ? 0.02 : 0;
    break;
  }
  Clock.after(randomMilliseconds(50, 500), [this, Until] { faultLoop(Until); });
}

void simulated_cluster::stopWhenIdle(const std::string &Name,
                                     std::uint64_t Incarnation,
                                     core::time_point Until) {
  auto &Entry = Entries.at(Name);
  if (Entry.Incarnation != Incarnation || !Entry.Router)
    return;
  if (Entry.Router->isIdle() && !Entry.IsFrozen) {
    auto Lost = countLost();
    stopEntry(Entry);
    require(countLost() == Lost,
            Name + " lost requests in a graceful shutdown");
  } else if (Clock.now() >= Until) {
    stopEntry(Entry);
  }
  if (!Entry.Router)
    return startEntry(Entry);
  Clock.after(20ms, [=, this] { stopWhenIdle(Name, Incarnation, Until); });
}

std::size_t simulated_cluster::countLost() const {
  return std::count_if(Submissions.begin(), Submissions.end(),
                       [](const auto &Item) { return Item.second.IsLost; });
}

void simulated_cluster::clearFaults() {
  AreFaultsOn = false;
  LossProbability = 0;
  HasMajority = true;
  Control.restoreView();
  for (auto &[Pair, Link] : Links)
    Link.IsCut = false;
  for (auto &[Name, Entry] : Entries) {
    Entry.IsolatedSince.reset();
    if (!Entry.Router)
      startEntry(Entry);
  }
  refreshLinks();
}

void simulated_cluster::run() {
  for (auto &[Name, Entry] : Entries)
    startEntry(Entry);
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index)
    Clock.after(randomMilliseconds(0, 1000),
                [this, Index] { announceLoop(Index); });
  tickEntries();
  auto Start = Clock.now();
  Clock.after(2s, [this, Start] { callLoop(Start + 26s); });
  Clock.after(4s, [this, Start] { faultLoop(Start + 24s); });
  Clock.runUntil(Start + 33s); // The longest fault lasts 8 s.
  clearFaults();
  Clock.runUntil(Start + 50s);
  FirstFaultFreeId = NextId + 1;
  callLoop(Clock.now() + 2s);
  Clock.runUntil(Start + 65s);
  checkEnd();
}

void simulated_cluster::checkEnd() {
  std::map<std::string, std::vector<const execution *>> ByCorrelation, ByKey;
  for (const auto &Execution : Executions) {
    ByCorrelation[Execution.Correlation].push_back(&Execution);
    if (!Execution.Key.empty())
      ByKey[Execution.Key].push_back(&Execution);
  }
  for (const auto &[Key, Runs] : ByKey)
    require(Runs.size() == 1, "key " + Key + " ran more than once");
  for (const auto &[Id, Submission] : Submissions) {
    const auto &Response = Submission.Response;
    auto Prefix = "request " + Submission.Correlation + " (" + Submission.Key +
                  ", " + std::to_string(Response.Status) + " " +
                  Response.Refusal + ") ";
    const auto &Runs = ByCorrelation[Submission.Correlation];
    require(Submission.Kind == request_kind::Get || Runs.size() <= 1,
            Prefix + "ran more than once");
    require(Submission.Responses == 1 || Submission.IsLost,
            Prefix + "has no response");
    if (Submission.Responses == 0)
      continue;
    if (Response.Verdict == core::verdict::NotRun)
      require(Runs.empty(), Prefix + "ran although it was refused as not run");
    if (Response.Verdict != core::verdict::Ran)
      continue;
    const auto &Own =
        Submission.Kind == request_kind::Keyed ? ByKey[Submission.Key] : Runs;
    require(std::any_of(Own.begin(), Own.end(),
                        [&](const execution *Execution) {
                          return Execution->Body == Response.Body;
                        }),
            Prefix + "got a response that none of its executions produced");
  }
  for (const auto &[Name, Entry] : Entries) {
    require(Entry.Router->isReady(Clock.now()), Name + " is not ready");
    require(Entry.Router->isIdle(),
            Name + " did not drain: " + Entry.Router->statusJson(Clock.now()));
    auto Status = nlohmann::json::parse(Entry.Router->statusJson(Clock.now()));
    for (const auto &[Service, Broker] : Status["brokers"].items())
      require(Broker["waiting"] == 0 && Broker["busy_slots"] == 0,
              Name + " still has waiting requests or busy slots for " +
                  Service);
  }
}

std::string simulated_cluster::summary() const {
  std::map<std::string, int> Verdicts;
  for (const auto &[Id, Submission] : Submissions)
    ++Verdicts[Submission.Responses == 0
                   ? "lost"
                   : std::string(core::toString(Submission.Response.Verdict))];
  std::map<std::string, int> Refusals;
  for (const auto &[Id, Submission] : Submissions)
    ++Refusals[Submission.Response.Refusal];
  std::string Text = "executed=" + std::to_string(Executions.size()) +
                     " refused_by_endpoint=" + std::to_string(SlotOverflows);
  for (const auto &[Verdict, Count] : Verdicts)
    Text += " " + Verdict + "=" + std::to_string(Count);
  for (const auto &[Reason, Count] : Refusals)
    if (!Reason.empty())
      Text += " " + Reason + "=" + std::to_string(Count);
  return Text;
}

} // namespace lycheetrestle::routing::test
