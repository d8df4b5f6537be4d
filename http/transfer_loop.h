#ifndef LYCHEETRESTLE_HTTP_TRANSFER_LOOP_H
#define LYCHEETRESTLE_HTTP_TRANSFER_LOOP_H

#include <curl/curl.h>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace lycheetrestle::http {

/// Runs the transfers of a libcurl multi handle on an event loop.
///
/// Designed for hundreds of open long polls beside thousands of short calls per
/// second: the cost of an event depends on the number of ready sockets, not on
/// the number of open transfers. Not thread-safe: all members must be called on
/// the thread that runs the loop.
class transfer_loop {
public:
  /// \param Loop event loop; must outlive this object.
  /// \param OnDone called for each finished transfer. The transfer is still
  /// attached to the multi handle and must be removed with remove().
  transfer_loop(asio::io_context &Loop,
                std::function<void(CURL *, CURLcode)> OnDone);
  /// All transfers must have been removed before.
  ~transfer_loop();
  transfer_loop(const transfer_loop &) = delete;
  transfer_loop &operator=(const transfer_loop &) = delete;

  /// \returns the multi handle, for setting options.
  CURLM *handle() { return Multi; }
  /// Sets the options that notify this object of closed sockets. Must
  /// be called before add().
  void prepare(CURL *Easy);
  /// Attaches a transfer. It starts with the next call of begin().
  /// \returns false when libcurl rejects the transfer.
  bool add(CURL *Easy);
  /// Detaches a transfer; one that is in progress is aborted.
  void remove(CURL *Easy);
  /// Starts the transfers that were added since the last call.
  void begin();

private:
  struct watched_socket {
    explicit watched_socket(asio::io_context &Loop) : Descriptor(Loop) {}
    asio::posix::stream_descriptor Descriptor;
    int Interest = CURL_POLL_NONE; ///< CURL_POLL_* events to wait for.
    bool IsReadPending = false;
    bool IsWritePending = false;
  };

  static int onSocketChange(CURL *Easy, curl_socket_t Socket, int What,
                            void *Context, void *);
  static int onTimerChange(CURLM *Multi, long Ms, void *Context);
  static int onSocketClose(void *Context, curl_socket_t Socket);
  void watch(curl_socket_t Socket, int Interest);
  void await(curl_socket_t Socket,
             const std::shared_ptr<watched_socket> &Watch);
  void onSocketReady(curl_socket_t Socket,
                     const std::shared_ptr<watched_socket> &Watch, int Event,
                     bool HasFailed);
  void advance(curl_socket_t Socket, int Event);
  void setTimer(long Ms);
  void armTimer();
  void onTimerExpired();

  asio::io_context &Loop;
  std::function<void(CURL *, CURLcode)> OnDone;
  CURLM *Multi = nullptr;
  std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> Sockets;
  asio::steady_timer Timer;
  bool IsTimerArmed = false;
  bool HasDeadline = false;
  asio::steady_timer::time_point Deadline{};
  bool IsAdvancing = false;
};

} // namespace lycheetrestle::http

#endif
