#ifndef LYCHEETRESTLE_TRANSPORT_LINK_EVENTS_H
#define LYCHEETRESTLE_TRANSPORT_LINK_EVENTS_H

#include "core/bounded_ring.h"
#include "core/ring_signal.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace lycheetrestle::transport {

/// A message received on a link, or a change of its state.
struct link_event {
  std::string Peer;
  std::string Bytes; ///< Empty for a change of state.
  bool IsUp = false;
};

/// Passes the events of a link_hub from its thread to the one that handles
/// them. While the ring is full, messages are dropped like those that a network
/// loses; the sender repeats them. A change of a link's state is never
/// repeated, so the last one of each link is kept and passed on before the next
/// message.
class link_events {
public:
  /// \param Capacity maximum number of events.
  /// \param Consumer wakes the consumer after an event; must outlive this.
  link_events(std::size_t Capacity, core::ring_signal &Consumer)
      : Ring(Capacity, Consumer) {}

  /// Adds a message; called by the hub's thread.
  /// \returns false when it was dropped.
  bool addMessage(const std::string &Peer, std::string Bytes) {
    return flush() && Ring.push({Peer, std::move(Bytes), true});
  }
  /// Adds a change of a link's state; called by the hub's thread.
  /// \returns false when it has to wait for the next event.
  bool addChange(const std::string &Peer, bool IsUp) {
    Changes[Peer] = IsUp;
    return flush();
  }
  /// Passes every queued event to a function, oldest first; called by the
  /// consumer.
  /// \param Function called with each link_event as an rvalue.
  template <typename Callable> void drain(Callable &&Function) {
    Ring.drain(std::forward<Callable>(Function));
  }

private:
  /// \returns whether all changes are in the ring.
  bool flush() {
    while (!Changes.empty()) {
      const auto &[Peer, IsUp] = *Changes.begin();
      if (!Ring.push({Peer, "", IsUp}))
        return false;
      Changes.erase(Changes.begin());
    }
    return true;
  }

  core::bounded_ring<link_event> Ring;
  std::map<std::string, bool> Changes; ///< Not in the ring yet, by peer.
};

} // namespace lycheetrestle::transport

#endif
