#include "scheduling/membership_manager.h"

#include <algorithm>

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

} // namespace

void membership_manager::recordJoinRequest(const replica_id &Replica,
                                           core::time_point Now) {
  JoinRequests[Replica.Name] = Replica;
  recordHeard(Replica.Name, Now);
}

void membership_manager::recordHeard(const std::string &Name,
                                     core::time_point Now) {
  LastHeardAt[Name] = Now;
}

std::optional<core::time_point>
membership_manager::lastHeard(const std::string &Name) const {
  auto Found = LastHeardAt.find(Name);
  return Found == LastHeardAt.end() ? std::nullopt
                                    : std::optional(Found->second);
}

void membership_manager::reset(core::time_point Now) {
  JoinRequests.clear();
  LastHeardAt.clear();
  PromotedAt.clear();
  RejoiningName.clear();
  ResetAt = Now;
}

const member *membership_manager::findSilent(const membership &Members,
                                             const replica_id &Self,
                                             core::time_point Now) const {
  for (const auto &Member : Members.Members) {
    if (!Member.Voter || Member.Id == Self)
      continue;
    auto Found = LastHeardAt.find(Member.Id.Name);
    auto Last = Found == LastHeardAt.end() ? ResetAt : Found->second;
    if (Now - Last > SilenceTimeout)
      return &Member;
  }
  return nullptr;
}

std::optional<member_change> membership_manager::next(
    const membership &Members, const replica_id &Self, core::time_point Now,
    const std::function<bool(const replica_id &)> &HasCaughtUp) {
  std::erase_if(JoinRequests, [&](const auto &Item) {
    return isMember(Members, Item.second);
  });
  for (const auto &[Name, Id] : JoinRequests) {
    for (const auto &Member : Members.Members)
      if (Member.Id.Name == Name) {
        RejoiningName = Name;
        return member_change{without(Members, Member.Id), "remove_lost",
                             Member.Id};
      }
    auto Target = Members;
    Target.Members.push_back({Id, false});
    return member_change{Target, "add_learner", Id};
  }
  for (std::size_t Index = 0; Index != Members.Members.size(); ++Index) {
    const auto &Member = Members.Members[Index];
    if (Member.Voter)
      continue;
    if (const auto *Silent = findSilent(Members, Self, Now))
      return member_change{without(Members, Silent->Id), "remove_silent",
                           Silent->Id};
    if (!HasCaughtUp(Member.Id))
      continue;
    auto Target = Members;
    Target.Members[Index].Voter = true;
    if (Member.Id.Name != RejoiningName)
      PromotedAt[Member.Id.Name] = Now;
    return member_change{Target, "promote", Member.Id};
  }
  std::erase_if(PromotedAt, [&](const auto &Item) {
    return Now - Item.second > ReplacementWindow;
  });
  const auto *Silent = findSilent(Members, Self, Now);
  if (!Silent || PromotedAt.empty())
    return std::nullopt;
  PromotedAt.erase(PromotedAt.begin());
  return member_change{without(Members, Silent->Id), "remove_silent",
                       Silent->Id};
}

} // namespace lycheetrestle::scheduling
