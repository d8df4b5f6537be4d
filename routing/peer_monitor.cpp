#include "routing/peer_monitor.h"

#include "core/network_address.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::routing {

namespace {

// A peer that answered none of the probes of the last 1.5 s (three probes) is
// frozen or partitioned, even if its link is still up.
constexpr core::duration PeerReplyTimeout = std::chrono::milliseconds(1500);
// An election takes 1 to 2 s. Keyed requests wait for a leader that answered
// within this time; afterwards they are refused at once.
constexpr core::duration LeaderReplyTimeout = std::chrono::milliseconds(2000);
// A leader without a confirmation for this long may have been replaced, so
// every replica is probed. Followers can name a dead leader until an election
// ends.
constexpr core::duration ConfirmationTimeout = std::chrono::milliseconds(750);
// Every member of an announcement is bounded, so that 60 of them fit into the
// 64 KB of a batch.
constexpr std::size_t MaxAnnouncementsPerBatch = 60;

} // namespace

peer_monitor::peer_monitor(const router_settings &Settings, fleet_view &View,
                           freshness_guard &Guard, endpoint_registry &Registry)
    : Settings(Settings), View(View), Guard(Guard), Registry(Registry) {
  for (const auto &Entry : Settings.Entries)
    if (Entry != Settings.Self)
      Entries.try_emplace(Entry);
  for (const auto &Control : Settings.Controls)
    Controls.try_emplace(Control, false);
}

void peer_monitor::onPeerChange(const std::string &Peer, bool IsUp,
                                core::time_point Now) {
  auto Entry = Entries.find(Peer);
  if (Entry != Entries.end()) {
    Entry->second = {};
    Entry->second.IsUp = IsUp;
    if (IsUp)
      Messages.push_back(
          {Peer, peer_probe{Guard.startProbe(Peer, Now), View.index()}});
  }
  auto Control = Controls.find(Peer);
  if (Control == Controls.end())
    return;
  Control->second = IsUp;
  if (IsUp)
    Messages.push_back(
        {Peer, probe{Guard.startProbe(Peer, Now), View.index()}});
  else if (Leader == Peer)
    Leader.clear();
}

void peer_monitor::onProbeReply(const std::string &Peer,
                                const probe_reply &Reply,
                                core::time_point Now) {
  auto Sent = Guard.sentAt(Peer, Reply.Nonce);
  if (!Sent || !isControl(Peer))
    return;
  if (Reply.Confirmed) {
    View.apply(Reply.Delta);
    Guard.confirmByControl(Peer, Reply.Nonce);
    LastConfirmed = LastConfirmed ? std::max(*LastConfirmed, *Sent) : *Sent;
    if (!LeaderProbeSent || *Sent >= *LeaderProbeSent) {
      Leader = Peer;
      LeaderProbeSent = *Sent;
    }
    return;
  }
  // A follower's hint is used only when the known leader does not answer.
  bool IsLeaderUnresponsive = leader(Now).empty() || Leader == Peer;
  if (!IsLeaderUnresponsive || !isControl(Reply.Leader) ||
      Reply.Leader == Peer || Now - *Sent > LeaderReplyTimeout)
    return;
  Leader = Reply.Leader;
  LeaderProbeSent = *Sent;
}

void peer_monitor::onPeerProbe(const std::string &Peer, const peer_probe &Probe,
                               core::time_point Now) {
  auto Entry = Entries.find(Peer);
  if (Entry == Entries.end())
    return;
  Entry->second.LastNonce = std::max(Entry->second.LastNonce, Probe.Nonce);
  peer_reply Reply;
  Reply.Nonce = Probe.Nonce;
  Reply.Serving = isServing(Now);
  Reply.ConfirmationAgeMs = Guard.confirmationAgeMs(Now);
  Reply.Anchored = Guard.isAnchored();
  Reply.Delta = View.deltaSince(Probe.KnownViewIndex);
  Messages.push_back({Peer, std::move(Reply)});
}

void peer_monitor::onPeerReply(const std::string &Peer, const peer_reply &Reply,
                               core::time_point Now) {
  auto Entry = Entries.find(Peer);
  auto Sent = Guard.sentAt(Peer, Reply.Nonce);
  if (Entry == Entries.end() || !Sent)
    return;
  View.apply(Reply.Delta);
  Guard.confirmByPeer(Peer, Reply.Nonce, Reply.ConfirmationAgeMs,
                      Reply.Anchored);
  auto &State = Entry->second;
  if (Now - *Sent > PeerReplyTimeout ||
      (State.AnsweredProbeSent && *Sent < *State.AnsweredProbeSent))
    return;
  State.AnsweredProbeSent = *Sent;
  State.IsServing = Reply.Serving;
}

