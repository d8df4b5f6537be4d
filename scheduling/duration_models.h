#ifndef LYCHEETRESTLE_SCHEDULING_DURATION_MODELS_H
#define LYCHEETRESTLE_SCHEDULING_DURATION_MODELS_H

#include "scheduling/schedule_state.h"

#include <map>
#include <string>

namespace lycheetrestle::scheduling {

/// How long tasks of one queue take, given their declared estimate: a line
/// fitted to the logarithms of both.
class duration_model {
public:
  /// \param EstimateMs the declared estimate.
  /// \param TookMs how long the task ran.
  void record(double EstimateMs, double TookMs);
  /// \returns the expected duration in milliseconds; the estimate itself while
  /// too few tasks have ended.
  double predictMs(double EstimateMs) const;

private:
  double Count = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  double SumYY = 0;
};

/// The models of all queues.
///
/// Answers declared durations that are off by as much as their own size: where
/// the estimate says little, the mean of the queue takes its place; where it
/// says much, the estimate stays.
class duration_models {
public:
  void record(const job_record &Job, double EstimateMs, double TookMs);
  /// \returns the model of the job's queue; valid until the next record().
  const duration_model &modelOf(const job_record &Job) const;

private:
  std::map<std::string, std::map<std::string, duration_model>> ByQueue;
  duration_model EmptyModel;
};

} // namespace lycheetrestle::scheduling

#endif
