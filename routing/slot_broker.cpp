#include "routing/slot_broker.h"

#include "core/invariant.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::routing {

namespace {

namespace acc = boost::accumulators;

// Samples: enough for a stable mean, few enough to follow a change of load
// within seconds.
constexpr int ServiceTimeWindow = 64;

/// The occupancy of the endpoints during one round of grants.
class slot_table {
public:
  struct row {
    std::string Endpoint;
    std::uint32_t Slots = 0;
    std::uint32_t Busy = 0;
    bool HasFailed = false;
  };
  std::vector<row> Rows;

  bool hasFree() const { return std::any_of(Rows.begin(), Rows.end(), isFree); }
  /// \returns the best endpoint with a free slot, or null when there is none
  /// or only avoided ones are free and the request should wait for another.
  row *choose(const std::vector<std::string> &Avoid) {
    row *Best = nullptr;
    bool HasOther = false;
    auto IsAvoided = [&](const row &Row) {
      return std::find(Avoid.begin(), Avoid.end(), Row.Endpoint) != Avoid.end();
    };
    for (auto &Row : Rows) {
      bool IsOther = !IsAvoided(Row);
      HasOther = HasOther || IsOther;
      if (isFree(Row) && (!Best || isBetter(Row, *Best, IsAvoided)))
        Best = &Row;
    }
    return Best && IsAvoided(*Best) && HasOther ? nullptr : Best;
  }

private:
  static bool isFree(const row &Row) { return Row.Busy < Row.Slots; }
  template <typename Predicate>
  static bool isBetter(const row &Left, const row &Right,
                       const Predicate &IsAvoided) {
    auto Rank = [&](const row &Row) {
      return std::pair(IsAvoided(Row), Row.HasFailed);
    };
    if (Rank(Left) != Rank(Right))
      return Rank(Left) < Rank(Right);
    return std::uint64_t(Left.Busy) * Right.Slots <
           std::uint64_t(Right.Busy) * Left.Slots;
  }
};

} // namespace

slot_broker::slot_broker(std::string Service, broker_settings Settings,
                         const endpoint_source &Endpoints)
    : Service(std::move(Service)), Settings(Settings), Endpoints(Endpoints),
      Queue(Settings.Queue), NextToken(Settings.FirstToken),
      ServiceTimes(acc::tag::rolling_window::window_size = ServiceTimeWindow) {}

double slot_broker::meanServiceMs() const {
  return acc::rolling_count(ServiceTimes) == 0
             ? 0
             : acc::rolling_mean(ServiceTimes);
}

void slot_broker::rebuild(std::set<std::string> Reporters,
                          core::time_point Now) {
  AwaitedReports = std::move(Reporters);
  RebuildUntil = Now + Settings.RebuildWait;
}

bool slot_broker::isRebuilding(core::time_point Now) {
  if (Now >= RebuildUntil)
    AwaitedReports.clear();
  return !AwaitedReports.empty();
}

std::uint32_t slot_broker::busy(const std::string &Endpoint) const {
  auto Found = BusyByEndpoint.find(Endpoint);
  return Found == BusyByEndpoint.end() ? 0 : Found->second;
}

core::duration slot_broker::boundedDeadline(std::uint32_t Ms) const {
  return std::chrono::milliseconds(std::min(Ms, Settings.MaxDeadlineMs));
}

service_capacity slot_broker::capacity(core::time_point Now) const {
  service_capacity Capacity;
  Capacity.MeanServiceMs = meanServiceMs();
  for (const auto &Endpoint : Endpoints.eligible(Service, Now)) {
    Capacity.Slots += Endpoint.Slots;
    Capacity.HasFreeSlot =
        Capacity.HasFreeSlot || busy(Endpoint.Endpoint) < Endpoint.Slots;
  }
  return Capacity;
}

void slot_broker::request(const std::string &Holder,
                          const slot_request &Request, core::time_point Now) {
  auto Known = TokenByRequest.find({Holder, Request.RequestId});
  if (Known != TokenByRequest.end()) {
    // The grant was lost, or crossed the repeated request.
    sendGrant(Grants.at(Known->second), Known->second);
    return;
  }
  if (Queue.contains(Holder, Request.RequestId))
    return;
  waiting_request Waiting{Holder,
                          Request.RequestId,
                          Request.Incarnation,
                          Request.Class,
                          Now + boundedDeadline(Request.DeadlineMs),
                          Request.Avoid};
  auto Reason = Queue.push(Waiting, capacity(Now), Now);
  if (!Reason.empty())
    refuse(Waiting, Reason);
  else
    grantWaiting(Now);
}

bool slot_broker::cancel(const std::string &Holder, std::uint64_t RequestId) {
  return Queue.cancel(Holder, RequestId);
}

void slot_broker::release(const slot_release &Release, core::time_point Now) {
  auto Found = Grants.find(Release.Token);
  if (Found == Grants.end())
    return;
  if (Release.Failed)
    FailedAt[Found->second.Endpoint] = Now;
  else if (Release.ServiceMs > 0)
    ServiceTimes(Release.ServiceMs);
  freeSlot(Found);
  grantWaiting(Now);
}

