#ifndef LYCHEETRESTLE_TESTS_SCHEDULING_SCHEDULE_FIXTURE_H
#define LYCHEETRESTLE_TESTS_SCHEDULING_SCHEDULE_FIXTURE_H

#include "scheduling/schedule_state.h"

#include <string>

namespace lycheetrestle::scheduling::test {

inline const std::string Host = "q.example";
inline const std::string Prefix = "/jobs/";

/// \returns a configuration with one queue on pool `a`, and pools `a`, `b` and
/// the standby pool `spare`.
configuration makeConfiguration(std::uint64_t Version,
                                std::uint32_t MaxAttempts = 2);
step_spec makeStep(std::uint32_t Count, std::uint32_t MilliCores = 1000,
                   std::uint32_t EstimateMs = 500);
job_spec makeJob(std::string Id, std::vector<step_spec> Steps);
submit_job submission(job_spec Job);
endpoint_facts makeEndpoint(std::string Id, std::uint64_t IncarnationMs = 1,
                            std::string Pool = "a",
                            std::uint32_t MilliCores = 8000);
/// \returns a state with makeConfiguration(1) and the endpoints `e1`, `e2`, and
/// so on.
schedule_state makeState(std::uint32_t Endpoints);

} // namespace lycheetrestle::scheduling::test

#endif
