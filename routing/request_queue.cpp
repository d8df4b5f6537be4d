#include "routing/request_queue.h"

#include <algorithm>
#include <iterator>

namespace lycheetrestle::routing {

namespace {

// A request that must avoid the free endpoints must not block those behind it;
// the limit keeps the cost of one grant constant.
constexpr std::size_t MaxScannedPerClass = 16;
// Two grants of a cycle are reserved for the less urgent classes; one must
// remain.
constexpr std::uint32_t MinGrantCycle = 3;

std::size_t indexOf(fleet::work_class Class) {
  return static_cast<std::size_t>(Class);
}

} // namespace

request_queue::request_queue(queue_settings Initial) : Settings(Initial) {
  Settings.GrantCycle = std::max(Settings.GrantCycle, MinGrantCycle);
}

std::string request_queue::push(waiting_request Request,
                                const service_capacity &Capacity,
                                core::time_point Now) {
  auto Class = indexOf(Request.Class);
  if (Request.Deadline <= Now)
    return "deadline";
  if (Queues[Class].size() >= Settings.MaxPerClass)
    return "queue-full";
  if (!meetsDeadline(Request, Capacity, Now))
    return "deadline-unreachable";
  position Where{Request.Deadline, ++NextPosition};
  auto [Added, IsNew] =
      Index.try_emplace({Request.Holder, Request.RequestId}, Class, Where);
  if (IsNew)
    Queues[Class].emplace(Where, std::move(Request));
  return {};
}

bool request_queue::meetsDeadline(const waiting_request &Request,
                                  const service_capacity &Capacity,
                                  core::time_point Now) const {
  if (Capacity.HasFreeSlot && size() == 0)
    return true;
  // Without a measured time or usable slots the wait cannot be estimated.
  if (Capacity.MeanServiceMs <= 0 || Capacity.Slots == 0)
    return true;
  auto Class = indexOf(Request.Class);
  const auto &Own = Queues[Class];
  auto Ahead = static_cast<double>(std::distance(
      Own.begin(), Own.lower_bound({Request.Deadline, NextPosition + 1})));
  double MoreUrgent = 0;
  for (std::size_t Other = 0; Other < Class; ++Other)
    MoreUrgent += static_cast<double>(Queues[Other].size());
  // Grants reserved for the less urgent classes slow this one down.
  double Reserved = 0;
  for (std::size_t Other = Class + 1; Other < Classes; ++Other)
    Reserved += Queues[Other].empty() ? 0 : 1;
  double Cycle = Settings.GrantCycle;
  double Grants = (MoreUrgent + Ahead + 1) * Cycle / (Cycle - Reserved);
  // The grant reserved for this class in each cycle bounds the wait behind more
  // urgent requests.
  if (Class > 0)
    Grants = std::min(Grants, (Ahead + 1) * Cycle);
  double WaitMs = Grants * Capacity.MeanServiceMs / Capacity.Slots;
  auto LeftMs =
      std::chrono::duration<double, std::milli>(Request.Deadline - Now).count();
  return WaitMs + Capacity.MeanServiceMs <= LeftMs;
}

std::array<std::size_t, request_queue::Classes>
request_queue::classOrder() const {
  std::array<std::size_t, Classes> Order{0, 1, 2};
  // A class whose reserved grant is due comes first; batch before normal,
  // because more requests are granted ahead of it.
  for (std::size_t Class = 1; Class < Classes; ++Class)
    if (!Queues[Class].empty() &&
        GrantsToOthers[Class] + 1 >= Settings.GrantCycle)
      std::rotate(Order.begin(), std::find(Order.begin(), Order.end(), Class),
                  std::find(Order.begin(), Order.end(), Class) + 1);
  return Order;
}

std::optional<waiting_request> request_queue::pop(
    const std::function<bool(const waiting_request &)> &CanPlace) {
  for (auto Class : classOrder()) {
    auto &Queue = Queues[Class];
    std::size_t Scanned = 0;
    for (auto Where = Queue.begin();
         Where != Queue.end() && Scanned < MaxScannedPerClass;
         ++Where, ++Scanned) {
      if (!CanPlace(Where->second))
        continue;
      countGrant(Class);
      return take(Class, Where);
    }
  }
  return std::nullopt;
}

void request_queue::countGrant(std::size_t Class) {
  for (std::size_t Other = 1; Other < Classes; ++Other)
    GrantsToOthers[Other] =
        Other == Class || Queues[Other].empty() ? 0 : GrantsToOthers[Other] + 1;
}

waiting_request request_queue::take(std::size_t Class,
                                    class_queue::iterator Where) {
  auto Request = std::move(Where->second);
  Queues[Class].erase(Where);
  Index.erase({Request.Holder, Request.RequestId});
  return Request;
}

std::vector<waiting_request> request_queue::takeExpired(core::time_point Now) {
  std::vector<waiting_request> Expired;
  for (std::size_t Class = 0; Class < Classes; ++Class)
    while (!Queues[Class].empty() && Queues[Class].begin()->first.first <= Now)
      Expired.push_back(take(Class, Queues[Class].begin()));
  return Expired;
}

bool request_queue::cancel(const std::string &Holder, std::uint64_t RequestId) {
  auto Found = Index.find({Holder, RequestId});
  if (Found == Index.end())
    return false;
  auto [Class, Where] = Found->second;
  Queues[Class].erase(Where);
  Index.erase(Found);
  return true;
}

void request_queue::removeHolder(const std::string &Holder) {
  auto Found = Index.lower_bound({Holder, 0});
  while (Found != Index.end() && Found->first.first == Holder) {
    Queues[Found->second.first].erase(Found->second.second);
    Found = Index.erase(Found);
  }
}

std::vector<waiting_request> request_queue::takeAll() {
  std::vector<waiting_request> All;
  for (auto &Queue : Queues) {
    for (auto &[Where, Request] : Queue)
      All.push_back(std::move(Request));
    Queue.clear();
  }
  Index.clear();
  return All;
}

bool request_queue::contains(const std::string &Holder,
                             std::uint64_t RequestId) const {
  return Index.count({Holder, RequestId}) > 0;
}

std::size_t request_queue::size() const { return Index.size(); }

std::size_t request_queue::size(fleet::work_class Class) const {
  return Queues[indexOf(Class)].size();
}

} // namespace lycheetrestle::routing
