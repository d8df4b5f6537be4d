#ifndef LYCHEETRESTLE_CORE_BOUNDED_RING_H
#define LYCHEETRESTLE_CORE_BOUNDED_RING_H

#include "core/ring_signal.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <memory>
#include <utility>

namespace lycheetrestle::core {

/// Bounded ring between exactly one producer thread and one consumer thread.
/// Items are held by pointer, because spsc_queue of Boost 1.81 only copies.
template <typename Item> class bounded_ring {
public:
  /// \param Capacity maximum number of items.
  /// \param Consumer wakes the consumer after a push; must outlive the ring.
  bounded_ring(std::size_t Capacity, ring_signal &Consumer)
      : Queue(Capacity), Consumer(Consumer) {}

  ~bounded_ring() {
    drain([](Item &&) {});
  }

  bounded_ring(const bounded_ring &) = delete;
  bounded_ring &operator=(const bounded_ring &) = delete;

  /// Adds an item and wakes the consumer.
  /// \param Value the item; it is moved from only on success.
  /// \returns false when the ring is full.
  bool push(Item &&Value) {
    if (Queue.write_available() == 0)
      return false;
    Queue.push(new Item(std::move(Value)));
    Consumer.notify();
    return true;
  }

  /// \param Value receives the oldest item.
  /// \returns false when the ring is empty.
  bool pop(Item &Value) {
    Item *Oldest = nullptr;
    if (!Queue.pop(Oldest))
      return false;
    std::unique_ptr<Item> Owner(Oldest);
    Value = std::move(*Owner);
    return true;
  }

  /// Passes every queued item to a function, oldest first.
  /// \param Function called with each item as an rvalue.
  /// \returns the number of items.
  template <typename Callable> std::size_t drain(Callable &&Function) {
    return Queue.consume_all([&](Item *Oldest) {
      std::unique_ptr<Item> Owner(Oldest);
      Function(std::move(*Owner));
    });
  }

private:
  boost::lockfree::spsc_queue<Item *> Queue;
  ring_signal &Consumer;
};

} // namespace lycheetrestle::core

#endif
