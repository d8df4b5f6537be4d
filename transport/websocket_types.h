#ifndef LYCHEETRESTLE_TRANSPORT_WEBSOCKET_TYPES_H
#define LYCHEETRESTLE_TRANSPORT_WEBSOCKET_TYPES_H

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

// websocketpp 0.8.2 does not compile as C++20, so only C++17 sources of this
// folder include this header.
namespace lycheetrestle::transport {

/// One configuration for server and client, so that both have the same
/// connection type. It derives from the client's, because a client needs a
/// random source for masking.
// websocketpp reads these names.
// NOLINTBEGIN(readability-identifier-naming)
struct websocket_config : websocketpp::config::asio_client {
  using type = websocket_config;
  using base = websocketpp::config::asio_client;

  struct transport_config : base::transport_config {
    // Timeouts in milliseconds. A dial attempt must not last much longer than
    // the backoff, or an unreachable peer is reconnected late.
    static const long timeout_connect = 2000;
    static const long timeout_socket_shutdown = 500;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;

  static const long timeout_open_handshake = 2000;
  static const long timeout_close_handshake = 1000;
  static const size_t max_http_body_size = 0;
  // A closing handshake would keep a broken link up for another second.
  static const bool drop_on_protocol_error = true;
};
// NOLINTEND(readability-identifier-naming)

using websocket_server = websocketpp::server<websocket_config>;
using websocket_client = websocketpp::client<websocket_config>;
using websocket_connection = websocketpp::connection<websocket_config>;
using websocket_pointer = websocket_connection::ptr;
using websocket_message = websocket_connection::message_ptr;

} // namespace lycheetrestle::transport

#endif
