#ifndef LYCHEETRESTLE_BENCH_ADMISSION_SIMULATION_H
#define LYCHEETRESTLE_BENCH_ADMISSION_SIMULATION_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lycheetrestle::bench {

/// Who decides on submitted jobs, and in which order tasks are started.
enum class admission_policy : std::uint8_t {
  Decide,               ///< admission::decide() and scheduling::placeRuns().
  AcceptAll,            ///< Baseline: scheduling::placeRuns() alone.
  FirstComeFirstServed, ///< Baseline: accept all, oldest job first.
};

/// Load of one pool that exceeds its capacity for some seconds of each cycle.
struct admission_load {
  std::uint32_t Endpoints = 20;
  /// Offered work in a peak, relative to the capacity of the pool.
  double Peak = 2.0;
  double Between = 0.05; ///< The same between two peaks.
  int PeakMs = 4000;
  int CycleMs = 16'000;
  int Cycles = 4;
  /// Share of the jobs that exceed the rate of their workspace.
  double OverRateShare = 0;
  std::uint64_t Seed = 1;
};

/// What one caller got. Callers that are refused return after Retry-After, at
/// most four times.
struct caller_outcome {
  std::uint32_t Class = 0; ///< Priority of its queue.
  double Work = 0;
  bool IsOverRate = false;
  std::uint32_t Refusals = 0;
  bool IsAccepted = false;
  /// From the first submission, and from the one that was accepted, relative to
  /// the objective of the job.
  double Stretch = 0;
  double AcceptedStretch = 0;
  bool isInTime() const { return IsAccepted && Stretch <= 1; }
  bool isUseful() const { return IsAccepted && Stretch <= 3; }
  /// In time counted from the submission that was accepted.
  bool isInTimeSinceAccepted() const {
    return IsAccepted && AcceptedStretch <= 1;
  }
  bool isUseless() const { return IsAccepted && AcceptedStretch > 3; }
};

/// \returns the outcome of each job by the time of its first submission. The
/// jobs and their first submissions depend on the load alone.
std::vector<caller_outcome> simulateAdmission(admission_policy Policy,
                                              const admission_load &Load);

constexpr std::size_t ClassCount = 3;
constexpr std::size_t SizeCount = 3;

/// Shares of jobs, of 1.
struct outcome_shares {
  std::size_t Jobs = 0;
  double InTime = 0;
  double Late = 0; ///< Useful, but not in time.
  double InTimeSinceAccepted = 0;
  double Useless = 0; ///< Accepted, and ended after three times the objective.
  double Refused = 0; ///< Refused at each submission.
};

/// Outcomes of all jobs within the rates of their workspaces, and by class and
/// by third of size.
struct admission_summary {
  outcome_shares All;
  std::array<outcome_shares, ClassCount> Classes;
  std::array<outcome_shares, SizeCount> Sizes; ///< Smallest first.
  double worstInTime() const;                  ///< Over classes and sizes.
};

admission_summary summarize(const std::vector<caller_outcome> &Outcomes);

} // namespace lycheetrestle::bench

#endif
