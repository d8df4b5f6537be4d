#include "scheduling/sender_table.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// Lives of endpoints end without a word here; an idle one gets no orders for
// some seconds at most while it lives.
constexpr core::duration KeepUnused = std::chrono::seconds(10);

} // namespace

void sender_table::addHelper(const std::string &Name) {
  Helpers.try_emplace(Name, 0);
}

void sender_table::removeHelper(const std::string &Name) {
  if (Helpers.erase(Name) == 0)
    return;
  std::erase_if(Assigned,
                [&](const auto &Item) { return Item.second.Helper == Name; });
}

std::string_view sender_table::senderOf(std::uint32_t Endpoint,
                                        core::time_point Now) {
  auto Found = Assigned.find(Endpoint);
  if (Found != Assigned.end()) {
    Found->second.UsedAt = Now;
    return Found->second.Helper;
  }
  auto Least = std::min_element(Helpers.begin(), Helpers.end(),
                                [](const auto &Left, const auto &Right) {
                                  return Left.second < Right.second;
                                });
  auto &New = Assigned[Endpoint];
  New.UsedAt = Now;
  if (Own < OwnEndpoints || Least == Helpers.end()) {
    ++Own;
    return {};
  }
  ++Least->second;
  New.Helper = Least->first;
  return New.Helper;
}

void sender_table::prune(core::time_point Now) {
  std::erase_if(Assigned, [&](const auto &Item) {
    const auto &[Endpoint, Assignment] = Item;
    if (Now - Assignment.UsedAt < KeepUnused)
      return false;
    if (Assignment.Helper.empty())
      --Own;
    else
      --Helpers.find(Assignment.Helper)->second;
    return true;
  });
}

} // namespace lycheetrestle::scheduling
