#include "schedule_fixture.h"

#include <utility>

namespace lycheetrestle::scheduling::test {

configuration makeConfiguration(std::uint64_t Version,
                                std::uint32_t MaxAttempts) {
  configuration Configuration;
  Configuration.Version = Version;
  queue_spec Queue;
  Queue.Name = "q";
  Queue.HostName = Host;
  Queue.PathPrefix = Prefix;
  Queue.Pool = "a";
  Queue.MaxAttempts = MaxAttempts;
  Queue.TimeoutMs = 3000;
  Queue.TargetLatencyMs = 600;
  Queue.SlackThousandths = 1600;
  Configuration.Queues.push_back(Queue);
  Configuration.Pools = {{"a", "/h", true, false},
                         {"b", "/h", true, false},
                         {"spare", "/h", true, true}};
  Configuration.Text = "{}";
  return Configuration;
}

step_spec makeStep(std::uint32_t Count, std::uint32_t MilliCores,
                   std::uint32_t EstimateMs) {
  step_spec Step;
  Step.Count = Count;
  Step.Size = {MilliCores, 100, 0};
  Step.EstimateMs = EstimateMs;
  return Step;
}

job_spec makeJob(std::string Id, std::vector<step_spec> Steps) {
  job_spec Job;
  Job.Id = std::move(Id);
  Job.Payload = "payload";
  Job.Steps = std::move(Steps);
  return Job;
}

submit_job submission(job_spec Job) {
  auto Path = Prefix + Job.Id;
  return {Host, Path, std::move(Job)};
}

endpoint_facts makeEndpoint(std::string Id, std::uint64_t IncarnationMs,
                            std::string Pool, std::uint32_t MilliCores) {
  endpoint_facts Facts;
  Facts.Id = std::move(Id);
  Facts.IncarnationMs = IncarnationMs;
  Facts.Address = core::network_address::parse("10.0.0.1:80");
  Facts.Pool = std::move(Pool);
  Facts.Zone = "z";
  Facts.Capacity = {MilliCores, 10'000, 0};
  Facts.Labels = {"kind-a", "rack-1"};
  Facts.Rack = "rack-1";
  return Facts;
}

schedule_state makeState(std::uint32_t Endpoints) {
  schedule_state State;
  State.apply(set_configuration{makeConfiguration(1)}, 0);
  for (std::uint32_t Index = 1; Index <= Endpoints; ++Index)
    State.apply(record_endpoint{makeEndpoint("e" + std::to_string(Index))}, 0);
  return State;
}

} // namespace lycheetrestle::scheduling::test
