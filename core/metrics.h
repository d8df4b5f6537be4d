#ifndef LYCHEETRESTLE_CORE_METRICS_H
#define LYCHEETRESTLE_CORE_METRICS_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace lycheetrestle::core {

/// Distribution of observed values: count, sum, maximum and quantiles, kept by
/// Boost.Accumulators in constant memory.
class summary {
public:
  summary();
  ~summary();
  summary(const summary &) = delete;
  summary &operator=(const summary &) = delete;

  /// \param Value the observed value, in the unit given by the metric's name.
  void observe(double Value);

  std::uint64_t count() const;
  double sum() const;
  double maximum() const;
  /// \returns the estimated 50th percentile, or 0 without observations.
  double median() const;
  /// \returns the estimated 99th percentile, or 0 without observations.
  double percentile99() const;

private:
  struct accumulators;
  std::unique_ptr<accumulators> State;
};

/// Counters, gauges and summaries of one process. All members may be called
/// from any thread.
class metrics_registry {
public:
  /// \param Name metric name with optional labels, for example
  /// `requests_total{verdict="ran"}`.
  /// \param Amount added to the counter.
  void add(std::string_view Name, std::uint64_t Amount = 1);
  /// \param Name metric name with optional labels.
  /// \param Value the gauge's new value.
  void set(std::string_view Name, double Value);
  /// \param Name metric name with optional labels, with its unit as suffix.
  /// \param Value one observation for the summary.
  void observe(std::string_view Name, double Value);
  /// \param Name metric name with optional labels.
  /// \returns the counter's value, 0 when it does not exist.
  std::uint64_t counter(std::string_view Name) const;
  /// \returns all metrics in the text exposition format, names prefixed with
  /// `lycheetrestle_`.
  std::string expose() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::uint64_t, std::less<>> Counters;
  std::map<std::string, double, std::less<>> Gauges;
  std::map<std::string, summary, std::less<>> Summaries;
};

} // namespace lycheetrestle::core

#endif
