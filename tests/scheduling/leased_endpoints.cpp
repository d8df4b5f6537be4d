#include "leased_endpoints.h"

#include "schedule_fixture.h"

#include <algorithm>

namespace lycheetrestle::scheduling::test {

namespace {

using namespace std::chrono_literals;

// Time until a list shows that an endpoint has ended.
constexpr core::duration ListLag = 2s;

no_answer refusedConnection() {
  return {false, "connection refused", false, true};
}

} // namespace

endpoint_heartbeat leased_endpoints::nextHeartbeat(const std::string &Id,
                                                   bool IsDraining) {
  auto &Endpoint = Endpoints[Id];
  Endpoint.Facts = makeEndpoint(Id);
  Endpoint.Facts.IsDraining = IsDraining;
  endpoint_heartbeat Heartbeat;
  Heartbeat.Facts = Endpoint.Facts;
  Heartbeat.Sequence = ++Endpoint.Sequence;
  Heartbeat.ClockMs = clockOf(Endpoint);
  return Heartbeat;
}

void leased_endpoints::endDueRuns() {
  expireLeases();
  endFinishedRuns();
}

std::optional<order_answer>
leased_endpoints::carryOut(const order &Order, const schedule_state &State) {
  if (std::holds_alternative<list_hosts_order>(Order.Body))
    return listHosts();
  auto Found = Endpoints.find(Order.EndpointId);
  if (Found == Endpoints.end() ||
      Found->second.Reachability == reachability::Silent)
    return std::nullopt;
  return execute(Order, State);
}

void leased_endpoints::countRuns() {
  std::map<task_key, std::size_t> Runs;
  for (const auto &[Id, Endpoint] : Endpoints)
    for (const auto &[Task, Attempt] : Endpoint.Running)
      MaxConcurrentRuns = std::max(MaxConcurrentRuns, ++Runs[Task]);
}

std::uint64_t leased_endpoints::clockOf(const fake_endpoint &Endpoint) const {
  auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.time_since_epoch());
  return static_cast<std::uint64_t>(Time.count()) * Endpoint.ClockPercent / 100;
}

void leased_endpoints::end(fake_endpoint &Endpoint, const task_key &Task,
                           run_end Outcome) {
  auto Run = Endpoint.Running.find(Task);
  Endpoint.Ends.push_back({++Endpoint.LastEnd, Task, Run->second, Outcome, ""});
  Endpoint.Running.erase(Run);
}

void leased_endpoints::expireLeases() {
  for (auto &[Id, Endpoint] : Endpoints) {
    if (clockOf(Endpoint) < Endpoint.LeaseMs)
      continue;
    while (!Endpoint.Running.empty())
      end(Endpoint, Endpoint.Running.begin()->first, run_end::Expired);
    Endpoint.LastEndBeforeExpiry = Endpoint.LastEnd;
  }
}

void leased_endpoints::endFinishedRuns() {
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

void leased_endpoints::confirmEnds(fake_endpoint &Endpoint,
                                   std::uint64_t Cursor,
                                   const schedule_state &State) {
  std::erase_if(Endpoint.Ends, [&](const end_row &End) {
    if (End.Number > Cursor)
      return false;
    if (End.Outcome != run_end::Done || MaxRunTime == core::duration() ||
        End.Number <= Endpoint.LastEndBeforeExpiry)
      return true;
    ++Confirmations;
    ConfirmedDone.insert(End.Task);
    const auto *Task = State.findTask(End.Task);
    UnreadConfirmations += Task && !Task->IsDone;
    return true;
  });
}

hosts_answer leased_endpoints::listHosts() const {
  hosts_answer Page;
  if (HasUnnamedRow)
    Page.UnreadableHosts.emplace_back();
  for (const auto &[Id, Endpoint] : Endpoints) {
    if (Endpoint.IsNameHidden) {
      Page.UnreadableHosts.emplace_back();
      continue;
    }
    host_row Row;
    Row.Name = "host-" + Id;
    Row.Pool = Endpoint.Facts.Pool;
    Row.Capacity = Endpoint.Facts.Capacity;
    bool HasEnded =
        !Endpoint.HasPower || Endpoint.Reachability == reachability::Refuses;
    if (!HasEnded || Now - Endpoint.ExitedAt < ListLag) {
      Row.State = host_state::Up;
      Row.EndpointId = Id;
    }
    Page.Hosts.push_back(std::move(Row));
  }
  return Page;
}

order_answer leased_endpoints::execute(const order &Order,
                                       const schedule_state &State) {
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
    if (MaxRunTime != core::duration() && Start->Task.Job != UnfinishedJob) {
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
    confirmEnds(Endpoint, Poll->Cursor, State);
    for (const auto &[Task, Attempt] : Endpoint.Running)
      Answer.Running.push_back({Task, Attempt, "", 100, std::nullopt});
    Answer.Ended = Endpoint.Ends;
  }
  return Answer;
}

void leased_endpoints::exit(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Refuses;
  Endpoints[Id].ExitedAt = Now;
  Endpoints[Id].Running.clear();
}

void leased_endpoints::powerOff(const std::string &Id) {
  auto &Endpoint = Endpoints[Id];
  Endpoint.Reachability = reachability::Silent;
  Endpoint.HasPower = false;
  Endpoint.ExitedAt = Now;
  Endpoint.Running.clear();
}

void leased_endpoints::refuse(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Refuses;
}

void leased_endpoints::cutOff(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Silent;
}

void leased_endpoints::reconnect(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Answers;
}

bool leased_endpoints::isRunning(const task_key &Task,
                                 const std::string &Id) const {
  auto Found = Endpoints.find(Id);
  return Found != Endpoints.end() && Found->second.Running.count(Task) > 0;
}

bool leased_endpoints::isRunning(const task_key &Task) const {
  return std::any_of(Endpoints.begin(), Endpoints.end(), [&](const auto &Item) {
    return Item.second.Running.count(Task) > 0;
  });
}

} // namespace lycheetrestle::scheduling::test
