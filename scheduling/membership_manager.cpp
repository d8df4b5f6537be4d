#include "scheduling/membership_manager.h"

#include "replication/membership_rules.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using replication::member;
using replication::membership;
using replication::replica_id;

bool isMember(const membership &Members, const replica_id &Id) {
  return std::any_of(Members.Members.begin(), Members.Members.end(),
                     [&](const member &Member) { return Member.Id == Id; });
}

membership without(membership Members, const replica_id &Id) {
  std::erase_if(Members.Members,
                [&](const member &Member) { return Member.Id == Id; });
  return Members;
}

membership withVoter(membership Members, const replica_id &Id) {
  for (auto &Member : Members.Members)
    if (Member.Id == Id)
      Member.Voter = true;
  return Members;
}

std::size_t countVoters(const membership &Members) {
  return static_cast<std::size_t>(
      std::count_if(Members.Members.begin(), Members.Members.end(),
                    [](const member &Member) { return Member.Voter; }));
}

} // namespace

void membership_manager::recordJoinRequest(const replica_id &Replica,
                                           std::string Zone,
                                           core::time_point Now) {
  JoinRequests[Replica.Name] = {Replica, Now};
  Zones[Replica.Name] = std::move(Zone);
  recordHeard(Replica, Now);
}

void membership_manager::recordHeard(const replica_id &Replica,
                                     core::time_point Now) {
  LastHeardAt[Replica] = Now;
}

std::optional<core::time_point>
membership_manager::lastHeard(const replica_id &Replica) const {
  auto Found = LastHeardAt.find(Replica);
  return Found == LastHeardAt.end() ? std::nullopt
                                    : std::optional(Found->second);
}

void membership_manager::reset(const replica_id &Self, std::string Zone,
                               core::time_point Now) {
  JoinRequests.clear();
  LastHeardAt.clear();
  LearnerSince.clear();
  Leader = Self;
  // Zones that are known stay valid; followers report them again.
  Zones[Self.Name] = std::move(Zone);
  ResetAt = Now;
}

std::string_view membership_manager::zoneOf(const std::string &Name) const {
  auto Found = Zones.find(Name);
  return Found == Zones.end() ? std::string_view() : Found->second;
}

bool membership_manager::isInContact(const replica_id &Replica,
                                     core::time_point Now) const {
  if (Replica == Leader)
    return true;
  auto Found = LastHeardAt.find(Replica);
  return Found != LastHeardAt.end() && Now - Found->second <= ContactTimeout;
}

core::duration membership_manager::silenceOf(const replica_id &Replica,
                                             core::time_point Now) const {
  auto Found = LastHeardAt.find(Replica);
  return Now - (Found == LastHeardAt.end() ? ResetAt : Found->second);
}

const member *membership_manager::findGone(const membership &Members,
                                           const replica_id &Self,
                                           core::time_point Now) const {
  for (const auto &Member : Members.Members) {
    if (!Member.Voter || Member.Id == Self)
      continue;
    if (silenceOf(Member.Id, Now) > SilenceTimeout ||
        isReplaced(Members, Member.Id, Now))
      return &Member;
  }
  return nullptr;
}

bool membership_manager::isReplaced(const membership &Members,
                                    const replica_id &Replica,
                                    core::time_point Now) const {
  // A member that still answers was not replaced: a request is a late one of
  // an earlier incarnation.
  if (isInContact(Replica, Now))
    return false;
  auto Request = JoinRequests.find(Replica.Name);
  if (Request != JoinRequests.end() && Request->second.Replica != Replica &&
      Now - Request->second.At <= RequestLifetime)
    return true;
  return std::any_of(Members.Members.begin(), Members.Members.end(),
                     [&](const member &Member) {
                       return Member.Id.Name == Replica.Name &&
                              Member.Id != Replica &&
                              isInContact(Member.Id, Now);
                     });
}

const member *membership_manager::findSuperseded(const membership &Members,
                                                 core::time_point Now) const {
  for (const auto &Member : Members.Members) {
    if (!Member.Voter || isInContact(Member.Id, Now))
      continue;
    for (const auto &Other : Members.Members)
      if (Other.Voter && Other.Id.Name == Member.Id.Name &&
          Other.Id != Member.Id && isInContact(Other.Id, Now))
        return &Member;
  }
  return nullptr;
}

const member *membership_manager::findObstacle(const membership &Members,
                                               const std::string &Name,
                                               core::time_point Now) const {
  std::size_t Count = 0;
  const member *Longest = nullptr;
  for (const auto &Member : Members.Members) {
    if (Member.Id.Name != Name)
      continue;
    ++Count;
    if (!Member.Voter)
      return &Member;
    if (!Longest || silenceOf(Member.Id, Now) > silenceOf(Longest->Id, Now))
      Longest = &Member;
  }
  return Count < replication::MaxIncarnations ? nullptr : Longest;
}

std::size_t membership_manager::countVotersNear(const membership &Members,
                                                const replica_id &Replica,
                                                const member *Excluded) const {
  return static_cast<std::size_t>(std::count_if(
      Members.Members.begin(), Members.Members.end(),
      [&](const member &Member) {
        bool IsEarlier = Member.Id != Replica && Member.Id.Name == Replica.Name;
        return Member.Voter && &Member != Excluded && !IsEarlier &&
               zoneOf(Member.Id.Name) == zoneOf(Replica.Name);
      }));
}

