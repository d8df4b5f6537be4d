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

/// One step of a change of the membership.
struct member_change {
  replication::membership Target; ///< Differs in one member.
  std::string_view Kind;          ///< For the log.
  replication::replica_id Replica;
};

/// Decides which change of the membership the leader proposes next. Only one
/// change is proposed at a time.
///
/// A replica that lost its disk requests to join under a new incarnation. Its
/// old incarnation is removed first, so that the two are never members at the
/// same time. A voter that is silent while a learner waits for its promotion,
/// or soon after a replica with a new name was promoted, is considered lost and
/// is removed, so that the new replica replaces it.
class membership_manager {
public:
  /// A voter that was silent for this time can be replaced by a new replica.
  /// Suspended hosts usually resume earlier.
  static constexpr core::duration SilenceTimeout = std::chrono::seconds(4);

  /// A replica with a new name can still replace a voter for this time after it
  /// was promoted, because the voter may have been lost shortly before, and its
  /// silence shows only later.
  static constexpr core::duration ReplacementWindow = std::chrono::seconds(20);

  /// Records that a replica requests to join.
  void recordJoinRequest(const replication::replica_id &Replica,
                         core::time_point Now);
  /// Records a message from a replica.
  void recordHeard(const std::string &Name, core::time_point Now);
  /// \returns when the replica was last heard, or nothing.
  std::optional<core::time_point> lastHeard(const std::string &Name) const;
  /// Discards all records; called when leadership begins.
  void reset(core::time_point Now);

  /// \param Members the current membership.
  /// \param Self the leader.
  /// \param HasCaughtUp returns whether a learner has all committed entries.
  /// \returns the next change, or nothing.
  std::optional<member_change>
  next(const replication::membership &Members,
       const replication::replica_id &Self, core::time_point Now,
       const std::function<bool(const replication::replica_id &)> &HasCaughtUp);

private:
  /// \returns a voter that was silent for longer than SilenceTimeout, or null.
  const replication::member *findSilent(const replication::membership &Members,
                                        const replication::replica_id &Self,
                                        core::time_point Now) const;

  std::map<std::string, replication::replica_id> JoinRequests;
  std::map<std::string, core::time_point> LastHeardAt;
  /// When replicas with new names were promoted, by name.
  std::map<std::string, core::time_point> PromotedAt;
  /// Name whose old incarnation was removed last. ReplacementWindow does not
  /// apply to its promotion, because it replaces its own old incarnation.
  std::string RejoiningName;
  core::time_point ResetAt{};
};

} // namespace lycheetrestle::scheduling

#endif
