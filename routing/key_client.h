#ifndef LYCHEETRESTLE_ROUTING_KEY_CLIENT_H
#define LYCHEETRESTLE_ROUTING_KEY_CLIENT_H

#include "core/clock.h"
#include "routing/messages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheetrestle::routing {

/// Control's decision about a key, for the request that waits for it.
struct key_decision {
  std::uint64_t Request = 0;
  key_reply Reply; ///< Granted, Stored, Mismatch or Refused; not Held.
};

/// Manages the idempotency keys of this entry's requests: reserves a key before
/// the request is dispatched, stores the response afterwards, and frees the key
/// when the request was certainly not run. Unanswered messages are resent with
/// the same holder, also after a change of leader.
class key_client {
public:
  /// \param NextId returns numbers that are unique across restarts of the
  /// entry.
  /// \param MaxSessions the maximum number of keys in use.
  key_client(std::function<std::uint64_t()> NextId, std::size_t MaxSessions);

  /// \param Leader the control replica that decides; empty when unknown.
  void setLeader(const std::string &Leader, core::time_point Now);
  const std::string &leader() const { return Leader; }
  bool hasLeader() const { return !Leader.empty(); }

  /// Reserves a key for a request.
  /// \returns false when too many keys are in use.
  bool reserve(std::uint64_t Request, key_reserve Reserve,
               core::time_point Now);
  /// \returns the decision when the reply brings one.
  std::optional<key_decision> onReply(const key_reply &Reply,
                                      core::time_point Now);
  /// \returns whether another holder is executing the request's key.
  bool isHeldByOther(std::uint64_t Request) const;
  /// \returns whether the request may be dispatched.
  bool isGranted(std::uint64_t Request) const;
  /// Records that the request is dispatched; from now on it may have run.
  void markDispatched(std::uint64_t Request);
  /// Records that the dispatched request was certainly not run; it may be
  /// retried.
  void markNotRun(std::uint64_t Request);
  /// Frees the key of a request that this entry certainly did not run.
  void abandon(std::uint64_t Request, core::time_point Now);
  /// Removes the session of a request that may have run; its key stays
  /// reserved.
  void discard(std::uint64_t Request);
  /// Stores the response; it is resent until control confirms it.
  void complete(std::uint64_t Request, key_complete Complete,
                core::time_point Now);
  void tick(core::time_point Now);
  /// \returns messages for the leader.
  std::vector<message> takeMessages();
  /// \returns whether no abandon or completion is unconfirmed.
  bool isIdle() const;
  std::size_t size() const { return Sessions.size(); }

private:
  enum class phase : std::uint8_t {
    Reserving,
    Held,
    Granted,
    Dispatched,
    Completing,
    Abandoning,
  };
  struct session {
    phase Phase = phase::Reserving;
    key_reserve Reserve;
    message Pending; ///< Resent until it is answered.
    std::uint64_t PendingId = 0;
    core::time_point LastSent;
    std::uint32_t SendCount = 0;
    core::time_point ResendUntil;
    bool WasGranted = false;
  };
  using session_map = std::map<std::uint64_t, session>;

  void send(session &Session, core::time_point Now);
  void setPending(std::uint64_t Request, session &Session, message Pending,
                  std::uint64_t Id, core::time_point Now);
  void startAbandon(std::uint64_t Request, session &Session,
                    core::time_point Now);
  void erase(session_map::iterator Where);
  void recordAbandoned(const key_reserve &Reserve);
  std::optional<key_decision> onReserveReply(session_map::iterator Where,
                                             const key_reply &Reply,
                                             core::time_point Now);

  std::function<std::uint64_t()> NextId;
  std::size_t MaxSessions;
  std::string Leader;
  session_map Sessions;
  std::map<std::uint64_t, std::uint64_t> RequestByMessage;
  std::vector<message> Messages;
  /// Abandoned reservations by message id, for grants that arrive late.
  std::map<std::uint64_t, key_reserve> AbandonedReservations;
  std::deque<std::uint64_t> AbandonedOrder;
};

} // namespace lycheetrestle::routing

#endif
