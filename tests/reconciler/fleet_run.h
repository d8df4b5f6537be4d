#ifndef LYCHEETRESTLE_TESTS_RECONCILER_FLEET_RUN_H
#define LYCHEETRESTLE_TESTS_RECONCILER_FLEET_RUN_H

#include "reconciler/reconciler.h"
#include "standin/platform_model.h"
#include "tests/reconciler/deployments.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lycheetrestle::testing {

/// An entry of the simulation: it receives views late, sends requests to hosts
/// of its view, and refuses requests by itself when it has received nothing
/// from control for 3 s.
struct fake_entry {
  reconciler::entry_status Status;
  std::int64_t ViewReceivedMs = 0; ///< When it last received a view.
  std::int64_t SilentUntilMs = 0;
  std::map<std::string, fleet::host_state, std::less<>> View;
  std::multimap<std::int64_t, std::string> InFlight; ///< Host by end time.
};

/// An order that the platform receives at a later time.
struct delayed_order {
  std::int64_t AtMs = 0;
  platform::order Order;
};

/// Simulates a fleet on a virtual clock: the state machine, the reconciler, a
/// platform and entries. Every round checks the invariants and stores the first
/// violation in Violation.
class fleet_run {
public:
  fleet_run(const deployment &Shape, std::uint64_t Seed);

  /// Advances by one round of 100 ms.
  void round();
  /// Commits an operator's command.
  fleet::apply_result commit(fleet::command_body Body,
                             std::string Actor = "operator");
  /// Changes the leader; some orders of the old one arrive late.
  void changeLeader();
  void setFaults(const std::string &Host, standin::host_faults Faults);
  /// Sets the slots of a service that all entries together report as in use.
  void setBusySlots(const std::string &Service, std::uint32_t Slots);

  std::uint32_t available(std::string_view Pool) const;
  bool allInService() const;
  std::string dump() const;

  std::int64_t NowMs = 1'000'000;
  std::mt19937_64 Random;
  fleet::fleet_state State;
  standin::platform_model Platform;
  std::vector<fake_entry> Entries;
  bool PlatformReachable = true;
  std::string Violation; ///< Empty while every invariant holds.

  std::uint64_t Refused = 0; ///< Planned commands that apply() refused.
  std::uint64_t RefusedOther = 0;
  std::map<std::string, std::uint64_t> RefusalReasons;
  std::map<std::string, std::uint32_t> Reboots; ///< Executed reboots by host.
  std::set<std::string> HostsEverLost;
  std::set<std::string>
      HostsWithOperatorGoal; ///< Hosts for which a goal was requested.
  std::uint64_t Moves = 0;   ///< Changes of pool on the platform.

private:
  void recordViolationIf(bool Condition, const std::string &What);
  void runEntries();
  void deliverOrders();
  void commitPlanned(fleet::command_body Body);
  void checkPlatform();
  void checkExecuted();
  bool isServedByEntries(const std::string &Host) const;

  reconciler::reconciler Reconciler;
  std::uint64_t Index = 0;
  std::uint64_t Submission = 0;
  std::uint64_t CheckedOrders = 0;
  std::vector<delayed_order> Delayed;
  std::map<std::string, std::uint64_t> NewestEpoch;
  std::map<std::string, std::string> PoolOnPlatform;
  std::vector<platform::host_report> NewestReports;
  std::map<std::string, std::uint32_t> BusySlots;
};

} // namespace lycheetrestle::testing

#endif