void peer_monitor::onAnnouncements(const std::string &Peer,
                                   const announcements &Batch,
                                   core::time_point Now) {
  if (!isEntry(Peer))
    return;
  auto Sent = Guard.sentAt(Peer, Batch.EchoNonce);
  for (const auto &Announcement : Batch.List) {
    // Without a known nonce the age is unbounded, so only a leaving endpoint is
    // accepted.
    if (!Sent && !Announcement.Leaving)
      continue;
    auto Address = core::network_address::parse(Announcement.Address);
    if (!Address || !Address->isUnicast())
      continue;
    auto SentAt = Sent ? *Sent - std::chrono::milliseconds(Announcement.AgeMs)
                       : Now - Settings.AnnouncementLease;
    Registry.apply(Announcement, SentAt, Now);
  }
}

void peer_monitor::onPeerStopping(const std::string &Peer) {
  auto Entry = Entries.find(Peer);
  if (Entry != Entries.end())
    Entry->second.IsServing = false;
}

void peer_monitor::tick(core::time_point Now) {
  if (!LastControlProbes ||
      Now - *LastControlProbes >= Settings.ProbeInterval) {
    LastControlProbes = Now;
    sendControlProbes(Now);
  }
  if (!LastPeerProbes || Now - *LastPeerProbes >= Settings.PeerProbeInterval) {
    LastPeerProbes = Now;
    sendPeerProbes(Now);
  }
  if (!LastGossip || Now - *LastGossip >= Settings.GossipInterval)
    sendGossip(Now);
}

void peer_monitor::sendPeerProbes(core::time_point Now) {
  for (const auto &[Name, State] : Entries)
    if (State.IsUp)
      Messages.push_back(
          {Name, peer_probe{Guard.startProbe(Name, Now), View.index()}});
}

void peer_monitor::sendControlProbes(core::time_point Now) {
  bool IsLeaderKnown = !leader(Now).empty() && LastConfirmed &&
                       Now - *LastConfirmed <= ConfirmationTimeout;
  for (const auto &[Name, IsUp] : Controls)
    if (IsUp && (!IsLeaderKnown || Leader == Name))
      Messages.push_back(
          {Name, probe{Guard.startProbe(Name, Now), View.index()}});
}

void peer_monitor::sendUrgentGossip(core::time_point Now) {
  if (Registry.hasUrgentGossip())
    sendGossip(Now);
}

void peer_monitor::sendGossip(core::time_point Now) {
  LastGossip = Now;
  auto Announcements = Registry.takeGossip(Now);
  for (std::size_t First = 0; First < Announcements.size();
       First += MaxAnnouncementsPerBatch) {
    auto Last =
        std::min(First + MaxAnnouncementsPerBatch, Announcements.size());
    announcements Batch;
    Batch.List.assign(Announcements.begin() + First,
                      Announcements.begin() + Last);
    for (const auto &[Name, State] : Entries) {
      if (!State.IsUp)
        continue;
      Batch.EchoNonce = State.LastNonce;
      Messages.push_back({Name, Batch});
    }
  }
}

std::set<std::string> peer_monitor::liveEntries(core::time_point Now) const {
  std::set<std::string> Live;
  if (isServing(Now))
    Live.insert(Settings.Self);
  for (const auto &[Name, State] : Entries)
    if (State.IsUp && State.IsServing && State.AnsweredProbeSent &&
        Now - *State.AnsweredProbeSent <= PeerReplyTimeout)
      Live.insert(Name);
  // The last entry to shut down brokers its own requests until they have ended.
  if (Live.empty() && Guard.isFresh(Now))
    Live.insert(Settings.Self);
  return Live;
}

std::string peer_monitor::leader(core::time_point Now) const {
  if (!LeaderProbeSent || Now - *LeaderProbeSent > LeaderReplyTimeout)
    return {};
  return Leader;
}

std::vector<outgoing> peer_monitor::takeMessages() {
  return std::exchange(Messages, {});
}

} // namespace lycheetrestle::routing
