#ifndef LYCHEETRESTLE_ENTRY_UPSTREAM_CLIENT_H
#define LYCHEETRESTLE_ENTRY_UPSTREAM_CLIENT_H

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "routing/entry_router.h"

#include <cstdint>
#include <memory>
#include <variant>

namespace lycheetrestle::entry {

/// Limits of the upstream client.
struct upstream_settings {
  std::size_t MaxResponseBytes = 4u << 20;
  core::duration ConnectTimeout = std::chrono::milliseconds(1000);
  /// Orders that waited longer in the ring are not sent: the process may have
  /// been suspended, and its configuration may be stale.
  core::duration MaxOrderAge = std::chrono::milliseconds(500);
};

/// Sends a request to an endpoint.
struct dispatch_order {
  routing::upstream_request Request;
  core::time_point Issued; ///< Time of the decision; start of the deadline.
};

/// Aborts an attempt, if it is still in progress.
struct cancel_order {
  std::uint64_t Attempt = 0;
};

/// A message from the routing thread to the upstream thread.
using upstream_order = std::variant<dispatch_order, cancel_order>;

/// The rings between the routing thread and the upstream thread. They must
/// outlive the client.
struct upstream_rings {
  core::bounded_ring<upstream_order> &Orders; ///< Read by upstream_client.
  core::ring_signal &OrdersSignal;            ///< Consumer signal of Orders.
  /// Written by upstream_client.
  core::bounded_ring<routing::upstream_result> &Results;
};

/// HTTP client for requests to endpoints, on its own thread. Each dispatch
/// produces exactly one result, or at most one when it is cancelled. The client
/// never retries a request.
class upstream_client {
public:
  upstream_client(upstream_settings Settings, upstream_rings Rings);
  ~upstream_client();
  upstream_client(const upstream_client &) = delete;
  upstream_client &operator=(const upstream_client &) = delete;

  /// Starts the thread.
  void start();
  /// Aborts all transfers without results and joins the thread.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::entry

#endif
