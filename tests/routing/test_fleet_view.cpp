#include "core/invariant.h"
#include "routing/fleet_view.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace lycheetrestle;
using namespace lycheetrestle::routing;

namespace {

host_view host(std::string Name, std::uint64_t Changed,
               fleet::host_state State = fleet::host_state::InService,
               std::string Pool = "gate") {
  return {std::move(Name), std::move(Pool), "kv-1", State, 1, Changed};
}

view_delta full(std::uint64_t Index, std::vector<host_view> Hosts) {
  view_delta Delta;
  Delta.ViewIndex = Index;
  Delta.DeclarationNumber = 1;
  Delta.IsFull = true;
  Delta.Hosts = std::move(Hosts);
  Delta.Services = {{{"plots", "gate", fleet::work_class::Urgent, 2000}}};
  return Delta;
}

view_delta change(std::uint64_t Index, std::vector<host_view> Hosts) {
  auto Delta = full(Index, std::move(Hosts));
  Delta.IsFull = false;
  Delta.Services.reset();
  return Delta;
}

} // namespace

TEST_CASE("an older delta is ignored") {
  fleet_view View;
  CHECK(View.apply(full(5, {host("w01", 5, fleet::host_state::Cordoned)})));
  CHECK_FALSE(View.apply(full(4, {host("w01", 4)})));
  CHECK_FALSE(View.apply(change(5, {host("w01", 3)})));
  CHECK(View.index() == 5);
  CHECK(View.findHost("w01")->State == fleet::host_state::Cordoned);
  // A newer delta of a slower peer can contain an older state of a host.
  CHECK(View.apply(change(6, {host("w01", 4), host("w02", 6)})));
  CHECK(View.findHost("w01")->State == fleet::host_state::Cordoned);
}

TEST_CASE("a decreasing declaration number violates an invariant") {
  auto Before = core::setInvariantHandler([](std::string_view Invariant) {
    throw std::logic_error(std::string(Invariant));
  });
  fleet_view View;
  View.apply(full(5, {}));
  auto Delta = change(6, {});
  Delta.DeclarationNumber = 0;
  CHECK_THROWS_AS(View.apply(Delta), std::logic_error);
  core::setInvariantHandler(Before);
}

// Hosts removed from the fleet must also disappear at entries that get the
// changes from a peer.
TEST_CASE("deltas for peers hold the changes, or all hosts after a removal") {
  fleet_view View;
  View.apply(full(5, {host("w01", 2), host("w02", 5)}));
  View.apply(change(7, {host("w01", 7)}));
  auto Changed = View.deltaSince(5);
  CHECK_FALSE(Changed.IsFull);
  CHECK_FALSE(Changed.Services);
  REQUIRE(Changed.Hosts.size() == 1);
  CHECK(Changed.Hosts[0].Name == "w01");
  CHECK(View.deltaSince(7).Hosts.empty());
  CHECK(View.deltaSince(0).IsFull);

  View.apply(full(9, {host("w01", 7)}));
  CHECK(View.findHost("w02") == nullptr);
  fleet_view Peer;
  Peer.apply(full(7, {host("w01", 7), host("w02", 5)}));
  Peer.apply(View.deltaSince(Peer.index()));
  CHECK(Peer.findHost("w02") == nullptr);
  CHECK(Peer.index() == 9);
}

TEST_CASE("changed services reach a peer") {
  fleet_view View;
  View.apply(full(5, {}));
  auto Delta = full(6, {});
  Delta.Services->at(0).DeadlineMs = 1;
  View.apply(Delta);
  REQUIRE(View.deltaSince(5).Services);
  CHECK(View.deltaSince(5).Services->at(0).DeadlineMs == 1);
}

TEST_CASE("work goes only to hosts in service in the pool of the service") {
  fleet_view View;
  View.apply(
      full(5, {host("w01", 1), host("w02", 1, fleet::host_state::Cordoned),
               host("w03", 1, fleet::host_state::InService, "records")}));
  CHECK(View.allowsWork("plots", "w01"));
  CHECK_FALSE(View.allowsWork("plots", "w02"));
  CHECK_FALSE(View.allowsWork("plots", "w03"));
  CHECK_FALSE(View.allowsWork("plots", "w04"));
  CHECK_FALSE(View.allowsWork("water", "w01"));
}
