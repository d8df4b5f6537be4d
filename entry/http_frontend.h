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

struct http_frontend_settings {
  socket_address Listen;      ///< Port 0 takes a free port.
  std::string CorrelationTag; ///< Prefix of generated correlation ids.
  std::size_t MaxBodyBytes = 1u << 20;
  std::size_t MaxConnections = 2000;
  /// Longest time for a caller to send a request, and to stay idle.
  core::duration ReadTimeout = std::chrono::seconds(15);
  /// Longest time for a caller to take a response.
  core::duration WriteTimeout = std::chrono::seconds(15);
  /// Longest time until a request must be answered; above the longest deadline.
  core::duration HandleTimeout = std::chrono::seconds(65);
};

/// The rings between the HTTP thread and the routing thread.
struct frontend_rings {
  core::bounded_ring<frontend_event> &Events;  ///< This class produces.
  core::bounded_ring<frontend_reply> &Replies; ///< This class consumes.
  core::ring_signal &RepliesSignal;            ///< The signal of Replies.
};

/// HTTP server for callers, endpoints and monitoring, on its own thread. Every
/// request becomes one event and is answered by one reply, or at once with 503
/// and verdict not-run when the ring of events is full.
class http_frontend {
public:
  /// \param IsReady called on the HTTP thread for `/readyz`.
  http_frontend(http_frontend_settings Settings, frontend_rings Rings,
                core::metrics_registry &Metrics, std::function<bool()> IsReady);
  ~http_frontend();
  http_frontend(const http_frontend &) = delete;
  http_frontend &operator=(const http_frontend &) = delete;

  /// Binds the socket and starts the thread.
  /// \returns an empty string, or the reason why the address cannot be bound.
  std::string start();
  /// \returns the bound port.
  std::uint16_t port() const;
  /// Closes each connection after its next response, so that callers move to
  /// other entries. Safe from any thread.
  void closeAfterResponses();
  /// Accepts no more connections; the open ones are still served. Safe from
  /// any thread.
  void closeListener();
  /// \returns whether every request is answered and every response is written
  /// or its caller is gone. Safe from any thread.
  bool isFlushed() const;
  /// Closes all connections and joins the thread.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::entry

#endif
