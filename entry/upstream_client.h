#ifndef LYCHEETRESTLE_ENTRY_UPSTREAM_CLIENT_H
#define LYCHEETRESTLE_ENTRY_UPSTREAM_CLIENT_H

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "routing/entry_router.h"

#include <cstdint>
#include <memory>
#include <variant>

namespace lycheetrestle::entry {

struct upstream_settings {
  std::size_t MaxResponseBytes = 4u << 20;
  core::duration ConnectTimeout = std::chrono::milliseconds(1000);
  /// An order that waited longer in the ring is not sent, because the process
  /// may have been frozen and its configuration may be stale.
  core::duration MaxOrderAge = std::chrono::milliseconds(500);
};

struct dispatch_order {
  routing::upstream_request Request;
  core::time_point Issued; ///< Time of the decision; the deadline counts on it.
};
struct cancel_order {
  std::uint64_t Attempt = 0;
};
using upstream_order = std::variant<dispatch_order, cancel_order>;

/// The rings between the routing thread and the upstream thread.
struct upstream_rings {
  core::bounded_ring<upstream_order> &Orders; ///< This class consumes.
  core::ring_signal &OrdersSignal;            ///< The signal of Orders.
  core::bounded_ring<routing::upstream_result> &Results; ///< It produces.
};

/// HTTP client towards endpoints, on its own thread. Every dispatch that is not
/// cancelled gives exactly one result; a cancelled one gives at most one.
class upstream_client {
public:
  upstream_client(upstream_settings Settings, upstream_rings Rings);
  ~upstream_client();
  upstream_client(const upstream_client &) = delete;
  upstream_client &operator=(const upstream_client &) = delete;

  void start();
  /// Drops all transfers and joins the thread.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::entry

#endif
