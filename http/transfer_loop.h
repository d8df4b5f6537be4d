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
/// Answers hundreds of long polls beside thousands of short calls a second: the
/// work of an event depends on the sockets that are ready and not on the number
/// of open transfers. All members belong to the thread that runs the loop.
class transfer_loop {
public:
  /// \param Loop where events are handled; must outlive this object.
  /// \param OnDone called for each finished transfer, which is still attached.
  transfer_loop(asio::io_context &Loop,
                std::function<void(CURL *, CURLcode)> OnDone);
  /// All transfers must have been removed.
  ~transfer_loop();
  transfer_loop(const transfer_loop &) = delete;
  transfer_loop &operator=(const transfer_loop &) = delete;

  /// \returns the handle, for its options.
  CURLM *handle() { return Multi; }
  /// Sets the options that let this object watch the transfer's sockets.
  void prepare(CURL *Easy);
  /// \returns false when the library refuses the transfer.
  bool add(CURL *Easy);
  void remove(CURL *Easy);
  /// Lets transfers that were just added begin.
  void begin();

private:
  struct watched_socket {
    explicit watched_socket(asio::io_context &Loop) : Descriptor(Loop) {}
    asio::posix::stream_descriptor Descriptor;
    int Interest = CURL_POLL_NONE;
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
