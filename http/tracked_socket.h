#ifndef LYCHEETRESTLE_HTTP_TRACKED_SOCKET_H
#define LYCHEETRESTLE_HTTP_TRACKED_SOCKET_H

#include "core/clock.h"
#include "core/metrics.h"
#include "http/connection_budget.h"

#include <asio.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lycheetrestle::http {

class tracked_socket;
class closing_connection;

/// A connection by the address of its client and the local port, which is 0
/// with connection_limits::ReadsAhead.
using client_key = std::pair<asio::ip::tcp::endpoint, std::uint16_t>;

/// Limits of the connections on one io_context.
struct connection_limits {
  budget_limits Budget;
  /// Largest request with its head; what a client sends beyond it is not kept.
  std::size_t MaxRequestBytes = 0;
  /// Connections that wait for their peer to close after the last response.
  std::size_t Closing = 0;
  /// Longest time in which a request must arrive completely.
  core::duration RequestTimeout{};
  /// Ports of the listeners of the class Reserved.
  std::vector<std::uint16_t> ReservedPorts = {};
  /// The servers read the next request while they answer one, and report each
  /// request with connection_registry::passOn() and complete().
  bool ReadsAhead = false;
  core::metrics_registry *Metrics = nullptr; ///< Optional.
};

/// \param MaxBodyBytes largest body of a request.
/// \param RequestTimeout longest time for a request to arrive completely.
/// \returns limits for the connections of a process.
connection_limits limitConnections(const process_limits &Process,
                                   std::size_t MaxBodyBytes,
                                   core::duration RequestTimeout);

/// Bounds the kernel's buffers of the connections of a listener, which Linux
/// lets grow to several MB.
/// \param Options options of the listening socket; accepted ones inherit them.
template <typename Options> void limitKernelBuffers(Options &Listener) {
  // Linux doubles this value for its own records.
  constexpr int BufferBytes = 32'768;
  Listener.set_option(asio::socket_base::receive_buffer_size(BufferBytes));
  Listener.set_option(asio::socket_base::send_buffer_size(BufferBytes));
}

/// The open connections of the servers on one io_context. RESTinio has no
/// access to them, which a stop needs. With limits, a connection that would
/// exceed the budget is not read until there is room, and is closed if there is
/// none in time. Used only on the thread of the context.
class connection_registry : public asio::execution_context::service {
public:
  using key_type = connection_registry; // NOLINT: name required by Asio.

  explicit connection_registry(asio::execution_context &Context)
      : service(Context) {}

  /// Sets the limits. Without this call there are none.
  /// \param Context the context of the registry.
  void limit(asio::io_context &Context, connection_limits NewLimits);
  /// Closes each connection that waits for a request of which no byte has
  /// arrived.
  void closeIdle();
  /// Closes all connections.
  void closeAll();
  /// \returns the number of open connections, including those that wait for
  /// their peer to close.
  std::size_t count() const { return Open.size() + Closing.size(); }
  /// Counts and logs a refusal; of each reason one line a second.
  void countRefusal(std::string_view Reason);
  /// Protects the connection of a client: a request was read completely and its
  /// response is not yet written. RESTinio may read on then.
  void passOn(const client_key &Client);
  /// Ends passOn(): the response was written, or writing it failed.
  void complete(const client_key &Client);
  /// Closes the connections, with ReadsAhead, whose clients have received
  /// nothing of a response for 1 s.
  void closeStalledWriters();

private:
  friend class tracked_socket;
  friend class closing_connection;

  /// Refusals that were counted but not logged.
  struct refusal_count {
    std::uint64_t Unlogged = 0;
    core::time_point LoggedAt{};
  };

  void shutdown() override;
  /// Keeps a connection whose response was sent until its peer closes it.
  void closeAfterPeer(asio::ip::tcp::socket &&Socket);

  /// Counts a connection, and closes another one if there are too many.
  /// \returns false if none of the others can be closed.
  bool open(tracked_socket &Socket);
  void remove(tracked_socket &Socket);
  /// \returns whether a connection may read more bytes.
  bool reserve(tracked_socket &Socket, std::size_t MoreBytes);
  void release(tracked_socket &Socket);
  void wait(tracked_socket &Socket, std::size_t MoreBytes);
  void resumeWaiting();
  void checkPeriodically();
  void checkAll();
  /// Closes connections that hold reserved bytes and send too little, one for
  /// each connection that waits for room.
  void evictStalled(core::time_point Now);
  /// Orders the waiting connections, those first whose requests began first.
  void sortWaiting();
  /// \returns the connection that has been quiet longest among those of the
  /// class to reduce and of the address with the most connections, or null.
  tracked_socket *leastActive(const tracked_socket &Except) const;
  void evict(tracked_socket &Socket, std::string_view Reason);
  void publish();

  std::unordered_set<tracked_socket *> Open;
  std::map<client_key, tracked_socket *> ByClient;
  std::unordered_set<std::shared_ptr<closing_connection>> Closing;
  std::optional<connection_limits> Limits;
  std::optional<connection_budget> Budget;
  std::optional<asio::steady_timer> Timer;
  std::deque<tracked_socket *> Waiting;
  bool IsResumePosted = false;
  std::map<std::string, refusal_count, std::less<>> Refusals; ///< By reason.
};

/// The socket of an HTTP connection, for use by RESTinio, whose calls select
/// the members that hide those of the base class.
///
/// After a response it closes the connection in order: Linux resets a
/// connection that is closed with unread bytes, which destroys the part of the
/// response that was not yet received. It reads from the kernel only when the
/// bytes are passed on at once, so that a close never drops a request that was
/// read, and only when the budget of the registry has room for them.
class tracked_socket : public asio::ip::tcp::socket {
public:
  using base = asio::ip::tcp::socket;

