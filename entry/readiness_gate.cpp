#include "entry/readiness_gate.h"

namespace lycheetrestle::entry {

bool readiness_gate::update(bool RouterReady, core::time_point Now) {
  if (!LastUpdate || Now - *LastUpdate > MaxGap)
    NotReadyUntil = Now + WarmUp;
  LastUpdate = Now;
  return RouterReady && Now >= NotReadyUntil;
}

} // namespace lycheetrestle::entry
