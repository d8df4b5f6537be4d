#include "restartable_scheduler.h"

#include "schedule_fixture.h"

#include <utility>

namespace lycheetrestle::scheduling::test {

namespace {

using namespace std::chrono_literals;

constexpr core::duration StepTime = 10ms;

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
  endDueRuns();
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
    if (auto Answer = carryOut(Order, Node->state()))
      Node->orderFinished({Order.Id, std::move(*Answer)}, Now);
    else
      TimeOuts.emplace(Now + Order.Timeout,
                       order_result{Order.Id, no_answer{true, "timeout"}});
  }
  countRuns();
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
  return call(heartbeat_call{nextHeartbeat(Id, IsDraining)});
}

bool restartable_scheduler::isDraining(const std::string &Id) const {
  const auto *Endpoint = Node->state().findEndpoint(Id);
  return Endpoint && Endpoint->Facts.IsDraining;
}

} // namespace lycheetrestle::scheduling::test
