#include "scheduling/pool_rebalancer.h"

#include <algorithm>
#include <map>

namespace lycheetrestle::scheduling {

namespace {

// A host in standby costs nothing, and a move costs slightly more than one
// second of an active host, so moving to standby and back pays off after about
// two seconds.
constexpr std::int64_t StandbyAfterMs = 2000;
// Minimum cores of a pool, as a share of its smallest host, so that the first
// work after an idle period can start at once.
constexpr double MinCoresShare = 1.0;
// Surplus that must remain in a donor, as a share of the moved host, so that
// hosts do not move back and forth.
constexpr double DonorMargin = 0.25;

struct pool_balance {
  double Supply = 0;
  double Demand = 0;
  double SmallestHost = 0;
  bool IsStandby = false;
  std::vector<const rebalance_host *> Movable; ///< Longest idle first.

  double requiredCores() const {
    return std::max(Demand, MinCoresShare * SmallestHost);
  }
  bool canDonate(const rebalance_host &Host) const {
    return IsStandby ||
           Supply - Host.Cores >= requiredCores() + DonorMargin * Host.Cores;
  }
};

class move_planner {
public:
  move_planner(std::span<const pool_view> Pools,
               std::span<const rebalance_host> Hosts, std::size_t MaxMoves)
      : MaxMoves(MaxMoves) {
    for (const auto &Pool : Pools) {
      Balances[Pool.Name].Demand = Pool.RequiredCores;
      Balances[Pool.Name].IsStandby = Pool.IsStandby;
    }
    for (const auto &Host : Hosts) {
      auto Found = Balances.find(Host.Pool);
      if (Found == Balances.end())
        continue;
      auto &Balance = Found->second;
      if (Host.AcceptsWork)
        Balance.Supply += Host.Cores;
      if (Balance.SmallestHost == 0 || Host.Cores < Balance.SmallestHost)
        Balance.SmallestHost = Host.Cores;
      if (Host.MayMove)
        Balance.Movable.push_back(&Host);
    }
    for (auto &[Name, Balance] : Balances)
      std::stable_sort(Balance.Movable.begin(), Balance.Movable.end(),
                       [](const auto *Left, const auto *Right) {
                         return Left->IdleMs > Right->IdleMs;
                       });
  }

  std::vector<host_move> plan() {
    while (Moves.size() < MaxMoves) {
      auto *Recipient = largestDeficit();
      if (!Recipient)
        break;
      if (!supplyHost(*Recipient))
        break;
    }
    moveIdleToStandby();
    return std::move(Moves);
  }

private:
  using balance_map = std::map<std::string, pool_balance>;

  balance_map::value_type *largestDeficit() {
    balance_map::value_type *Best = nullptr;
    double LargestDeficit = 0;
    for (auto &Item : Balances) {
      const auto &Balance = Item.second;
      if (Balance.IsStandby)
        continue;
      double Deficit = Balance.requiredCores() - Balance.Supply;
      if (Deficit > LargestDeficit) {
        Best = &Item;
        LargestDeficit = Deficit;
      }
    }
    return Best;
  }

  bool supplyHost(balance_map::value_type &Recipient) {
    for (bool FromStandby : {false, true})
      for (auto &[Name, Donor] : Balances) {
        if (Name == Recipient.first || Donor.IsStandby != FromStandby ||
            Donor.Movable.empty() || !Donor.canDonate(*Donor.Movable.front()))
          continue;
        move(Donor, Recipient.first);
        return true;
      }
    return false;
  }

  void move(pool_balance &Donor, const std::string &Target) {
    const auto *Host = Donor.Movable.front();
    Donor.Movable.erase(Donor.Movable.begin());
    if (Host->AcceptsWork)
      Donor.Supply -= Host->Cores;
    Balances[Target].Supply += Host->Cores;
    Moves.push_back({Host->Name, Target});
  }

  void moveIdleToStandby() {
    auto Standby =
        std::find_if(Balances.begin(), Balances.end(),
                     [](const auto &Item) { return Item.second.IsStandby; });
    if (Standby == Balances.end())
      return;
    for (auto &[Name, Balance] : Balances)
      while (!Balance.IsStandby && !Balance.Movable.empty() &&
             Moves.size() < MaxMoves &&
             Balance.Movable.front()->IdleMs >= StandbyAfterMs &&
             Balance.canDonate(*Balance.Movable.front()))
        move(Balance, Standby->first);
  }

  std::size_t MaxMoves;
  balance_map Balances;
  std::vector<host_move> Moves;
};

} // namespace

std::vector<host_move> planMoves(std::span<const pool_view> Pools,
                                 std::span<const rebalance_host> Hosts,
                                 std::size_t MaxMoves) {
  return move_planner(Pools, Hosts, MaxMoves).plan();
}

} // namespace lycheetrestle::scheduling
