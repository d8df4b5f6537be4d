#ifndef LYCHEETRESTLE_ADMISSION_COMPLETION_CALIBRATION_H
#define LYCHEETRESTLE_ADMISSION_COMPLETION_CALIBRATION_H

#include <cstddef>

namespace lycheetrestle::admission {

/// Learns how far predicted completion times are off, as a running mean and
/// deviation of the logarithm of the seen time over the predicted one.
///
/// Designed for predictions that are off by nearly their own size: a single
/// completion moves the ratios little, and none moves them beyond fixed bounds.
class completion_calibration {
public:
  /// Bounds of ratio().
  static constexpr double MinRatio = 0.5;
  static constexpr double MaxRatio = 2;
  /// lowRatio() before MinCount completions were recorded: a job is then
  /// expected to end after two thirds of the predicted time at the earliest.
  static constexpr double UnknownLowRatio = 0.67;
  static constexpr std::size_t MinCount = 20;

  /// Records a completed job. Times that are not positive are ignored.
  /// \param PredictedMs time from submission to completion as predicted.
  /// \param SeenMs the time that it took.
  void record(double PredictedMs, double SeenMs);
  /// \returns the factor from predicted to expected times; 1 before MinCount
  /// completions.
  double ratio() const;
  /// \returns the factor from predicted times to those that about one job in
  /// six beats: one deviation below the mean. At most ratio().
  double lowRatio() const;

private:
  std::size_t Count = 0;
  double MeanLog = 0;
  double VarianceLog = 0;
};

} // namespace lycheetrestle::admission

#endif
