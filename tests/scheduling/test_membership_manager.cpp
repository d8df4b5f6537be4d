#include "scheduling/membership_manager.h"

#include "replication/membership_rules.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <initializer_list>
#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace std::chrono_literals;

namespace {

const replication::replica_id Leader{"a", 1};

core::time_point at(core::duration Time) { return core::time_point(Time); }

bool never(const replication::replica_id &) { return false; }
bool always(const replication::replica_id &) { return true; }

replication::membership voters(std::initializer_list<const char *> Names) {
  replication::membership Members;
  for (const char *Name : Names)
    Members.Members.push_back({{Name, 1}, true});
  return Members;
}

membership_manager makeManager(std::size_t WantedVoters) {
  membership_manager Manager(WantedVoters);
  Manager.reset(Leader, "", at(0s));
  return Manager;
}

/// \returns three voters and learners named l1, l2 and so on, as many members
/// as a cluster may have.
replication::membership fullMembership() {
  auto Members = voters({"a", "b", "c"});
  for (int Learner = 1; Members.Members.size() < replication::MaxMembers;
       ++Learner)
    Members.Members.push_back({{"l" + std::to_string(Learner), 1}, false});
  return Members;
}

std::size_t countVoters(const replication::membership &Members) {
  return static_cast<std::size_t>(
      std::count_if(Members.Members.begin(), Members.Members.end(),
                    [](const auto &Member) { return Member.Voter; }));
}

/// Records a message of all members except some.
void hearAllBut(membership_manager &Manager,
                const replication::membership &Members, core::time_point Now,
                const std::vector<std::string> &Silent = {}) {
  for (const auto &Member : Members.Members)
    if (std::find(Silent.begin(), Silent.end(), Member.Id.Name) == Silent.end())
      Manager.recordHeard(Member.Id, Now);
}

} // namespace

