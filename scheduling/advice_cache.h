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

/// Which endpoints may run the steps of queues whose policy asks an adviser.
///
/// Answers an adviser that takes a time for each call and for each endpoint
/// named, and takes one call of a caller at a time: calls are made one after
/// the other, for the step that has waited longest, and name no endpoint twice
/// while the answer about it holds.
class advice_cache {
public:
  /// \param Step its Index has no meaning.
  /// \returns the ticket, or nothing when the endpoint may not run the step or
  /// the adviser was not asked yet.
  std::optional<std::string> ticket(const task_key &Step,
                                    const std::string &EndpointId,
                                    core::time_point Now) const;
  /// Says that tasks of the step wait for a place.
  /// \param EndpointIds endpoints that have room for one.
  void request(const task_key &Step, const advice_terms &Terms,
               std::vector<std::string> EndpointIds, core::time_point Now);
  /// \returns the next call to the adviser, when one is due.
  std::optional<advise_order> nextCall(core::time_point Now);
  /// \returns whether a call is under way.
  bool isCalling() const { return OpenCall.has_value(); }
  /// \param Answer nothing when there was no answer.
  void recordAnswer(const advice_answer *Answer, core::time_point Now);
  /// Forgets a ticket that an endpoint refused.
  void discardTicket(const task_key &Step, const std::string &EndpointId);
  /// Forgets steps that nobody wanted for a while.
  void prune(core::time_point Now);

private:
  struct cached_advice {
    std::optional<std::string> Ticket;
    core::time_point ExpiresAt{};
  };
  struct step_advice {
    advice_terms Terms;
    std::vector<std::string> Requested;
    std::map<std::string, cached_advice> ByEndpoint;
    core::time_point RequestedSince{};
    core::time_point RequestedAt{};
  };
  struct open_call {
    task_key Step;
    std::set<std::string> Endpoints;
    core::time_point RequestedAt{};
  };

  static task_key stepOf(task_key Key) {
    Key.Index = 0;
    return Key;
  }

  std::map<task_key, step_advice> Steps;
  std::optional<open_call> OpenCall;
  core::time_point NextAllowed{};
};

} // namespace lycheetrestle::scheduling

#endif
