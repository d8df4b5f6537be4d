#ifndef LYCHEETRESTLE_STANDIN_PLATFORM_MODEL_H
#define LYCHEETRESTLE_STANDIN_PLATFORM_MODEL_H

#include "core/failure.h"
#include "platform/types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lycheetrestle::standin {

/// Actual usage and run time of a task, which may differ from its declaration.
struct task_profile {
  fleet::resources Used;
  std::int64_t RunMs = 10000;
  bool AlwaysFails = false;
};

/// Durations of the simulated operations, in milliseconds.
struct platform_times {
  std::int64_t DrainMs = 500;
  std::int64_t RebootMs = 3000;
  std::int64_t MoveMs = 3000;
  std::int64_t ReturnMs = 200;
  std::int64_t CheckpointMs = 200;
  std::int64_t UsageLagMs = 3000;  ///< Delay of reported usage.
  std::int64_t FailedTaskMs = 100; ///< Run time of a task that fails.
};

/// Faults that tests inject into a host.
struct host_faults {
  bool Down = false;           ///< The host and its tasks are lost.
  bool NoReturn = false;       ///< Goes down after a reboot, move or return.
  bool FailsEveryTask = false; ///< Every task ends as failed.
  /// Steps and tasks that start under this fault take ten times as long.
  bool Slow = false;
};

/// An executed order, for the checks of tests.
struct executed_order {
  platform::order Order;
  std::int64_t AtMs = 0;
};

/// Simulates the platform behind its HTTP interface: orders are fenced by epoch
/// and idempotent, host operations take time, tasks run under leases and usage
/// is reported late. The caller passes the time, so that tests can use a
/// virtual clock.
class platform_model {
public:
  /// \param Times durations of the simulated operations.
  /// \param Profile returns the actual behavior of the task of a start order.
  platform_model(platform_times Times,
                 std::function<task_profile(const platform::order &)> Profile);

  void addHost(std::string Name, std::string Pool);
  /// Executes an order, unless it was executed under the same epoch before.
  /// Renewals and throttle orders are applied each time.
  /// \returns NotFound, BadInput when a move has no target pool, StaleEpoch,
  /// Conflict when the state of the host or its tasks does not allow the order,
  /// or Unavailable when the host is down.
  core::result<void> execute(const platform::order &Order, std::int64_t NowMs);
  /// \returns the state of all hosts and their tasks.
  std::vector<platform::host_report> report(std::int64_t NowMs);
  /// \returns false when the host does not exist.
  bool setFaults(std::string_view Host, host_faults Faults, std::int64_t NowMs);
  std::optional<host_faults> faults(std::string_view Host) const;

  /// \returns the most recent executed orders, oldest first, without renewals
  /// and throttle orders.
  const std::deque<executed_order> &executed() const { return Executed; }
  /// \returns the number of all orders that executed() ever held.
  std::uint64_t executedCount() const { return ExecutedCount; }
  /// \returns the number of orders refused because of a stale epoch.
  std::uint64_t refusedAsStale() const { return StaleRefusals; }

private:
  struct task {
    platform::task_report Report;
    task_profile Profile;
    std::int64_t StartedMs = 0;
    std::int64_t EndsMs = 0;
    std::int64_t LeaseUntilMs = 0;
    std::int64_t CheckpointAtMs = -1; ///< Negative without a checkpoint.
    fleet::resources Limit;           ///< Set by ThrottleTask.
    bool Throttled = false;
  };
  using order_key = std::tuple<platform::order_kind, std::string, std::uint64_t,
                               std::uint64_t>;
  struct host {
    std::string Pool;
    platform::host_condition Condition = platform::host_condition::Up;
    std::uint64_t Epoch = 0;
    host_faults Faults;
    std::int64_t StepEndsMs = -1; ///< Negative without a running step.
    std::string MoveTo;
    std::map<std::uint64_t, task> Tasks;
    std::set<order_key> ExecutedOrders; ///< Orders executed under Epoch.
  };

  core::result<void> apply(host &Host, const platform::order &Order,
                           std::int64_t NowMs);
  core::result<void> applyStep(host &Host, const platform::order &Order,
                               std::int64_t NowMs);
  core::result<void> applyTask(host &Host, const platform::order &Order,
                               std::int64_t NowMs);
  void advance(host &Host, std::int64_t NowMs);
  void advanceTasks(host &Host, std::int64_t NowMs);
  void record(const platform::order &Order, std::int64_t NowMs);

  platform_times Times;
  std::function<task_profile(const platform::order &)> Profile;
  std::map<std::string, host, std::less<>> Hosts;
  std::deque<executed_order> Executed;
  std::uint64_t ExecutedCount = 0;
  std::uint64_t StaleRefusals = 0;
};

/// \param Order a StartTask order.
/// \returns a profile that depends only on the id and the declared size of the
/// job: a tenth to three times the declared cores and memory, for 2 to 20 s.
task_profile profileByJob(const platform::order &Order);

} // namespace lycheetrestle::standin

#endif
