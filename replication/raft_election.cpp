#include "core/invariant.h"
#include "replication/membership_rules.h"
#include "replication/raft_node_implementation.h"

#include <tuple>

namespace lycheetrestle::replication {

bool raft_node::implementation::hasActiveLeader(core::time_point Now) const {
  if (Role == raft_role::Leader)
    return true;
  return Leader && Now - LastLeaderMessage < Settings.ElectionTimeout;
}

bool raft_node::implementation::isUpToDate(const vote_request &Request) const {
  return std::tuple(Request.LastTerm, Request.LastIndex) >=
         std::tuple(Log.lastTerm(), Log.lastIndex());
}

void raft_node::implementation::startPreVote(core::time_point Now) {
  becomeFollower(Hard.Term, std::nullopt, Now);
  Role = raft_role::Candidate;
  PreVoting = true;
  Votes.insert(Settings.Self);
  requestVotes(true, false);
  countVotes(Now);
}

void raft_node::implementation::startElection(core::time_point Now,
                                              bool Transfer) {
  becomeFollower(Hard.Term + 1, std::nullopt, Now);
  Role = raft_role::Candidate;
  PreVoting = false;
  Hard.Vote = Settings.Self;
  // The candidate's own vote counts once it is synced, like every other vote.
  SelfVoteTicket = NextTicket;
  requestVotes(false, Transfer);
}

void raft_node::implementation::requestVotes(bool Pre, bool Transfer) {
  for (const member &Member : Log.members().Members)
    if (Member.Voter && Member.Id != Settings.Self)
      send(Member.Id, vote_request{.Term = Pre ? Hard.Term + 1 : Hard.Term,
                                   .Pre = Pre,
                                   .Transfer = Transfer,
                                   .LastIndex = Log.lastIndex(),
                                   .LastTerm = Log.lastTerm()});
}

void raft_node::implementation::countVotes(core::time_point Now) {
  const bool Won = hasMajority(Log.members(), [this](const replica_id &Id) {
    return Votes.count(Id) > 0;
  });
  // Other votes cannot precede the own synced vote unless they are forged.
  if (!Won || Votes.count(Settings.Self) == 0)
    return;
  if (PreVoting)
    startElection(Now, false);
  else
    becomeLeader(Now);
}

void raft_node::implementation::becomeLeader(core::time_point Now) {
  core::checkInvariant(Role == raft_role::Candidate && !PreVoting &&
                           Hard.Vote == Settings.Self && !HardDirty &&
                           HardTicket <= StoredTicket,
                       "a leader was elected with a synced vote for itself");
  Role = raft_role::Leader;
  Leader = Settings.Self;
  Votes.clear();
  Followers.clear();
  refreshProgress(Now);
  // Entries of older terms commit only together with an entry of this term.
  TermStartIndex = appendEntry(entry_kind::Noop, "");
  startRound(Now);
}

void raft_node::implementation::onBody(const replica_id &From,
                                       const vote_request &Request,
                                       core::time_point Now) {
  // A leader transfers leadership only to members.
  const bool IsTransfer = Request.Transfer && isMember(From);
  if (hasActiveLeader(Now) && !IsTransfer) {
    // A removed replica requests votes until it is notified of its removal.
    if (Role == raft_role::Leader && !isMember(From) && hasCommittedInTerm() &&
        Log.membersIndex() <= Log.commitIndex())
      send(From, vote_reply{.Term = Hard.Term, .Removed = true});
    else if (Request.Term < Hard.Term || Request.Pre)
      send(From, vote_reply{.Term = Hard.Term, .Pre = Request.Pre});
    return;
  }
  if (Request.Pre) {
    const bool Granted = Request.Term > Hard.Term && isUpToDate(Request);
    send(From, vote_reply{.Term = Granted ? Request.Term : Hard.Term,
                          .Pre = true,
                          .Granted = Granted});
    return;
  }
  if (Request.Term > Hard.Term)
    becomeFollower(Request.Term, std::nullopt, Now);
  const bool Granted = Request.Term == Hard.Term && isUpToDate(Request) &&
                       Role != raft_role::Leader &&
                       (Hard.Vote == From || (!Hard.Vote && !Leader));
  if (Granted) {
    core::checkInvariant(!Hard.Vote || *Hard.Vote == From, "one vote per term");
    if (!Hard.Vote) {
      Hard.Vote = From;
      HardDirty = true;
    }
    resetElectionTimer(Now);
  }
  send(From, vote_reply{.Term = Hard.Term, .Granted = Granted});
}

void raft_node::implementation::onBody(const replica_id &From,
                                       const vote_reply &Reply,
                                       core::time_point Now) {
  if (!isMember(From))
    return;
  if (Reply.Removed) {
    Removed = true;
    if (Role == raft_role::Candidate)
      becomeFollower(Hard.Term, std::nullopt, Now);
    return;
  }
  const bool GrantedPre = Reply.Pre && Reply.Granted;
  if (Reply.Term > Hard.Term && !GrantedPre) {
    becomeFollower(Reply.Term, std::nullopt, Now);
    return;
  }
  if (Role == raft_role::Candidate && Reply.Pre == PreVoting && !Reply.Granted)
    RefusedVotes.insert(From);
  if (Role != raft_role::Candidate || !Reply.Granted ||
      Reply.Pre != PreVoting || Reply.Term != Hard.Term + (PreVoting ? 1 : 0))
    return;
  Votes.insert(From);
  countVotes(Now);
}

void raft_node::implementation::onBody(const replica_id &From,
                                       const transfer_now &,
                                       core::time_point Now) {
  if (Leader != From || Role != raft_role::Follower || StorageFailing ||
      !isVoter(Log.members(), Settings.Self))
    return;
  startElection(Now, true);
}

} // namespace lycheetrestle::replication
