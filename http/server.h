#ifndef LYCHEETRESTLE_HTTP_SERVER_H
#define LYCHEETRESTLE_HTTP_SERVER_H

#include "core/bounded_ring.h"
#include "core/common_settings.h"
#include "http/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::http {

/// A request that waits for a response with the same id.
struct server_request {
  std::uint64_t Id = 0;
  request Request;
};

struct server_response {
  std::uint64_t Id = 0;
  response Response;
};

struct server_settings {
  std::vector<core::socket_address> Listen;
  /// Request headers that are passed on; the others are dropped.
  std::vector<std::string> RetainedHeaders;
  std::size_t MaxBodyBytes = 1u << 20;
  /// Requests that wait for a response; more are answered 503.
  std::size_t MaxPending = 4096;
};

/// Answers a request on the server's thread, or leaves it to the ring. It must
/// not block.
using local_handler =
    std::function<std::optional<response>(const request &Request)>;

/// HTTP/1.1 server on a thread of its own, for one or more addresses. It gives
/// the requests to a ring and sends the responses that come back.
class server {
public:
  /// \param Settings where to listen, and limits.
  /// \param Local called first for each request; may be empty.
  /// \param Requests ring to the deciding thread; must outlive the server.
  server(server_settings Settings, local_handler Local,
         core::bounded_ring<server_request> &Requests);
  /// Stops the server when it still runs.
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  /// Binds the addresses and starts the thread.
  /// \returns an empty string, or the reason why an address cannot be bound.
  std::string start();
  /// Queues a response. Called by one thread only.
  /// \param Response it is moved from only on success.
  /// \returns false when the ring is full.
  bool deliver(server_response &&Response);
  /// From now on each response closes its connection, so that clients go to
  /// other processes. Callable from any thread.
  void closeAfterResponses();
  /// \returns requests that have no response yet. Callable from any thread.
  std::size_t pendingRequests() const;
  /// Sends the queued responses, closes all connections and joins the thread.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::http

#endif
