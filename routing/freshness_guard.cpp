#include "routing/freshness_guard.h"

#include <algorithm>

namespace lycheetrestle::routing {

namespace {

// 64 probes at the usual interval of 250 ms cover 16 s, more than the maximum
// age of a confirmation.
constexpr std::size_t MaxProbesPerPeer = 64;
// Older confirmations of peers are ignored.
constexpr std::int64_t MaxPeerConfirmationAgeMs = 60000;
// Low bits of the first nonce, which later probes count up.
constexpr int NonceCounterBits = 16;

} // namespace

freshness_guard::freshness_guard(std::string Self,
                                 const std::vector<std::string> &Entries,
                                 core::duration MaxAge, core::time_point Start)
    : Self(std::move(Self)), Entries(Entries), MaxAge(MaxAge), Start(Start),
      // Nonces of an earlier process of this entry must not match.
      LastNonce(static_cast<std::uint64_t>(Start.time_since_epoch().count())
                << NonceCounterBits) {}

std::uint64_t freshness_guard::startProbe(const std::string &Peer,
                                          core::time_point Now) {
  auto &Sent = Probes[Peer];
  if (Sent.size() >= MaxProbesPerPeer)
    Sent.pop_front();
  Sent.push_back({++LastNonce, Now});
  return LastNonce;
}

std::optional<core::time_point>
freshness_guard::sentAt(std::string_view Peer, std::uint64_t Nonce) const {
  auto Found = Probes.find(Peer);
  if (Found == Probes.end())
    return std::nullopt;
  for (const auto &Probe : Found->second)
    if (Probe.Nonce == Nonce)
      return Probe.Sent;
  return std::nullopt;
}

void freshness_guard::confirmByControl(std::string_view Leader,
                                       std::uint64_t Nonce) {
  auto Sent = sentAt(Leader, Nonce);
  if (Sent)
    Confirmed = Confirmed ? std::max(*Confirmed, *Sent) : *Sent;
}

void freshness_guard::confirmByPeer(std::string_view Peer, std::uint64_t Nonce,
                                    std::int64_t ConfirmationAgeMs,
                                    bool PeerAnchored) {
  auto Sent = sentAt(Peer, Nonce);
  if (!Sent)
    return;
  if (ConfirmationAgeMs >= 0 && ConfirmationAgeMs <= MaxPeerConfirmationAgeMs) {
    // The peer replied after the probe was sent, so its confirmation is at
    // most this much older than the probe.
    auto ConfirmedAt = *Sent - std::chrono::milliseconds(ConfirmationAgeMs);
    Confirmed = Confirmed ? std::max(*Confirmed, ConfirmedAt) : ConfirmedAt;
  }
  if (!PeerAnchored) {
    AnsweredProbes.erase(std::string(Peer));
    return;
  }
  auto &AnsweredProbe =
      AnsweredProbes.try_emplace(std::string(Peer), *Sent).first->second;
  AnsweredProbe = std::max(AnsweredProbe, *Sent);
}

bool freshness_guard::isFresh(core::time_point Now) const {
  if (Confirmed && Now - *Confirmed <= MaxAge)
    return true;
  if (!isAnchored())
    return false;
  auto Reached =
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Entry) {
        if (Entry == Self)
          return true;
        auto AnsweredProbe = AnsweredProbes.find(Entry);
        return AnsweredProbe != AnsweredProbes.end() &&
               Now - AnsweredProbe->second <= MaxAge;
      });
  return static_cast<std::size_t>(Reached) * 2 > Entries.size();
}

std::int64_t freshness_guard::confirmationAgeMs(core::time_point Now) const {
  if (!Confirmed)
    return -1;
  return std::chrono::ceil<std::chrono::milliseconds>(Now - *Confirmed).count();
}

} // namespace lycheetrestle::routing
