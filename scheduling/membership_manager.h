#ifndef LYCHEETRESTLE_SCHEDULING_MEMBERSHIP_MANAGER_H
#define LYCHEETRESTLE_SCHEDULING_MEMBERSHIP_MANAGER_H

#include "core/clock.h"
#include "replication/types.h"

#include <cstddef>
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
/// Every scheduler with a disk becomes a learner. Learners that have caught up
/// are promoted, first those of the availability zone with the fewest voters,
/// until the wanted number of voters is reached; the others are hot spares.
///
/// A voter is gone when it is silent for long or when its disk was lost, which
/// a request to join under another incarnation shows. A spare is promoted
/// first, and the voter is removed after that: with 2f + 1 wanted voters, the
/// loss of f disks leaves a majority of 2f + 2 voters, but not of 2f. In the
/// same way a spare replaces a voter when the voters are not spread over the
/// availability zones.
///
/// Without a spare, a silent voter stays. The next incarnation of a voter that
/// lost its disk becomes a learner beside it and takes its place in the same
/// way, so that the number of voters, and with it the number of disks that
/// store a change, never falls while a disk is replaced.
class membership_manager {
public:
  /// A voter that was silent for this time can be replaced by a spare.
  /// Suspended hosts usually resume earlier.
  static constexpr core::duration SilenceTimeout = std::chrono::seconds(4);

  /// A replica that sent nothing for this time is neither promoted nor waited
  /// for. Replicas send several messages a second.
  static constexpr core::duration ContactTimeout = std::chrono::seconds(1);

  /// Requests to join are repeated twice a second; an older one may come from
  /// an incarnation that no longer exists.
  static constexpr core::duration RequestLifetime = std::chrono::seconds(3);

  /// A learner that does not catch up in this time, for example because its
  /// disk is full, no longer counts as a replica that is about to become a
  /// voter.
  static constexpr core::duration CatchUpTimeout = std::chrono::seconds(10);

  /// A learner that was silent for this time is removed. Hosts that are only
  /// restarted or suspended answer again earlier; all others would count
  /// towards MaxMembers for ever. A removed learner joins again when it is
  /// back.
  static constexpr core::duration LearnerRetention = std::chrono::seconds(60);

  /// Voters are moved to another availability zone only this long after the
  /// leader began to lead.
  static constexpr core::duration RebalanceDelay = std::chrono::seconds(10);

  /// \param WantedVoters the number of voters to reach.
  explicit membership_manager(std::size_t WantedVoters)
      : WantedVoters(WantedVoters) {}

  /// Records that a replica requests to join.
  /// \param Zone its availability zone, or an empty string.
  void recordJoinRequest(const replication::replica_id &Replica,
                         std::string Zone, core::time_point Now);
  /// Records a message from a replica.
  void recordHeard(const replication::replica_id &Replica,
                   core::time_point Now);
  /// \returns when the replica was last heard, or nothing.
  std::optional<core::time_point>
  lastHeard(const replication::replica_id &Replica) const;
  /// Discards all records; called when leadership begins.
  /// \param Self the leader.
  /// \param Zone its availability zone, or an empty string.
  void reset(const replication::replica_id &Self, std::string Zone,
             core::time_point Now);

  /// \param Members the current membership.
  /// \param Self the leader.
  /// \param HasCaughtUp returns whether a learner has all committed entries or
  /// is behind by less than an election timeout.
  /// \returns the next change, or nothing.
  std::optional<member_change>
  next(const replication::membership &Members,
       const replication::replica_id &Self, core::time_point Now,
       const std::function<bool(const replication::replica_id &)> &HasCaughtUp);

  /// \returns whether there are fewer voters than wanted and another replica
  /// asks to join or is about to become a voter.
  bool isGrowing(const replication::membership &Members,
                 core::time_point Now) const;

private:
  struct join_request {
    replication::replica_id Replica;
    core::time_point At{};
  };

  bool isInContact(const replication::replica_id &Replica,
                   core::time_point Now) const;
  /// \returns the time since the replica was last heard, or since the leader
  /// began to lead.
  core::duration silenceOf(const replication::replica_id &Replica,
                           core::time_point Now) const;
  /// \returns a voter that was silent for longer than SilenceTimeout or that is
  /// replaced by another incarnation, or null.
  const replication::member *findGone(const replication::membership &Members,
                                      const replication::replica_id &Self,
                                      core::time_point Now) const;
  /// \returns whether another incarnation of the member asks to join or is a
  /// member in contact, and the member does not answer any more.
  bool isReplaced(const replication::membership &Members,
                  const replication::replica_id &Replica,
                  core::time_point Now) const;
  /// \returns a voter that does not answer any more and has another
  /// incarnation that is a voter in contact, or null.
  const replication::member *
  findSuperseded(const replication::membership &Members,
                 core::time_point Now) const;
  /// \returns the learner to promote next, or null.
  const replication::member *
  findPromotable(const replication::membership &Members,
                 const replication::member *Gone, core::time_point Now,
                 const std::function<bool(const replication::replica_id &)>
                     &HasCaughtUp) const;
  /// \returns the number of voters in the availability zone of the replica,
  /// without the excluded one.
  std::size_t countVotersNear(const replication::membership &Members,
                              const replication::replica_id &Replica,
                              const replication::member *Excluded) const;
  /// \returns a voter other than the leader in the availability zone with the
  /// most voters, or null while a voter is not in contact.
  const replication::member *findSurplus(const replication::membership &Members,
                                         const replication::replica_id &Self,
                                         core::time_point Now) const;
  /// \returns whether an availability zone has at least two voters more than
  /// that of the learner; false while a zone is not known.
  bool isUnbalanced(const replication::membership &Members,
                    const replication::replica_id &Self,
                    const replication::member &Learner,
                    core::time_point Now) const;
  /// \returns whether a learner is expected to become a voter soon.
  bool isCatchingUp(const replication::membership &Members,
                    core::time_point Now) const;
  /// \returns the member to remove before the next incarnation of the name can
  /// be added, or null.
  const replication::member *
  findObstacle(const replication::membership &Members, const std::string &Name,
               core::time_point Now) const;
  std::optional<member_change>
  nextForJoinRequests(const replication::membership &Members,
                      core::time_point Now);
  /// \param NeedsRoom whether a replica cannot be added because there are
  /// MaxMembers already.
  std::optional<member_change>
  nextForSilentLearners(const replication::membership &Members,
                        core::time_point Now, bool NeedsRoom) const;
  std::string_view zoneOf(const std::string &Name) const;

  std::size_t WantedVoters;
  replication::replica_id Leader;                   ///< This scheduler.
  std::map<std::string, join_request> JoinRequests; ///< By name.
  std::map<replication::replica_id, core::time_point> LastHeardAt;
  std::map<std::string, std::string> Zones; ///< By name.
  /// When each learner was first seen by this leader.
  std::map<replication::replica_id, core::time_point> LearnerSince;
  core::time_point ResetAt{};
};

} // namespace lycheetrestle::scheduling

#endif
