#ifndef LYCHEETRESTLE_ROUTING_SLOT_BROKER_H
#define LYCHEETRESTLE_ROUTING_SLOT_BROKER_H

#include "core/clock.h"
#include "routing/endpoint_source.h"
#include "routing/messages.h"
#include "routing/request_queue.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::routing {

struct broker_settings {
  queue_settings Queue;
  /// Time for which a new broker waits for the reports of the other entries.
  core::duration RebuildWait = std::chrono::milliseconds(300);
  /// A slot is reclaimed at the latest this long after the deadline of its
  /// request, which covers the time that the request was in transit.
  core::duration ReturnMargin = std::chrono::milliseconds(500);
  /// Longer deadlines of other entries are reduced to this.
  std::uint32_t MaxDeadlineMs = 60000;
  /// For this long after a failure an endpoint is used only when no other has a
  /// free slot.
  core::duration FailurePenalty = std::chrono::seconds(1);
  /// Start of the broker's tokens; differs for every broker.
  std::uint64_t FirstToken = 1;
};

/// Message for the entry that holds a request.
struct broker_reply {
  std::string Holder;
  message Message;
};

/// Grants the slots of the endpoints of one service to the requests of all
/// entries. A request without a grant is not dispatched.
class slot_broker {
public:
  /// \param Endpoints supplies the endpoints that may get new work.
  slot_broker(std::string Service, broker_settings Settings,
              const endpoint_source &Endpoints);

  /// Grants nothing until all reports have arrived or RebuildWait has passed.
  /// \param Reporters entries that must report their held slots.
  void rebuild(std::set<std::string> Reporters, core::time_point Now);
  /// Queues a request or refuses it, or resends the grant that it got before.
  void request(const std::string &Holder, const slot_request &Request,
               core::time_point Now);
  /// \returns whether the request waited.
  bool cancel(const std::string &Holder, std::uint64_t RequestId);
  /// Returns a slot. Unknown tokens are ignored.
  void release(const slot_release &Release, core::time_point Now);
  /// Records the slots that an entry holds.
  void report(const std::string &Holder, const slot_report &Report,
              core::time_point Now);
  /// Handles the loss of the link to an entry. Its waiting requests are
  /// dropped; its slots stay in use until the same incarnation sends a report
  /// without them, or until their deadline and ReturnMargin have passed.
  void onHolderDown(const std::string &Holder);
  /// Refuses every waiting request, so that its holder sends it to the next
  /// broker.
  void handOver();
  /// Refuses expired requests, reclaims expired slots and grants free slots.
  void update(core::time_point Now);

  std::vector<broker_reply> takeReplies();
  std::size_t waiting() const { return Queue.size(); }
  std::size_t busySlots() const { return Grants.size(); }
  double meanServiceMs() const;
  bool isIdle() const { return Queue.size() == 0 && Grants.empty(); }

private:
  struct grant {
    std::string Holder;
    std::uint64_t Incarnation = 0;
    std::uint64_t RequestId = 0; ///< 0 when taken over from a report.
    std::string Endpoint;
    core::time_point ExpiresAt;
    bool IsSuspect = false; ///< The link to the holder was lost since.
  };
  using grant_map = std::map<std::uint64_t, grant>;

  bool isRebuilding(core::time_point Now);
  core::duration boundedDeadline(std::uint32_t Ms) const;
  service_capacity capacity(core::time_point Now) const;
  void grantWaiting(core::time_point Now);
  void refuse(const waiting_request &Request, std::string_view Reason);
  void sendGrant(const grant &Grant, std::uint64_t Token);
  grant_map::iterator freeSlot(grant_map::iterator Where);
  std::uint32_t busy(const std::string &Endpoint) const;

  std::string Service;
  broker_settings Settings;
  const endpoint_source &Endpoints;
  request_queue Queue;
  grant_map Grants;
  std::map<std::string, std::uint32_t, std::less<>> BusyByEndpoint;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> TokenByRequest;
  std::map<std::string, core::time_point, std::less<>> FailedAt;
  std::set<std::string> AwaitedReports;
  core::time_point RebuildUntil{};
  std::uint64_t NextToken;
  std::vector<broker_reply> Replies;
  boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>
      ServiceTimes;
};

} // namespace lycheetrestle::routing

#endif
