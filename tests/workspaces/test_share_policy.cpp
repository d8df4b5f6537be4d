#include "workspaces/share_policy.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::workspaces;
using std::chrono::milliseconds;

namespace {

struct demand {
  std::string Workspace;
  resource_usage Use;
  std::uint32_t Weight = 1;
  bool IsAsking = true;
};

/// Plays rounds at the interval of the leader.
class share_play {
public:
  void play(int Ms, const std::vector<demand> &Demands) {
    for (int Elapsed = 0; Elapsed < Ms; Elapsed += RoundMs) {
      NowMs += RoundMs;
      Policy.beginRound(core::time_point(milliseconds(NowMs)));
      for (const auto &Demand : Demands) {
        if (!Demand.Use.isZero())
          Policy.recordUse(Demand.Workspace, Demand.Use);
        if (Demand.IsAsking)
          Policy.recordAsking(Demand.Workspace, Demand.Weight);
      }
      Policy.finishRound();
    }
  }
  bool isAbove(const std::string &Workspace) const {
    return Policy.levelOf(Workspace) == share_level::Above;
  }
  double shareOf(const std::string &Workspace) const {
    return Policy.dominantShareOf(Workspace);
  }

private:
  static constexpr int RoundMs = 15;
  share_policy Policy;
  int NowMs = 1000;
};

constexpr resource_usage cores(std::uint64_t Cores) {
  return {Cores * 1000, 0, 0};
}

} // namespace

// Guards against one workspace that takes a full pool from the others.
TEST_CASE("a workspace that uses more than its tolerance is above its share") {
  share_play Play;
  Play.play(10'000, {{"large", cores(70)}, {"b", cores(10)}, {"c", cores(20)}});
  CHECK(Play.isAbove("large"));
  CHECK_FALSE(Play.isAbove("b"));
  CHECK_FALSE(Play.isAbove("c"));
}

// Guards against a split into equal parts where the weights differ.
TEST_CASE("a share follows the weight") {
  share_play Play;
  Play.play(
      10'000,
      {{"large", cores(70), 6}, {"b", cores(10), 1}, {"c", cores(20), 1}});
  CHECK_FALSE(Play.isAbove("large"));
}

// Guards against cores that stay idle because their owner asks for none.
TEST_CASE("what others leave unused is lent") {
  share_play Play;
  Play.play(10'000, {{"large", cores(95), 1},
                     {"b", cores(5), 9, false},
                     {"c", {}, 9, false}});
  CHECK_FALSE(Play.isAbove("large"));
}

// Guards against a level that changes with each job: a workspace is judged by
// its use over the window.
TEST_CASE("a short burst does not change the level, a lasting one does") {
  share_play Play;
  const std::vector<demand> Even{
      {"a", cores(25)}, {"b", cores(25)}, {"c", cores(25)}, {"d", cores(25)}};
  const std::vector<demand> Burst{
      {"a", cores(100)}, {"b", {}}, {"c", {}}, {"d", {}}};
  Play.play(20'000, Even);
  Play.play(500, Burst);
  CHECK_FALSE(Play.isAbove("a"));
  Play.play(5000, Burst);
  CHECK(Play.isAbove("a"));
  Play.play(20'000, Even);
  CHECK_FALSE(Play.isAbove("a"));
}

// Guards against a workspace that hides its use behind a resource of which it
// needs little.
TEST_CASE("the resource of which a workspace uses most decides") {
  share_play Play;
  Play.play(10'000, {{"a", {1000, 90'000, 0}},
                     {"b", {50'000, 5000, 0}},
                     {"c", {49'000, 5000, 0}}});
  CHECK(Play.isAbove("a"));
  CHECK(Play.shareOf("a") == Approx(0.9).margin(0.01));
}

// Guards against an average that is dropped in each round because it is still
// small, so that small tasks and accelerators never count.
TEST_CASE("small uses count") {
  share_play Play;
  Play.play(10'000, {{"a", {90, 1, 0}}, {"b", {5, 0, 0}}, {"c", {5, 0, 0}}});
  CHECK(Play.isAbove("a"));
  share_play Accelerators;
  Accelerators.play(10'000,
                    {{"a", {0, 0, 9}}, {"b", {0, 0, 1}}, {"c", {0, 0, 1}}});
  CHECK(Accelerators.isAbove("a"));
}

// Guards against an earlier use that outlives the window.
TEST_CASE("a use that has ended is forgotten") {
  share_play Play;
  Play.play(10'000, {{"a", cores(100)}, {"b", {}}, {"c", {}}});
  CHECK(Play.isAbove("a"));
  Play.play(30'000, {{"b", cores(50)}, {"c", cores(50)}});
  Play.play(15, {{"a", {}}, {"b", cores(50)}, {"c", cores(50)}});
  CHECK_FALSE(Play.isAbove("a"));
}

// Guards against a division by zero.
TEST_CASE("without use or weights no share is computed") {
  share_play Play;
  Play.play(30, {{"a", {}, 0}, {"b", {}, 0}});
  CHECK_FALSE(Play.isAbove("a"));
  CHECK(Play.shareOf("a") == 0);
  CHECK(Play.shareOf("unknown") == 0);
}
