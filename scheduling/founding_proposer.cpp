#include "scheduling/founding_proposer.h"

#include "core/checksum.h"
#include "replication/membership_rules.h"
#include "replication/messages.h"
#include "scheduling/founding_acceptor.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lycheetrestle::scheduling {

founding_proposer::founding_proposer(founding_candidate NewSelf,
                                     std::size_t WantedVoters,
                                     std::uint64_t Nonce, core::time_point Now)
    : Self(std::move(NewSelf)), WantedVoters(WantedVoters), Nonce(Nonce),
      Random(Nonce ^ core::stableHash(Self.Id.Name)), LastNewAt(Now) {}

void founding_proposer::receive(const std::string &Peer,
                                const founding_message &Message,
                                core::time_point Now) {
  if (Decided)
    return;
  bool IsCurrent = Message.Ballot == Ballot && Seeds.count(Peer) > 0;
  switch (Message.Step) {
  case founding_step::Candidates:
    recordCandidates(Message, Now);
    SeedHeardAt[Peer] = Now;
    return;
  case founding_step::Promise:
    if (IsCurrent && Phase == phase::Preparing)
      recordPromise(Peer, Message, Now);
    return;
  case founding_step::Accepted:
    if (IsCurrent && Phase == phase::Accepting)
      recordAccepted(Peer);
    return;
  case founding_step::Refused:
    LastRound = std::max(LastRound, Message.Ballot.Round);
    if (Phase != phase::Waiting && Message.Ballot > Ballot)
      abandonRound(Now);
    return;
  case founding_step::Decided:
    decide(Message.Voters);
    return;
  case founding_step::Prepare:
  case founding_step::Accept:
    return;
  }
}

void founding_proposer::recordCandidates(const founding_message &Message,
                                         core::time_point Now) {
  if (Seeds.empty())
    Seeds.insert(Message.Seeds.begin(), Message.Seeds.end());
  for (const auto &Candidate : Message.Candidates) {
    auto &Seen = Candidates[Candidate.Id.Name];
    if (Seen.Candidate != Candidate)
      LastNewAt = Now;
    Seen = {Candidate, Now};
  }
  std::erase_if(Candidates, [&](const auto &Item) {
    return Now - Item.second.SeenAt > founding_acceptor::CandidateLifetime;
  });
}

void founding_proposer::recordPromise(const std::string &Peer,
                                      const founding_message &Message,
                                      core::time_point Now) {
  Answered.insert(Peer);
  if (Message.AcceptedBallot > BestBallot) {
    BestBallot = Message.AcceptedBallot;
    Voters = Message.Voters;
  }
  if (!isMajority(Answered.size()))
    return;
  if (BestBallot.Round == 0)
    Voters = chooseVoters();
  Phase = phase::Accepting;
  Answered.clear();
  Deadline = Now + RoundTimeout;
  founding_message Request;
  Request.Step = founding_step::Accept;
  Request.Ballot = Ballot;
  Request.Voters = Voters;
  sendToSeeds(Request);
}

void founding_proposer::recordAccepted(const std::string &Peer) {
  Answered.insert(Peer);
  if (!isMajority(Answered.size()))
    return;
  decide(Voters);
  founding_message Message;
  Message.Step = founding_step::Decided;
  Message.Voters = Voters;
  sendToSeeds(Message);
  for (const auto &[Name, Seen] : Candidates)
    if (Name != Self.Id.Name && Seeds.count(Name) == 0)
      Messages.push_back({Name, Message});
}

void founding_proposer::decide(const std::string &Chosen) {
  auto Members = replication::decodeMembership(Chosen);
  if (Members && replication::isValidMembership(*Members))
    Decided = std::move(Members);
}

bool founding_proposer::isMajority(std::size_t Count) const {
  return 2 * Count > Seeds.size();
}

void founding_proposer::sendToSeeds(const founding_message &Message) {
  for (const auto &Seed : Seeds)
    Messages.push_back({Seed, Message});
}

std::string founding_proposer::chooseVoters() const {
  std::vector<founding_candidate> Left;
  for (const auto &[Name, Seen] : Candidates)
    Left.push_back(Seen.Candidate);
  if (Candidates.count(Self.Id.Name) == 0)
    Left.push_back(Self);
  std::map<std::string, std::size_t> VotersInZone;
  replication::membership Members;
  while (!Left.empty() && Members.Members.size() < WantedVoters) {
    auto Next = std::min_element(
        Left.begin(), Left.end(), [&](const auto &First, const auto &Second) {
          return std::tuple(VotersInZone[First.Zone], First.Id) <
                 std::tuple(VotersInZone[Second.Zone], Second.Id);
        });
    ++VotersInZone[Next->Zone];
    Members.Members.push_back({Next->Id, true});
    Left.erase(Next);
  }
  return replication::encodeMembership(Members);
}

bool founding_proposer::isDue(core::time_point Now) const {
  auto InContact = static_cast<std::size_t>(std::count_if(
      SeedHeardAt.begin(), SeedHeardAt.end(), [&](const auto &Item) {
        return Seeds.count(Item.first) > 0 &&
               Now - Item.second <= founding_acceptor::CandidateLifetime;
      }));
  if (Seeds.empty() || !isMajority(InContact))
    return false;
  auto Wait = Candidates.size() >= WantedVoters ? SettleTime : QuietTime;
  auto Rank =
      std::distance(Candidates.begin(), Candidates.lower_bound(Self.Id.Name));
  return Now >= LastNewAt + Wait + Rank * RankDelay && Now >= NextRoundAt;
}

void founding_proposer::startRound(core::time_point Now) {
  Ballot = {++LastRound, Self.Id.Name, Nonce};
  BestBallot = {};
  Voters.clear();
  Answered.clear();
  Phase = phase::Preparing;
  Deadline = Now + RoundTimeout;
  founding_message Request;
  Request.Step = founding_step::Prepare;
  Request.Ballot = Ballot;
  sendToSeeds(Request);
}

void founding_proposer::abandonRound(core::time_point Now) {
  Phase = phase::Waiting;
  // Proposers that started at the same time must not do so again.
  std::uniform_int_distribution<core::duration::rep> Extra(
      0, RoundTimeout.count());
  NextRoundAt = Now + core::duration(Extra(Random));
}

void founding_proposer::tick(core::time_point Now) {
  if (Decided)
    return;
  if (Phase != phase::Waiting && Now >= Deadline)
    abandonRound(Now);
  if (Phase == phase::Waiting && isDue(Now))
    startRound(Now);
}

std::vector<outgoing_founding> founding_proposer::takeMessages() {
  return std::exchange(Messages, {});
}

} // namespace lycheetrestle::scheduling
