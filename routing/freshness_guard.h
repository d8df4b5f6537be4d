#ifndef LYCHEETRESTLE_ROUTING_FRESHNESS_GUARD_H
#define LYCHEETRESTLE_ROUTING_FRESHNESS_GUARD_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::routing {

/// Decides whether the version that this entry applied is recent enough to
/// serve by. All ages count from the sending of this entry's own probes, so
/// that messages that waited while the process was frozen prove nothing new.
class freshness_guard {
public:
  /// \param Self this entry.
  /// \param Entries every configured entry.
  /// \param MaxAge the largest age of a confirmation.
  /// \param Start when this process started.
  freshness_guard(std::string Self, const std::vector<std::string> &Entries,
                  core::duration MaxAge, core::time_point Start);

  /// Records a probe that is about to be sent.
  /// \returns its nonce.
  std::uint64_t startProbe(const std::string &Peer, core::time_point Now);
  /// \returns when the probe was sent; nothing when it is unknown or too old to
  /// prove anything.
  std::optional<core::time_point> sentAt(std::string_view Peer,
                                         std::uint64_t Nonce) const;
  /// A control leader confirmed the version. Call it after applying the reply.
  void confirmByControl(std::string_view Leader, std::uint64_t Nonce);
  /// A peer answered. Call it after applying the reply.
  /// \param ConfirmationAgeMs age of the peer's confirmation; negative when it
  /// has none.
  /// \param PeerAnchored whether the peer counts for a majority of entries.
  void confirmByPeer(std::string_view Peer, std::uint64_t Nonce,
                     std::int64_t ConfirmationAgeMs, bool PeerAnchored);

  bool isFresh(core::time_point Now) const;
  /// \returns the age of the last confirmation by control, rounded up, or -1
  /// without any.
  std::int64_t confirmationAgeMs(core::time_point Now) const;
  /// \returns whether control confirmed the version after this process
  /// started. Before that, this entry may have forgotten a version that it
  /// confirmed before its restart, so it must not count for a majority.
  bool isAnchored() const { return Confirmed && *Confirmed >= Start; }

private:
  struct sent_probe {
    std::uint64_t Nonce;
    core::time_point Sent;
  };

  std::string Self;
  std::vector<std::string> Entries;
  core::duration MaxAge;
  core::time_point Start;
  std::uint64_t LastNonce;
  std::optional<core::time_point> Confirmed;
  std::map<std::string, std::deque<sent_probe>, std::less<>> Probes;
  /// When this entry sent the last probe that an anchored peer answered.
  std::map<std::string, core::time_point, std::less<>> AnsweredProbes;
};

} // namespace lycheetrestle::routing

#endif
