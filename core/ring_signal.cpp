#include "core/ring_signal.h"

namespace lycheetrestle::core {

void ring_signal::setForward(std::function<void()> NewForward) {
  std::lock_guard Lock(Mutex);
  Forward = std::move(NewForward);
}

void ring_signal::notify() {
  std::function<void()> Call;
  {
    std::lock_guard Lock(Mutex);
    Pending = true;
    Call = Forward;
  }
  if (Call)
    Call();
  else
    Condition.notify_one();
}

void ring_signal::waitFor(duration Timeout) {
  std::unique_lock Lock(Mutex);
  Condition.wait_for(Lock, Timeout, [this] { return Pending; });
  Pending = false;
}

} // namespace lycheetrestle::core
