#ifndef LYCHEETRESTLE_HTTP_CONNECTION_DRAIN_H
#define LYCHEETRESTLE_HTTP_CONNECTION_DRAIN_H

#include "core/clock.h"

#include <asio.hpp>

#include <functional>

namespace lycheetrestle::http {

/// Ends the connections of the HTTP servers on an io_context, whose sockets
/// must be of the type tracked_socket. Used only on the thread of the context.
class connection_drain {
public:
  explicit connection_drain(asio::io_context &Context)
      : Context(Context), Timer(Context) {}

  /// Closes idle connections, waits up to 0.5 s for the others, and stops the
  /// context. From this call on, each request must be answered at once, with
  /// the end of its connection.
  /// \param CloseListeners called once the connections that were made before
  /// this call have been accepted.
  void start(std::function<void()> CloseListeners);

private:
  void poll(std::function<void()> CloseListeners);

  asio::io_context &Context;
  asio::steady_timer Timer;
  core::time_point Deadline{};
};

} // namespace lycheetrestle::http

#endif
