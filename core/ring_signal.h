#ifndef LYCHEETRESTLE_CORE_RING_SIGNAL_H
#define LYCHEETRESTLE_CORE_RING_SIGNAL_H

#include "core/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace lycheetrestle::core {

/// Wakes the only thread that consumes a set of rings.
class ring_signal {
public:
  /// \param Forward when set, notify() calls it instead of waking a waiter;
  /// used by threads that block in the event loop of a library.
  void setForward(std::function<void()> Forward);

  /// Wakes the consumer. Safe from any thread.
  void notify();

  /// Blocks until notify() was called since the last wait, or the timeout ends.
  /// \param Timeout the longest wait.
  void waitFor(duration Timeout);

private:
  std::mutex Mutex;
  std::condition_variable Condition;
  std::function<void()> Forward;
  bool Pending = false;
};

} // namespace lycheetrestle::core

#endif
