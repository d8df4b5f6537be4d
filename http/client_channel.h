#ifndef LYCHEETRESTLE_HTTP_CLIENT_CHANNEL_H
#define LYCHEETRESTLE_HTTP_CLIENT_CHANNEL_H

#include "core/bounded_ring.h"
#include "http/client.h"

#include <cstddef>
#include <deque>
#include <utility>

namespace lycheetrestle::http {

/// A client with the rings to and from its thread. Calls that do not fit into
/// the ring wait here.
class client_channel {
public:
  /// \param Capacity elements of each ring.
  /// \param ResultSignal signal of the application thread; must outlive this
  /// object.
  client_channel(client_settings Settings, std::size_t Capacity,
                 core::ring_signal &ResultSignal)
      : Calls(Capacity, CallSignal), Results(Capacity, ResultSignal),
        Client(Settings, Calls, CallSignal, Results) {}

  void start() { Client.start(); }
  void stop() { Client.stop(); }
  /// Adds a call to be sent by the next flush().
  void add(client_call Call) { Waiting.push_back(std::move(Call)); }
  void flush() {
    while (!Waiting.empty() && Calls.push(std::move(Waiting.front())))
      Waiting.pop_front();
  }
  /// Calls Handle with each client_result.
  template <typename Callable> void drain(Callable &&Handle) {
    Results.drain(std::forward<Callable>(Handle));
  }

private:
  core::ring_signal CallSignal;
  core::bounded_ring<client_call> Calls;
  core::bounded_ring<client_result> Results;
  std::deque<client_call> Waiting;
  client Client;
};

} // namespace lycheetrestle::http

#endif
