#ifndef LYCHEETRESTLE_HTTP_CLIENT_H
#define LYCHEETRESTLE_HTTP_CLIENT_H

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "http/messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace lycheetrestle::http {

/// A call to another program.
struct client_call {
  std::uint64_t Id = 0; ///< Passed back in the result.
  std::string Address;  ///< `ip:port`; names are not resolved.
  request Request;
  core::duration Timeout = std::chrono::milliseconds(1000);
  core::time_point Issued{}; ///< The timeout counts from here.
};

struct client_result {
  std::uint64_t Id = 0;
  bool WasSent = false; ///< Whether the other side may have received it.
  bool IsComplete = false;
  response Response;  ///< When it is complete.
  std::string Reason; ///< Otherwise.
};

struct client_settings {
  /// A connection that is not up by then counts as failed. Two lost opening
  /// packets on a path of a few milliseconds fit in it.
  core::duration ConnectTimeout = std::chrono::milliseconds(700);
  /// A call that waited longer in the ring is not sent: the process was
  /// suspended meanwhile and its decision may be out of date.
  core::duration MaxCallAge = std::chrono::milliseconds(500);
  std::size_t MaxResponseBytes = 4u << 20;
};

/// HTTP/1.1 client with kept connections on a thread of its own. Each call
/// gives exactly one result. A call is never sent a second time by itself.
class client {
public:
  /// \param Calls ring from the deciding thread; its signal is CallsSignal.
  /// \param Results ring back.
  client(client_settings Settings, core::bounded_ring<client_call> &Calls,
         core::ring_signal &CallsSignal,
         core::bounded_ring<client_result> &Results);
  /// Stops the client when it still runs.
  ~client();
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  void start();
  /// Drops all calls and joins the thread.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::http

#endif
