#ifndef LYCHEETRESTLE_SCHEDULING_SCHEDULE_VIEWS_H
#define LYCHEETRESTLE_SCHEDULING_SCHEDULE_VIEWS_H

#include "scheduling/schedule_node.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Longest list in one view.
inline constexpr std::size_t MaxViewRows = 1000;

/// What a scheduler knows, for the operators' tool. A follower shows the state
/// up to its applied index.
/// \param Path `/v1/schedule`, or one of its lists: `members`, `endpoints`,
/// `jobs`, `waves`.
/// \returns the document as JSON, or nothing for any other path.
std::optional<std::string> viewOf(const schedule_node &Node,
                                  std::string_view Path);

} // namespace lycheetrestle::scheduling

#endif
