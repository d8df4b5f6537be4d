#include "fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::fleet;

namespace {

fleet_fixture startedWave() {
  fleet_fixture Fleet;
  REQUIRE(Fleet.declare(smallDeclaration(1)) == "accepted");
  REQUIRE(Fleet.code(start_wave{}) == "accepted");
  return Fleet;
}

std::string cordon(fleet_fixture &Fleet, const std::string &Host,
                   std::uint64_t Wave = 1) {
  return Fleet.step(Host, host_state::Cordoned, host_goal::Reboot, "", Wave);
}

void maintain(fleet_fixture &Fleet, const std::string &Host) {
  REQUIRE(cordon(Fleet, Host) == "accepted");
  for (auto To :
       {host_state::Draining, host_state::Drained, host_state::Rebooting,
        host_state::Returning, host_state::InService})
    REQUIRE(Fleet.step(Host, To) == "accepted");
}

const wave_record &wave(const fleet_fixture &Fleet) {
  return Fleet.State.waves().rbegin()->second;
}

} // namespace

TEST_CASE("one wave runs at a time and counts its hosts") {
  auto Fleet = startedWave();
  CHECK(wave(Fleet).Total == 12);
  CHECK(Fleet.code(start_wave{}) == "conflict");
  maintain(Fleet, "w1");
  CHECK(wave(Fleet).Done == 1);
  CHECK(Fleet.host("w1").LastWave == 1);
  CHECK(cordon(Fleet, "w1") == "conflict");
}

TEST_CASE("a wave finishes only when every host is done or lost") {
  auto Fleet = startedWave();
  for (const auto &Host : smallDeclaration(1).Hosts)
    if (Host.Name != "r4")
      maintain(Fleet, Host.Name);
  CHECK(Fleet.code(finish_wave{1}) == "conflict");
  Fleet.step("r4", host_state::Failed);
  CHECK(Fleet.code(finish_wave{1}) == "accepted");
  CHECK(wave(Fleet).State == wave_state::Finished);
  CHECK(Fleet.code(start_wave{}) == "accepted");
}

// Correlated failures must pause a wave before it causes more losses.
TEST_CASE("losses in a wave pause it at the declared limit") {
  auto Fleet = startedWave();
  cordon(Fleet, "w1");
  cordon(Fleet, "w2");
  Fleet.step("w5", host_state::Failed);
  CHECK(wave(Fleet).Failures == 0);
  Fleet.step("w1", host_state::Failed);
  CHECK(wave(Fleet).State == wave_state::Running);
  Fleet.step("w2", host_state::SetAside);
  CHECK(wave(Fleet).State == wave_state::Paused);
  CHECK(wave(Fleet).Failures == 2);
  CHECK(cordon(Fleet, "r1") == "conflict");
  CHECK(Fleet.code(resume_wave{1}) == "accepted");
  CHECK(wave(Fleet).Failures == 0);
  CHECK(cordon(Fleet, "r1") == "accepted");
}

TEST_CASE("a host that was lost in a wave is maintained again") {
  auto Fleet = startedWave();
  cordon(Fleet, "w1");
  Fleet.step("w1", host_state::Failed);
  Fleet.step("w1", host_state::Returning);
  Fleet.step("w1", host_state::InService);
  CHECK(Fleet.host("w1").LastWave == 0);
  maintain(Fleet, "w1");
  CHECK(wave(Fleet).Done == 1);
}

TEST_CASE("a wave is paused and resumed by command") {
  auto Fleet = startedWave();
  CHECK(Fleet.code(resume_wave{1}) == "conflict");
  CHECK(Fleet.code(pause_wave{1, "surge"}) == "accepted");
  CHECK(wave(Fleet).PauseReason == "surge");
  CHECK(cordon(Fleet, "w1") == "conflict");
  CHECK(Fleet.code(pause_wave{1, ""}) == "conflict");
  CHECK(Fleet.code(finish_wave{1}) == "conflict");
  CHECK(Fleet.code(resume_wave{1}) == "accepted");
  CHECK(Fleet.code(pause_wave{2, ""}) == "not-found");
}

TEST_CASE("hosts that are declared during a wave do not join it") {
  auto Fleet = startedWave();
  auto Next = smallDeclaration(2);
  Next.Hosts.push_back({"w9", "gate", "zone9", "rack9", {8, 1024, 0}});
  Fleet.declare(Next);
  CHECK(wave(Fleet).Total == 12);
  CHECK(cordon(Fleet, "w9") == "conflict");
}

// A removed host must not keep the wave from ever reaching its total.
TEST_CASE("a host that is removed during a wave is subtracted from its total") {
  auto Fleet = startedWave();
  maintain(Fleet, "w7");
  for (const auto *Host : {"w7", "w8"})
    Fleet.step(Host, host_state::Failed);
  auto Next = smallDeclaration(2);
  Next.Hosts.erase(Next.Hosts.begin() + 6, Next.Hosts.begin() + 8);
  REQUIRE(Fleet.declare(Next) == "accepted");
  CHECK(wave(Fleet).Total == 11);
  CHECK(wave(Fleet).Done == 1);
}

TEST_CASE("an operator's request for another goal takes a host off its wave") {
  auto Fleet = startedWave();
  cordon(Fleet, "w1");
  CHECK(Fleet.code(request_host_goal{"w1", host_goal::Drain, ""}) ==
        "accepted");
  CHECK(Fleet.host("w1").Wave == 0);
  Fleet.step("w1", host_state::Failed);
  CHECK(wave(Fleet).Failures == 0);
}
