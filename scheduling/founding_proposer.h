#ifndef LYCHEETRESTLE_SCHEDULING_FOUNDING_PROPOSER_H
#define LYCHEETRESTLE_SCHEDULING_FOUNDING_PROPOSER_H

#include "core/clock.h"
#include "replication/types.h"
#include "scheduling/founding_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// A founding_message and its receiver, which may be the sender itself.
struct outgoing_founding {
  std::string Peer;
  founding_message Message;
};

/// The part of a scheduler with a disk and an empty log in the choice of the
/// initial voters. It waits until the candidates are complete, the scheduler
/// with the lowest address proposes first, and whatever a majority of the seeds
/// accepts is chosen. Any number of proposers is safe; the waiting only avoids
/// that they obstruct each other.
class founding_proposer {
public:
  /// When as many candidates as wanted are known, others may still start;
  /// voters in different availability zones are preferred.
  static constexpr core::duration SettleTime = std::chrono::milliseconds(700);
  /// With fewer candidates than wanted, the cluster is founded when no further
  /// one has appeared for this time. All hosts start within 0.3 s.
  static constexpr core::duration QuietTime = std::chrono::seconds(3);
  /// Each candidate waits for this time longer than the one before it.
  static constexpr core::duration RankDelay = std::chrono::milliseconds(1500);
  /// After this time without a majority a proposer starts another attempt.
  static constexpr core::duration RoundTimeout =
      std::chrono::milliseconds(1000);

  /// \param Self this scheduler.
  /// \param WantedVoters the largest number of initial voters.
  /// \param Nonce differs at each start of the process.
  founding_proposer(founding_candidate Self, std::size_t WantedVoters,
                    std::uint64_t Nonce, core::time_point Now);

  /// Handles a message of an acceptor.
  void receive(const std::string &Peer, const founding_message &Message,
               core::time_point Now);
  /// Handles time-outs; due several times a second.
  void tick(core::time_point Now);
  /// \returns the messages since the last call.
  std::vector<outgoing_founding> takeMessages();
  /// \returns the chosen initial voters, once they are known.
  const std::optional<replication::membership> &decided() const {
    return Decided;
  }

private:
  enum class phase { Waiting, Preparing, Accepting };
  struct seen_candidate {
    founding_candidate Candidate;
    core::time_point SeenAt{};
  };

  void recordCandidates(const founding_message &Message, core::time_point Now);
  void recordPromise(const std::string &Peer, const founding_message &Message,
                     core::time_point Now);
  void recordAccepted(const std::string &Peer);
  void decide(const std::string &Voters);
  void startRound(core::time_point Now);
  void abandonRound(core::time_point Now);
  void sendToSeeds(const founding_message &Message);
  bool isMajority(std::size_t Count) const;
  bool isDue(core::time_point Now) const;
  std::string chooseVoters() const;

  founding_candidate Self;
  std::size_t WantedVoters;
  std::uint64_t Nonce;
  std::mt19937_64 Random;
  std::set<std::string> Seeds; ///< Empty until a seed has answered.
  std::map<std::string, core::time_point> SeedHeardAt;
  std::map<std::string, seen_candidate> Candidates; ///< By name.
  core::time_point LastNewAt; ///< When the latest candidate appeared.
  core::time_point NextRoundAt{};
  std::uint64_t LastRound = 0; ///< Largest round that was seen.

  phase Phase = phase::Waiting;
  core::time_point Deadline{};
  founding_ballot Ballot;
  founding_ballot BestBallot; ///< Of the promises.
  std::string Voters;         ///< Accepted in BestBallot, or proposed.
  std::set<std::string> Answered;
  std::optional<replication::membership> Decided;
  std::vector<outgoing_founding> Messages;
};

} // namespace lycheetrestle::scheduling

#endif
