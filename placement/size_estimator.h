#ifndef LYCHEETRESTLE_PLACEMENT_SIZE_ESTIMATOR_H
#define LYCHEETRESTLE_PLACEMENT_SIZE_ESTIMATOR_H

#include "fleet/types.h"

#include <span>
#include <string_view>
#include <unordered_map>

namespace lycheetrestle::placement {

/// Estimates what jobs use. Declared sizes are often wrong by a factor of ten,
/// so reported usage takes their place, and a job without reports is scaled as
/// the other jobs of its team were.
class size_estimator {
public:
  /// \param Jobs every known job; those with reports are learnt from. They
  /// must outlive the estimator.
  /// \param ScaleByTeamUsage as in placer_settings.
  size_estimator(std::span<const fleet::job_record> Jobs,
                 bool ScaleByTeamUsage);

  /// \returns the size to reserve for the job, at least one core and 1 MB.
  fleet::resources estimate(const fleet::job_record &Job) const;
  /// \returns the smallest size that the job may be started with; a job is
  /// impossible only when this does not fit.
  fleet::resources minimumSize(const fleet::job_record &Job) const;

private:
  struct team_ratio {
    double Cores = 1;
    double Memory = 1;
  };
  fleet::resources scaledSize(const fleet::job_record &Job, team_ratio Ratio,
                              double Margin) const;

  std::unordered_map<std::string_view, team_ratio> Ratios;
  bool ScaleByTeamUsage;
};

/// \returns whether the platform has reported usage of the job.
bool hasReportedUsage(const fleet::job_record &Job);

} // namespace lycheetrestle::placement

#endif
