#include "scheduling/sender_table.h"

#include <algorithm>

namespace lycheetrestle::scheduling {

namespace {

// The table is not notified when an incarnation ends. An idle endpoint that is
// still up gets orders at least every few seconds.
constexpr core::duration UnusedRetention = std::chrono::seconds(10);

} // namespace

void sender_table::addDelegate(const std::string &Name) {
  Delegates.try_emplace(Name, 0);
}

void sender_table::removeDelegate(const std::string &Name) {
  if (Delegates.erase(Name) == 0)
    return;
  std::erase_if(Assigned,
                [&](const auto &Item) { return Item.second.Delegate == Name; });
}

std::string_view sender_table::senderOf(std::uint32_t Endpoint,
                                        core::time_point Now) {
  auto &Assignment = Assigned[Endpoint];
  Assignment.UsedAt = Now;
  if (!Assignment.Delegate.empty() || Delegates.empty() ||
      Assigned.size() <= OwnEndpoints)
    return Assignment.Delegate;
  auto LeastLoaded = std::min_element(Delegates.begin(), Delegates.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.second < Right.second;
                                      });
  ++LeastLoaded->second;
  Assignment.Delegate = LeastLoaded->first;
  return Assignment.Delegate;
}

void sender_table::prune(core::time_point Now) {
  std::erase_if(Assigned, [&](const auto &Item) {
    const auto &[Endpoint, Assignment] = Item;
    if (Now - Assignment.UsedAt < UnusedRetention)
      return false;
    if (!Assignment.Delegate.empty())
      --Delegates.find(Assignment.Delegate)->second;
    return true;
  });
}

} // namespace lycheetrestle::scheduling
