#ifndef LYCHEETRESTLE_ENTRY_RING_SENDER_H
#define LYCHEETRESTLE_ENTRY_RING_SENDER_H

#include "core/bounded_ring.h"

#include <deque>
#include <utility>

namespace lycheetrestle::entry {

/// Producer's end of a ring for items that must not be lost, such as responses
/// and results. Items that do not fit wait at the producer in their order; the
/// producer bounds their number by the requests that it has in flight.
template <typename Item> class ring_sender {
public:
  explicit ring_sender(core::bounded_ring<Item> &Ring) : Ring(Ring) {}

  void send(Item Value) {
    Waiting.push_back(std::move(Value));
    flush();
  }

  /// Moves waiting items into the ring while it has space.
  /// \returns whether nothing waits any more.
  bool flush() {
    while (!Waiting.empty() && Ring.push(std::move(Waiting.front())))
      Waiting.pop_front();
    return Waiting.empty();
  }

private:
  core::bounded_ring<Item> &Ring;
  std::deque<Item> Waiting;
};

} // namespace lycheetrestle::entry

#endif
