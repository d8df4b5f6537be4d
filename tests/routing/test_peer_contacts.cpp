#include "routing/peer_contacts.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;
using namespace std::chrono_literals;

namespace {

using names = std::vector<std::string>;

struct contacts_fixture {
  core::time_point Now{100s};
  router_settings Settings = settings();
  fleet_view View;
  freshness_guard Guard{"e1", Settings.Entries, 3s, Now};
  endpoint_registry Registry{{}};
  peer_contacts Contacts{Settings, View, Guard, Registry};

  static router_settings settings() {
    router_settings Settings;
    Settings.Self = "e1";
    Settings.Entries = {"e1", "e2", "e3"};
    Settings.Controls = {"c1", "c2"};
    return Settings;
  }
  contacts_fixture() {
    for (const char *Peer : {"e2", "e3", "c1", "c2"})
      Contacts.onPeerChange(Peer, true, Now);
    Contacts.takeMessages();
  }

  template <typename Type> names receivers() {
    names Peers;
    for (const auto &Message : Contacts.takeMessages())
      if (std::holds_alternative<Type>(Message.Message))
        Peers.push_back(Message.Peer);
    return Peers;
  }
  void confirm(const std::string &Peer) {
    probe_reply Reply;
    Reply.Nonce = Guard.startProbe(Peer, Now);
    Reply.Confirmed = true;
    Contacts.onProbeReply(Peer, Reply, Now);
  }
  void answer(const std::string &Peer, bool Serving) {
    peer_reply Reply;
    Reply.Nonce = Guard.startProbe(Peer, Now);
    Reply.Serving = Serving;
    Contacts.onPeerReply(Peer, Reply, Now);
  }
  void gossip(std::uint64_t Nonce, bool Leaving, std::uint32_t AgeMs = 0) {
    announcement News;
    News.Endpoint = "ep1";
    News.Sequence = ++Sequence;
    News.Service = "plots";
    News.Leaving = Leaving;
    News.AgeMs = AgeMs;
    Contacts.onAnnouncements("e2", {Nonce, {News}}, Now);
  }
  std::uint64_t Sequence = 0;
};

} // namespace

TEST_CASE_METHOD(contacts_fixture,
                 "only the leader is probed while it answers") {
  confirm("c1");
  CHECK(Contacts.leader(Now) == "c1");
  Contacts.tick(Now);
  CHECK(receivers<probe>() == names{"c1"});
  Now += 1s;
  Contacts.tick(Now);
  CHECK(receivers<probe>() == names{"c1", "c2"});
  Now += 1100ms;
  CHECK(Contacts.leader(Now).empty());
  // A follower may still name the dead leader; the others must be probed.
  probe_reply Hint;
  Hint.Nonce = Guard.startProbe("c2", Now);
  Hint.Leader = "c1";
  Contacts.onProbeReply("c2", Hint, Now);
  CHECK(Contacts.leader(Now) == "c1");
  Contacts.tick(Now);
  CHECK(receivers<probe>() == names{"c1", "c2"});
  confirm("c2");
  CHECK(Contacts.leader(Now) == "c2");
  Contacts.onPeerChange("c2", false, Now);
  CHECK(Contacts.leader(Now).empty());
}

// A frozen peer keeps its link, but must not own a service for long.
TEST_CASE_METHOD(contacts_fixture, "live entries serve and answer probes") {
  confirm("c1");
  CHECK(Contacts.liveEntries(Now) == std::set<std::string>{"e1"});
  answer("e2", true);
  answer("e3", false);
  CHECK(Contacts.liveEntries(Now) == std::set<std::string>{"e1", "e2"});
  Contacts.beginShutdown();
  CHECK(Contacts.liveEntries(Now) == std::set<std::string>{"e2"});
  Contacts.onPeerStops("e2");
  CHECK(Contacts.liveEntries(Now) == std::set<std::string>{"e1"});
  answer("e2", true);
  Now += 1501ms;
  CHECK(Contacts.liveEntries(Now) == std::set<std::string>{"e1"});
  answer("e2", true);
  Contacts.onPeerChange("e2", false, Now);
  CHECK(Contacts.liveEntries(Now) == std::set<std::string>{"e1"});
}

// Gossip that was held up must not lengthen the lease of a silent endpoint.
TEST_CASE_METHOD(contacts_fixture, "the age of gossip is bounded by a probe") {
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

TEST_CASE_METHOD(contacts_fixture,
                 "gossip goes to all peers in small batches") {
  announcement News;
  News.Service = std::string(64, 's');
  News.Pool = News.Host = News.Zone = News.Service;
  News.Address = std::string(256, 'a');
  for (int Index = 0; Index < 100; ++Index) {
    News.Endpoint = std::string(60, 'e') + std::to_string(Index);
    News.Incarnation = News.Sequence = UINT64_MAX;
    Registry.apply(News, Now, Now);
    Registry.addGossip(News);
  }
  Contacts.onPeerProbe("e3", {77, 0}, Now);
  Contacts.tick(Now);
  std::size_t Sent = 0;
  for (const auto &Message : Contacts.takeMessages()) {
    auto *Batch = std::get_if<announcements>(&Message.Message);
    if (!Batch)
      continue;
    CHECK(encode(*Batch).size() <= 64u << 10);
    CHECK(Batch->EchoNonce == (Message.Peer == "e3" ? 77 : 0));
    Sent += Batch->List.size();
  }
  CHECK(Sent == 200);
}
