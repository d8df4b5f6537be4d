#ifndef LYCHEETRESTLE_TESTS_TRANSPORT_RAW_CLIENT_H
#define LYCHEETRESTLE_TESTS_TRANSPORT_RAW_CLIENT_H

#include <cstdint>
#include <string>

namespace lycheetrestle::transport::test {

/// WebSocket client on a plain socket that can violate the protocol. It never
/// answers a ping.
class raw_client {
public:
  explicit raw_client(std::uint16_t Port);
  ~raw_client();
  raw_client(const raw_client &) = delete;
  raw_client &operator=(const raw_client &) = delete;

  void sendBytes(const std::string &Bytes);
  /// Sends the opening handshake and waits for the response.
  void upgrade();
  /// Sends a masked frame; the mask is zero, so the payload stays readable.
  /// \param Opcode 1 for text, 2 for binary.
  void sendFrame(int Opcode, const std::string &Payload);
  /// Completes the opening handshake and sends a hello.
  void completeHandshake(const std::string &Name, std::uint64_t Stamp);
  /// Reads until the peer closes.
  /// \returns false when that does not happen within WaitTimeout.
  bool waitForClose();

private:
  int Socket;
};

} // namespace lycheetrestle::transport::test

#endif
