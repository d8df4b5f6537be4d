#ifndef LYCHEETRESTLE_TESTS_SCHEDULING_RESTARTABLE_SCHEDULER_H
#define LYCHEETRESTLE_TESTS_SCHEDULING_RESTARTABLE_SCHEDULER_H

#include "core/metrics.h"
#include "leased_endpoints.h"
#include "scheduling/schedule_node.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling::test {

/// The only scheduler of its cluster, which can be killed and started again
/// from what its disk has, and the endpoints of that cluster.
class restartable_scheduler : public leased_endpoints {
public:
  /// \param HasPlatform whether a platform lists each endpoint on a host of its
  /// own.
  explicit restartable_scheduler(bool HasPlatform = false);

  /// Simulates the given time in steps of 10 ms.
  void run(core::duration Time);
  void runUntilLeading();
  /// Kills the process. What its disk has not synced is lost.
  void kill();
  void start();
  /// Kills the process, and starts it again after the given time.
  void restart(core::duration DownTime);
  /// \returns the id of the call.
  std::uint64_t call(call_body Body);
  std::optional<reply_kind> replyTo(std::uint64_t Call) const;
  /// Sends a heartbeat of an endpoint, which starts if it is new.
  /// \returns the id of the call.
  std::uint64_t beat(const std::string &Id, bool IsDraining = false);
  /// \returns whether it is committed that the endpoint drains.
  bool isDraining(const std::string &Id) const;

  bool IsDiskStalled = false;
  std::optional<schedule_node> Node;

private:
  void step();
  void write(const replication::storage_write &Write);

  bool HasPlatform = false;
  core::metrics_registry Metrics;
  replication::persistent_state Disk;
  std::vector<replication::storage_write> Unsynced;
  std::uint64_t LastCall = 0;
  std::map<std::uint64_t, reply_kind> Replies;
  /// Results of orders that time out, by time.
  std::multimap<core::time_point, order_result> TimeOuts;
};

} // namespace lycheetrestle::scheduling::test

#endif
