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

/// What a task really does, in contrast to what was declared.
struct task_profile {
  fleet::resources Used;
  std::int64_t RunMs = 10000;
  bool AlwaysFails = false;
};

/// Times in milliseconds.
struct platform_times {
  std::int64_t DrainMs = 500;
  std::int64_t RebootMs = 3000;
  std::int64_t MoveMs = 3000;
  std::int64_t ReturnMs = 200;
  std::int64_t CheckpointMs = 200;
  std::int64_t UsageLagMs = 3000;
  std::int64_t FailedTaskMs = 100; ///< Until a task on a bad worker fails.
};

struct host_faults {
  bool Down = false;           ///< Lost; its tasks are gone.
  bool NoReturn = false;       ///< Stays down after the next reboot or move.
  bool FailsEveryTask = false; ///< Every task ends as failed.
  bool Slow = false;           ///< Every step takes ten times as long.
};

/// One order as it was executed, for checks.
struct executed_order {
  platform::order Order;
  std::int64_t AtMs = 0;
};

/// The behaviour of the platform behind its HTTP interface: fenced and
/// idempotent orders, hosts that take time, tasks under leases and usage that
/// lags. Time is passed in, so tests run it on a virtual clock.
class platform_model {
public:
  /// \param Profile what each task really does, by job.
  platform_model(platform_times Times,
                 std::function<task_profile(const platform::order &)> Profile);

  void addHost(std::string Name, std::string Pool);
  /// \returns NotFound, StaleEpoch, Conflict when the host's condition does
  /// not allow the order, or Unavailable when the host is down.
  core::result<void> execute(const platform::order &Order, std::int64_t NowMs);
  std::vector<platform::host_report> report(std::int64_t NowMs);
  /// \returns false when the host does not exist.
  bool setFaults(std::string_view Host, host_faults Faults, std::int64_t NowMs);
  std::optional<host_faults> faults(std::string_view Host) const;

  /// \returns the most recent executed orders, oldest first.
  const std::deque<executed_order> &executed() const { return Executed; }
  std::uint64_t executedCount() const { return ExecutedCount; }
  /// \returns orders refused because of their epoch.
  std::uint64_t refusedAsStale() const { return StaleRefusals; }

private:
  struct task {
    platform::task_report Report;
    task_profile Profile;
    std::int64_t StartedMs = 0;
    std::int64_t EndsMs = 0;
    std::int64_t LeaseUntilMs = 0;
    std::int64_t CheckpointAtMs = -1; ///< Negative without an order.
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
    std::int64_t StepEndsMs = -1; ///< Negative without a step.
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
/// \returns a truth that depends only on the job: between a tenth and three
/// times the declared size, for 2 to 20 s.
task_profile profileByJob(const platform::order &Order);

} // namespace lycheetrestle::standin

#endif
