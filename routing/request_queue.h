#ifndef LYCHEETRESTLE_ROUTING_REQUEST_QUEUE_H
#define LYCHEETRESTLE_ROUTING_REQUEST_QUEUE_H

#include "core/clock.h"
#include "fleet/types.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::routing {

/// A request that waits for a slot at the broker of its service.
struct waiting_request {
  std::string Holder;          ///< Entry that holds the caller's connection.
  std::uint64_t RequestId = 0; ///< Unique together with Holder.
  std::uint64_t Incarnation = 0;
  fleet::work_class Class = fleet::work_class::Normal;
  core::time_point Deadline;
  std::vector<std::string> Avoid;
};

struct queue_settings {
  std::uint32_t MaxPerClass = 1000; ///< Waiting requests at most.
  /// While a less urgent class has waiting requests, it gets one of this many
  /// grants.
  std::uint32_t GrantCycle = 8;
};

/// Measured capacity of a service, used to refuse requests that cannot meet
/// their deadline.
struct service_capacity {
  double MeanServiceMs = 0; ///< 0 while unknown.
  std::uint32_t Slots = 0;  ///< Of all usable endpoints.
  bool HasFreeSlot = false;
};

/// The queue of one service: one bounded queue for each class, ordered by
/// deadline.
class request_queue {
public:
  explicit request_queue(queue_settings Initial);

  /// Adds a request; one that already waits is not added again.
  /// \returns the reason of a refusal, or an empty string.
  std::string push(waiting_request Request, const service_capacity &Capacity,
                   core::time_point Now);
  /// Removes the next request that can be placed. Urgent requests come first;
  /// one grant of each cycle is reserved for each other class with waiting
  /// requests.
  /// \param CanPlace returns whether an endpoint is free for the request.
  /// \returns the request, or nothing when none can be placed.
  std::optional<waiting_request>
  pop(const std::function<bool(const waiting_request &)> &CanPlace);
  /// Removes the requests whose deadline has passed.
  std::vector<waiting_request> takeExpired(core::time_point Now);
  /// Removes a request.
  /// \returns whether it waited.
  bool cancel(const std::string &Holder, std::uint64_t RequestId);
  /// Removes the requests of one holder.
  void removeHolder(const std::string &Holder);
  /// Removes all requests.
  std::vector<waiting_request> takeAll();
  bool contains(const std::string &Holder, std::uint64_t RequestId) const;
  std::size_t size() const;
  std::size_t size(fleet::work_class Class) const;

private:
  using position = std::pair<core::time_point, std::uint64_t>;
  using class_queue = std::map<position, waiting_request>;
  static constexpr std::size_t Classes = 3;

  bool meetsDeadline(const waiting_request &Request,
                     const service_capacity &Capacity,
                     core::time_point Now) const;
  std::array<std::size_t, Classes> classOrder() const;
  waiting_request take(std::size_t Class, class_queue::iterator Where);
  void countGrant(std::size_t Class);

  queue_settings Settings;
  std::array<class_queue, Classes> Queues;
  /// Grants to other classes since the class last got one or had no waiting
  /// request.
  std::array<std::uint32_t, Classes> GrantsToOthers{};
  std::map<std::pair<std::string, std::uint64_t>,
           std::pair<std::size_t, position>>
      Index;
  std::uint64_t NextPosition = 0;
};

} // namespace lycheetrestle::routing

#endif
