#include "standin/platform_model.h"

#include "core/checksum.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::standin {

using core::error_code;
using core::verdict;
using fleet::job_state;
using platform::host_condition;
using platform::order;
using platform::order_kind;

namespace {

// Limits the memory of long runs; older orders are dropped.
constexpr std::size_t MaxExecuted = 20000;
constexpr std::int64_t SlowFactor = 10;

bool isLive(const platform::task_report &Report) {
  return Report.State == job_state::Running;
}

boost::leaf::error_id refuse(error_code Code, const char *Message,
                             const std::string &Value) {
  return core::fail({Code, Message, "host", Value, verdict::NotRun});
}

bool isTaskOrder(order_kind Kind) { return Kind >= order_kind::StartTask; }

} // namespace

platform_model::platform_model(
    platform_times Times, std::function<task_profile(const order &)> Profile)
    : Times(Times), Profile(std::move(Profile)) {}

void platform_model::addHost(std::string Name, std::string Pool) {
  Hosts[std::move(Name)].Pool = std::move(Pool);
}

core::result<void> platform_model::execute(const order &Order,
                                           std::int64_t NowMs) {
  auto Found = Hosts.find(Order.Host);
  if (Found == Hosts.end())
    return refuse(error_code::NotFound, "the host does not exist", Order.Host);
  auto &Host = Found->second;
  advance(Host, NowMs);
  if (Order.Epoch < Host.Epoch) {
    ++StaleRefusals;
    return refuse(error_code::StaleEpoch,
                  "the host has seen an order with a newer epoch", Order.Host);
  }
  if (Host.Condition == host_condition::Down)
    return refuse(error_code::Unavailable, "the host is down", Order.Host);
  if (Order.Epoch > Host.Epoch) {
    Host.Epoch = Order.Epoch;
    Host.ExecutedOrders.clear();
  }
  order_key Key{Order.Kind, Order.TargetPool, Order.Job, Order.Lease};
  // Repeated renewals and throttle orders carry new values under the same key,
  // so each of them is applied.
  bool AlwaysApplies = Order.Kind == order_kind::RenewTask ||
                       Order.Kind == order_kind::ThrottleTask;
  if (!AlwaysApplies && Host.ExecutedOrders.count(Key) != 0)
    return {};
  BOOST_LEAF_CHECK(apply(Host, Order, NowMs));
  if (!AlwaysApplies) {
    Host.ExecutedOrders.insert(std::move(Key));
    record(Order, NowMs);
  }
  return {};
}

core::result<void> platform_model::apply(host &Host, const order &Order,
                                         std::int64_t NowMs) {
  return isTaskOrder(Order.Kind) ? applyTask(Host, Order, NowMs)
                                 : applyStep(Host, Order, NowMs);
}

core::result<void> platform_model::applyStep(host &Host, const order &Order,
                                             std::int64_t NowMs) {
  auto Factor = Host.Faults.Slow ? SlowFactor : 1;
  bool HasTasks =
      std::any_of(Host.Tasks.begin(), Host.Tasks.end(), [](const auto &Entry) {
        return isLive(Entry.second.Report);
      });
  if (Host.Condition == host_condition::Rebooting)
    return refuse(error_code::Conflict, "the host is rebooting", Order.Host);
  if (Order.Kind == order_kind::Drain) {
    if (Host.Condition == host_condition::Drained)
      return {};
    Host.Condition = host_condition::Draining;
    Host.StepEndsMs = NowMs + Times.DrainMs * Factor;
    return {};
  }
  if (HasTasks)
    return refuse(error_code::Conflict, "the host still runs tasks",
                  Order.Host);
  if (Order.Kind == order_kind::Return) {
    Host.StepEndsMs = NowMs + Times.ReturnMs * Factor;
    if (Host.Condition != host_condition::Up)
      Host.Condition = host_condition::Rebooting;
    return {};
  }
  bool Moves = Order.Kind == order_kind::Move;
  if (Moves && Order.TargetPool.empty())
    return refuse(error_code::BadInput, "a move needs a target pool",
                  Order.Host);
  Host.Condition = host_condition::Rebooting;
  Host.MoveTo = Moves ? Order.TargetPool : "";
  Host.StepEndsMs = NowMs + (Moves ? Times.MoveMs : Times.RebootMs) * Factor;
  return {};
}

core::result<void> platform_model::applyTask(host &Host, const order &Order,
                                             std::int64_t NowMs) {
  auto Found = Host.Tasks.find(Order.Job);
  bool SameLease =
      Found != Host.Tasks.end() && Found->second.Report.Lease == Order.Lease;
  switch (Order.Kind) {
  case order_kind::StartTask: {
    if (SameLease)
      return {};
    if (Found != Host.Tasks.end() && Found->second.Report.Lease > Order.Lease)
      return refuse(error_code::Conflict, "the job has a newer lease here",
                    Order.Host);
    if (Host.Condition != host_condition::Up)
      return refuse(error_code::Conflict, "the host takes no tasks",
                    Order.Host);
    task Task;
    Task.Report.Job = Order.Job;
    Task.Report.Lease = Order.Lease;
    Task.Profile = Profile(Order);
    Task.StartedMs = NowMs;
    Task.EndsMs =
        NowMs + Task.Profile.RunMs * (Host.Faults.Slow ? SlowFactor : 1);
    Task.LeaseUntilMs = NowMs + Order.LeaseMs;
    Host.Tasks[Order.Job] = std::move(Task);
    return {};
  }
  case order_kind::StopTask:
    // Also acknowledges the report of a finished task.
    if (SameLease)
      Host.Tasks.erase(Found);
    return {};
  case order_kind::RenewTask:
    if (SameLease && isLive(Found->second.Report))
      Found->second.LeaseUntilMs = NowMs + Order.LeaseMs;
    return {};
  case order_kind::ThrottleTask:
    if (SameLease) {
      Found->second.Limit = Order.Size;
      Found->second.Throttled = true;
    }
    return {};
  default:
    if (SameLease && isLive(Found->second.Report) &&
        Found->second.CheckpointAtMs < 0)
      Found->second.CheckpointAtMs = NowMs + Times.CheckpointMs;
    return {};
  }
}

