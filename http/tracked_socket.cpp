#include "http/tracked_socket.h"

#include <array>
#include <chrono>
#include <vector>

namespace lycheetrestle::http {

namespace {

// Bounds the wait for a peer that does not close its connection.
constexpr auto PeerCloseTimeout = std::chrono::seconds(1);
// Further connections are closed at once, so that peers that never close theirs
// cannot use up the file descriptors.
constexpr std::size_t MaxClosing = 256;

} // namespace

/// A connection whose response was sent. It discards what its peer still sends,
/// until the peer closes the connection or the time-out ends.
class closing_connection
    : public std::enable_shared_from_this<closing_connection> {
public:
  closing_connection(asio::ip::tcp::socket &&NewSocket,
                     connection_registry &Registry)
      : Socket(std::move(NewSocket)), Timer(Socket.get_executor()),
        Registry(Registry) {}

  void start() {
    Timer.expires_after(PeerCloseTimeout);
    Timer.async_wait([Self = shared_from_this()](asio::error_code Error) {
      if (!Error)
        Self->close();
    });
    discardInput();
  }

  void close() {
    asio::error_code Ignored;
    Socket.close(Ignored);
    Timer.cancel();
    Registry.Closing.erase(shared_from_this());
  }

private:
  void discardInput() {
    Socket.async_read_some(
        asio::buffer(Discarded),
        [Self = shared_from_this()](asio::error_code Error, std::size_t) {
          if (Error)
            return Self->close();
          Self->discardInput();
        });
  }

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  connection_registry &Registry;
  std::array<char, 4096> Discarded{};
};

void connection_registry::closeIdle() {
  for (auto Position = Open.begin(); Position != Open.end();) {
    auto &Socket = **Position;
    asio::error_code Error;
    // Bytes that have arrived are read first.
    if (!Socket.isIdle() || Socket.available(Error) > 0) {
      ++Position;
      continue;
    }
    Socket.base::close(Error);
    Position = Open.erase(Position);
  }
}

void connection_registry::closeAll() {
  asio::error_code Ignored;
  for (auto *Socket : Open)
    Socket->base::close(Ignored);
  Open.clear();
  // close() removes the connection from Closing.
  std::vector<std::shared_ptr<closing_connection>> All(Closing.begin(),
                                                       Closing.end());
  for (const auto &Connection : All)
    Connection->close();
}

void connection_registry::closeAfterPeer(asio::ip::tcp::socket &&Socket) {
  auto Connection =
      std::make_shared<closing_connection>(std::move(Socket), *this);
  Closing.insert(Connection);
  Connection->start();
}

void tracked_socket::shutdown(shutdown_type Direction,
                              asio::error_code &Error) {
  base::shutdown(mustCloseAfterPeer() ? shutdown_send : Direction, Error);
}

void tracked_socket::close() {
  Registry.Open.erase(this);
  if (is_open() && mustCloseAfterPeer() &&
      Registry.Closing.size() < MaxClosing) {
    // Operations that are pending would keep the socket from moving.
    asio::error_code Ignored;
    cancel(Ignored);
    Registry.closeAfterPeer(std::move(static_cast<base &>(*this)));
    return;
  }
  base::close();
}

} // namespace lycheetrestle::http
