#include "scheduling/duration_models.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::scheduling {

namespace {

// Before so many ends a fitted line follows single tasks.
constexpr double MinCount = 20;
// The estimate is taken to be right with the weight of this many tasks.
constexpr double PriorCount = 10;
// Older ends count less, so that a queue that changes is learnt anew.
constexpr double MaxCount = 2000;

double logOf(double Ms) { return std::log(std::max(1.0, Ms)); }

} // namespace

void duration_model::record(double EstimateMs, double TookMs) {
  if (Count >= MaxCount)
    for (double *Sum : {&Count, &SumX, &SumY, &SumXX, &SumXY, &SumYY})
      *Sum /= 2;
  double X = logOf(EstimateMs);
  double Y = logOf(TookMs);
  Count += 1;
  SumX += X;
  SumY += Y;
  SumXX += X * X;
  SumXY += X * Y;
  SumYY += Y * Y;
}

double duration_model::predictMs(double EstimateMs) const {
  if (Count < MinCount)
    return EstimateMs;
  double MeanX = SumX / Count;
  double MeanY = SumY / Count;
  double VarianceX = SumXX / Count - MeanX * MeanX;
  double Covariance = SumXY / Count - MeanX * MeanY;
  // A prior slope of one: equal estimates keep their order.
  double Prior = PriorCount / Count;
  double Slope =
      std::clamp((Covariance + Prior) / (VarianceX + Prior), 0.0, 1.5);
  double VarianceY = SumYY / Count - MeanY * MeanY;
  double Unexplained = std::max(0.0, VarianceY - Slope * Covariance);
  // The mean of a log-normal duration lies above its median.
  return std::exp(MeanY + Slope * (logOf(EstimateMs) - MeanX) +
                  Unexplained / 2);
}

void duration_models::record(const job_record &Job, double EstimateMs,
                             double TookMs) {
  ByQueue[Job.QueueHost][Job.QueuePrefix].record(EstimateMs, TookMs);
}

const duration_model &duration_models::modelOf(const job_record &Job) const {
  auto Host = ByQueue.find(Job.QueueHost);
  if (Host == ByQueue.end())
    return EmptyModel;
  auto Queue = Host->second.find(Job.QueuePrefix);
  return Queue == Host->second.end() ? EmptyModel : Queue->second;
}

} // namespace lycheetrestle::scheduling
