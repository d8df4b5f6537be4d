#include "replication/messages.h"
#include "scheduling/founding_acceptor.h"
#include "scheduling/founding_proposer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace std::chrono_literals;

namespace {

core::time_point at(core::duration Time) { return core::time_point(Time); }

founding_message request(founding_step Step, std::uint64_t Round,
                         std::string Voters = "") {
  founding_message Message;
  Message.Step = Step;
  Message.Ballot = {Round, "a", 1};
  Message.Voters = std::move(Voters);
  return Message;
}

/// Proposers that all propose at once through seeds that are lost for good at
/// random, with messages that are lost, duplicated and reordered.
class founding_race {
public:
  explicit founding_race(std::uint64_t Seed) : Random(Seed) {
    for (const char *Name : {"s1", "s2", "s3"})
      Acceptors.emplace(Name, std::vector<std::string>{"s1", "s2", "s3"});
    for (std::uint64_t Index = 0; Index != 4; ++Index)
      startProposer(Index);
  }

  void run() {
    for (int Step = 0; Step != 2500; ++Step) {
      Now += 10ms;
      if (Step % 50 == 0)
        describe();
      if (Step < 1000 && Random() % 300 == 0 && Acceptors.size() > 2)
        Acceptors.erase(std::next(Acceptors.begin(),
                                  static_cast<std::ptrdiff_t>(Random() % 3)));
      if (Step < 1000 && Random() % 200 == 0)
        startProposer(Random() % 4); // Restarted: forgets its ballots.
      IsLossy = Step < 1000;
      for (auto &[Name, Proposer] : Proposers) {
        Proposer->tick(Now);
        for (auto &Message : Proposer->takeMessages())
          InFlight.push_back({Name, Message.Peer, Message.Message});
      }
      deliver();
      check();
    }
  }

  std::string Chosen; ///< Of the first proposer that knew it.
  std::size_t Informed = 0;

private:
  struct message {
    std::string From;
    std::string To;
    founding_message Content;
  };

  void startProposer(std::uint64_t Index) {
    founding_candidate Self;
    Self.Id = {"d" + std::to_string(Index), 2 + Index};
    Proposers[Self.Id.Name] =
        std::make_unique<founding_proposer>(Self, 3, Random(), Now);
  }

  void describe() {
    for (auto &[Name, Acceptor] : Acceptors)
      for (auto &[Candidate, Proposer] : Proposers) {
        if (Random() % 2 == 0)
          continue;
        // Each candidate believes that it is the only one and due.
        auto Message = Acceptor.describe(Now);
        Proposer->receive(Name, Message, Now);
      }
  }

  void deliver() {
    std::vector<message> Later;
    for (auto &Message : std::exchange(InFlight, {})) {
      if (IsLossy && Random() % 4 == 0)
        continue;
      if (Random() % 3 == 0 || (IsLossy && Random() % 10 == 0))
        Later.push_back(Message);
      auto Acceptor = Acceptors.find(Message.To);
      if (Acceptor != Acceptors.end()) {
        if (auto Answer = Acceptor->second.receive(Message.Content))
          InFlight.push_back({Message.To, Message.From, *Answer});
        continue;
      }
      auto Proposer = Proposers.find(Message.To);
      if (Proposer != Proposers.end())
        Proposer->second->receive(Message.From, Message.Content, Now);
    }
    InFlight.insert(InFlight.end(), Later.begin(), Later.end());
    std::shuffle(InFlight.begin(), InFlight.end(), Random);
  }

  void check() {
    Informed = 0;
    for (auto &[Name, Proposer] : Proposers) {
      if (!Proposer->decided())
        continue;
      ++Informed;
      auto Voters = replication::encodeMembership(*Proposer->decided());
      if (Chosen.empty())
        Chosen = Voters;
      REQUIRE(Voters == Chosen);
    }
  }

  std::mt19937_64 Random;
  core::time_point Now{1s};
  std::map<std::string, founding_acceptor> Acceptors;
  std::map<std::string, std::unique_ptr<founding_proposer>> Proposers;
  std::vector<message> InFlight;
  bool IsLossy = true;
};

} // namespace

