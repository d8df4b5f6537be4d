#ifndef LYCHEETRESTLE_TESTS_ENTRY_RAW_CALLER_H
#define LYCHEETRESTLE_TESTS_ENTRY_RAW_CALLER_H

#include <asio.hpp>

#include <string>

namespace lycheetrestle::entry {

/// A connection that sends raw bytes, so that tests can send malformed
/// requests.
class raw_caller {
public:
  explicit raw_caller(std::uint16_t Port) : Socket(Io) {
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  }

  void send(const std::string &Bytes) {
    asio::write(Socket, asio::buffer(Bytes));
  }

  /// \returns the next response with head and body, an empty string when the
  /// connection was closed before it was complete, or `timeout` after 10 s, so
  /// that a fault fails the test instead of blocking it.
  std::string receive() {
    auto Size = wait([this](auto Done) {
      asio::async_read_until(Socket, asio::dynamic_buffer(Buffer), "\r\n\r\n",
                             Done);
    });
    if (Size == 0)
      return HasTimedOut ? "timeout" : "";
    auto Found = Buffer.find("Content-Length: ");
    if (Found != std::string::npos && Found < Size)
      Size += std::stoul(Buffer.substr(Found + 16));
    while (Buffer.size() < Size) {
      auto Missing = Size - Buffer.size();
      auto Read = wait([&, this](auto Done) {
        asio::async_read(Socket, asio::dynamic_buffer(Buffer),
                         asio::transfer_exactly(Missing), Done);
      });
      if (Read == 0)
        return HasTimedOut ? "timeout" : "";
    }
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
  // Runs one operation. Returns its number of bytes, or 0 on failure.
  template <typename Operation> std::size_t wait(Operation &&Start) {
    std::size_t Result = 0;
    bool IsDone = false;
    Start([&](const asio::error_code &Error, std::size_t Size) {
      Result = Error ? 0 : Size;
      IsDone = true;
    });
    Io.restart();
    Io.run_for(std::chrono::seconds(10));
    HasTimedOut = !IsDone;
    if (!IsDone) {
      Socket.close();
      Io.restart();
      Io.run();
      return 0;
    }
    return Result;
  }

  asio::io_context Io;
  asio::ip::tcp::socket Socket;
  std::string Buffer;
  bool HasTimedOut = false;
};

} // namespace lycheetrestle::entry

#endif
