#include "http/transfer_loop.h"

#include <unistd.h>

#include <utility>

namespace lycheetrestle::http {

transfer_loop::transfer_loop(asio::io_context &Loop,
                             std::function<void(CURL *, CURLcode)> OnDone)
    : Loop(Loop), OnDone(std::move(OnDone)), Multi(curl_multi_init()),
      Timer(Loop) {
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, onSocketChange);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, onTimerChange);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
}

transfer_loop::~transfer_loop() {
  // Closes the idle connections through onSocketClose().
  curl_multi_cleanup(Multi);
  for (auto &[Socket, Watch] : Sockets)
    Watch->Descriptor.release();
}

void transfer_loop::prepare(CURL *Easy) {
  curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETFUNCTION, onSocketClose);
  curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETDATA, this);
}

bool transfer_loop::add(CURL *Easy) {
  return curl_multi_add_handle(Multi, Easy) == CURLM_OK;
}

void transfer_loop::remove(CURL *Easy) {
  curl_multi_remove_handle(Multi, Easy);
}

void transfer_loop::begin() { advance(CURL_SOCKET_TIMEOUT, 0); }

int transfer_loop::onSocketChange(CURL *, curl_socket_t Socket, int What,
                                  void *Context, void *) {
  static_cast<transfer_loop *>(Context)->watch(
      Socket, What == CURL_POLL_REMOVE ? CURL_POLL_NONE : What);
  return 0;
}

int transfer_loop::onTimerChange(CURLM *, long Ms, void *Context) {
  static_cast<transfer_loop *>(Context)->setTimer(Ms);
  return 0;
}

int transfer_loop::onSocketClose(void *Context, curl_socket_t Socket) {
  auto &Self = *static_cast<transfer_loop *>(Context);
  auto Found = Self.Sockets.find(Socket);
  if (Found != Self.Sockets.end()) {
    Found->second->Descriptor.release();
    Self.Sockets.erase(Found);
  }
  return close(Socket);
}

void transfer_loop::watch(curl_socket_t Socket, int Interest) {
  auto Found = Sockets.find(Socket);
  if (Found == Sockets.end()) {
    if (Interest == CURL_POLL_NONE)
      return;
    auto Watch = std::make_shared<watched_socket>(Loop);
    asio::error_code Error;
    Watch->Descriptor.assign(Socket, Error);
    if (Error)
      return; // The transfer fails by its own timeout.
    Found = Sockets.emplace(Socket, std::move(Watch)).first;
  }
  // A socket stays registered while its connection is open, because
  // registering it again for each transfer costs two system calls.
  Found->second->Interest = Interest;
  await(Socket, Found->second);
}

void transfer_loop::await(curl_socket_t Socket,
                          const std::shared_ptr<watched_socket> &Watch) {
  if ((Watch->Interest & CURL_POLL_IN) != 0 && !Watch->IsReadPending) {
    Watch->IsReadPending = true;
    Watch->Descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [this, Socket, Watch](const asio::error_code &Error) {
          Watch->IsReadPending = false;
          onSocketReady(Socket, Watch, CURL_CSELECT_IN,
                        static_cast<bool>(Error));
        });
  }
  if ((Watch->Interest & CURL_POLL_OUT) != 0 && !Watch->IsWritePending) {
    Watch->IsWritePending = true;
    Watch->Descriptor.async_wait(
        asio::posix::stream_descriptor::wait_write,
        [this, Socket, Watch](const asio::error_code &Error) {
          Watch->IsWritePending = false;
          onSocketReady(Socket, Watch, CURL_CSELECT_OUT,
                        static_cast<bool>(Error));
        });
  }
}

void transfer_loop::onSocketReady(curl_socket_t Socket,
                                  const std::shared_ptr<watched_socket> &Watch,
                                  int Event, bool HasFailed) {
  auto Current = Sockets.find(Socket);
  // The descriptor may have been reused for another connection.
  if (HasFailed || Current == Sockets.end() || Current->second != Watch)
    return;
  int Interest = Event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
  if ((Watch->Interest & Interest) == 0)
    return;
  advance(Socket, Event);
  Current = Sockets.find(Socket);
  if (Current != Sockets.end() && Current->second == Watch)
    await(Socket, Watch);
}

void transfer_loop::advance(curl_socket_t Socket, int Event) {
  int Running = 0;
  IsAdvancing = true;
  curl_multi_socket_action(Multi, Socket, Event, &Running);
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi, &Left))
    if (Message->msg == CURLMSG_DONE)
      OnDone(Message->easy_handle, Message->data.result);
  IsAdvancing = false;
  armTimer();
}

void transfer_loop::setTimer(long Ms) {
  HasDeadline = Ms >= 0;
  if (HasDeadline)
    Deadline =
        asio::steady_timer::clock_type::now() + std::chrono::milliseconds(Ms);
  if (!IsAdvancing)
    armTimer();
}

void transfer_loop::armTimer() {
  // A timer that expires before the deadline is armed again. Postponing it for
  // each transfer would cost a system call.
  if (!HasDeadline || (IsTimerArmed && Timer.expiry() <= Deadline))
    return;
  IsTimerArmed = true;
  Timer.expires_at(Deadline);
  Timer.async_wait([this](const asio::error_code &Error) {
    if (Error)
      return; // Cancelled by a new expiry time.
    onTimerExpired();
  });
}

void transfer_loop::onTimerExpired() {
  IsTimerArmed = false;
  if (HasDeadline && asio::steady_timer::clock_type::now() >= Deadline) {
    HasDeadline = false;
    advance(CURL_SOCKET_TIMEOUT, 0);
  }
  armTimer();
}

} // namespace lycheetrestle::http