void platform_model::advanceTasks(host &Host, std::int64_t NowMs) {
  for (auto &[Job, Task] : Host.Tasks) {
    auto &Report = Task.Report;
    if (!isLive(Report))
      continue;
    bool Fails = Host.Faults.FailsEveryTask || Task.Profile.AlwaysFails;
    if (Fails && NowMs >= Task.StartedMs + Times.FailedTaskMs) {
      Report.State = job_state::Failed;
      Report.Reason = "the task exited with status 1";
    } else if (!Fails && NowMs >= Task.EndsMs) {
      Report.State = job_state::Succeeded;
    } else if (Task.CheckpointAtMs >= 0 && NowMs >= Task.CheckpointAtMs) {
      Report.State = job_state::Checkpointed;
    } else if (NowMs >= Task.LeaseUntilMs) {
      Report.State = job_state::Checkpointed;
      Report.Reason = "the lease expired";
    }
    if (NowMs < Task.StartedMs + Times.UsageLagMs)
      continue;
    Report.Used = Task.Profile.Used;
    if (!Task.Throttled)
      continue;
    Report.Used.Cores = std::min(Report.Used.Cores, Task.Limit.Cores);
    Report.Used.MemoryMb = std::min(Report.Used.MemoryMb, Task.Limit.MemoryMb);
  }
}

void platform_model::advance(host &Host, std::int64_t NowMs) {
  if (Host.Condition == host_condition::Down)
    return;
  advanceTasks(Host, NowMs);
  if (Host.StepEndsMs < 0 || NowMs < Host.StepEndsMs)
    return;
  if (Host.Condition == host_condition::Draining) {
    bool HasTasks = std::any_of(
        Host.Tasks.begin(), Host.Tasks.end(),
        [](const auto &Entry) { return isLive(Entry.second.Report); });
    if (HasTasks)
      return;
    Host.Condition = host_condition::Drained;
  } else if (Host.Condition == host_condition::Rebooting) {
    Host.Condition =
        Host.Faults.NoReturn ? host_condition::Down : host_condition::Up;
    if (!Host.MoveTo.empty() && !Host.Faults.NoReturn)
      Host.Pool = std::exchange(Host.MoveTo, "");
  }
  Host.StepEndsMs = -1;
}

std::vector<platform::host_report> platform_model::report(std::int64_t NowMs) {
  std::vector<platform::host_report> Reports;
  Reports.reserve(Hosts.size());
  for (auto &[Name, Host] : Hosts) {
    advance(Host, NowMs);
    platform::host_report Report;
    Report.Host = Name;
    Report.Pool = Host.Pool;
    Report.Condition = Host.Condition;
    Report.Epoch = Host.Epoch;
    for (const auto &[Job, Task] : Host.Tasks) {
      Report.Tasks.push_back(Task.Report);
      if (isLive(Task.Report))
        Report.Tasks.back().LeaseLeftMs =
            std::uint32_t(std::max<std::int64_t>(0, Task.LeaseUntilMs - NowMs));
    }
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

bool platform_model::setFaults(std::string_view Host, host_faults Faults,
                               std::int64_t NowMs) {
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return false;
  auto &Target = Found->second;
  advance(Target, NowMs);
  bool WasDown = Target.Condition == host_condition::Down;
  Target.Faults = Faults;
  if (Faults.Down && !WasDown) {
    Target.Condition = host_condition::Down;
    Target.Tasks.clear();
    Target.StepEndsMs = -1;
    Target.MoveTo.clear();
  } else if (WasDown && !Faults.Down && !Faults.NoReturn) {
    Target.Condition = host_condition::Up;
  }
  return true;
}

std::optional<host_faults> platform_model::faults(std::string_view Host) const {
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return std::nullopt;
  return Found->second.Faults;
}

void platform_model::record(const order &Order, std::int64_t NowMs) {
  ++ExecutedCount;
  Executed.push_back({Order, NowMs});
  if (Executed.size() > MaxExecuted)
    Executed.pop_front();
}

task_profile profileByJob(const order &Order) {
  auto Hash = core::stableHash("job " + std::to_string(Order.Job));
  auto Scale = double(Hash % 30 + 1) / 10.0;
  task_profile Profile;
  Profile.Used.Cores =
      std::max<std::uint32_t>(1, std::uint32_t(Order.Size.Cores * Scale));
  Profile.Used.MemoryMb = std::max<std::uint64_t>(
      1, std::uint64_t(double(Order.Size.MemoryMb) * Scale));
  Profile.Used.Accelerators = Order.Size.Accelerators;
  Profile.RunMs = 2000 + std::int64_t((Hash >> 8) % 18000);
  return Profile;
}

} // namespace lycheetrestle::standin
