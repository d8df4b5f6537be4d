#include "restartable_scheduler.h"

#include "schedule_fixture.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling::test {

namespace {

using namespace std::chrono_literals;

constexpr core::duration StepTime = 10ms;
// Time until a list shows that an endpoint has ended.
constexpr core::duration ListLag = 2s;

no_answer refusedConnection() {
  return {false, "connection refused", false, true};
}

} // namespace

restartable_scheduler::restartable_scheduler(bool HasPlatform)
    : HasPlatform(HasPlatform) {
  start();
  runUntilLeading();
  // With one pool no host moves.
  auto Configuration = makeConfiguration(1);
  Configuration.Pools.resize(1);
  call(configure_call{Configuration});
  run(100ms);
}

void restartable_scheduler::start() {
  scheduler_settings Settings;
  Settings.Address = "10.0.0.1";
  Settings.Leader.HasPlatform = HasPlatform;
  replication::replica_id Self{Settings.Address, 1};
  replication::membership Initial;
  Initial.Members.push_back({Self, true});
  Node.emplace(Settings, Self, Disk, Initial, Metrics, Now);
}

void restartable_scheduler::kill() {
  Node.reset();
  Unsynced.clear();
  TimeOuts.clear();
}

void restartable_scheduler::restart(core::duration DownTime) {
  kill();
  run(DownTime);
  start();
}

void restartable_scheduler::run(core::duration Time) {
  for (auto End = Now + Time; Now < End;)
    step();
}

void restartable_scheduler::runUntilLeading() {
  while (!Node->isLeading())
    step();
}

void restartable_scheduler::write(const replication::storage_write &Write) {
  if (Write.Hard)
    Disk.Hard = *Write.Hard;
  if (Write.Snapshot) {
    Disk.Snapshot = Write.Snapshot;
    std::erase_if(Disk.Entries, [&](const replication::log_entry &Entry) {
      return Entry.Index <= Write.Snapshot->LastIndex;
    });
  }
  if (Write.TruncateFrom)
    std::erase_if(Disk.Entries, [&](const replication::log_entry &Entry) {
      return Entry.Index >= *Write.TruncateFrom;
    });
  Disk.Entries.insert(Disk.Entries.end(), Write.Append.begin(),
                      Write.Append.end());
}

void restartable_scheduler::step() {
  Now += StepTime;
  expireLeases();
  endFinishedRuns();
  if (!Node)
    return;
  Node->tick(Now);
  while (!TimeOuts.empty() && TimeOuts.begin()->first <= Now) {
    Node->orderFinished(TimeOuts.begin()->second, Now);
    TimeOuts.erase(TimeOuts.begin());
  }
  auto Actions = Node->takeActions(Now);
  for (auto &Write : Actions.Writes)
    Unsynced.push_back(std::move(Write));
  if (!IsDiskStalled)
    for (const auto &Write : std::exchange(Unsynced, {})) {
      write(Write);
      Node->stored(Write.Ticket, Now);
    }
  for (const auto &Reply : Actions.Replies)
    Replies[Reply.Id] = Reply.Kind;
  for (const auto &Order : Actions.Orders) {
    if (std::holds_alternative<list_hosts_order>(Order.Body)) {
      Node->orderFinished({Order.Id, listHosts()}, Now);
      continue;
    }
    auto Found = Endpoints.find(Order.EndpointId);
    if (Found == Endpoints.end() ||
        Found->second.Reachability == reachability::Silent)
      TimeOuts.emplace(Now + Order.Timeout,
                       order_result{Order.Id, no_answer{true, "timeout"}});
    else
      Node->orderFinished({Order.Id, execute(Order)}, Now);
  }
  std::map<task_key, std::size_t> Runs;
  for (const auto &[Id, Endpoint] : Endpoints)
    for (const auto &[Task, Attempt] : Endpoint.Running)
      MaxConcurrentRuns = std::max(MaxConcurrentRuns, ++Runs[Task]);
}

std::uint64_t
restartable_scheduler::clockOf(const fake_endpoint &Endpoint) const {
  auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.time_since_epoch());
  return static_cast<std::uint64_t>(Time.count()) * Endpoint.ClockPercent / 100;
}

void restartable_scheduler::end(fake_endpoint &Endpoint, const task_key &Task,
                                run_end Outcome) {
  auto Run = Endpoint.Running.find(Task);
  Endpoint.Ends.push_back({++Endpoint.LastEnd, Task, Run->second, Outcome, ""});
  Endpoint.Running.erase(Run);
}

void restartable_scheduler::expireLeases() {
  for (auto &[Id, Endpoint] : Endpoints) {
    if (clockOf(Endpoint) < Endpoint.LeaseMs)
      continue;
    while (!Endpoint.Running.empty())
      end(Endpoint, Endpoint.Running.begin()->first, run_end::Expired);
    Endpoint.LastEndBeforeExpiry = Endpoint.LastEnd;
  }
}

void restartable_scheduler::endFinishedRuns() {
  for (auto &[Id, Endpoint] : Endpoints)
    for (const auto &[Task, At] :
         std::map<task_key, core::time_point>(Endpoint.EndsAt)) {
      if (Now < At)
        continue;
      Endpoint.EndsAt.erase(Task);
      if (Endpoint.Running.count(Task) > 0)
        end(Endpoint, Task, run_end::Done);
    }
}

void restartable_scheduler::confirmEnds(fake_endpoint &Endpoint,
                                        std::uint64_t Cursor) {
  std::erase_if(Endpoint.Ends, [&](const end_row &End) {
    if (End.Number > Cursor)
      return false;
    if (End.Outcome != run_end::Done || MaxRunTime == core::duration() ||
        End.Number <= Endpoint.LastEndBeforeExpiry)
      return true;
    ++Confirmations;
    ConfirmedDone.insert(End.Task);
    const auto *Task = Node->state().findTask(End.Task);
    UnreadConfirmations += Task && !Task->IsDone;
    return true;
  });
}

