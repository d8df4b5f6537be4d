#ifndef LYCHEETRESTLE_TESTS_ENTRY_RAW_CALLER_H
#define LYCHEETRESTLE_TESTS_ENTRY_RAW_CALLER_H

#include <asio.hpp>

#include <string>

namespace lycheetrestle::entry {

/// A connection that sends raw bytes, so that tests can send broken requests.
class raw_caller {
public:
  explicit raw_caller(std::uint16_t Port) : Socket(Io) {
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  }

  void send(const std::string &Bytes) {
    asio::write(Socket, asio::buffer(Bytes));
  }

  /// \returns the next response, head and body, or an empty string when the
  /// connection was closed before it was whole.
  std::string receive() {
    asio::error_code Error;
    auto Size = asio::read_until(Socket, asio::dynamic_buffer(Buffer),
                                 "\r\n\r\n", Error);
    if (Error)
      return {};
    auto Found = Buffer.find("Content-Length: ");
    if (Found != std::string::npos && Found < Size)
      Size += std::stoul(Buffer.substr(Found + 16));
    if (Size > Buffer.size())
      asio::read(Socket, asio::dynamic_buffer(Buffer),
                 asio::transfer_exactly(Size - Buffer.size()), Error);
    if (Error)
      return {};
    auto Response = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    return Response;
  }

  std::string request(const std::string &Bytes) {
    send(Bytes);
    return receive();
  }

  void close() { Socket.close(); }

private:
  asio::io_context Io;
  asio::ip::tcp::socket Socket;
  std::string Buffer;
};

} // namespace lycheetrestle::entry

#endif