void slot_broker::report(const std::string &Holder, const slot_report &Report,
                         core::time_point Now) {
  std::set<std::uint64_t> Listed;
  for (const auto &Held : Report.Held) {
    Listed.insert(Held.Token);
    auto [Where, IsNew] = Grants.try_emplace(Held.Token);
    auto &Grant = Where->second;
    Grant.IsSuspect = false;
    if (!IsNew)
      continue;
    Grant.Holder = Holder;
    Grant.Incarnation = Report.Incarnation;
    Grant.Endpoint = Held.Endpoint;
    Grant.ExpiresAt =
        Now + boundedDeadline(Held.DeadlineMs) + Settings.ReturnMargin;
    ++BusyByEndpoint[Held.Endpoint];
  }
  // A grant that was lost with the link is missing from a report of the same
  // incarnation of the holder. Grants of an earlier incarnation may still be
  // executing.
  for (auto Where = Grants.begin(); Where != Grants.end();) {
    const auto &Grant = Where->second;
    bool IsLost = Grant.IsSuspect && Grant.Holder == Holder &&
                  Grant.Incarnation == Report.Incarnation &&
                  Listed.count(Where->first) == 0;
    Where = IsLost ? freeSlot(Where) : std::next(Where);
  }
  AwaitedReports.erase(Holder);
  grantWaiting(Now);
}

void slot_broker::onHolderDown(const std::string &Holder) {
  Queue.removeHolder(Holder);
  AwaitedReports.erase(Holder);
  for (auto &[Token, Grant] : Grants)
    if (Grant.Holder == Holder)
      Grant.IsSuspect = true;
}

void slot_broker::handOver() {
  for (const auto &Request : Queue.takeAll())
    refuse(Request, "moved");
}

void slot_broker::update(core::time_point Now) {
  for (const auto &Request : Queue.takeExpired(Now))
    refuse(Request, "deadline");
  for (auto Where = Grants.begin(); Where != Grants.end();)
    Where = Where->second.ExpiresAt <= Now ? freeSlot(Where) : std::next(Where);
  for (auto Failed = FailedAt.begin(); Failed != FailedAt.end();)
    Failed = Now - Failed->second >= Settings.FailurePenalty
                 ? FailedAt.erase(Failed)
                 : std::next(Failed);
  grantWaiting(Now);
}

void slot_broker::grantWaiting(core::time_point Now) {
  if (Queue.size() == 0 || isRebuilding(Now))
    return;
  slot_table Table;
  for (auto &Endpoint : Endpoints.eligible(Service, Now))
    Table.Rows.push_back({Endpoint.Endpoint, Endpoint.Slots,
                          busy(Endpoint.Endpoint),
                          FailedAt.count(Endpoint.Endpoint) > 0});
  while (Table.hasFree()) {
    slot_table::row *Chosen = nullptr;
    auto Request = Queue.pop([&](const waiting_request &Candidate) {
      Chosen = Table.choose(Candidate.Avoid);
      return Chosen != nullptr;
    });
    if (!Request)
      return;
    if (Request->Deadline <= Now) {
      refuse(*Request, "deadline");
      continue;
    }
    // A request that would end after its deadline wastes a slot that another
    // request could use, and keeps the endpoint busy after the slot returned.
    if (Queue.size() > 0 &&
        Request->Deadline - Now <
            std::chrono::duration<double, std::milli>(meanServiceMs())) {
      refuse(*Request, "deadline-unreachable");
      continue;
    }
    auto Token = NextToken++;
    auto &Grant = Grants[Token];
    Grant = {Request->Holder,
             Request->Incarnation,
             Request->RequestId,
             Chosen->Endpoint,
             Request->Deadline + Settings.ReturnMargin,
             false};
    TokenByRequest[{Grant.Holder, Grant.RequestId}] = Token;
    ++Chosen->Busy;
    auto Busy = ++BusyByEndpoint[Chosen->Endpoint];
    core::checkInvariant(Busy <= Chosen->Slots,
                         "a broker never grants more than the slots of an "
                         "endpoint");
    sendGrant(Grant, Token);
  }
}

void slot_broker::sendGrant(const grant &Grant, std::uint64_t Token) {
  Replies.push_back({Grant.Holder, slot_grant{Grant.RequestId, Service,
                                              Grant.Endpoint, Token}});
}

void slot_broker::refuse(const waiting_request &Request,
                         std::string_view Reason) {
  Replies.push_back(
      {Request.Holder, slot_refusal{Request.RequestId, std::string(Reason)}});
}

slot_broker::grant_map::iterator
slot_broker::freeSlot(grant_map::iterator Where) {
  const auto &Grant = Where->second;
  auto Busy = BusyByEndpoint.find(Grant.Endpoint);
  core::checkInvariant(Busy != BusyByEndpoint.end() && Busy->second > 0,
                       "every grant is counted at its endpoint");
  if (--Busy->second == 0)
    BusyByEndpoint.erase(Busy);
  TokenByRequest.erase({Grant.Holder, Grant.RequestId});
  return Grants.erase(Where);
}

std::vector<broker_reply> slot_broker::takeReplies() {
  return std::exchange(Replies, {});
}

} // namespace lycheetrestle::routing
