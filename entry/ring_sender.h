#ifndef LYCHEETRESTLE_ENTRY_RING_SENDER_H
#define LYCHEETRESTLE_ENTRY_RING_SENDER_H

#include "core/bounded_ring.h"

#include <deque>
#include <utility>

namespace lycheetrestle::entry {

/// Producer side of a ring for items that must not be lost, such as responses
/// and results. Items that do not fit are queued here in order. The queue has
/// no limit of its own; the producer must bound it, for example by its number
/// of requests in flight.
template <typename Item> class ring_sender {
public:
  explicit ring_sender(core::bounded_ring<Item> &Ring) : Ring(Ring) {}

  /// Queues an item behind the waiting ones and calls flush().
  void send(Item Value) {
    Waiting.push_back(std::move(Value));
    flush();
  }

  /// Moves waiting items into the ring until it is full.
  /// \returns whether no item is left waiting.
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
