#ifndef LYCHEETRESTLE_SCHEDULING_DURATION_MODELS_H
#define LYCHEETRESTLE_SCHEDULING_DURATION_MODELS_H

#include "scheduling/schedule_state.h"

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

private:
  double Count = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  double SumYY = 0;
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

private:
  std::map<std::string, std::map<std::string, duration_model>> ByQueue;
  duration_model EmptyModel;
};

} // namespace lycheetrestle::scheduling

#endif
