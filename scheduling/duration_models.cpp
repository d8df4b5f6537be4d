#include "scheduling/duration_models.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::scheduling {

namespace {

// With fewer tasks the regression follows single tasks.
constexpr double MinCount = 20;
// Weight, in tasks, of the prior that estimates are proportional to durations.
constexpr double PriorCount = 10;
// At this count all sums are halved, so that newer tasks outweigh older ones
// and the model follows a queue that changes.
constexpr double MaxCount = 2000;
// Limit of the growth of predictions with the estimate.
constexpr double MaxSlope = 1.5;
// Limit of a prediction, about a year. Extreme estimates make the exponential
// exceed 64 bits, in which callers add up durations.
constexpr double MaxPredictedMs = 3e10;

// Ranks and demand are computed again when predictions have moved by this
// share: less than what single estimates are off by a factor of two and more.
constexpr double NoticeableChange = 0.05;

double logOf(double Ms) { return std::log(std::max(1.0, Ms)); }

} // namespace

void duration_model::record(double EstimateMs, double DurationMs) {
  if (Count >= MaxCount)
    for (double *Sum : {&Count, &SumX, &SumY, &SumXX, &SumXY, &SumYY})
      *Sum /= 2;
  double X = logOf(EstimateMs);
  double Y = logOf(DurationMs);
  Count += 1;
  SumX += X;
  SumY += Y;
  SumXX += X * X;
  SumXY += X * Y;
  SumYY += Y * Y;
  if (Count >= MinCount)
    updateRevision();
}

duration_model::line duration_model::fit() const {
  line Line;
  Line.MeanX = SumX / Count;
  Line.MeanY = SumY / Count;
  double VarianceX = SumXX / Count - Line.MeanX * Line.MeanX;
  double Covariance = SumXY / Count - Line.MeanX * Line.MeanY;
  // The prior slope is one: a larger estimate predicts a longer duration.
  double Prior = PriorCount / Count;
  Line.Slope =
      std::clamp((Covariance + Prior) / (VarianceX + Prior), 0.0, MaxSlope);
  double VarianceY = SumYY / Count - Line.MeanY * Line.MeanY;
  Line.Unexplained = std::max(0.0, VarianceY - Line.Slope * Covariance);
  return Line;
}

void duration_model::updateRevision() {
  auto Line = fit();
  double Mean = Line.MeanY + Line.Unexplained / 2;
  if (Revision > 0 && std::abs(Mean - RevisedMean) < NoticeableChange &&
      std::abs(Line.Slope - RevisedSlope) < NoticeableChange)
    return;
  ++Revision;
  RevisedMean = Mean;
  RevisedSlope = Line.Slope;
}

double duration_model::predictMs(double EstimateMs) const {
  if (Count < MinCount)
    return EstimateMs;
  auto Line = fit();
  // The mean of a log-normal distribution is above its median by this factor.
  return std::min(MaxPredictedMs,
                  std::exp(Line.MeanY +
                           Line.Slope * (logOf(EstimateMs) - Line.MeanX) +
                           Line.Unexplained / 2));
}

void duration_models::record(const job_record &Job, double EstimateMs,
                             double DurationMs) {
  auto &Model = ByQueue[Job.QueueHost][Job.QueuePrefix];
  auto Before = Model.revision();
  Model.record(EstimateMs, DurationMs);
  Revision += Model.revision() - Before;
}

const duration_model &duration_models::modelOf(const job_record &Job) const {
  auto Host = ByQueue.find(Job.QueueHost);
  if (Host == ByQueue.end())
    return EmptyModel;
  auto Queue = Host->second.find(Job.QueuePrefix);
  return Queue == Host->second.end() ? EmptyModel : Queue->second;
}

} // namespace lycheetrestle::scheduling
