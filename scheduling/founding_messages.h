#ifndef LYCHEETRESTLE_SCHEDULING_FOUNDING_MESSAGES_H
#define LYCHEETRESTLE_SCHEDULING_FOUNDING_MESSAGES_H

#include "replication/types.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// All schedulers of a deployment belong to one cluster.
inline constexpr const char *ClusterName = "schedulers";

/// Number of an attempt to choose the initial voters. No two attempts have the
/// same number.
struct founding_ballot {
  std::uint64_t Round = 0; ///< 0 is before all attempts.
  std::string Name;        ///< Of the proposer.
  /// Of the proposer's process: it forgets its rounds when it is restarted.
  std::uint64_t Nonce = 0;
  // clang-tidy 14 reports a variable inside the generated function.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const founding_ballot &) const = default;
};

/// A scheduler with a disk that may become an initial voter.
struct founding_candidate {
  replication::replica_id Id;
  std::string Zone; ///< Availability zone; empty: not known.
  bool operator==(const founding_candidate &) const = default;
};

/// Kind of a founding_message; its number is sent on the link.
enum class founding_step : std::uint8_t {
  Candidates, ///< Of an acceptor: Candidates and Seeds.
  Prepare,    ///< Of a proposer: asks for a promise for Ballot.
  Promise,    ///< Of an acceptor: it accepts no ballot before Ballot any more.
  Accept,     ///< Of a proposer: asks to accept Voters.
  Accepted,   ///< Of an acceptor: it has accepted the voters of Ballot.
  Refused,    ///< Of an acceptor: it has promised Ballot, which is later.
  Decided,    ///< Voters is chosen.
};

/// A message about the choice of the initial voters, which is a single-decree
/// Paxos: the seeds are the acceptors, schedulers with a disk and an empty log
/// are the proposers.
struct founding_message {
  founding_step Step = founding_step::Candidates;
  founding_ballot Ballot;
  /// In a Promise: the ballot in which Voters was accepted, or round 0.
  founding_ballot AcceptedBallot;
  std::string Voters; ///< Encoded membership, or empty.
  std::vector<founding_candidate> Candidates;
  std::vector<std::string> Seeds; ///< All acceptors.
  bool operator==(const founding_message &) const = default;
};

/// \returns the message as CBOR.
std::string encodeFounding(const founding_message &Message);
/// \returns the message, or nothing when the bytes are malformed.
std::optional<founding_message> decodeFounding(std::string_view Bytes);

} // namespace lycheetrestle::scheduling

#endif