hosts_answer restartable_scheduler::listHosts() const {
  hosts_answer Page;
  for (const auto &[Id, Endpoint] : Endpoints) {
    host_row Row;
    Row.Name = "host-" + Id;
    Row.Pool = Endpoint.Facts.Pool;
    Row.Capacity = Endpoint.Facts.Capacity;
    if (Endpoint.Reachability != reachability::Refuses ||
        Now - Endpoint.ExitedAt < ListLag) {
      Row.State = host_state::Up;
      Row.EndpointId = Id;
    }
    Page.Hosts.push_back(std::move(Row));
  }
  return Page;
}

order_answer restartable_scheduler::execute(const order &Order) {
  auto &Endpoint = Endpoints[Order.EndpointId];
  if (Endpoint.Reachability == reachability::Refuses)
    return refusedConnection();
  endpoint_answer Answer;
  Answer.IncarnationMs = Endpoint.Facts.IncarnationMs;
  Answer.ClockMs = clockOf(Endpoint);
  auto Fence = std::visit(
      [](const auto &Body) -> std::uint64_t {
        if constexpr (requires { Body.Fence; })
          return Body.Fence;
        return 0;
      },
      Order.Body);
  Answer.Verdict = endpoint_verdict::Fenced;
  if (Fence < Endpoint.Fence)
    return Answer;
  Endpoint.Fence = Fence;
  Answer.Verdict = endpoint_verdict::Accepted;
  auto ExtendLease = [&](std::uint64_t LeaseMs) {
    Endpoint.LeaseMs = std::max(Endpoint.LeaseMs, LeaseMs);
  };
  if (const auto *Start = std::get_if<start_order>(&Order.Body)) {
    ExtendLease(Start->LeaseExpiryMs);
    // A run that ended or was stopped there does not start again.
    auto &Newest = Endpoint.Newest[Start->Task];
    if (MaxRunTime != core::duration() && Start->Attempt <= Newest) {
      if (Endpoint.Running.count(Start->Task) == 0)
        Answer.Verdict = endpoint_verdict::OldRun;
      return Answer;
    }
    Newest = Start->Attempt;
    Endpoint.Running[Start->Task] = Start->Attempt;
    if (MaxRunTime != core::duration()) {
      TasksStartedAgain += ConfirmedDone.count(Start->Task);
      auto Percent = std::hash<std::string>()(Start->Task.Job) %
                     (50 + 10 * Start->Task.Index) % 100;
      Endpoint.EndsAt[Start->Task] = Now + MaxRunTime * (Percent + 1) / 100;
    }
  } else if (const auto *Stop = std::get_if<stop_order>(&Order.Body)) {
    auto &Newest = Endpoint.Newest[Stop->Task];
    Newest = std::max(Newest, Stop->Attempt);
    if (Endpoint.Running.count(Stop->Task) > 0)
      end(Endpoint, Stop->Task, run_end::Stopped);
  } else if (const auto *Poll = std::get_if<poll_order>(&Order.Body)) {
    if (Poll->LeaseExpiryMs)
      ExtendLease(*Poll->LeaseExpiryMs);
    confirmEnds(Endpoint, Poll->Cursor);
    for (const auto &[Task, Attempt] : Endpoint.Running)
      Answer.Running.push_back({Task, Attempt, "", 100, std::nullopt});
    Answer.Ended = Endpoint.Ends;
  }
  return Answer;
}

std::uint64_t restartable_scheduler::call(call_body Body) {
  ++LastCall;
  if (Node)
    Node->handle({LastCall, std::move(Body)}, Now);
  return LastCall;
}

std::optional<reply_kind>
restartable_scheduler::replyTo(std::uint64_t Call) const {
  auto Found = Replies.find(Call);
  return Found == Replies.end() ? std::nullopt : std::optional(Found->second);
}

std::uint64_t restartable_scheduler::beat(const std::string &Id,
                                          bool IsDraining) {
  auto &Endpoint = Endpoints[Id];
  Endpoint.Facts = makeEndpoint(Id);
  Endpoint.Facts.IsDraining = IsDraining;
  endpoint_heartbeat Heartbeat;
  Heartbeat.Facts = Endpoint.Facts;
  Heartbeat.Sequence = ++Endpoint.Sequence;
  Heartbeat.ClockMs = clockOf(Endpoint);
  return call(heartbeat_call{std::move(Heartbeat)});
}

void restartable_scheduler::exit(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Refuses;
  Endpoints[Id].ExitedAt = Now;
  Endpoints[Id].Running.clear();
}

void restartable_scheduler::refuse(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Refuses;
}

void restartable_scheduler::cutOff(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Silent;
}

void restartable_scheduler::reconnect(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Answers;
}

bool restartable_scheduler::isRunning(const task_key &Task,
                                      const std::string &Id) const {
  auto Found = Endpoints.find(Id);
  return Found != Endpoints.end() && Found->second.Running.count(Task) > 0;
}

bool restartable_scheduler::isDraining(const std::string &Id) const {
  const auto *Endpoint = Node->state().findEndpoint(Id);
  return Endpoint && Endpoint->Facts.IsDraining;
}

bool restartable_scheduler::isRunning(const task_key &Task) const {
  return std::any_of(Endpoints.begin(), Endpoints.end(), [&](const auto &Item) {
    return Item.second.Running.count(Task) > 0;
  });
}

} // namespace lycheetrestle::scheduling::test
