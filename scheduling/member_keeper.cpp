#include "scheduling/member_keeper.h"

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

void member_keeper::noteJoin(const replica_id &Replica, core::time_point Now) {
  Joining[Replica.Name] = Replica;
  noteHeard(Replica.Name, Now);
}

void member_keeper::noteHeard(const std::string &Name, core::time_point Now) {
  HeardAt[Name] = Now;
}

void member_keeper::reset(core::time_point Now) {
  Joining.clear();
  HeardAt.clear();
  PromotedAt.clear();
  Rejoining.clear();
  Since = Now;
}

const member *member_keeper::findSilent(const membership &Members,
                                        const replica_id &Self,
                                        core::time_point Now) const {
  for (const auto &Member : Members.Members) {
    if (!Member.Voter || Member.Id == Self)
      continue;
    auto Heard = HeardAt.find(Member.Id.Name);
    auto Last = Heard == HeardAt.end() ? Since : Heard->second;
    if (Now - Last > SilenceLimit)
      return &Member;
  }
  return nullptr;
}

std::optional<member_change> member_keeper::next(
    const membership &Members, const replica_id &Self, core::time_point Now,
    const std::function<bool(const replica_id &)> &HasCaughtUp) {
  std::erase_if(Joining, [&](const auto &Item) {
    return isMember(Members, Item.second);
  });
  for (const auto &[Name, Id] : Joining) {
    for (const auto &Member : Members.Members)
      if (Member.Id.Name == Name) {
        Rejoining = Name;
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
    if (Member.Id.Name != Rejoining)
      PromotedAt[Member.Id.Name] = Now;
    return member_change{Target, "promote", Member.Id};
  }
  std::erase_if(PromotedAt, [&](const auto &Item) {
    return Now - Item.second > ReplacementTime;
  });
  const auto *Silent = findSilent(Members, Self, Now);
  if (!Silent || PromotedAt.empty())
    return std::nullopt;
  PromotedAt.erase(PromotedAt.begin());
  return member_change{without(Members, Silent->Id), "remove_silent",
                       Silent->Id};
}

} // namespace lycheetrestle::scheduling
