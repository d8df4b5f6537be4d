#ifndef LYCHEETRESTLE_BENCH_SEED_SUMMARY_H
#define LYCHEETRESTLE_BENCH_SEED_SUMMARY_H

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace lycheetrestle::bench {

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t SeedCount = 30;

/// Shape of one deployment: five pools on 50 workers, racks of four.
struct deployment_shape {
  const char *Name;
  std::uint32_t Zones;
  std::uint32_t Hosts;
  std::uint32_t Cores;
  std::uint64_t MemoryMb;
};

constexpr deployment_shape Deployments[] = {{"three-zone", 3, 50, 64, 131072},
                                            {"four-zone", 4, 50, 32, 65536}};
constexpr std::uint32_t PoolCount = 5;
constexpr std::uint32_t HostsPerRack = 4;

/// Values of one measure, one for each seed.
class seed_summary {
public:
  void add(double Value) { Values.push_back(Value); }

  /// \returns the upper median, or 0 without values.
  double median() const {
    auto Sorted = Values;
    std::sort(Sorted.begin(), Sorted.end());
    return Sorted.empty() ? 0 : Sorted[Sorted.size() / 2];
  }
  double largest() const {
    return Values.empty() ? 0 : *std::max_element(Values.begin(), Values.end());
  }
  double smallest() const {
    return Values.empty() ? 0 : *std::min_element(Values.begin(), Values.end());
  }

private:
  std::vector<double> Values;
};

/// Prints the median and the worst value of a measure as one line.
/// \param LessIsWorse whether the worst value is the smallest instead of the
/// largest.
inline void printMeasure(const char *Deployment, const char *Policy,
                         const char *Measure, const seed_summary &Summary,
                         bool LessIsWorse = false) {
  std::printf("%-10s %-22s %-34s median=%10.2f worst=%10.2f\n", Deployment,
              Policy, Measure, Summary.median(),
              LessIsWorse ? Summary.smallest() : Summary.largest());
}

} // namespace lycheetrestle::bench

#endif