  explicit tracked_socket(asio::io_context &Context)
      : base(Context), Registry(asio::use_service<connection_registry>(
                           static_cast<asio::execution_context &>(Context))) {}
  /// Sockets are moved only before their first read.
  tracked_socket(tracked_socket &&) = default;
  tracked_socket &operator=(tracked_socket &&) = delete;
  ~tracked_socket() { Registry.remove(*this); }

  /// Reads what has arrived. At most one read may be pending.
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &Target, Handler &&OnRead) { // NOLINT
    IsReading = true;
    auto Executor = asio::get_associated_executor(OnRead, get_executor());
    if (!Registry.open(*this)) {
      asio::post(asio::bind_executor(
          Executor, [OnRead = std::forward<Handler>(OnRead)]() mutable {
            OnRead(asio::error::no_descriptors, 0);
          }));
      return;
    }
    base::async_wait(
        wait_read,
        asio::bind_executor(
            Executor, [this, Target, OnRead = std::forward<Handler>(OnRead)](
                          asio::error_code Error) mutable {
              // The handler keeps the connection, and so this socket, alive.
              readWhenReserved(Target, std::move(OnRead), Error);
            }));
  }

  /// Writes a part of a response.
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers &Source, Handler &&OnWritten) { // NOLINT
    HasResponded = true;
    IsSending = true;
    Registry.release(*this);
    auto Executor = asio::get_associated_executor(OnWritten, get_executor());
    // The handler keeps the connection, and so this socket, alive.
    base::async_write_some(
        Source,
        asio::bind_executor(
            Executor, [this, OnWritten = std::forward<Handler>(OnWritten)](
                          asio::error_code Error, std::size_t Length) mutable {
              IsSending = false;
              OnWritten(Error, Length);
            }));
  }

  /// Ends the connection in the given direction; after a response only the
  /// sending direction.
  void shutdown(shutdown_type Direction, asio::error_code &Error);
  /// Closes the connection; after a response when its peer has closed it.
  void close();

private:
  friend class connection_registry;

  template <typename Buffers, typename Handler>
  void readWhenReserved(const Buffers &Target, Handler OnRead,
                        asio::error_code Error) {
    // Only what has arrived: the end of a connection needs no room.
    asio::error_code Ignored;
    auto Wanted = std::min(available(Ignored), asio::buffer_size(Target));
    if (!Error && !Registry.reserve(*this, Wanted)) {
      // The registry closes the connection if there is no room in time.
      Resume = [this, Target, OnRead](asio::error_code NewError) {
        readWhenReserved(Target, OnRead, NewError);
      };
      Registry.wait(*this, Wanted);
      return;
    }
    IsReading = false;
    std::size_t Length = 0;
    if (!Error)
      Length = readAvailable(Wanted == 0 ? asio::mutable_buffer(Target)
                                         : asio::buffer(Target, Wanted),
                             Error);
    if (Error == asio::error::would_block)
      return async_read_some(Target, std::move(OnRead));
    if (Length > 0)
      countRead(Length);
    HasPeerEnded = Error == asio::error::eof;
    OnRead(Error, Length);
  }

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

  void countRead(std::size_t Length);
  /// \returns whether the connection is reset, also with unread bytes.
  bool isReset();
  /// Begins a new period in which the arriving bytes are counted.
  void beginRatePeriod(core::time_point Now) {
    RateSince = Now;
    RateBytes = RequestBytes;
  }
  bool isIdle() const { return IsReading && RequestBytes == 0; }
  /// A complete request was passed on and has no response, or with ReadsAhead
  /// no complete one.
  bool isPending() const {
    return PassedOn > (IsSending && !ReadsAhead ? 1u : 0u) ||
           (!IsReading && RequestBytes > 0);
  }
  /// A part of a request was read, and no response is outstanding.
  bool isReadingRequest() const {
    return IsReading && RequestBytes > 0 && PassedOn == 0;
  }
  bool mustCloseAfterPeer() const {
    return HasResponded && RequestBytes == PassedBytes && !HasPeerEnded;
  }

  connection_registry &Registry;
  connection_account Account;
  client_key Client;
  /// Continues a read that waits for room, or ends it with an error.
  std::function<void(asio::error_code)> Resume;
  core::time_point WaitsSince{};
  core::duration Waited{};         ///< Earlier, for room for the same request.
  std::size_t WantedBytes = 0;     ///< Which the read that waits may return.
  core::time_point ActiveAt{};     ///< Last read or response.
  core::time_point RequestSince{}; ///< First byte of the request.
  core::time_point RateSince{}; ///< Begin of the period of beginRatePeriod().
  std::size_t RateBytes = 0;    ///< RequestBytes at that time.
  bool IsSlow = false;          ///< Too few bytes arrived in the last period.
  /// Read since the last response began; with ReadsAhead, since the last one
  /// was complete.
  std::size_t RequestBytes = 0;
  std::size_t PassedOn = 0; ///< Requests without a complete response.
  /// Part of RequestBytes that was read before the last of them was passed on.
  std::size_t PassedBytes = 0;
  bool IsReading = false;
  bool IsSending = false;  ///< A part of a response is being written.
  bool ReadsAhead = false; ///< See connection_limits.
  bool IsWriting = false;  ///< With ReadsAhead.
  bool HasResponded = false;
  bool HasPeerEnded = false;
};

} // namespace lycheetrestle::http

#endif
