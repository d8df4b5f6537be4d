#include "http/connection_drain.h"

#include "http/tracked_socket.h"

#include <chrono>
#include <utility>

namespace lycheetrestle::http {

namespace {

// Longest wait for requests that are partly read, and for clients to receive
// their responses and to close their connections.
constexpr auto MaxWait = std::chrono::milliseconds(500);
constexpr auto PollInterval = std::chrono::milliseconds(5);

} // namespace

void connection_drain::start(std::function<void()> CloseListeners) {
  Deadline = core::boot_clock::now() + MaxWait;
  poll(std::move(CloseListeners));
}

void connection_drain::poll(std::function<void()> CloseListeners) {
  Timer.expires_after(PollInterval);
  Timer.async_wait(
      [this, CloseListeners = std::move(CloseListeners)](asio::error_code) {
        if (CloseListeners)
          CloseListeners();
        auto &Connections = asio::use_service<connection_registry>(
            static_cast<asio::execution_context &>(Context));
        Connections.closeIdle();
        if (Connections.count() != 0 && core::boot_clock::now() < Deadline)
          return poll({});
        Connections.closeAll();
        Context.stop();
      });
}

} // namespace lycheetrestle::http
