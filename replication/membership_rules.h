#ifndef LYCHEETRESTLE_REPLICATION_MEMBERSHIP_RULES_H
#define LYCHEETRESTLE_REPLICATION_MEMBERSHIP_RULES_H

#include "replication/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace lycheetrestle::replication {

/// Bounds the work for each round; a deployment uses five replicas.
inline constexpr std::size_t MaxMembers = 32;

/// \returns the member with this id, or null.
const member *findMember(const membership &Members, const replica_id &Id);

/// \returns whether the id is a voter.
bool isVoter(const membership &Members, const replica_id &Id);

/// \returns whether there is at least one voter, at most MaxMembers members,
/// and no name twice. Two incarnations of one name would share one link.
bool isValidMembership(const membership &Members);

/// \returns how many members were added, removed or changed between the two.
std::size_t countDifferences(const membership &From, const membership &To);

/// \param Accepts says whether a voter counts.
/// \returns whether the voters that count are a majority.
bool hasMajority(const membership &Members,
                 const std::function<bool(const replica_id &)> &Accepts);

/// \param Value gives a number for each voter.
/// \returns the largest number that a majority of the voters has reached.
std::uint64_t
majorityValue(const membership &Members,
              const std::function<std::uint64_t(const replica_id &)> &Value);

} // namespace lycheetrestle::replication

#endif
