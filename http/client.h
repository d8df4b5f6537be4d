#ifndef LYCHEETRESTLE_HTTP_CLIENT_H
#define LYCHEETRESTLE_HTTP_CLIENT_H

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/network_address.h"
#include "http/messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace lycheetrestle::http {

/// An outgoing HTTP request.
struct client_call {
  std::uint64_t Id = 0; ///< Copied into the result.
  /// A call without an address fails.
  std::optional<core::network_address> Address;
  request Request;
  core::duration Timeout = std::chrono::milliseconds(1000);
  core::time_point Issued{}; ///< Start of the timeout.
};

/// The outcome of a client_call.
struct client_result {
  std::uint64_t Id = 0; ///< Id of the call.
  bool WasSent = false; ///< Whether the server may have received the request.
  bool IsComplete = false; ///< Whether a complete response was received.
  response Response;       ///< Set when IsComplete.
  std::string Reason;      ///< Why the call failed; set when not IsComplete.
  /// The call failed in this process or at a delegate, which says nothing about
  /// the server.
  bool IsLocal = false;
  bool IsRefused = false; ///< Nothing listens at the address.
};

/// Limits of a client.
struct client_settings {
  /// Timeout for establishing a connection. Allows for two lost handshake
  /// packets on a path of a few milliseconds.
  core::duration ConnectTimeout = std::chrono::milliseconds(700);
  /// Calls that waited longer in the ring are not sent: the process may have
  /// been suspended, and the decision behind the call may be stale.
  core::duration MaxCallAge = std::chrono::milliseconds(500);
  std::size_t MaxResponseBytes = 4u << 20;
};

/// HTTP/1.1 client with persistent connections on its own thread. Each call
/// produces exactly one result. The client never retries a call.
class client {
public:
  /// \param Settings limits.
  /// \param Calls ring from the application thread.
  /// \param CallsSignal consumer signal of Calls.
  /// \param Results ring to the application thread. All three must outlive the
  /// client.
  client(client_settings Settings, core::bounded_ring<client_call> &Calls,
         core::ring_signal &CallsSignal,
         core::bounded_ring<client_result> &Results);
  /// Stops the client if it is running.
  ~client();
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  /// Starts the thread.
  void start();
  /// Aborts all calls without results and joins the thread.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::http

#endif
