#include "admission/completion_calibration.h"

#include <algorithm>
#include <cmath>

namespace lycheetrestle::admission {

namespace {

// Weight of one completion; at 50 jobs a second the ratios follow a change of
// the load within about a second.
constexpr double Weight = 1.0 / 64;
// Largest factor between a predicted and a seen time that counts. A job whose
// tasks fail several times says little about the wait of others.
constexpr double MaxSeenFactor = 4;
constexpr double MinLowRatio = 0.3;

} // namespace

void completion_calibration::record(double PredictedMs, double SeenMs) {
  if (!(PredictedMs > 0) || !(SeenMs > 0))
    return;
  double Limit = std::log(MaxSeenFactor);
  double Log = std::clamp(std::log(SeenMs / PredictedMs), -Limit, Limit);
  ++Count;
  // The first completions count equally.
  double Share = std::max(Weight, 1.0 / static_cast<double>(Count));
  double Delta = Log - MeanLog;
  MeanLog += Share * Delta;
  VarianceLog = (1 - Share) * (VarianceLog + Share * Delta * Delta);
}

double completion_calibration::ratio() const {
  if (Count < MinCount)
    return 1;
  return std::clamp(std::exp(MeanLog), MinRatio, MaxRatio);
}

double completion_calibration::lowRatio() const {
  if (Count < MinCount)
    return UnknownLowRatio;
  return std::clamp(std::exp(MeanLog - std::sqrt(VarianceLog)), MinLowRatio,
                    ratio());
}

} // namespace lycheetrestle::admission
