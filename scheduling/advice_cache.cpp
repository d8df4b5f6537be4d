#include "scheduling/advice_cache.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

using std::chrono::milliseconds;

// The adviser's response time grows with the number of endpoints in a call.
// This many offer enough choice for a step of typical width, and the latency
// objective of a job allows for one such call.
constexpr std::size_t EndpointsPerCall = 30;
constexpr core::duration RetryBackoff = milliseconds(100);
// Share of a decision's validity after which it is requested again, so that a
// ticket does not expire on the way to the endpoint.
constexpr double RefreshShare = 0.8;
// Limit of the validity that an answer gives for a queue that declares none.
constexpr std::uint32_t MaxUndeclaredValidMs = 60'000;
// How long a step that is no longer requested stays cached.
constexpr core::duration UnusedStepRetention = std::chrono::seconds(30);

} // namespace

std::optional<std::string> advice_cache::ticket(const task_key &Step,
                                                const std::string &EndpointId,
                                                core::time_point Now) const {
  auto Found = Steps.find(stepOf(Step));
  if (Found == Steps.end())
    return std::nullopt;
  auto Entry = Found->second.ByEndpoint.find(EndpointId);
  if (Entry == Found->second.ByEndpoint.end() || Now >= Entry->second.ExpiresAt)
    return std::nullopt;
  return Entry->second.Ticket;
}

void advice_cache::request(const task_key &Step, const advice_terms &Terms,
                           std::vector<std::string> EndpointIds,
                           core::time_point Now) {
  auto &Advice = Steps[stepOf(Step)];
  Advice.Terms = Terms;
  std::erase_if(EndpointIds, [&](const std::string &Id) {
    auto Entry = Advice.ByEndpoint.find(Id);
    return Entry != Advice.ByEndpoint.end() && Now < Entry->second.ExpiresAt;
  });
  if (Advice.Requested.empty())
    Advice.FirstRequestedAt = Now;
  Advice.Requested = std::move(EndpointIds);
  Advice.LastRequestedAt = Now;
}

std::optional<advise_order> advice_cache::nextCall(core::time_point Now) {
  if (PendingCall || Now < EarliestCall)
    return std::nullopt;
  auto First = Steps.end();
  for (auto Step = Steps.begin(); Step != Steps.end(); ++Step)
    if (!Step->second.Requested.empty() &&
        (First == Steps.end() ||
         Step->second.FirstRequestedAt < First->second.FirstRequestedAt))
      First = Step;
  if (First == Steps.end())
    return std::nullopt;
  advise_order Order;
  Order.Step = First->first;
  auto &Requested = First->second.Requested;
  auto Count = std::min(Requested.size(), EndpointsPerCall);
  Order.Endpoints.assign(Requested.begin(),
                         Requested.begin() +
                             static_cast<std::ptrdiff_t>(Count));
  Requested.clear();
  PendingCall = pending_call{
      Order.Step, {Order.Endpoints.begin(), Order.Endpoints.end()}, Now};
  return Order;
}

void advice_cache::recordAnswer(const advice_answer *Answer,
                                core::time_point Now) {
  if (!PendingCall)
    return;
  auto Call = std::move(*PendingCall);
  PendingCall.reset();
  if (!Answer || Answer->IsBusy) {
    EarliestCall = Now + RetryBackoff;
    return;
  }
  auto Found = Steps.find(Call.Step);
  if (Found == Steps.end())
    return;
  auto &Advice = Found->second;
  // A decision is not cached for longer than the queue declares: a wrong
  // refusal would keep the step waiting.
  auto ValidMs = Advice.Terms.ValidMs;
  if (Answer->ValidMs > 0)
    ValidMs = ValidMs > 0 ? std::min(ValidMs, Answer->ValidMs)
                          : std::min(MaxUndeclaredValidMs, Answer->ValidMs);
  auto Validity =
      milliseconds(static_cast<std::int64_t>(RefreshShare * ValidMs));
  for (const auto &Id : Call.Endpoints)
    Advice.ByEndpoint[Id] = {std::nullopt, Call.SentAt + Validity};
  // Other rows would replace decisions that are still valid.
  for (const auto &Row : Answer->Allowed)
    if (Call.Endpoints.count(Row.EndpointId) > 0)
      Advice.ByEndpoint[Row.EndpointId].Ticket = Row.Ticket;
}

void advice_cache::discardTicket(const task_key &Step,
                                 const std::string &EndpointId) {
  auto Found = Steps.find(stepOf(Step));
  if (Found != Steps.end())
    Found->second.ByEndpoint.erase(EndpointId);
}

void advice_cache::discardEndpoint(const std::string &EndpointId) {
  for (auto &[Step, Advice] : Steps)
    Advice.ByEndpoint.erase(EndpointId);
  if (PendingCall)
    PendingCall->Endpoints.erase(EndpointId);
}

void advice_cache::prune(core::time_point Now) {
  std::erase_if(Steps, [&](const auto &Item) {
    return Now - Item.second.LastRequestedAt > UnusedStepRetention;
  });
}

} // namespace lycheetrestle::scheduling
