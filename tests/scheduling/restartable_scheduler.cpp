#include "restartable_scheduler.h"

#include "schedule_fixture.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling::test {

namespace {

using namespace std::chrono_literals;

constexpr core::duration StepTime = 10ms;

no_answer refusedConnection() {
  return {false, "connection refused", false, true};
}

} // namespace

restartable_scheduler::restartable_scheduler() {
  start();
  runUntilLeading();
  call(configure_call{makeConfiguration(1)});
  run(100ms);
}

void restartable_scheduler::start() {
  scheduler_settings Settings;
  Settings.Address = "10.0.0.1";
  replication::replica_id Self{Settings.Address, 1};
  replication::membership Initial;
  Initial.Members.push_back({Self, true});
  Node.emplace(Settings, Self, Disk, Initial, Metrics, Now);
}

void restartable_scheduler::restart(core::duration DownTime) {
  Node.reset();
  Unsynced.clear();
  TimeOuts.clear();
  Replies.clear();
  Now += DownTime;
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
    auto Found = Endpoints.find(Order.EndpointId);
    if (Found == Endpoints.end() ||
        Found->second.Reachability == reachability::Silent)
      TimeOuts.emplace(Now + Order.Timeout,
                       order_result{Order.Id, no_answer{true, "timeout"}});
    else
      Node->orderFinished({Order.Id, execute(Order)}, Now);
  }
}

order_answer restartable_scheduler::execute(const order &Order) {
  auto &Endpoint = Endpoints[Order.EndpointId];
  if (Endpoint.Reachability == reachability::Refuses)
    return refusedConnection();
  endpoint_answer Answer;
  Answer.Verdict = endpoint_verdict::Accepted;
  Answer.IncarnationMs = Endpoint.Facts.IncarnationMs;
  Answer.ClockMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Now.time_since_epoch())
          .count());
  if (const auto *Start = std::get_if<start_order>(&Order.Body)) {
    Endpoint.Running[Start->Task] = Start->Attempt;
  } else if (const auto *Stop = std::get_if<stop_order>(&Order.Body)) {
    if (Endpoint.Running.erase(Stop->Task) > 0)
      Endpoint.Ends.push_back({Endpoint.Ends.size() + 1, Stop->Task,
                               Stop->Attempt, run_end::Stopped, ""});
  } else if (std::holds_alternative<poll_order>(Order.Body)) {
    for (const auto &[Task, Attempt] : Endpoint.Running)
      Answer.Running.push_back({Task, Attempt, "", 100, std::nullopt});
    Answer.Ended = Endpoint.Ends;
  }
  return Answer;
}

std::uint64_t restartable_scheduler::call(call_body Body) {
  Node->handle({++LastCall, std::move(Body)}, Now);
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
  Heartbeat.ClockMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Now.time_since_epoch())
          .count());
  return call(heartbeat_call{std::move(Heartbeat)});
}

void restartable_scheduler::exit(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Refuses;
  Endpoints[Id].Running.clear();
}

void restartable_scheduler::cutOff(const std::string &Id) {
  Endpoints[Id].Reachability = reachability::Silent;
}

bool restartable_scheduler::isRunning(const task_key &Task,
                                      const std::string &Id) const {
  auto Found = Endpoints.find(Id);
  return Found != Endpoints.end() && Found->second.Running.count(Task) > 0;
}

} // namespace lycheetrestle::scheduling::test