// Guards against a replica that can never join because hosts that are gone for
// good count towards the largest number of members.
TEST_CASE("a full cluster makes room by removing the learner that was silent "
          "for longest") {
  auto Manager = makeManager(3);
  auto Members = fullMembership();
  hearAllBut(Manager, Members, at(2s), {"l7"});
  hearAllBut(Manager, Members, at(8s), {"l4", "l7"});
  CHECK(!Manager.next(Members, Leader, at(8s), always));
  Manager.recordJoinRequest({"new", 5}, "", at(8s));
  auto Change = Manager.next(Members, Leader, at(8s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "remove_silent");
  CHECK(Change->Replica.Name == "l7");
  Change = Manager.next(Change->Target, Leader, at(8s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "add_learner");
  CHECK(Change->Replica.Name == "new");
  CHECK(!Manager.next(Change->Target, Leader, at(8s), always));
}

// Guards against a request that can't be granted and holds up all others.
TEST_CASE("a request to join a full cluster does not hold up the replacement "
          "of a lost member") {
  auto Manager = makeManager(3);
  auto Members = fullMembership();
  hearAllBut(Manager, Members, at(8s), {"l4"});
  Manager.recordJoinRequest({"another", 5}, "", at(8s));
  Manager.recordJoinRequest({"l4", 6}, "", at(8s));
  auto Change = Manager.next(Members, Leader, at(8s), always);
  REQUIRE(Change);
  CHECK(Change->Replica == replication::replica_id{"l4", 1});
  CHECK(replication::isValidMembership(Change->Target));
  // Without a silent learner the cluster stays as it is.
  auto Other = makeManager(3);
  hearAllBut(Other, Members, at(8s));
  Other.recordJoinRequest({"another", 5}, "", at(8s));
  CHECK(!Other.next(Members, Leader, at(8s), always));
}

// Guards against learners of removed hosts that stay members for ever.
TEST_CASE("a learner that was silent for long is removed, a voter stays") {
  auto Manager = makeManager(3);
  auto Members = voters({"a", "b", "c"});
  Members.Members.push_back({{"d", 1}, false});
  Manager.recordHeard({"d", 1}, at(1s));
  auto Last = at(1s) + membership_manager::LearnerRetention;
  CHECK(!Manager.next(Members, Leader, Last, always));
  auto Change = Manager.next(Members, Leader, Last + 1ms, always);
  REQUIRE(Change);
  CHECK(Change->Kind == "remove_silent");
  CHECK(Change->Replica.Name == "d");
  CHECK(!Manager.next(Change->Target, Leader, Last + 1ms, always));
}

// Guards against changes that are stored by fewer disks while a voter that lost
// its disk is replaced, for as long as its log is copied.
TEST_CASE("a voter that lost its disk stays until its next incarnation has "
          "taken its place") {
  auto Manager = makeManager(3);
  auto Members = voters({"a", "b", "c"});
  Manager.recordHeard({"c", 1}, at(1s));
  Manager.recordJoinRequest({"b", 7}, "", at(1s));
  auto Change = Manager.next(Members, Leader, at(1s), never);
  REQUIRE(Change);
  CHECK(Change->Kind == "add_learner");
  CHECK(replication::isValidMembership(Change->Target));
  Members = Change->Target;
  CHECK(!Manager.next(Members, Leader, at(1s), never));
  Change = Manager.next(Members, Leader, at(1s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "promote");
  CHECK(Change->Replica == replication::replica_id{"b", 7});
  Change = Manager.next(Change->Target, Leader, at(1s), never);
  REQUIRE(Change);
  CHECK(Change->Kind == "remove_lost");
  CHECK(Change->Replica == replication::replica_id{"b", 1});
  CHECK(!Manager.next(Change->Target, Leader, at(1s), always));
}

// Guards against a majority of fewer disks than are tolerated to be lost: the
// learner of one of them never catches up, the other one does.
TEST_CASE("two voters that lost their disks are replaced without ever having "
          "fewer voters than wanted") {
  auto Manager = makeManager(5);
  auto Members = voters({"a", "b", "c", "d", "e"});
  auto HasCaughtUp = [](const replication::replica_id &Id) {
    return Id.Name != "b";
  };
  std::vector<std::string> Kinds;
  for (int Second = 1; Second != 30; ++Second) {
    auto Now = at(std::chrono::seconds(Second));
    hearAllBut(Manager, Members, Now, {"b", "c"});
    for (const char *Name : {"b", "c"}) {
      Manager.recordHeard({Name, 9}, Now);
      if (!replication::findMember(Members, {Name, 9}))
        Manager.recordJoinRequest({Name, 9}, "", Now);
    }
    while (auto Change = Manager.next(Members, Leader, Now, HasCaughtUp)) {
      Members = Change->Target;
      Kinds.emplace_back(Change->Kind);
      INFO("second " << Second << ", " << Change->Kind);
      REQUIRE(Kinds.size() < 9);
      CHECK(countVoters(Members) >= 5);
      CHECK(replication::isValidMembership(Members));
    }
  }
  // Nothing waits for the learner that does not catch up.
  CHECK(replication::isVoter(Members, {"c", 9}));
  CHECK(!replication::findMember(Members, {"c", 1}));
  CHECK(replication::isVoter(Members, {"b", 1}));
  CHECK(replication::findMember(Members, {"b", 9}));
  CHECK(Kinds == std::vector<std::string>{"add_learner", "add_learner",
                                          "promote", "remove_lost"});
}

// Guards against a deployment with fewer disks than wanted voters that keeps a
// lost voter beside its replacement: three of four voters would be needed.
TEST_CASE("a lost voter is removed after its replacement is a voter, also with "
          "fewer voters than wanted") {
  auto Manager = makeManager(5);
  auto Members = voters({"a", "b", "c"});
  Members.Members.push_back({{"b", 9}, true});
  Manager.recordHeard({"c", 1}, at(2s));
  Manager.recordHeard({"b", 9}, at(2s));
  auto Change = Manager.next(Members, Leader, at(2s), always);
  REQUIRE(Change);
  CHECK(Change->Kind == "remove_lost");
  CHECK(Change->Replica == replication::replica_id{"b", 1});
  // The leader may itself be the replacement.
  auto Other = membership_manager(5);
  Other.reset({"b", 9}, "", at(0s));
  Other.recordHeard({"c", 1}, at(2s));
  Change = Other.next(Members, {"b", 9}, at(2s), always);
  REQUIRE(Change);
  CHECK(Change->Replica == replication::replica_id{"b", 1});
}

// Guards against more than two members of one name, which is not a valid
// membership.
TEST_CASE("a replica that loses its disk twice has at most two members") {
  auto Manager = makeManager(3);
  auto Members = voters({"a", "b", "c"});
  Manager.recordHeard({"c", 1}, at(5s));
  Manager.recordHeard({"b", 9}, at(2s));
  Manager.recordJoinRequest({"b", 10}, "", at(5s));
  SECTION("the replacement is a learner") {
    Members.Members.push_back({{"b", 9}, false});
  }
  SECTION("the replacement is a voter") {
    Members.Members.push_back({{"b", 9}, true});
  }
  auto Lost = Members.Members.back().Voter ? replication::replica_id{"b", 1}
                                           : replication::replica_id{"b", 9};
  auto Change = Manager.next(Members, Leader, at(5s), never);
  REQUIRE(Change);
  CHECK(Change->Replica == Lost);
  Change = Manager.next(Change->Target, Leader, at(5s), never);
  REQUIRE(Change);
  CHECK(Change->Kind == "add_learner");
  CHECK(replication::isValidMembership(Change->Target));
}

// Guards against a leader that removes itself for a late request of an earlier
// incarnation.
TEST_CASE("a request of another incarnation of the leader changes nothing") {
  auto Manager = makeManager(3);
  auto Members = voters({"a", "b", "c"});
  Manager.recordJoinRequest({"a", 9}, "", at(2s));
  CHECK(!Manager.next(Members, Leader, at(2s), always));
}
