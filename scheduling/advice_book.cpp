#include "scheduling/advice_book.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// The adviser's time grows with each endpoint named. So many give a step of
// usual width enough places, and the objective of a job counts one such call.
constexpr std::size_t EndpointsPerCall = 30;
constexpr core::duration RetryPause = milliseconds(100);
// The share of a ticket's life after which it is asked for again, so that it
// does not run out on the way to the endpoint.
constexpr double UsableShare = 0.8;
constexpr core::duration KeepUnwanted = std::chrono::seconds(30);

} // namespace

std::optional<std::string> advice_book::ticket(const task_key &Step,
                                               const std::string &EndpointId,
                                               core::time_point Now) const {
  auto Found = Steps.find(stepOf(Step));
  if (Found == Steps.end())
    return std::nullopt;
  auto Opinion = Found->second.Opinions.find(EndpointId);
  if (Opinion == Found->second.Opinions.end() || Now >= Opinion->second.Until)
    return std::nullopt;
  return Opinion->second.Ticket;
}

void advice_book::want(const task_key &Step, const advice_terms &Terms,
                       std::vector<std::string> EndpointIds,
                       core::time_point Now) {
  auto &Advice = Steps[stepOf(Step)];
  Advice.Terms = Terms;
  std::erase_if(EndpointIds, [&](const std::string &Id) {
    auto Known = Advice.Opinions.find(Id);
    return Known != Advice.Opinions.end() && Now < Known->second.Until;
  });
  if (Advice.Wanted.empty())
    Advice.WantedSince = Now;
  Advice.Wanted = std::move(EndpointIds);
  Advice.WantedAt = Now;
}

std::optional<advise_order> advice_book::nextCall(core::time_point Now) {
  if (Open || Now < NextAllowed)
    return std::nullopt;
  auto First = Steps.end();
  for (auto Step = Steps.begin(); Step != Steps.end(); ++Step)
    if (!Step->second.Wanted.empty() &&
        (First == Steps.end() ||
         Step->second.WantedSince < First->second.WantedSince))
      First = Step;
  if (First == Steps.end())
    return std::nullopt;
  advise_order Order;
  Order.Step = First->first;
  auto &Wanted = First->second.Wanted;
  auto Count = std::min(Wanted.size(), EndpointsPerCall);
  Order.Endpoints.assign(Wanted.begin(),
                         Wanted.begin() + static_cast<std::ptrdiff_t>(Count));
  Wanted.clear();
  Open = open_call{
      Order.Step, {Order.Endpoints.begin(), Order.Endpoints.end()}, Now};
  return Order;
}

void advice_book::answered(const advice_answer *Answer, core::time_point Now) {
  if (!Open)
    return;
  auto Call = std::move(*Open);
  Open.reset();
  if (!Answer || Answer->IsBusy) {
    NextAllowed = Now + RetryPause;
    return;
  }
  auto Found = Steps.find(Call.Step);
  if (Found == Steps.end())
    return;
  auto &Advice = Found->second;
  auto Life = milliseconds(static_cast<std::int64_t>(
      UsableShare *
      (Answer->ValidMs > 0 ? Answer->ValidMs : Advice.Terms.ValidMs)));
  for (const auto &Id : Call.Endpoints)
    Advice.Opinions[Id] = {std::nullopt, Call.AskedAt + Life};
  for (const auto &Row : Answer->Allowed)
    Advice.Opinions[Row.EndpointId].Ticket = Row.Ticket;
}

void advice_book::refused(const task_key &Step, const std::string &EndpointId) {
  auto Found = Steps.find(stepOf(Step));
  if (Found != Steps.end())
    Found->second.Opinions.erase(EndpointId);
}

void advice_book::prune(core::time_point Now) {
  std::erase_if(Steps, [&](const auto &Item) {
    return Now - Item.second.WantedAt > KeepUnwanted;
  });
}

} // namespace lycheetrestle::scheduling
