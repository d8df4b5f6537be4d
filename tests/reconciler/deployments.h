#ifndef LYCHEETRESTLE_TESTS_RECONCILER_DEPLOYMENTS_H
#define LYCHEETRESTLE_TESTS_RECONCILER_DEPLOYMENTS_H

#include "fleet/types.h"

#include <string>
#include <vector>

namespace lycheetrestle::testing {

/// Shape of one of the two deployments: five pools with one service each. The
/// last pool is the spare pool.
struct deployment {
  const char *Name;
  std::vector<const char *> Zones;
  std::vector<const char *> Pools;
  std::uint32_t Hosts;
  fleet::resources Worker;
};

inline deployment threeZones() {
  return {"three-zone",
          {"k1", "k2", "k3"},
          {"gate", "plots", "water", "sanitation", "records"},
          50,
          {64, 131072, 2}};
}

inline deployment fourZones() {
  return {"four-zone",
          {"z1", "z2", "z3", "z4"},
          {"box-office", "bookings", "coordinators", "crews", "back-office"},
          50,
          {32, 65536, 0}};
}

/// \returns the declaration of the deployment: racks of four hosts, each rack
/// in one zone, and each pool spread over all zones.
inline fleet::declaration declarationOf(const deployment &Shape) {
  fleet::declaration Declaration;
  Declaration.Number = 1;
  Declaration.Maintenance = {8, 2};
  Declaration.Teams = {{"planning", {100000, 100000000, 1000}},
                       {"transport", {64, 131072, 2}}};
  for (const auto *Pool : Shape.Pools) {
    fleet::pool_spec Spec;
    Spec.Name = Pool;
    Spec.Budget.MinAvailablePercent = 70;
    Spec.Spare = Pool == Shape.Pools.back();
    Spec.AutoSize = !Spec.Spare;
    Declaration.Pools.push_back(Spec);
    Declaration.Services.push_back({std::string(Pool) + "-service", Pool});
  }
  for (std::uint32_t Index = 0; Index < Shape.Hosts; ++Index) {
    auto Rack = Index / 4;
    fleet::host_spec Host;
    Host.Name = "w" + std::to_string(100 + Index);
    Host.Zone = Shape.Zones[Rack % Shape.Zones.size()];
    Host.Rack = "r" + std::to_string(10 + Rack);
    Host.HomePool = Shape.Pools[Index % Shape.Pools.size()];
    Host.Size = Shape.Worker;
    Declaration.Hosts.push_back(Host);
  }
  return Declaration;
}

} // namespace lycheetrestle::testing

#endif
