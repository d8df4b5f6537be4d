#ifndef LYCHEETRESTLE_SCHEDULING_ADVICE_CACHE_H
#define LYCHEETRESTLE_SCHEDULING_ADVICE_CACHE_H

#include "core/clock.h"
#include "scheduling/orders.h"
#include "scheduling/types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// Cached decisions of the external adviser on which endpoints may run the
/// steps of a queue that requires advice.
///
/// Designed for an adviser that takes time for each call and for each endpoint
/// in it, and that serves one call of a caller at a time: calls are made one
/// after the other, for the step that has waited longest, and leave out
/// endpoints whose cached decision is still valid.
class advice_cache {
public:
  /// \param Step Index is ignored.
  /// \returns the ticket, or nothing when the endpoint may not run the step or
  /// there is no valid decision.
  std::optional<std::string> ticket(const task_key &Step,
                                    const std::string &EndpointId,
                                    core::time_point Now) const;
  /// Requests decisions for a step with waiting tasks; replaces an earlier
  /// request for it.
  /// \param Terms declared timing of the adviser, from the queue.
  /// \param EndpointIds endpoints with enough free capacity for a task.
  void request(const task_key &Step, const advice_terms &Terms,
               std::vector<std::string> EndpointIds, core::time_point Now);
  /// \returns the next call to the adviser, when one is due.
  std::optional<advise_order> nextCall(core::time_point Now);
  /// \returns whether a call is pending.
  bool isCalling() const { return PendingCall.has_value(); }
  /// Records the result of the pending call.
  /// \param Answer null when the adviser did not answer.
  void recordAnswer(const advice_answer *Answer, core::time_point Now);
  /// Discards a ticket that an endpoint refused.
  void discardTicket(const task_key &Step, const std::string &EndpointId);
  /// Discards the decisions on an endpoint, also that of the pending call:
  /// another incarnation has its id now.
  void discardEndpoint(const std::string &EndpointId);
  /// Removes steps that were not requested recently.
  void prune(core::time_point Now);

private:
  struct cached_advice {
    std::optional<std::string> Ticket; ///< Empty when not allowed.
    core::time_point ExpiresAt{};
  };
  struct step_advice {
    advice_terms Terms;
    std::vector<std::string> Requested; ///< Ids of endpoints.
    std::map<std::string, cached_advice> ByEndpoint;
    core::time_point FirstRequestedAt{};
    core::time_point LastRequestedAt{};
  };
  struct pending_call {
    task_key Step;
    std::set<std::string> Endpoints;
    core::time_point SentAt{};
  };

  static task_key stepOf(task_key Key) {
    Key.Index = 0;
    return Key;
  }

  std::map<task_key, step_advice> Steps;
  std::optional<pending_call> PendingCall;
  core::time_point EarliestCall{}; ///< After a call without a decision.
};

} // namespace lycheetrestle::scheduling

#endif
