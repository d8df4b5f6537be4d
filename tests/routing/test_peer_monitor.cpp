#include "routing/peer_monitor.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;

namespace {

using names = std::vector<std::string>;

struct peer_monitor_fixture {
  core::time_point Now{100s};
  router_settings Settings = settings();
  fleet_view View;
  freshness_guard Guard{"e1", Settings.Entries, 3s, Now};
  endpoint_registry Registry{{}};
  peer_monitor Monitor{Settings, View, Guard, Registry};

  static router_settings settings() {
    router_settings Settings;
    Settings.Self = "e1";
    Settings.Entries = {"e1", "e2", "e3"};
    Settings.Controls = {"c1", "c2"};
    return Settings;
  }
  peer_monitor_fixture() {
    for (const char *Peer : {"e2", "e3", "c1", "c2"})
      Monitor.onPeerChange(Peer, true, Now);
    Monitor.takeMessages();
  }

  template <typename Type> names receivers() {
    names Peers;
    for (const auto &Message : Monitor.takeMessages())
      if (std::holds_alternative<Type>(Message.Message))
        Peers.push_back(Message.Peer);
    return Peers;
  }
  void confirm(const std::string &Peer) {
    probe_reply Reply;
    Reply.Nonce = Guard.startProbe(Peer, Now);
    Reply.Confirmed = true;
    Monitor.onProbeReply(Peer, Reply, Now);
  }
  void answer(const std::string &Peer, bool Serving) {
    peer_reply Reply;
    Reply.Nonce = Guard.startProbe(Peer, Now);
    Reply.Serving = Serving;
    Monitor.onPeerReply(Peer, Reply, Now);
  }
  void gossip(std::uint64_t Nonce, bool Leaving, std::uint32_t AgeMs = 0) {
    announcement Announcement;
    Announcement.Address = "10.0.0.1:80";
    Announcement.Endpoint = "ep1";
    Announcement.Sequence = ++Sequence;
    Announcement.Service = "plots";
    Announcement.Leaving = Leaving;
    Announcement.AgeMs = AgeMs;
    Monitor.onAnnouncements("e2", {Nonce, {Announcement}}, Now);
  }
  std::uint64_t Sequence = 0;
};

} // namespace

TEST_CASE_METHOD(peer_monitor_fixture,
                 "only the leader is probed while it answers") {
  confirm("c1");
  CHECK(Monitor.leader(Now) == "c1");
  Monitor.tick(Now);
  CHECK(receivers<probe>() == names{"c1"});
  Now += 1s;
  Monitor.tick(Now);
  CHECK(receivers<probe>() == names{"c1", "c2"});
  Now += 1100ms;
  CHECK(Monitor.leader(Now).empty());
  // A follower may still name the dead leader; the others must be probed.
  probe_reply Hint;
  Hint.Nonce = Guard.startProbe("c2", Now);
  Hint.Leader = "c1";
  Monitor.onProbeReply("c2", Hint, Now);
  CHECK(Monitor.leader(Now) == "c1");
  Monitor.tick(Now);
  CHECK(receivers<probe>() == names{"c1", "c2"});
  confirm("c2");
  CHECK(Monitor.leader(Now) == "c2");
  Monitor.onPeerChange("c2", false, Now);
  CHECK(Monitor.leader(Now).empty());
}

// A frozen peer keeps its link, but must not remain the owner of a service.
TEST_CASE_METHOD(peer_monitor_fixture,
                 "an entry is live only while it serves and answers probes") {
  confirm("c1");
  CHECK(Monitor.liveEntries(Now) == std::set<std::string>{"e1"});
  answer("e2", true);
  answer("e3", false);
  CHECK(Monitor.liveEntries(Now) == std::set<std::string>{"e1", "e2"});
  Monitor.beginShutdown();
  CHECK(Monitor.liveEntries(Now) == std::set<std::string>{"e2"});
  Monitor.onPeerStopping("e2");
  CHECK(Monitor.liveEntries(Now) == std::set<std::string>{"e1"});
  answer("e2", true);
  Now += 1501ms;
  CHECK(Monitor.liveEntries(Now) == std::set<std::string>{"e1"});
  answer("e2", true);
  Monitor.onPeerChange("e2", false, Now);
  CHECK(Monitor.liveEntries(Now) == std::set<std::string>{"e1"});
}

// Delayed gossip must not extend the lease of an endpoint that stopped sending
// announcements.
TEST_CASE_METHOD(peer_monitor_fixture,
                 "the age of gossip is bounded by a probe") {
  auto Nonce = Guard.startProbe("e2", Now);
  Now += 1s;
  gossip(Nonce, false, 500);
  CHECK(Registry.findUsable("ep1", Now + 1500ms));
  CHECK_FALSE(Registry.findUsable("ep1", Now + 1501ms));
  Now += 1s;
  gossip(Nonce + 1000, false);
  CHECK_FALSE(Registry.findUsable("ep1", Now + 501ms));
  gossip(0, true);
  CHECK_FALSE(Registry.findUsable("ep1", Now));
}

TEST_CASE_METHOD(peer_monitor_fixture,
                 "gossip is sent to all peers in small batches") {
  announcement Announcement;
  Announcement.Service = std::string(64, 's');
  Announcement.Pool = Announcement.Host = Announcement.Zone =
      Announcement.Service;
  Announcement.Address = std::string(256, 'a');
  for (int Index = 0; Index < 100; ++Index) {
    Announcement.Endpoint = std::string(60, 'e') + std::to_string(Index);
    Announcement.Incarnation = Announcement.Sequence = UINT64_MAX;
    Registry.apply(Announcement, Now, Now);
    Registry.addGossip(Announcement);
  }
  Monitor.onPeerProbe("e3", {77, 0}, Now);
  Monitor.tick(Now);
  std::size_t Sent = 0;
  for (const auto &Message : Monitor.takeMessages()) {
    auto *Batch = std::get_if<announcements>(&Message.Message);
    if (!Batch)
      continue;
    CHECK(encode(*Batch).size() <= 64u << 10);
    CHECK(Batch->EchoNonce == (Message.Peer == "e3" ? 77 : 0));
    Sent += Batch->List.size();
  }
  CHECK(Sent == 200);
}
