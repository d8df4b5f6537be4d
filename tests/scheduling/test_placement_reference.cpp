#include "schedule_fixture.h"
#include "scheduling/placer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

bool fits(const resource_amounts &Free, const resource_amounts &Size) {
  return Size.MilliCores <= Free.MilliCores && Size.MemoryMb <= Free.MemoryMb;
}

/// Best fit without any shortcut: each task of each step considers each
/// endpoint with every check. A step ends at its first task without a place,
/// and no number of them ends the round.
std::vector<start_run> placeByReference(std::span<const waiting_step> Waiting,
                                        std::vector<placement_target> &Targets,
                                        const placement_request &Request) {
  std::vector<start_run> Starts;
  for (const auto &Step : Waiting) {
    const auto &Spec = Step.Job->Spec.Steps[Step.Step];
    const auto &Tasks = Step.Occurrence->Steps[Step.Step].Tasks;
    for (std::uint32_t Index = 0; Index != Tasks.size(); ++Index) {
      if (!Tasks[Index].isWaiting())
        continue;
      task_key Key{Step.Job->Spec.Id, Step.Occurrence->Number, Step.Step,
                   Index};
      placement_target *Best = nullptr;
      for (auto &Target : Targets) {
        if (Target.IsReserved || !fits(Target.Free, reservedSize(Spec)) ||
            !Request.IsAllowed(Key, *Step.Job, Target.Endpoint) ||
            (Spec.MaxPerEndpoint > 0 &&
             Target.RunsByStep[stepKey(Key)] >= Spec.MaxPerEndpoint))
          continue;
        if (!Best || Target.Free.MilliCores < Best->Free.MilliCores)
          Best = &Target;
      }
      if (!Best)
        break;
      Best->Free.MilliCores -= Spec.Size.MilliCores;
      Best->Free.MemoryMb -= Spec.Size.MemoryMb;
      if (Spec.MaxPerEndpoint > 0)
        ++Best->RunsByStep[stepKey(Key)];
      Starts.push_back({Key, 1, Best->Endpoint});
    }
  }
  return Starts;
}

} // namespace

// The shortcuts of a round must not change where a task starts, or whether.
TEST_CASE("a round of placement starts what a pass over all endpoints would") {
  std::size_t Placed = 0;
  std::size_t Left = 0;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    auto State = makeState(0);
    for (int Job = 0; Job != 60; ++Job) {
      auto Tasks = static_cast<std::uint32_t>(1 + Random() % 6);
      auto MilliCores = static_cast<std::uint32_t>(500 + Random() % 6000);
      auto Step = makeStep(Tasks, MilliCores);
      Step.Size.MemoryMb = static_cast<std::uint32_t>(Random() % 6000);
      Step.MaxPerEndpoint = Random() % 5 == 0 ? 1 : 0;
      State.apply(submission(makeJob("j" + std::to_string(Job), {Step})),
                  1000 + Job);
    }
    std::vector<placement_target> Targets(2 + Random() % 12);
    std::map<std::uint32_t, bool> IsSchedulable;
    std::uint32_t Number = 0;
    for (auto &Target : Targets) {
      Target.Endpoint = ++Number;
      Target.Pool = State.findJob("j0")->Pool;
      Target.Free = {static_cast<std::uint32_t>(Random() % 20'000),
                     static_cast<std::uint32_t>(Random() % 20'000), 0};
      Target.IsReserved = Random() % 10 == 0;
      IsSchedulable[Number] = Random() % 8 != 0;
    }
    placement_request Request;
    Request.MaxStarts = 10'000;
    Request.IsAllowed = [&](const task_key &Key, const job_record &,
                            std::uint32_t Endpoint) {
      return IsSchedulable[Endpoint] && (Key.Index + Endpoint) % 11 != 0;
    };
    duration_models Durations;
    rank_cache Ranks(Durations);
    auto Waiting = waitingSteps(State, Ranks, 2000);
    auto Copies = Targets;
    auto Expected = placeByReference(Waiting, Copies, Request);
    std::vector<placement_target *> Pointers;
    for (auto &Target : Targets)
      Pointers.push_back(&Target);
    auto Placements = placeRuns(Waiting, Pointers, Request);
    REQUIRE(Placements.size() == Expected.size());
    for (std::size_t Item = 0; Item != Expected.size(); ++Item)
      CHECK(Placements[Item].Start == Expected[Item]);
    Placed += Expected.size();
    Left += Expected.size() < 60;
  }
  CHECK(Placed > 3000);
  CHECK(Left > 100);
}
