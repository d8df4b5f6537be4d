#include "entry/readiness_gate.h"

namespace lycheetrestle::entry {

bool readiness_gate::update(bool RouterReady, core::time_point Now) {
  if (!Last || Now - *Last > MaxGap)
    HeldUntil = Now + WarmUp;
  Last = Now;
  return RouterReady && Now >= HeldUntil;
}

} // namespace lycheetrestle::entry
