#ifndef LYCHEETRESTLE_ENTRY_HTTP_FRONTEND_H
#define LYCHEETRESTLE_ENTRY_HTTP_FRONTEND_H

#include "core/bounded_ring.h"
#include "core/metrics.h"
#include "entry/entry_settings.h"
#include "entry/frontend_messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheetrestle::entry {

/// Settings of the HTTP server.
struct http_frontend_settings {
  socket_address Listen;      ///< Port 0 selects a free port.
  std::string CorrelationTag; ///< Prefix of generated correlation ids.
  std::size_t MaxBodyBytes = 1u << 20;
  /// A further connection closes one without a request that was passed on. May
  /// be less because of Limits.
  std::size_t MaxConnections = 2000;
  http::process_limits Limits = DefaultProcessLimits;
  /// Timeout for receiving a request, and for idle connections.
  core::duration ReadTimeout = std::chrono::seconds(15);
  /// Timeout for writing a response.
  core::duration WriteTimeout = std::chrono::seconds(15);
  /// Timeout for answering a request; must exceed the longest deadline.
  core::duration HandleTimeout = std::chrono::seconds(65);
};

/// The rings between the HTTP thread and the routing thread. They must outlive
/// the frontend.
struct frontend_rings {
  core::bounded_ring<frontend_event> &Events;  ///< Written by http_frontend.
  core::bounded_ring<frontend_reply> &Replies; ///< Read by http_frontend.
  core::ring_signal &RepliesSignal;            ///< Consumer signal of Replies.
};

/// HTTP server for callers, endpoints and monitoring, on its own thread.
/// Requests for the router become one event each and are answered by one reply.
/// When the ring of events is full, they are refused at once with 503 and
/// verdict not-run. A body over the limit gets 413 without being read, and its
/// connection is closed. Invalid requests, `/healthz`, `/readyz` and `/metrics`
/// are answered on the HTTP thread.
class http_frontend {
public:
  /// \param Settings addresses and limits.
  /// \param Rings the rings to and from the routing thread.
  /// \param Metrics the registry that `/metrics` exposes.
  /// \param IsReady called on the HTTP thread for `/readyz`.
  http_frontend(http_frontend_settings Settings, frontend_rings Rings,
                core::metrics_registry &Metrics, std::function<bool()> IsReady);
  ~http_frontend();
  http_frontend(const http_frontend &) = delete;
  http_frontend &operator=(const http_frontend &) = delete;

  /// Binds the socket and starts the thread.
  /// \returns an empty string, or the reason why the address could not be
  /// bound.
  std::string start();
  /// \returns the bound port.
  std::uint16_t port() const;
  /// Closes each connection after its next response, so that callers reconnect
  /// to other entries. Safe from any thread.
  void closeAfterResponses();
  /// Stops accepting connections; open ones are still served. Safe from any
  /// thread.
  void closeListener();
  /// \returns whether no request is pending: each response was written, or its
  /// caller disconnected. Safe from any thread.
  bool isFlushed() const;
  /// Closes all connections and joins the thread.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::entry

#endif
