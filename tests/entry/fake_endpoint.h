#ifndef LYCHEETRESTLE_TESTS_ENTRY_FAKE_ENDPOINT_H
#define LYCHEETRESTLE_TESTS_ENTRY_FAKE_ENDPOINT_H

#include <asio.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace lycheetrestle::entry {

/// Reaction of the fake endpoint to a request.
struct fake_action {
  std::string Bytes;      ///< Sent unchanged.
  bool Close = false;     ///< Closes the connection afterwards.
  bool IsEndless = false; ///< Repeats Bytes until the peer closes.
};

/// A server on its own thread that answers each request with raw bytes, so that
/// tests can send malformed responses.
class fake_endpoint {
public:
  /// Called with the head of each request and its number on its connection,
  /// counted from 1.
  using answer = std::function<fake_action(const std::string &Head, int)>;

  explicit fake_endpoint(answer Answer)
      : Answer(std::move(Answer)),
        Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
    Thread = std::thread([this] { Io.run(); });
  }

  ~fake_endpoint() {
    Io.stop();
    Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  int requests() const { return Requests; }
  int connections() const { return Connections; }
  /// \returns how many connections the peer closed or reset.
  int closedByPeer() const { return ClosedByPeer; }

private:
  struct connection {
    explicit connection(asio::io_context &Io) : Socket(Io) {}
    asio::ip::tcp::socket Socket;
    std::string Buffer;
    std::string Output;
    int Count = 0;
  };
  using connection_ptr = std::shared_ptr<connection>;

  void accept() {
    auto Connection = std::make_shared<connection>(Io);
    Acceptor.async_accept(Connection->Socket,
                          [this, Connection](const asio::error_code &Error) {
                            if (Error)
                              return;
                            ++Connections;
                            read(Connection);
                            accept();
                          });
  }

  // Reads a head and, if it has a Content-Length, the body.
  void read(const connection_ptr &Connection) {
    asio::async_read_until(
        Connection->Socket, asio::dynamic_buffer(Connection->Buffer),
        "\r\n\r\n",
        [this, Connection](const asio::error_code &Error, std::size_t Size) {
          if (Error) {
            ++ClosedByPeer;
            return;
          }
          auto Head = Connection->Buffer.substr(0, Size);
          Connection->Buffer.erase(0, Size);
          readBody(Connection, Head);
        });
  }

  void readBody(const connection_ptr &Connection, const std::string &Head) {
    std::size_t Length = 0;
    auto Found = Head.find("Content-Length: ");
    if (Found != std::string::npos)
      Length = std::stoul(Head.substr(Found + 16));
    auto Missing = Length > Connection->Buffer.size()
                       ? Length - Connection->Buffer.size()
                       : 0;
    asio::async_read(Connection->Socket,
                     asio::dynamic_buffer(Connection->Buffer),
                     asio::transfer_exactly(Missing),
                     [this, Connection, Head,
                      Length](const asio::error_code &Error, std::size_t) {
                       if (Error)
                         return;
                       Connection->Buffer.erase(0, Length);
                       ++Requests;
                       act(Connection, Answer(Head, ++Connection->Count));
                     });
  }

  void act(const connection_ptr &Connection, const fake_action &Action) {
    if (Action.Bytes.empty()) {
      if (Action.Close)
        Connection->Socket.close();
      else
        read(Connection);
      return;
    }
    Connection->Output = Action.Bytes;
    asio::async_write(
        Connection->Socket, asio::buffer(Connection->Output),
        [this, Connection, Action](const asio::error_code &Error, std::size_t) {
          if (Error) {
            ++ClosedByPeer;
            return;
          }
          if (Action.IsEndless)
            return act(Connection, Action);
          if (Action.Close)
            Connection->Socket.close();
          else
            read(Connection);
        });
  }

  answer Answer;
  asio::io_context Io;
  asio::ip::tcp::acceptor Acceptor;
  std::atomic<int> Requests{0};
  std::atomic<int> Connections{0};
  std::atomic<int> ClosedByPeer{0};
  std::thread Thread;
};

/// \returns whether a condition became true within 10 s. The limit is reached
/// only by tests that fail.
template <typename Condition> bool waitUntil(Condition &&IsTrue) {
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (std::chrono::steady_clock::now() < End) {
    if (IsTrue())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

} // namespace lycheetrestle::entry

#endif
