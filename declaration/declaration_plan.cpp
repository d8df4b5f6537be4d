#include "declaration/declaration.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheetrestle::declaration {

namespace {

using pool_budget = declaration_plan::pool_budget;
using host_step = declaration_plan::host_step;

/// A move that is not assigned to a batch yet.
struct pending_move {
  const fleet::host_record *Host = nullptr;
  std::string_view Target;
};

/// Assigns moves to batches. A moving host counts in no pool during its batch,
/// and in its new pool afterwards.
class move_planner {
public:
  move_planner(std::map<std::string_view, pool_budget> &Budgets,
               std::uint32_t MaxParallelHosts)
      : Budgets(Budgets), MaxParallelHosts(MaxParallelHosts) {
    for (auto &[Name, Budget] : Budgets)
      Available[Name] = Budget.Available;
  }

  /// Plans as many moves as the budgets allow, starting with the given batch.
  /// The other moves get batch 0.
  void plan(std::vector<pending_move> Moves, std::uint32_t Batch,
            std::vector<host_step> &Steps) {
    while (!Moves.empty()) {
      auto Remaining = planBatch(Moves, Batch, Steps);
      if (Remaining.size() == Moves.size())
        break;
      Moves = std::move(Remaining);
      ++Batch;
    }
    for (const auto &Move : Moves)
      Steps.push_back(makeStep(Move, 0));
  }

private:
  static host_step makeStep(const pending_move &Move, std::uint32_t Batch) {
    return {Move.Host->Spec.Name, Move.Host->Pool, std::string(Move.Target),
            "move", Batch};
  }

  /// Removes the host from the available hosts of its pool if the budget allows
  /// it.
  /// \returns whether the host may leave its pool in this batch.
  bool tryRemoveFromPool(const fleet::host_record &Host) {
    // A host that is out of service does not count as available.
    if (Host.State != fleet::host_state::InService)
      return true;
    auto Budget = Budgets.find(Host.Pool);
    // A pool that is no longer declared has no budget.
    if (Budget == Budgets.end())
      return true;
    auto &Count = Available[Host.Pool];
    if (Count <= Budget->second.Minimum)
      return false;
    --Count;
    auto &Lowest = Budget->second.LowestAvailable;
    Lowest = std::min(Lowest, Count);
    return true;
  }

  /// \returns the moves that did not fit into the batch.
  std::vector<pending_move> planBatch(const std::vector<pending_move> &Moves,
                                      std::uint32_t Batch,
                                      std::vector<host_step> &Steps) {
    std::vector<pending_move> Remaining;
    std::vector<std::string_view> TargetPools;
    std::uint32_t Taken = 0;
    for (const auto &Move : Moves) {
      if (Taken >= MaxParallelHosts || !tryRemoveFromPool(*Move.Host)) {
        Remaining.push_back(Move);
        continue;
      }
      ++Taken;
      Steps.push_back(makeStep(Move, Batch));
      if (Move.Host->State == fleet::host_state::InService)
        TargetPools.push_back(Move.Target);
    }
    for (auto Pool : TargetPools)
      ++Available[Pool];
    return Remaining;
  }

  std::map<std::string_view, pool_budget> &Budgets;
  std::map<std::string_view, std::uint32_t> Available;
  std::uint32_t MaxParallelHosts;
};

} // namespace

core::result<declaration_plan> planDeclaration(const fleet::fleet_state &State,
                                               const fleet::declaration &Next) {
  if (auto Failure = State.checkSubmission(Next))
    return core::fail(std::move(*Failure));

  std::map<std::string_view, pool_budget> Budgets;
  for (const auto &Pool : Next.Pools)
    Budgets[Pool.Name].Pool = Pool.Name;
  declaration_plan Plan;
  std::vector<pending_move> Moves;
  std::map<std::string_view, const fleet::host_spec *> Declared;
  for (const auto &Spec : Next.Hosts) {
    Declared.emplace(Spec.Name, &Spec);
    auto &Home = Budgets[Spec.HomePool];
    ++Home.Hosts;
    auto Found = State.hosts().find(Spec.Name);
    if (Found == State.hosts().end()) {
      ++Home.Available;
      Plan.Steps.push_back({Spec.Name, Spec.HomePool, Spec.HomePool, "add", 1});
    } else if (Found->second.Pool != Spec.HomePool) {
      Moves.push_back({&Found->second, Spec.HomePool});
    }
  }
  for (const auto &[Name, Host] : State.hosts()) {
    if (!Declared.count(Name))
      Plan.Steps.push_back({Name, Host.Pool, Host.Pool, "remove", 1});
    else if (Host.State == fleet::host_state::InService)
      ++Budgets[Host.Pool].Available;
  }
  for (const auto &Pool : Next.Pools) {
    auto &Budget = Budgets[Pool.Name];
    Budget.Minimum = Pool.Budget.minimum(Budget.Hosts);
    Budget.LowestAvailable = Budget.Available;
  }
  // Additions and removals take effect on acceptance, before any move.
  std::uint32_t FirstBatch = Plan.Steps.empty() ? 1 : 2;
  move_planner(Budgets, Next.Maintenance.MaxParallelHosts)
      .plan(std::move(Moves), FirstBatch, Plan.Steps);
  for (auto &[Name, Budget] : Budgets)
    Plan.Budgets.push_back(std::move(Budget));
  return Plan;
}

} // namespace lycheetrestle::declaration
