#ifndef LYCHEETRESTLE_SCHEDULING_SCHEDULE_VIEWS_H
#define LYCHEETRESTLE_SCHEDULING_SCHEDULE_VIEWS_H

#include "scheduling/schedule_node.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Maximum number of rows in the lists of endpoints and of jobs.
inline constexpr std::size_t MaxViewRows = 1000;

/// Renders the state of a scheduler for the operators' tool. On a follower it
/// is the state up to its applied index.
/// \param Path `/v1/schedule`, or one of its lists: `members`, `endpoints`,
/// `jobs`, `waves`, `workspaces`.
/// \returns the document as JSON, or nothing for any other path.
std::optional<std::string> viewOf(const schedule_node &Node,
                                  std::string_view Path);

} // namespace lycheetrestle::scheduling

#endif
