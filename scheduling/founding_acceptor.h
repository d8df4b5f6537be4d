#ifndef LYCHEETRESTLE_SCHEDULING_FOUNDING_ACCEPTOR_H
#define LYCHEETRESTLE_SCHEDULING_FOUNDING_ACCEPTOR_H

#include "core/clock.h"
#include "scheduling/founding_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling {

/// The part of a seed in the choice of the initial voters. It exists only in a
/// process that is started for the first time, with `founding` set, and it is
/// kept in memory: a restarted seed takes no part any more, so that it can't
/// contradict what it has promised or accepted. Two majorities of the seeds
/// have a seed in common, hence at most one membership is ever chosen.
class founding_acceptor {
public:
  /// A candidate that has not asked to join for this time is not proposed.
  static constexpr core::duration CandidateLifetime = std::chrono::seconds(2);

  /// \param Seeds all seeds, the same at each of them.
  explicit founding_acceptor(std::vector<std::string> Seeds);

  /// Records that a scheduler with an empty log asks to join.
  void recordCandidate(founding_candidate Candidate, core::time_point Now);
  /// \returns the answer to a proposer, or nothing.
  std::optional<founding_message> receive(const founding_message &Request);
  /// \returns what a candidate must know: the chosen voters, or else the
  /// candidates and the seeds.
  founding_message describe(core::time_point Now) const;

private:
  struct recorded_candidate {
    founding_candidate Candidate;
    core::time_point At{};
  };

  founding_message decided() const;

  std::vector<std::string> Seeds;
  std::map<std::string, recorded_candidate> Candidates; ///< By name.
  founding_ballot Promised;
  founding_ballot AcceptedBallot;
  std::string AcceptedVoters;
  std::string DecidedVoters; ///< Empty until they are known here.
};

} // namespace lycheetrestle::scheduling

#endif
