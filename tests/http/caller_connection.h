#ifndef LYCHEETRESTLE_TESTS_HTTP_CALLER_CONNECTION_H
#define LYCHEETRESTLE_TESTS_HTTP_CALLER_CONNECTION_H

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheetrestle::http {

/// How a request ended for its caller.
enum class exchange_end : std::uint8_t {
  Answered, ///< The response arrived whole.
  Unread,   ///< The server closed the connection before it read the request.
  Lost,     ///< The server read the request, and no whole response arrived.
};

/// What a caller received for one request.
struct exchange {
  exchange_end End = exchange_end::Lost;
  int Status = 0;
  bool IsClosing = false; ///< The response has `Connection: close`.
  bool HasRetryAfter = false;
  std::string Body;
};

/// A caller's connection on a plain blocking socket to a loopback port.
///
/// It tells a request that the server has read from one that it has not by what
/// Linux does at a close: unread bytes, and bytes that arrive later, reset the
/// connection; a connection whose bytes were all read ends in order.
class caller_connection {
public:
  /// \param Port the server's port on 127.0.0.1.
  /// \param ReceiveBufferBytes limit of the receive buffer; 0 keeps the
  /// default.
  explicit caller_connection(std::uint16_t Port, int ReceiveBufferBytes = 0);
  ~caller_connection();
  caller_connection(const caller_connection &) = delete;
  caller_connection &operator=(const caller_connection &) = delete;

  bool isConnected() const { return Socket >= 0; }
  /// \returns whether the server has ended the connection.
  bool isEnded() const;
  /// \returns whether all bytes were passed to the kernel.
  bool send(std::string_view Bytes) const;
  /// Waits for the response to the request that was sent.
  exchange receive() const;

private:
  int Socket = -1;
};

/// \returns a POST request with the body.
std::string postRequest(std::string_view Target, std::string_view Body);
/// \returns a free loopback port.
std::uint16_t freeLoopbackPort();

} // namespace lycheetrestle::http

#endif
