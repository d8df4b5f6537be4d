#ifndef LYCHEETRESTLE_CONTROL_HTTP_FRONTEND_H
#define LYCHEETRESTLE_CONTROL_HTTP_FRONTEND_H

#include "control/control_settings.h"
#include "control/control_types.h"
#include "core/bounded_ring.h"
#include "core/metrics.h"

#include <memory>
#include <string>

namespace lycheetrestle::control {

/// Address and limits of the HTTP server.
struct http_frontend_settings {
  socket_address Listen;
  http::process_limits Limits; ///< Of all connections together.
};

/// HTTP server of a control replica, on its own thread. It parses and validates
/// requests, passes them to the control thread and sends the answers. A body
/// over the limit gets 413 without being read, and its connection is closed.
class http_frontend {
public:
  /// \param Settings address and limits.
  /// \param Requests ring to the control thread; must outlive the frontend.
  /// \param Metrics served at `/metrics`; must outlive the frontend.
  http_frontend(http_frontend_settings Settings,
                core::bounded_ring<control_request> &Requests,
                core::metrics_registry &Metrics);
  /// Stops the server if it is running.
  ~http_frontend();
  http_frontend(const http_frontend &) = delete;
  http_frontend &operator=(const http_frontend &) = delete;

  /// Binds the address and starts the thread.
  /// \returns an empty string, or the reason why the address cannot be bound.
  std::string start();
  /// Queues an answer. Called by the control thread only.
  /// \param Answer the answer; moved from only on success.
  /// \returns false when the ring of answers is full.
  bool deliver(control_answer &&Answer);
  /// Sets what `/readyz` reports. May be called from any thread.
  void setReady(bool Ready);
  /// Sends the queued answers, answers all other pending requests with
  /// may-have-run, refuses further ones as not run, closes all connections and
  /// joins the thread. Takes up to 0.5 s while clients keep theirs open.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::control

#endif
