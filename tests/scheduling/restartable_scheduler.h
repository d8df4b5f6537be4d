#ifndef LYCHEETRESTLE_TESTS_SCHEDULING_RESTARTABLE_SCHEDULER_H
#define LYCHEETRESTLE_TESTS_SCHEDULING_RESTARTABLE_SCHEDULER_H

#include "core/metrics.h"
#include "scheduling/schedule_node.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling::test {

/// The only scheduler of its cluster, which can be killed and started again
/// from what its disk has, and endpoints that carry out its orders at once.
class restartable_scheduler {
public:
  restartable_scheduler();

  /// Simulates the given time in steps of 10 ms.
  void run(core::duration Time);
  void runUntilLeading();
  /// Kills the process, and starts it again after the given time. What its disk
  /// has not synced is lost.
  void restart(core::duration DownTime);
  /// \returns the id of the call.
  std::uint64_t call(call_body Body);
  std::optional<reply_kind> replyTo(std::uint64_t Call) const;
  /// Sends a heartbeat of an endpoint, which starts if it is new.
  /// \returns the id of the call.
  std::uint64_t beat(const std::string &Id, bool IsDraining = false);
  /// Ends an endpoint: nothing listens at its address any more.
  void exit(const std::string &Id);
  /// Cuts an endpoint off: nothing arrives there, and nothing from there.
  void cutOff(const std::string &Id);
  bool isRunning(const task_key &Task, const std::string &Id) const;

  core::time_point Now{std::chrono::seconds(1)};
  bool IsDiskStalled = false;
  std::optional<schedule_node> Node;

private:
  enum class reachability : std::uint8_t { Answers, Refuses, Silent };
  struct fake_endpoint {
    endpoint_facts Facts;
    std::uint64_t Sequence = 0;
    reachability Reachability = reachability::Answers;
    std::map<task_key, std::uint32_t> Running; ///< Attempts.
    std::vector<end_row> Ends;
  };

  void step();
  void start();
  void write(const replication::storage_write &Write);
  order_answer execute(const order &Order);

  core::metrics_registry Metrics;
  replication::persistent_state Disk;
  std::vector<replication::storage_write> Unsynced;
  std::uint64_t LastCall = 0;
  std::map<std::uint64_t, reply_kind> Replies;
  std::map<std::string, fake_endpoint> Endpoints;
  /// Results of orders that time out, by time.
  std::multimap<core::time_point, order_result> TimeOuts;
};

} // namespace lycheetrestle::scheduling::test

#endif
