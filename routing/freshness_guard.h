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
/// serve requests. Ages count from the send time of this entry's own probes, so
/// that messages buffered while the process was frozen do not count as new.
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
  /// \returns when the probe was sent; nothing when it is unknown or no longer
  /// recorded.
  std::optional<core::time_point> sentAt(std::string_view Peer,
                                         std::uint64_t Nonce) const;
  /// Records that a control leader confirmed the version. Call it after
  /// applying the reply.
  void confirmByControl(std::string_view Leader, std::uint64_t Nonce);
  /// Records the answer of a peer. Call it after applying the reply.
  /// \param ConfirmationAgeMs age of the peer's confirmation; negative when it
  /// has none.
  /// \param PeerAnchored whether the peer counts for a majority of entries.
  void confirmByPeer(std::string_view Peer, std::uint64_t Nonce,
                     std::int64_t ConfirmationAgeMs, bool PeerAnchored);

  /// \returns whether control confirmed the version within the maximum age,
  /// directly or through a peer, or whether this entry is anchored and together
  /// with the anchored peers that answered within that age forms a majority of
  /// all entries.
  bool isFresh(core::time_point Now) const;
  /// \returns the age of the last confirmation by control, rounded up, or -1
  /// without any.
  std::int64_t confirmationAgeMs(core::time_point Now) const;
  /// \returns whether control confirmed the version after this process started,
  /// directly or through a peer. Until then this entry may have lost a version
  /// that it confirmed before a restart, so it must not count for a majority.
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
  /// Send time of the last probe that each anchored peer answered.
  std::map<std::string, core::time_point, std::less<>> AnsweredProbes;
};

} // namespace lycheetrestle::routing

#endif
