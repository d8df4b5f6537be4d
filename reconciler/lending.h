#ifndef LYCHEETRESTLE_RECONCILER_LENDING_H
#define LYCHEETRESTLE_RECONCILER_LENDING_H

#include "reconciler/round.h"

namespace lycheetrestle::reconciler {

/// Moves hosts between the spare pool and the pools with automatic sizing.
/// \param Sizer decides how many; it holds the demand of earlier rounds.
void planLending(round &Round, capacity::pool_sizer &Sizer);

} // namespace lycheetrestle::reconciler

#endif
