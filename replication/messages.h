#ifndef LYCHEETRESTLE_REPLICATION_MESSAGES_H
#define LYCHEETRESTLE_REPLICATION_MESSAGES_H

#include "replication/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::replication {

/// Replicates the entries after PrevIndex; without entries it is a heartbeat.
struct append_message {
  std::uint64_t Term = 0;
  std::uint64_t Round = 0;     ///< Heartbeat round; returned in the reply.
  std::uint64_t PrevIndex = 0; ///< Index before the first entry.
  std::uint64_t PrevTerm = 0;  ///< Term of the entry at PrevIndex.
  std::uint64_t Commit = 0;    ///< The leader's commit index.
  std::vector<log_entry> Entries;
  bool operator==(const append_message &) const = default;
};

/// A follower's answer to an append_message.
struct append_reply {
  std::uint64_t Term = 0;
  std::uint64_t Round = 0;
  bool Accepted = false;
  bool Blocked = false;        ///< Accepted, but storage takes no more now.
  std::uint64_t Match = 0;     ///< Accepted: matches the leader's log, synced.
  std::uint64_t Received = 0;  ///< Accepted: matches, perhaps not yet synced.
  std::uint64_t Rejected = 0;  ///< Rejected: PrevIndex that did not match.
  std::uint64_t HintIndex = 0; ///< Rejected: last index that may match.
  std::uint64_t HintTerm = 0;  ///< Rejected: term of HintIndex.
  bool operator==(const append_reply &) const = default;
};

/// A candidate's request for a vote or a pre-vote.
struct vote_request {
  std::uint64_t Term = 0;
  bool Pre = false;      ///< Checks only whether an election could be won.
  bool Transfer = false; ///< The leader requested this election.
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  bool operator==(const vote_request &) const = default;
};

/// The answer to a vote_request.
struct vote_reply {
  std::uint64_t Term = 0; ///< Granted pre-vote: the requested term.
  bool Pre = false;
  bool Granted = false;
  bool Removed = false; ///< A leader reports that the candidate was removed.
  bool operator==(const vote_reply &) const = default;
};

/// One part of a snapshot that a leader sends to a follower.
struct snapshot_part {
  std::uint64_t Term = 0;
  std::uint64_t Round = 0;
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  membership Members;
  std::uint64_t Total = 0; ///< Size of the whole state in bytes.
  std::uint64_t Offset = 0;
  std::string Bytes;
  bool operator==(const snapshot_part &) const = default;
};

/// A follower's answer to a snapshot_part.
struct snapshot_reply {
  std::uint64_t Term = 0;
  std::uint64_t Round = 0;
  std::uint64_t LastIndex = 0;
  std::uint64_t NextOffset = 0; ///< Bytes received in order so far.
  bool operator==(const snapshot_reply &) const = default;
};

/// Requests that a follower starts an election immediately, to take over
/// leadership.
struct transfer_now {
  std::uint64_t Term = 0;
  bool operator==(const transfer_now &) const = default;
};

using message_body =
    std::variant<append_message, append_reply, vote_request, vote_reply,
                 snapshot_part, snapshot_reply, transfer_now>;

/// A message body with its sender and receiver.
struct message {
  replica_id From;
  replica_id To;
  message_body Body;
  bool operator==(const message &) const = default;
};

/// Exclusive upper limit of an index, term or size in a message. No correct
/// replica sends larger values, and sums of accepted values cannot overflow.
inline constexpr std::uint64_t MaxCounter = std::uint64_t{1} << 53u;
/// Maximum size in bytes of every message between the processes.
inline constexpr std::size_t MaxMessageBytes = 4u << 20;
/// Maximum number of entries in one append message.
inline constexpr std::size_t MaxEntriesPerMessage = 4096;

/// \param Message the message.
/// \returns its CBOR bytes.
std::string encodeMessage(const message &Message);

/// \param Bytes untrusted bytes.
/// \returns the message, or nothing when it is malformed or violates a rule
/// that every message of a correct replica follows: sizes, contiguous indices,
/// terms that do not decrease, and a valid membership.
std::optional<message> decodeMessage(std::string_view Bytes);

/// \param Members the membership.
/// \returns its CBOR bytes, the payload of a membership entry.
std::string encodeMembership(const membership &Members);

/// \param Bytes the payload of a membership entry.
/// \returns the membership, or nothing when it is malformed or not valid.
std::optional<membership> decodeMembership(std::string_view Bytes);

} // namespace lycheetrestle::replication

#endif
