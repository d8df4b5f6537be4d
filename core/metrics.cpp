#include "core/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <set>
#include <sstream>

namespace lycheetrestle::core {

namespace {

namespace acc = boost::accumulators;

using moments = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;
using quantile =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

constexpr std::string_view Prefix = "lycheetrestle_";
// Significant digits of an exposed value.
constexpr int ValuePrecision = 12;

struct split_name {
  std::string_view Base;
  std::string_view Labels;
};

// Splits `name{labels}` into the name and the labels without braces.
split_name splitName(std::string_view Name) {
  auto Brace = Name.find('{');
  if (Brace == std::string_view::npos)
    return {Name, {}};
  return {Name.substr(0, Brace),
          Name.substr(Brace + 1, Name.size() - Brace - 2)};
}

void writeType(std::ostream &Out, std::set<std::string> &Seen,
               std::string_view Base, std::string_view Type) {
  if (Seen.insert(std::string(Base)).second)
    Out << "# TYPE " << Prefix << Base << ' ' << Type << '\n';
}

void writeSample(std::ostream &Out, const split_name &Name,
                 std::string_view Suffix, std::string_view ExtraLabel,
                 double Value) {
  Out << Prefix << Name.Base << Suffix;
  if (!Name.Labels.empty() || !ExtraLabel.empty()) {
    Out << '{' << Name.Labels;
    if (!Name.Labels.empty() && !ExtraLabel.empty())
      Out << ',';
    Out << ExtraLabel << '}';
  }
  Out << ' ' << Value << '\n';
}

} // namespace

struct summary::accumulators {
  moments Moments;
  quantile Median{acc::quantile_probability = 0.5};
  quantile Percentile99{acc::quantile_probability = 0.99};
};

summary::summary() : State(std::make_unique<accumulators>()) {}
summary::~summary() = default;

void summary::observe(double Value) {
  State->Moments(Value);
  State->Median(Value);
  State->Percentile99(Value);
}

std::uint64_t summary::count() const { return acc::count(State->Moments); }

double summary::sum() const { return acc::sum(State->Moments); }

double summary::maximum() const {
  return count() == 0 ? 0 : acc::max(State->Moments);
}

double summary::median() const {
  return count() == 0 ? 0 : acc::p_square_quantile(State->Median);
}

double summary::percentile99() const {
  return count() == 0 ? 0 : acc::p_square_quantile(State->Percentile99);
}

void metrics_registry::add(std::string_view Name, std::uint64_t Amount) {
  std::lock_guard Lock(Mutex);
  auto Found = Counters.find(Name);
  if (Found == Counters.end())
    Found = Counters.emplace(std::string(Name), 0).first;
  Found->second += Amount;
}

void metrics_registry::set(std::string_view Name, double Value) {
  std::lock_guard Lock(Mutex);
  Gauges.insert_or_assign(std::string(Name), Value);
}

void metrics_registry::observe(std::string_view Name, double Value) {
  std::lock_guard Lock(Mutex);
  auto Found = Summaries.find(Name);
  if (Found == Summaries.end())
    Found = Summaries.try_emplace(std::string(Name)).first;
  Found->second.observe(Value);
}

std::uint64_t metrics_registry::counter(std::string_view Name) const {
  std::lock_guard Lock(Mutex);
  auto Found = Counters.find(Name);
  return Found == Counters.end() ? 0 : Found->second;
}

std::string metrics_registry::expose() const {
  std::lock_guard Lock(Mutex);
  std::ostringstream Out;
  Out.precision(ValuePrecision);
  std::set<std::string> Seen;
  for (const auto &[Name, Value] : Counters) {
    auto Split = splitName(Name);
    writeType(Out, Seen, Split.Base, "counter");
    writeSample(Out, Split, "", "", static_cast<double>(Value));
  }
  for (const auto &[Name, Value] : Gauges) {
    auto Split = splitName(Name);
    writeType(Out, Seen, Split.Base, "gauge");
    writeSample(Out, Split, "", "", Value);
  }
  for (const auto &[Name, Value] : Summaries) {
    auto Split = splitName(Name);
    writeType(Out, Seen, Split.Base, "summary");
    writeSample(Out, Split, "", "quantile=\"0.5\"", Value.median());
    writeSample(Out, Split, "", "quantile=\"0.99\"", Value.percentile99());
    writeSample(Out, Split, "_sum", "", Value.sum());
    writeSample(Out, Split, "_count", "", static_cast<double>(Value.count()));
  }
  return Out.str();
}

} // namespace lycheetrestle::core
