#ifndef LYCHEETRESTLE_ROUTING_ENTRY_ROUTER_H
#define LYCHEETRESTLE_ROUTING_ENTRY_ROUTER_H

#include "core/clock.h"
#include "core/failure.h"
#include "core/metrics.h"
#include "fleet/types.h"
#include "routing/messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::routing {

struct router_settings {
  std::string Self;                  ///< Process name of this entry.
  std::uint64_t Incarnation = 0;     ///< Random for each start.
  std::vector<std::string> Entries;  ///< Every configured entry, Self included.
  std::vector<std::string> Controls; ///< Every configured control replica.
  /// Maximum age of a confirmation while this entry serves.
  core::duration Freshness = std::chrono::milliseconds(3000);
  /// Between two probes of control.
  core::duration ProbeInterval = std::chrono::milliseconds(250);
  /// Each entry probes every other one, so this interval determines most of the
  /// traffic between entries.
  core::duration PeerProbeInterval = std::chrono::milliseconds(500);
  core::duration AnnouncementLease = std::chrono::milliseconds(3000);
  core::duration GossipInterval = std::chrono::milliseconds(100);
  std::uint32_t MaxQueuedPerClass = 1000; ///< For each service at its broker.
  std::uint32_t MaxInFlight = 4000;       ///< Callers' requests at this entry.
  std::uint32_t MaxRetries = 2;
  double RetryBudget = 0.1; ///< Retries as a share of recent requests.
  /// While a class other than urgent has waiting requests, it gets one of this
  /// many grants.
  std::uint32_t BatchShare = 8;
  std::uint32_t MaxDeadlineMs = 60000;
  std::size_t MaxStoredResponse = 16u << 10; ///< Bytes stored for a key.
};

/// A complete request of a caller, as received by the HTTP thread.
struct caller_request {
  std::uint64_t Id = 0; ///< Unique in this process.
  std::string Method;
  std::string Service;
  std::string Path; ///< Path and query that the endpoint receives.
  std::string CorrelationId;
  std::string Key; ///< Empty without `Idempotency-Key`.
  std::string ContentType;
  std::string Body;
  std::optional<fleet::work_class> Class;
  std::optional<std::uint32_t> DeadlineMs;
};

/// The response to a caller's request.
struct caller_response {
  std::uint64_t Id = 0;
  std::uint32_t Status = 503;
  core::verdict Verdict = core::verdict::NotRun;
  std::string Refusal; ///< Fixed code, empty unless refused.
  std::string CorrelationId;
  std::string ContentType;
  std::string Body;
};

/// One attempt at an endpoint.
struct upstream_request {
  std::uint64_t Attempt = 0; ///< Unique in this process.
  std::string Endpoint;      ///< Name, for connection limits.
  std::string Address;       ///< `ip:port`.
  std::string Method, Path, CorrelationId, ContentType, Body;
  fleet::work_class Class = fleet::work_class::Normal;
  std::uint32_t DeadlineMs = 0;
  std::uint32_t MaxConnections = 0; ///< To this endpoint from this entry.
};

enum class upstream_status : std::uint8_t {
  Complete, ///< A complete response with the request's correlation id.
  NotSent,  ///< Certainly not executed: no connection, or nothing was sent.
  Unknown,  ///< Lost, late, truncated, oversized or with another id.
};

/// The result of one attempt at an endpoint.
struct upstream_result {
  std::uint64_t Attempt = 0;
  upstream_status Status = upstream_status::Unknown;
  std::uint32_t HttpStatus = 0;
  bool ReportedNotRun = false; ///< 503 with `X-Verdict: not-run`.
  std::string ContentType;
  std::string Body;
  std::string Reason; ///< For the log when not Complete.
};

/// A message for another process.
struct outgoing {
  std::string Peer;
  message Message;
};

/// Actions for the threads around the router.
struct router_output {
  std::vector<caller_response> Responses; ///< Exactly one for each request.
  std::vector<upstream_request> Dispatch;
  std::vector<std::uint64_t> CancelUpstream; ///< Attempts no longer awaited.
  std::vector<outgoing> Messages;
};

/// Makes all decisions of an entry: freshness of the configuration, the
/// endpoint registry, slots and queues, keyed requests, retries and verdicts.
/// It does no input or output, so tests run it on a virtual clock.
class entry_router {
public:
  entry_router(router_settings Settings, core::metrics_registry &Metrics,
               core::time_point Now);
  ~entry_router();

  void onCallerRequest(caller_request Request, core::time_point Now);
  /// The caller closed its connection; its request gets no response any more.
  void onCallerDisconnected(std::uint64_t Id, core::time_point Now);
  void onUpstreamResult(upstream_result Result, core::time_point Now);
  /// \param Announcement received directly from an endpoint.
  /// \returns success, Conflict when it is not newer than the recorded one, or
  /// Overloaded when too many endpoints are registered.
  core::result<void> onAnnouncement(announcement Announcement,
                                    core::time_point Now);
  void onMessage(const std::string &Peer, message Message,
                 core::time_point Now);
  /// The link to a peer went up or down.
  void onPeerChange(const std::string &Peer, bool IsUp, core::time_point Now);
  /// Runs timeouts and periodic work. Call it at least every 50 ms: more than
  /// 500 ms without any call counts as a freeze of the process, and
  /// announcements that arrive right after it count as old.
  void tick(core::time_point Now);
  /// Refuses new requests from now on, and returns the requests that wait here
  /// for a slot to their entries, which send them to the next broker. Keep
  /// calling tick() until isIdle().
  void beginShutdown(core::time_point Now);

  /// \returns the actions since the last call.
  router_output takeOutput();
  /// \returns whether this entry may serve now; used as the readiness of the
  /// process.
  bool isReady(core::time_point Now) const;
  /// \returns whether no caller's request is in flight and no abandon or
  /// completion of a key is unconfirmed.
  bool isIdle() const;
  /// \returns JSON of version, freshness, endpoints, queues and slots.
  std::string statusJson(core::time_point Now) const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

/// Parses the JSON of an announcement.
/// \param Text the body of the request, at most 4 KB.
/// \returns the announcement, or BadInput with field and value, or TooLarge.
core::result<announcement> parseAnnouncement(std::string_view Text);

} // namespace lycheetrestle::routing

#endif
