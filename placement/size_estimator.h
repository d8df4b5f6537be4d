#ifndef LYCHEETRESTLE_PLACEMENT_SIZE_ESTIMATOR_H
#define LYCHEETRESTLE_PLACEMENT_SIZE_ESTIMATOR_H

#include "fleet/types.h"

#include <span>
#include <string_view>
#include <unordered_map>

namespace lycheetrestle::placement {

/// Estimates the resources that jobs use. Declared sizes are often wrong by a
/// factor of ten, so reported usage replaces them. The declared size of a job
/// without reports is scaled by the ratio of usage to declaration of the other
/// jobs of its team; it is scaled down only with ScaleDownByTeamUsage.
class size_estimator {
public:
  /// \param Jobs every known job; those with reported usage give the ratios of
  /// their teams. They must outlive the estimator.
  /// \param ScaleDownByTeamUsage as in placer_settings.
  size_estimator(std::span<const fleet::job_record> Jobs,
                 bool ScaleDownByTeamUsage);

  /// \returns the size to reserve for the job, at least one core and 1 MB.
  fleet::resources estimate(const fleet::job_record &Job) const;
  /// \returns the smallest size with which the job may be started. A job is
  /// impossible when this fits no worker of its pool or exceeds its team's
  /// quota.
  fleet::resources minimumSize(const fleet::job_record &Job) const;

private:
  /// Used relative to declared resources.
  struct team_ratio {
    double Cores = 1;
    double Memory = 1;
  };
  fleet::resources scaledSize(const fleet::job_record &Job, team_ratio Ratio,
                              double Margin) const;

  std::unordered_map<std::string_view, team_ratio> Ratios;
  bool ScaleDownByTeamUsage;
};

/// \returns whether the platform has reported usage of the job.
bool hasReportedUsage(const fleet::job_record &Job);

} // namespace lycheetrestle::placement

#endif
