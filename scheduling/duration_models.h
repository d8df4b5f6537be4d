#ifndef LYCHEETRESTLE_SCHEDULING_DURATION_MODELS_H
#define LYCHEETRESTLE_SCHEDULING_DURATION_MODELS_H

#include "scheduling/schedule_state.h"

#include <cstdint>
#include <map>
#include <string>

namespace lycheetrestle::scheduling {

/// Predicts the duration of the tasks of one queue from their declared estimate
/// by linear regression on the logarithms of both.
class duration_model {
public:
  /// Adds a completed task.
  /// \param EstimateMs declared estimate.
  /// \param DurationMs measured duration.
  void record(double EstimateMs, double DurationMs);
  /// \returns the expected duration in milliseconds; the estimate itself while
  /// too few tasks were recorded.
  double predictMs(double EstimateMs) const;
  /// \returns a number that grows when predictions have changed noticeably.
  std::uint64_t revision() const { return Revision; }

private:
  /// The line through the logarithms of estimates and durations.
  struct line {
    double MeanX = 0;
    double MeanY = 0;
    double Slope = 0;
    double Unexplained = 0; ///< Variance of the durations around the line.
  };
  line fit() const;
  void updateRevision();

  double Count = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  double SumYY = 0;
  std::uint64_t Revision = 0;
  double RevisedMean = 0;  ///< Logarithm of the mean duration at that time.
  double RevisedSlope = 0; ///< Of the line at that time.
};

/// The duration models of all queues.
///
/// Designed for declared estimates whose error is as large as the estimate:
/// where estimates hardly correlate with durations, the prediction is the mean
/// of the queue; where they correlate well, it follows the estimate.
class duration_models {
public:
  /// Adds a completed task of the job to the model of the job's queue.
  void record(const job_record &Job, double EstimateMs, double DurationMs);
  /// \returns the model of the job's queue; valid until the next record().
  const duration_model &modelOf(const job_record &Job) const;
  /// \returns a number that grows when the predictions of any queue have
  /// changed noticeably.
  std::uint64_t revision() const { return Revision; }

private:
  std::uint64_t Revision = 0;
  std::map<std::string, std::map<std::string, duration_model>> ByQueue;
  duration_model EmptyModel;
};

} // namespace lycheetrestle::scheduling

#endif