const member *membership_manager::findPromotable(
    const membership &Members, const member *Gone, core::time_point Now,
    const std::function<bool(const replica_id &)> &HasCaughtUp) const {
  const member *Best = nullptr;
  std::size_t Fewest = 0;
  for (const auto &Member : Members.Members) {
    if (Member.Voter || !isInContact(Member.Id, Now) || !HasCaughtUp(Member.Id))
      continue;
    auto Near = countVotersNear(Members, Member.Id, Gone);
    if (Best && Near >= Fewest)
      continue;
    Best = &Member;
    Fewest = Near;
  }
  return Best;
}

const member *membership_manager::findSurplus(const membership &Members,
                                              const replica_id &Self,
                                              core::time_point Now) const {
  const member *Surplus = nullptr;
  std::size_t Most = 0;
  for (const auto &Member : Members.Members) {
    if (!Member.Voter || Member.Id == Self)
      continue;
    if (!isInContact(Member.Id, Now))
      return nullptr;
    auto Near = countVotersNear(Members, Member.Id, nullptr);
    if (Near <= Most)
      continue;
    Surplus = &Member;
    Most = Near;
  }
  return Surplus;
}

bool membership_manager::isUnbalanced(const membership &Members,
                                      const replica_id &Self,
                                      const member &Learner,
                                      core::time_point Now) const {
  if (Now - ResetAt < RebalanceDelay)
    return false;
  for (const auto &Member : Members.Members)
    if (zoneOf(Member.Id.Name).empty())
      return false;
  const auto *Surplus = findSurplus(Members, Self, Now);
  return Surplus && countVotersNear(Members, Surplus->Id, nullptr) >=
                        countVotersNear(Members, Learner.Id, nullptr) + 2;
}

bool membership_manager::isCatchingUp(const membership &Members,
                                      core::time_point Now) const {
  return std::any_of(Members.Members.begin(), Members.Members.end(),
                     [&](const auto &Member) {
                       auto Since = LearnerSince.find(Member.Id);
                       return !Member.Voter && isInContact(Member.Id, Now) &&
                              (Since == LearnerSince.end() ||
                               Now - Since->second < CatchUpTimeout);
                     });
}

bool membership_manager::isGrowing(const membership &Members,
                                   core::time_point Now) const {
  if (countVoters(Members) >= WantedVoters)
    return false;
  return isCatchingUp(Members, Now) ||
         std::any_of(JoinRequests.begin(), JoinRequests.end(),
                     [&](const auto &Item) {
                       return Now - Item.second.At <= RequestLifetime &&
                              !isMember(Members, Item.second.Replica);
                     });
}

std::optional<member_change>
membership_manager::nextForJoinRequests(const membership &Members,
                                        core::time_point Now) {
  std::erase_if(JoinRequests, [&](const auto &Item) {
    return isMember(Members, Item.second.Replica) ||
           Now - Item.second.At > RequestLifetime;
  });
  bool IsFull = Members.Members.size() >= replication::MaxMembers;
  bool NeedsRoom = false;
  for (const auto &[Name, Request] : JoinRequests) {
    const auto &Joining = Request.Replica;
    bool IsLate = std::any_of(Members.Members.begin(), Members.Members.end(),
                              [&](const member &Member) {
                                return Member.Id.Name == Joining.Name &&
                                       isInContact(Member.Id, Now);
                              });
    if (IsLate)
      continue;
    if (const auto *Old = findObstacle(Members, Name, Now))
      return member_change{without(Members, Old->Id), "remove_lost", Old->Id};
    if (IsFull) {
      NeedsRoom = true;
      continue;
    }
    auto Target = Members;
    Target.Members.push_back({Request.Replica, false});
    return member_change{Target, "add_learner", Request.Replica};
  }
  return nextForSilentLearners(Members, Now, NeedsRoom);
}

std::optional<member_change> membership_manager::nextForSilentLearners(
    const membership &Members, core::time_point Now, bool NeedsRoom) const {
  const member *Longest = nullptr;
  auto Silence = NeedsRoom ? SilenceTimeout : LearnerRetention;
  for (const auto &Member : Members.Members) {
    if (Member.Voter || silenceOf(Member.Id, Now) <= Silence)
      continue;
    Longest = &Member;
    Silence = silenceOf(Member.Id, Now);
  }
  if (!Longest)
    return std::nullopt;
  return member_change{without(Members, Longest->Id), "remove_silent",
                       Longest->Id};
}

std::optional<member_change> membership_manager::next(
    const membership &Members, const replica_id &Self, core::time_point Now,
    const std::function<bool(const replica_id &)> &HasCaughtUp) {
  std::erase_if(LearnerSince, [&](const auto &Item) {
    return !isMember(Members, Item.first);
  });
  for (const auto &Member : Members.Members)
    if (!Member.Voter)
      LearnerSince.try_emplace(Member.Id, Now);
  if (const auto *Old = findSuperseded(Members, Now))
    return member_change{without(Members, Old->Id), "remove_lost", Old->Id};
  const auto *Gone = findGone(Members, Self, Now);
  auto Voters = countVoters(Members);
  if (Voters > WantedVoters) {
    const auto *Surplus = Gone ? Gone : findSurplus(Members, Self, Now);
    if (Surplus)
      return member_change{without(Members, Surplus->Id),
                           Gone ? "remove_gone" : "remove_surplus",
                           Surplus->Id};
  }
  const auto *Learner = findPromotable(Members, Gone, Now, HasCaughtUp);
  if (Learner && (Voters < WantedVoters ||
                  (Voters == WantedVoters &&
                   (Gone || isUnbalanced(Members, Self, *Learner, Now)))))
    return member_change{withVoter(Members, Learner->Id), "promote",
                         Learner->Id};
  return nextForJoinRequests(Members, Now);
}

} // namespace lycheetrestle::scheduling
