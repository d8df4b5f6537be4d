#ifndef LYCHEETRESTLE_REPLICATION_MEMBERSHIP_RULES_H
#define LYCHEETRESTLE_REPLICATION_MEMBERSHIP_RULES_H

#include "replication/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace lycheetrestle::replication {

/// Maximum members of a cluster. Bounds the work of a heartbeat round; a
/// deployment uses five replicas.
inline constexpr std::size_t MaxMembers = 32;

/// Maximum members of one name: a replica that lost its disk, and its next
/// incarnation, which joins beside it and takes its place.
inline constexpr std::size_t MaxIncarnations = 2;

/// \returns the member with this id, or null.
const member *findMember(const membership &Members, const replica_id &Id);

/// \returns whether the id is a voter.
bool isVoter(const membership &Members, const replica_id &Id);

/// \returns whether there is at least one voter, at most MaxMembers members, at
/// most MaxIncarnations of one name, and no duplicate id. Incarnations of one
/// name share a transport link; each takes only the messages that name it.
bool isValidMembership(const membership &Members);

/// \returns how many members were added, removed or changed between the two.
std::size_t countDifferences(const membership &From, const membership &To);

/// \param Accepts returns whether a voter is counted.
/// \returns whether the counted voters are a majority.
bool hasMajority(const membership &Members,
                 const std::function<bool(const replica_id &)> &Accepts);

/// \param Value returns a number for a voter, for example its last synced
/// index.
/// \returns the largest number that a majority of the voters has reached.
std::uint64_t
majorityValue(const membership &Members,
              const std::function<std::uint64_t(const replica_id &)> &Value);

} // namespace lycheetrestle::replication

#endif
