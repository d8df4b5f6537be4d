#ifndef LYCHEETRESTLE_HTTP_SERVER_H
#define LYCHEETRESTLE_HTTP_SERVER_H

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/common_settings.h"
#include "core/metrics.h"
#include "http/connection_budget.h"
#include "http/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::http {

/// A received request. It is answered by a server_response with the same id.
struct server_request {
  std::uint64_t Id = 0;
  request Request;
};

/// The response to the server_request with the same id.
struct server_response {
  std::uint64_t Id = 0;
  response Response;
};

/// Addresses and limits of a server.
struct server_settings {
  std::vector<core::socket_address> Listen;
  /// Request headers that are copied into the request; all others are dropped.
  std::vector<std::string> RetainedHeaders;
  std::size_t MaxBodyBytes = 1u << 20;
  /// Maximum number of requests without a response. Further ones get 503, as do
  /// requests that do not fit into the ring.
  std::size_t MaxPending = 4096;
  /// Limits of all connections together; none if absent.
  std::optional<process_limits> Limits = std::nullopt;
  /// Ports in Listen that are not for clients that nobody controls.
  std::vector<std::uint16_t> ReservedPorts = {};
  /// Longest time in which a request must arrive completely, with Limits.
  core::duration RequestTimeout = std::chrono::seconds(60);
  /// For the connections, with Limits. May be null; must outlive the server.
  core::metrics_registry *Metrics = nullptr;
};

/// Answers a request on the server's thread, or returns std::nullopt to pass it
/// to the ring of requests. Must not block.
using local_handler =
    std::function<std::optional<response>(const request &Request)>;

/// HTTP/1.1 server on its own thread, for one or more addresses. It pushes the
/// requests into a ring and sends the responses that deliver() queues. A body
/// over the limit gets 413 without being read, and its connection is closed.
class server {
public:
  /// \param Settings addresses and limits.
  /// \param Local called first for each request; may be empty.
  /// \param Requests ring to the application thread; must outlive the server.
  server(server_settings Settings, local_handler Local,
         core::bounded_ring<server_request> &Requests);
  /// Stops the server if it is running.
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  /// Binds the addresses and starts the thread.
  /// \returns an empty string, or the reason why an address could not be bound.
  std::string start();
  /// Queues a response. Must always be called from the same thread.
  /// \param Response the response; moved from only on success.
  /// \returns false when the ring is full.
  bool deliver(server_response &&Response);
  /// Makes each further response close its connection, so that clients
  /// reconnect to other processes. Safe from any thread.
  void closeAfterResponses();
  /// Refuses each further request as not run: with 503, Retry-After and the end
  /// of its connection. After the call, none is pushed into the ring.
  void refuseRequests();
  /// \returns the number of requests without a response. Safe from any thread.
  std::size_t pendingRequests() const;
  /// Refuses further requests and those that are still in the ring, sends the
  /// queued responses, and reports the requests without a response as unknown
  /// with 504. Closes all connections, waiting up to 0.5 s for requests that
  /// are partly read and for clients to receive their responses; then joins the
  /// thread. Must be called on the thread that consumes the ring.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::http

#endif
