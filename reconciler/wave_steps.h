#ifndef LYCHEETRESTLE_RECONCILER_WAVE_STEPS_H
#define LYCHEETRESTLE_RECONCILER_WAVE_STEPS_H

#include "reconciler/round.h"

namespace lycheetrestle::reconciler {

/// Takes hosts out of service for the running wave, or pauses or finishes it.
void planWaves(round &Round);

} // namespace lycheetrestle::reconciler

#endif