TEST_CASE("encoding and decoding a founding message keeps all its fields") {
  founding_message Message;
  Message.Step = founding_step::Promise;
  Message.Ballot = {3, "10.0.0.1", 0xffffffffffffffffu};
  Message.AcceptedBallot = {2, "10.0.0.2", 7};
  Message.Voters = std::string("\0\xff", 2);
  Message.Candidates = {{{"10.0.0.1", 5}, "z1"}, {{"10.0.0.2", 6}, ""}};
  Message.Seeds = {"10.0.0.1", "10.0.0.3"};
  auto Bytes = encodeFounding(Message);
  CHECK(decodeFounding(Bytes) == Message);
  for (std::size_t Length = 0; Length != Bytes.size(); ++Length)
    CHECK(!decodeFounding(Bytes.substr(0, Length)));
  CHECK(!decodeFounding(Bytes + "x"));
  CHECK(!decodeFounding(std::string(100'000, '\x81')));
}

// Guards against two chosen memberships: an acceptor that forgets a promise
// accepts a second one.
TEST_CASE("an acceptor keeps its promises and reports what it has accepted") {
  founding_acceptor Acceptor({"s1"});
  CHECK(Acceptor.receive(request(founding_step::Prepare, 2))->Step ==
        founding_step::Promise);
  CHECK(Acceptor.receive(request(founding_step::Prepare, 1))->Step ==
        founding_step::Refused);
  CHECK(Acceptor.receive(request(founding_step::Accept, 1, "x"))->Step ==
        founding_step::Refused);
  CHECK(Acceptor.receive(request(founding_step::Accept, 2, "y"))->Step ==
        founding_step::Accepted);
  auto Promise = Acceptor.receive(request(founding_step::Prepare, 3));
  REQUIRE(Promise);
  CHECK(Promise->Voters == "y");
  CHECK(Promise->AcceptedBallot.Round == 2);
  CHECK(Acceptor.receive(request(founding_step::Accept, 2, "y"))->Step ==
        founding_step::Refused);
}

TEST_CASE("an acceptor lists the candidates that asked lately, and the chosen "
          "voters once they are known") {
  founding_acceptor Acceptor({"s1"});
  Acceptor.recordCandidate({{"d1", 2}, "z1"}, at(0s));
  Acceptor.recordCandidate({{"d2", 3}, "z2"}, at(1500ms));
  CHECK(Acceptor.describe(at(1500ms)).Candidates.size() == 2);
  CHECK(Acceptor.describe(at(3s)).Candidates.size() == 1);
  CHECK(Acceptor.describe(at(3s)).Seeds == std::vector<std::string>{"s1"});
  Acceptor.receive(request(founding_step::Decided, 0, "x"));
  CHECK(Acceptor.describe(at(3s)).Step == founding_step::Decided);
  CHECK(Acceptor.receive(request(founding_step::Prepare, 9))->Voters == "x");
}

// Guards against voters of one availability zone although others have
// candidates.
TEST_CASE("the initial voters are spread over the availability zones") {
  founding_proposer Proposer({{"d1", 2}, "z1"}, 3, 1, at(0s));
  founding_acceptor Acceptor({"s1"});
  for (auto Time = 0ms; Time < 3s && !Proposer.decided(); Time += 100ms) {
    Acceptor.recordCandidate({{"d1", 2}, "z1"}, at(Time));
    Acceptor.recordCandidate({{"d2", 2}, "z1"}, at(Time));
    Acceptor.recordCandidate({{"d3", 2}, "z2"}, at(Time));
    Acceptor.recordCandidate({{"d4", 2}, "z3"}, at(Time));
    Proposer.receive("s1", Acceptor.describe(at(Time)), at(Time));
    Proposer.tick(at(Time));
    for (auto Messages = Proposer.takeMessages(); !Messages.empty();
         Messages = Proposer.takeMessages())
      for (auto &Message : Messages)
        if (Message.Peer == "s1")
          if (auto Answer = Acceptor.receive(Message.Message))
            Proposer.receive("s1", *Answer, at(Time));
  }
  REQUIRE(Proposer.decided());
  std::vector<std::string> Names;
  for (const auto &Member : Proposer.decided()->Members)
    Names.push_back(Member.Id.Name);
  CHECK(Names == std::vector<std::string>{"d1", "d3", "d4"});
}

TEST_CASE("a cluster is founded with fewer candidates than wanted only after "
          "a quiet time") {
  founding_proposer Proposer({{"d1", 2}, ""}, 3, 1, at(0s));
  founding_acceptor Acceptor({"s1"});
  core::duration StartedAt{};
  for (auto Time = 0ms; Time < 10s && StartedAt == 0s; Time += 100ms) {
    Acceptor.recordCandidate({{"d1", 2}, ""}, at(Time));
    if (Time >= 2s)
      Acceptor.recordCandidate({{"d2", 2}, ""}, at(Time));
    Proposer.receive("s1", Acceptor.describe(at(Time)), at(Time));
    Proposer.tick(at(Time));
    if (!Proposer.takeMessages().empty())
      StartedAt = Time;
  }
  CHECK(StartedAt >= 2s + founding_proposer::QuietTime);
  CHECK(StartedAt <= 2s + founding_proposer::QuietTime + 200ms);
}

// Guards against two clusters: proposers that start at once, and messages that
// are late or lost, may choose two memberships.
TEST_CASE("all proposers agree on the initial voters") {
  for (std::uint64_t Seed = 1; Seed != 301; ++Seed) {
    INFO("seed " << Seed);
    founding_race Race(Seed);
    Race.run();
    CHECK(Race.Informed >= 1);
  }
}
