#ifndef LYCHEETRESTLE_HTTP_TRACKED_SOCKET_H
#define LYCHEETRESTLE_HTTP_TRACKED_SOCKET_H

#include <asio.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>
#include <utility>

namespace lycheetrestle::http {

class tracked_socket;
class closing_connection;

/// The open connections of the servers on one io_context. RESTinio has no
/// access to them, which a stop needs. Used only on the thread of the context.
class connection_registry : public asio::execution_context::service {
public:
  using key_type = connection_registry; // NOLINT: name required by Asio.

  explicit connection_registry(asio::execution_context &Context)
      : service(Context) {}

  /// Closes each connection that waits for a request of which no byte has
  /// arrived.
  void closeIdle();
  /// Closes all connections.
  void closeAll();
  /// \returns the number of open connections, including those that wait for
  /// their peer to close.
  std::size_t count() const { return Open.size() + Closing.size(); }

private:
  friend class tracked_socket;
  friend class closing_connection;

  void shutdown() override { Closing.clear(); }
  /// Keeps a connection whose response was sent until its peer closes it.
  void closeAfterPeer(asio::ip::tcp::socket &&Socket);

  std::unordered_set<tracked_socket *> Open;
  std::unordered_set<std::shared_ptr<closing_connection>> Closing;
};

/// The socket of an HTTP connection, for use by RESTinio, whose calls select
/// the members that hide those of the base class.
///
/// After a response it closes the connection in order: Linux resets a
/// connection that is closed with unread bytes, which destroys the part of the
/// response that was not yet received. It reads from the kernel only when the
/// bytes are passed on at once, so that a close never drops a request that was
/// read.
class tracked_socket : public asio::ip::tcp::socket {
public:
  using base = asio::ip::tcp::socket;

  explicit tracked_socket(asio::io_context &Context)
      : base(Context), Registry(asio::use_service<connection_registry>(
                           static_cast<asio::execution_context &>(Context))) {}
  /// Sockets are moved only before their first read.
  tracked_socket(tracked_socket &&) = default;
  tracked_socket &operator=(tracked_socket &&) = delete;
  ~tracked_socket() { Registry.Open.erase(this); }

  /// Reads what has arrived. At most one read may be pending.
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &Target, Handler &&OnRead) { // NOLINT
    Registry.Open.insert(this);
    IsReading = true;
    auto Executor = asio::get_associated_executor(OnRead, get_executor());
    base::async_wait(
        wait_read,
        asio::bind_executor(
            Executor, [this, Target, OnRead = std::forward<Handler>(OnRead)](
                          asio::error_code Error) mutable {
              // The handler keeps the connection, and so this socket, alive.
              IsReading = false;
              std::size_t Length = 0;
              if (!Error)
                Length = readAvailable(Target, Error);
              if (Error == asio::error::would_block)
                return async_read_some(Target, std::move(OnRead));
              if (Length > 0)
                HasRequestBytes = true;
              HasPeerEnded = Error == asio::error::eof;
              OnRead(Error, Length);
            }));
  }

  /// Writes a part of a response.
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers &Source, Handler &&OnWritten) { // NOLINT
    HasRequestBytes = false;
    HasResponded = true;
    base::async_write_some(Source, std::forward<Handler>(OnWritten));
  }

  /// Ends the connection in the given direction; after a response only the
  /// sending direction.
  void shutdown(shutdown_type Direction, asio::error_code &Error);
  /// Closes the connection; after a response when its peer has closed it.
  void close();

private:
  friend class connection_registry;

  template <typename Buffers>
  std::size_t readAvailable(const Buffers &Target, asio::error_code &Error) {
    if (!is_open()) {
      Error = asio::error::operation_aborted;
      return 0;
    }
    if (!non_blocking())
      non_blocking(true, Error);
    return Error ? 0 : base::read_some(Target, Error);
  }

  bool isIdle() const { return IsReading && !HasRequestBytes; }
  bool mustCloseAfterPeer() const {
    return HasResponded && !HasRequestBytes && !HasPeerEnded;
  }

  connection_registry &Registry;
  bool IsReading = false;
  /// Bytes of a request were read since the last response began.
  bool HasRequestBytes = false;
  bool HasResponded = false;
  bool HasPeerEnded = false;
};

} // namespace lycheetrestle::http

#endif
