#include "scheduling/founding_acceptor.h"

#include "replication/membership_rules.h"

#include <utility>

namespace lycheetrestle::scheduling {

founding_acceptor::founding_acceptor(std::vector<std::string> Seeds)
    : Seeds(std::move(Seeds)) {}

void founding_acceptor::recordCandidate(founding_candidate Candidate,
                                        core::time_point Now) {
  std::erase_if(Candidates, [&](const auto &Item) {
    return Now - Item.second.At > CandidateLifetime;
  });
  auto Name = Candidate.Id.Name;
  if (Candidates.size() < replication::MaxMembers || Candidates.count(Name) > 0)
    Candidates[Name] = {std::move(Candidate), Now};
}

founding_message founding_acceptor::decided() const {
  founding_message Message;
  Message.Step = founding_step::Decided;
  Message.Voters = DecidedVoters;
  return Message;
}

founding_message founding_acceptor::describe(core::time_point Now) const {
  if (!DecidedVoters.empty())
    return decided();
  founding_message Message;
  Message.Seeds = Seeds;
  for (const auto &[Name, Recorded] : Candidates)
    if (Now - Recorded.At <= CandidateLifetime)
      Message.Candidates.push_back(Recorded.Candidate);
  return Message;
}

std::optional<founding_message>
founding_acceptor::receive(const founding_message &Request) {
  if (Request.Step == founding_step::Decided) {
    DecidedVoters = Request.Voters;
    return std::nullopt;
  }
  bool IsPrepare = Request.Step == founding_step::Prepare;
  if (!IsPrepare && Request.Step != founding_step::Accept)
    return std::nullopt;
  if (!DecidedVoters.empty())
    return decided();
  founding_message Answer;
  if (Request.Ballot < Promised || (IsPrepare && Request.Ballot == Promised)) {
    Answer.Step = founding_step::Refused;
    Answer.Ballot = Promised;
    return Answer;
  }
  Promised = Request.Ballot;
  Answer.Ballot = Request.Ballot;
  if (IsPrepare) {
    Answer.Step = founding_step::Promise;
    Answer.AcceptedBallot = AcceptedBallot;
    Answer.Voters = AcceptedVoters;
    return Answer;
  }
  Answer.Step = founding_step::Accepted;
  AcceptedBallot = Request.Ballot;
  AcceptedVoters = Request.Voters;
  return Answer;
}

} // namespace lycheetrestle::scheduling
