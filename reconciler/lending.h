#ifndef LYCHEETRESTLE_RECONCILER_LENDING_H
#define LYCHEETRESTLE_RECONCILER_LENDING_H

#include "reconciler/round.h"

namespace lycheetrestle::reconciler {

/// Moves hosts between the spare pool and the pools that are sized.
void planLending(round &Round, capacity::pool_sizer &Sizer);

} // namespace lycheetrestle::reconciler

#endif
