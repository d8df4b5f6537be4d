#include "replication/membership_rules.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace lycheetrestle::replication {

const member *findMember(const membership &Members, const replica_id &Id) {
  for (const member &Member : Members.Members)
    if (Member.Id == Id)
      return &Member;
  return nullptr;
}

bool isVoter(const membership &Members, const replica_id &Id) {
  const member *Member = findMember(Members, Id);
  return Member && Member->Voter;
}

bool isValidMembership(const membership &Members) {
  if (Members.Members.size() > MaxMembers)
    return false;
  std::set<replica_id> Ids;
  std::map<std::string_view, std::size_t> Incarnations;
  bool HasVoter = false;
  for (const member &Member : Members.Members) {
    if (Member.Id.Name.empty() || !Ids.insert(Member.Id).second ||
        ++Incarnations[Member.Id.Name] > MaxIncarnations)
      return false;
    HasVoter = HasVoter || Member.Voter;
  }
  return HasVoter;
}

std::size_t countDifferences(const membership &From, const membership &To) {
  std::size_t Count = 0;
  for (const member &Member : From.Members) {
    const member *Other = findMember(To, Member.Id);
    if (!Other || Other->Voter != Member.Voter)
      ++Count;
  }
  for (const member &Member : To.Members)
    if (!findMember(From, Member.Id))
      ++Count;
  return Count;
}

bool hasMajority(const membership &Members,
                 const std::function<bool(const replica_id &)> &Accepts) {
  std::size_t Voters = 0;
  std::size_t Accepting = 0;
  for (const member &Member : Members.Members) {
    if (!Member.Voter)
      continue;
    ++Voters;
    if (Accepts(Member.Id))
      ++Accepting;
  }
  return Accepting * 2 > Voters;
}

std::uint64_t
majorityValue(const membership &Members,
              const std::function<std::uint64_t(const replica_id &)> &Value) {
  std::vector<std::uint64_t> Values;
  for (const member &Member : Members.Members)
    if (Member.Voter)
      Values.push_back(Value(Member.Id));
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values[Values.size() / 2];
}

} // namespace lycheetrestle::replication
