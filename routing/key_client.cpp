#include "routing/key_client.h"

#include "core/invariant.h"

#include <utility>

namespace lycheetrestle::routing {

namespace {

constexpr core::duration ResendInterval = std::chrono::milliseconds(500);
constexpr core::duration PollInterval = std::chrono::milliseconds(250);
// An abandon of a reservation that may never have been recorded need not be
// confirmed; it is resent for long enough to outlast an election.
constexpr core::duration UnconfirmedAbandonTime = std::chrono::seconds(10);
// Control confirms well before this unless it lost its majority for longer; the
// limit then keeps the table of sessions from filling up.
constexpr core::duration MaxResendTime = std::chrono::minutes(10);
constexpr std::size_t MaxAbandonedReservations = 10000;

bool isTemporary(const key_reply &Reply) {
  return Reply.Outcome == key_outcome::Refused &&
         (Reply.Reason == "not-leader" || Reply.Reason == "unavailable");
}

} // namespace

key_client::key_client(std::function<std::uint64_t()> NextId,
                       std::size_t MaxSessions)
    : NextId(std::move(NextId)), MaxSessions(MaxSessions) {}

void key_client::setLeader(const std::string &NewLeader, core::time_point Now) {
  if (Leader == NewLeader)
    return;
  Leader = NewLeader;
  for (auto &[Request, Session] : Sessions)
    if (Session.PendingId != 0)
      send(Session, Now);
}

void key_client::send(session &Session, core::time_point Now) {
  Session.LastSent = Now;
  if (Leader.empty())
    return;
  ++Session.SendCount;
  Messages.push_back(Session.Pending);
}

void key_client::setPending(std::uint64_t Request, session &Session,
                            message Pending, std::uint64_t Id,
                            core::time_point Now) {
  RequestByMessage[Id] = Request;
  Session.Pending = std::move(Pending);
  Session.PendingId = Id;
  send(Session, Now);
}

bool key_client::reserve(std::uint64_t Request, key_reserve Reserve,
                         core::time_point Now) {
  if (Sessions.size() >= MaxSessions)
    return false;
  auto &Session = Sessions[Request];
  Reserve.RequestId = NextId();
  Session.Reserve = Reserve;
  setPending(Request, Session, Reserve, Reserve.RequestId, Now);
  return true;
}

std::optional<key_decision> key_client::onReply(const key_reply &Reply,
                                                core::time_point Now) {
  auto Abandoned = AbandonedReservations.find(Reply.RequestId);
  if (Abandoned != AbandonedReservations.end()) {
    // The grant arrived after the abandon was confirmed, so the reservation may
    // have been recorded after the abandon.
    if (Reply.Outcome == key_outcome::Granted &&
        Sessions.size() < MaxSessions) {
      auto Request = NextId();
      auto &Session = Sessions[Request];
      Session.Reserve = Abandoned->second;
      Session.WasGranted = true;
      startAbandon(Request, Session, Now);
    }
    return std::nullopt;
  }
  auto Mapped = RequestByMessage.find(Reply.RequestId);
  if (Mapped == RequestByMessage.end())
    return std::nullopt;
  auto Where = Sessions.find(Mapped->second);
  auto &Session = Where->second;
  if (Reply.RequestId == Session.Reserve.RequestId)
    return onReserveReply(Where, Reply, Now);
  // A reply to an abandon or a completion. A final refusal means that the key
  // has another holder, for example after an earlier copy of the abandon.
  if (!isTemporary(Reply))
    erase(Where);
  return std::nullopt;
}

std::optional<key_decision>
key_client::onReserveReply(session_map::iterator Where, const key_reply &Reply,
                           core::time_point Now) {
  auto &Session = Where->second;
  if (Session.Phase == phase::Abandoning) {
    if (Reply.Outcome == key_outcome::Granted) {
      Session.WasGranted = true;
      Session.ResendUntil = Now + MaxResendTime;
    }
    return std::nullopt;
  }
  if (Session.Phase != phase::Reserving && Session.Phase != phase::Held)
    return std::nullopt;
  key_decision Decision{Where->first, Reply};
  switch (Reply.Outcome) {
  case key_outcome::Granted:
    Session.Phase = phase::Granted;
    Session.WasGranted = true;
    Session.PendingId = 0;
    return Decision;
  case key_outcome::Held:
    Session.Phase = phase::Held;
    return std::nullopt;
  case key_outcome::Stored:
  case key_outcome::Mismatch:
    erase(Where);
    return Decision;
  case key_outcome::Refused:
    break;
  }
  if (isTemporary(Reply))
    return std::nullopt;
  // If the reservation was sent several times, the refusal answers only one.
  if (Session.SendCount > 1)
    startAbandon(Where->first, Session, Now);
  else
    erase(Where);
  return Decision;
}

bool key_client::isHeldByOther(std::uint64_t Request) const {
  auto Found = Sessions.find(Request);
  return Found != Sessions.end() && Found->second.Phase == phase::Held;
}

bool key_client::isGranted(std::uint64_t Request) const {
  auto Found = Sessions.find(Request);
  return Found != Sessions.end() && Found->second.Phase == phase::Granted;
}

void key_client::markDispatched(std::uint64_t Request) {
  core::checkInvariant(isGranted(Request),
                       "a keyed request is dispatched only when granted");
  Sessions.at(Request).Phase = phase::Dispatched;
}

void key_client::markNotRun(std::uint64_t Request) {
  auto Found = Sessions.find(Request);
  if (Found != Sessions.end() && Found->second.Phase == phase::Dispatched)
    Found->second.Phase = phase::Granted;
}

void key_client::abandon(std::uint64_t Request, core::time_point Now) {
  auto Found = Sessions.find(Request);
  if (Found == Sessions.end())
    return;
  auto &Session = Found->second;
  core::checkInvariant(Session.Phase != phase::Dispatched,
                       "a key is abandoned only when its request was not run");
  if (Session.Phase == phase::Completing || Session.Phase == phase::Abandoning)
    return;
  if (Session.SendCount == 0)
    erase(Found);
  else
    startAbandon(Request, Session, Now);
}

void key_client::startAbandon(std::uint64_t Request, session &Session,
                              core::time_point Now) {
  Session.Phase = phase::Abandoning;
  Session.ResendUntil =
      Now + (Session.WasGranted ? MaxResendTime : UnconfirmedAbandonTime);
  key_abandon Abandon{NextId(), Session.Reserve.Key, Session.Reserve.Holder};
  setPending(Request, Session, Abandon, Abandon.RequestId, Now);
}

void key_client::discard(std::uint64_t Request) {
  auto Found = Sessions.find(Request);
  if (Found != Sessions.end())
    erase(Found);
}

void key_client::complete(std::uint64_t Request, key_complete Complete,
                          core::time_point Now) {
  auto Found = Sessions.find(Request);
  if (Found == Sessions.end())
    return;
  auto &Session = Found->second;
  Session.Phase = phase::Completing;
  Session.ResendUntil = Now + MaxResendTime;
  Complete.RequestId = NextId();
  Complete.Key = Session.Reserve.Key;
  Complete.Holder = Session.Reserve.Holder;
  auto Id = Complete.RequestId;
  setPending(Request, Session, std::move(Complete), Id, Now);
}

void key_client::erase(session_map::iterator Where) {
  const auto &Session = Where->second;
  if (Session.Phase == phase::Abandoning)
    recordAbandoned(Session.Reserve);
  RequestByMessage.erase(Session.Reserve.RequestId);
  RequestByMessage.erase(Session.PendingId);
  Sessions.erase(Where);
}

void key_client::recordAbandoned(const key_reserve &Reserve) {
  if (!AbandonedReservations.emplace(Reserve.RequestId, Reserve).second)
    return;
  AbandonedOrder.push_back(Reserve.RequestId);
  if (AbandonedOrder.size() <= MaxAbandonedReservations)
    return;
  AbandonedReservations.erase(AbandonedOrder.front());
  AbandonedOrder.pop_front();
}

void key_client::tick(core::time_point Now) {
  for (auto Where = Sessions.begin(); Where != Sessions.end();) {
    auto Current = Where++;
    auto &Session = Current->second;
    if ((Session.Phase == phase::Completing ||
         Session.Phase == phase::Abandoning) &&
        Now >= Session.ResendUntil) {
      erase(Current);
      continue;
    }
    auto Interval =
        Session.Phase == phase::Held ? PollInterval : ResendInterval;
    if (Session.PendingId != 0 && Now - Session.LastSent >= Interval)
      send(Session, Now);
  }
}

std::vector<message> key_client::takeMessages() {
  return std::exchange(Messages, {});
}

bool key_client::isIdle() const {
  for (const auto &[Request, Session] : Sessions)
    if (Session.Phase == phase::Completing ||
        Session.Phase == phase::Abandoning)
      return false;
  return true;
}

} // namespace lycheetrestle::routing
