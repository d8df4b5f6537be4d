#include "replication/catch_up_rounds.h"

namespace lycheetrestle::replication {

void catch_up_rounds::record(std::uint64_t Match, std::uint64_t LastIndex,
                             core::time_point Now) {
  if (Match < Target)
    return;
  LastRound = Now - StartedAt;
  Target = LastIndex;
  StartedAt = Now;
}

bool catch_up_rounds::areWithin(core::duration Limit,
                                core::time_point Now) const {
  return LastRound && *LastRound < Limit && Now - StartedAt < Limit;
}

} // namespace lycheetrestle::replication
