#ifndef LYCHEETRESTLE_FLEET_SNAPSHOT_H
#define LYCHEETRESTLE_FLEET_SNAPSHOT_H

#include "fleet/state_data.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::fleet {

/// \returns the state as a sequence of CBOR items: a header with the number of
/// items of each kind, then the items. Equal states have equal bytes.
std::string writeSnapshot(const state_data &State);

/// \param Bytes bytes of writeSnapshot(); they need not be trusted.
/// \returns the state, or nothing if any item, reference or bound is invalid.
std::optional<state_data> readSnapshot(std::string_view Bytes);

} // namespace lycheetrestle::fleet

#endif
