#ifndef LYCHEETRESTLE_SCHEDULING_MEMBERSHIP_MANAGER_H
#define LYCHEETRESTLE_SCHEDULING_MEMBERSHIP_MANAGER_H

#include "core/clock.h"
#include "replication/types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

struct member_change {
  replication::membership Target; ///< Differs in one member.
  std::string_view Kind;          ///< For the log.
  replication::replica_id Replica;
};

/// Decides the leader's next change of the membership, one at a time.
///
/// A replica that lost its disk asks to join under a new incarnation; the old
/// one leaves first, so both never count together. A voter that stays silent
/// while a replica of a new name waits is taken for lost, and the new replica
/// gets its place.
class membership_manager {
public:
  /// Silence after which a voter gives way to a new replica. Suspended hosts
  /// come back within this time more often than not.
  static constexpr core::duration SilenceTimeout = std::chrono::seconds(4);

  /// How long a promoted replica of a new name may still take the place of
  /// a voter that falls silent: its loss may have come just before.
  static constexpr core::duration ReplacementWindow = std::chrono::seconds(20);

  void recordJoinRequest(const replication::replica_id &Replica,
                         core::time_point Now);
  void recordHeard(const std::string &Name, core::time_point Now);
  /// Forgets what was heard; called when leadership begins.
  void reset(core::time_point Now);

  /// \param Members the current membership.
  /// \param Self the leader.
  /// \param HasCaughtUp tells whether a learner has all committed entries.
  /// \returns the next change, or nothing.
  std::optional<member_change>
  next(const replication::membership &Members,
       const replication::replica_id &Self, core::time_point Now,
       const std::function<bool(const replication::replica_id &)> &HasCaughtUp);

private:
  const replication::member *findSilent(const replication::membership &Members,
                                        const replication::replica_id &Self,
                                        core::time_point Now) const;

  std::map<std::string, replication::replica_id> JoinRequests;
  std::map<std::string, core::time_point> LastHeardAt;
  std::map<std::string, core::time_point> PromotedAt; ///< New names only.
  std::string RejoiningName; ///< Name whose earlier identity was removed.
  core::time_point ResetAt{};
};

} // namespace lycheetrestle::scheduling

#endif
