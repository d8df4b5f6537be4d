#ifndef LYCHEETRESTLE_SCHEDULING_WORKSPACE_SHARES_H
#define LYCHEETRESTLE_SCHEDULING_WORKSPACE_SHARES_H

#include "scheduling/schedule_state.h"
#include "scheduling/waiting_index.h"
#include "workspaces/share_policy.h"

#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// What the workspaces use of each pool, compared with their shares.
class workspace_shares {
public:
  /// Updates the shares for a round of placement, unless they were updated a
  /// moment ago. What runs as of an update counts until the next one, so that
  /// it is called also when nothing waits.
  /// \param Waiting up to date with the state.
  void update(const schedule_state &State, const waiting_index &Waiting,
              core::time_point Now);
  /// \returns the level of a workspace in a pool as of the last update().
  workspaces::share_level levelOf(std::string_view Pool,
                                  std::string_view Workspace) const;
  /// \returns the part of the pool's use that the workspace has, over the
  /// window; see workspaces::share_policy.
  double dominantShareOf(std::string_view Pool,
                         std::string_view Workspace) const;

private:
  std::map<std::string, workspaces::share_policy, std::less<>>
      Policies; ///< By pool.
  core::time_point NextUpdate{};
};

} // namespace lycheetrestle::scheduling

#endif
