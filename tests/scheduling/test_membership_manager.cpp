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
