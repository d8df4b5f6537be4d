#ifndef LYCHEETRESTLE_ROUTING_REQUEST_HANDLER_H
#define LYCHEETRESTLE_ROUTING_REQUEST_HANDLER_H

#include "core/metrics.h"
#include "routing/endpoint_registry.h"
#include "routing/entry_router.h"
#include "routing/fleet_view.h"
#include "routing/freshness_guard.h"
#include "routing/key_client.h"
#include "routing/request_tracker.h"
#include "routing/retry_budget.h"
#include "routing/slot_holder.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::routing {

/// State of the entry that a request_handler reads.
struct handler_context {
  const router_settings &Settings;
  const fleet_view &View;
  const freshness_guard &Guard;
  const endpoint_registry &Registry;
  core::metrics_registry &Metrics;
  std::function<std::uint64_t()> NextId; ///< Unique across restarts.
};

/// Processes callers' requests from arrival to response: key, slot, attempts at
/// endpoints, retries and verdict.
class request_handler {
public:
  explicit request_handler(handler_context Context);

  void onCallerRequest(caller_request Request, core::time_point Now);
  void onCallerDisconnected(std::uint64_t Id, core::time_point Now);
  void onUpstreamResult(upstream_result Result, core::time_point Now);
  void onKeyReply(const key_reply &Reply, core::time_point Now);
  void onGrant(const std::string &Peer, const slot_grant &Grant,
               core::time_point Now);
  void onRefusal(const std::string &Peer, const slot_refusal &Refusal,
                 core::time_point Now);
  void setLeader(const std::string &Leader, core::time_point Now);
  void setOwner(const std::string &Service, const std::string &Owner,
                core::time_point Now);
  void beginShutdown() { IsStopping = true; }
  void tick(core::time_point Now);

  /// Moves responses, attempts, cancellations and the messages for the leader
  /// into an output.
  void takeOutput(router_output &Output);
  /// \returns messages for brokers, that of this entry included.
  std::vector<slot_message> takeSlotMessages() { return Slots.takeMessages(); }
  bool isIdle() const { return Requests.size() == 0 && Keys.isIdle(); }
  std::size_t requestCount() const { return Requests.size(); }
  std::size_t keyCount() const { return Keys.size(); }
  std::size_t heldSlots() const { return Slots.held(); }
  std::map<std::string, std::uint32_t> inFlightByHost() const {
    return Requests.inFlightByHost();
  }
  /// \returns requests that arrived for each service since the last call.
  std::map<std::string, std::uint32_t> takeArrivals();

private:
  struct refusal {
    std::uint32_t Status = 0;
    std::string_view Reason;
  };
  /// \returns why the request cannot be accepted; Status 0 when it can.
  refusal checkArrival(const caller_request &Request,
                       core::time_point Now) const;
  void refuseArrival(const caller_request &Request, refusal Refusal);
  void requestSlot(tracked_request &Request, core::time_point Now);
  void dispatch(tracked_request &Request, const announcement &Endpoint,
                core::time_point Now);
  void onCompleteResponse(tracked_request &Request, upstream_result Result,
                          core::time_point Now);
  void onFailedAttempt(tracked_request &Request, const upstream_result &Result,
                       bool IsCertainlyNotRun, core::time_point Now);
  bool mayRetry(const tracked_request &Request, bool IsCertainlyNotRun,
                core::time_point Now);
  void expire(tracked_request &Request, core::time_point Now);
  void refuse(tracked_request &Request, refusal Refusal, core::time_point Now);
  /// Ends a request with its only response.
  void respond(tracked_request &Request, caller_response Response,
               core::time_point Now);
  void count(const caller_response &Response, fleet::work_class Class);
  retry_budget &budgetOf(const std::string &Service);

  handler_context Context;
  request_tracker Requests;
  slot_holder Slots;
  key_client Keys;
  std::map<std::string, retry_budget> Budgets;
  std::map<std::string, std::uint32_t> Arrivals;
  router_output Output;
  bool IsStopping = false;
};

} // namespace lycheetrestle::routing

#endif
