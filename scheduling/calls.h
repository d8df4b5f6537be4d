#ifndef LYCHEETRESTLE_SCHEDULING_CALLS_H
#define LYCHEETRESTLE_SCHEDULING_CALLS_H

#include "scheduling/orders.h"
#include "scheduling/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling {

/// Submits a job.
struct submit_call {
  std::string HostName;
  std::string Path;
  job_spec Job;
  workspaces::key_digest KeyDigest = {}; ///< Of the caller's key, or empty.
  /// Set by a leader that confirms its leadership before it refuses the job;
  /// the job then has its id only. 0 otherwise.
  std::uint32_t RetryAfterS = 0;
};
/// Queries the state of a job.
struct job_state_call {
  std::string HostName;
  std::string Path;
  std::string Job;
  workspaces::key_digest KeyDigest = {}; ///< Of the caller's key, or empty.
};
/// Cancels a job.
struct cancel_call {
  std::string HostName;
  std::string Path;
  std::string Job;
  workspaces::key_digest KeyDigest = {}; ///< Of the caller's key, or empty.
};
/// Queries the number of jobs of a queue that have not started.
struct queue_length_call {
  std::string HostName;
  std::string Path;
  workspaces::key_digest KeyDigest = {}; ///< Of the caller's key, or empty.
};
/// An endpoint reports that it is up, and its facts.
struct heartbeat_call {
  endpoint_heartbeat Heartbeat;
};
/// An endpoint reports that it is about to exit.
struct deregister_call {
  std::string EndpointId;
  std::optional<std::uint64_t> IncarnationMs = {}; ///< If the body has it.
};
/// Replaces the configuration.
struct configure_call {
  configuration Configuration;
};
/// Queries the configuration in force.
struct read_configuration_call {};
/// Starts a maintenance wave.
struct start_wave_call {
  std::uint64_t Wave = 0;
  std::vector<std::string> Hosts;
  std::uint32_t DeadlineMs = 0; ///< Counted from the start of the wave.
  std::uint32_t MaxCount = 1;   ///< Hosts under maintenance at the same time.
};
/// Queries whether a wave is complete.
struct wave_state_call {
  std::uint64_t Wave = 0;
};

/// Requests of callers, endpoints and operators to the scheduler.
using call_body =
    std::variant<submit_call, job_state_call, cancel_call, queue_length_call,
                 heartbeat_call, deregister_call, configure_call,
                 read_configuration_call, start_wave_call, wave_state_call>;

/// Sets the digest of the caller's key in a call that has one.
void setKeyDigest(call_body &Call, workspaces::key_digest Digest);

/// A request to the scheduler.
struct call {
  std::uint64_t Id = 0; ///< Returned in the reply.
  call_body Body;
};

enum class reply_kind : std::uint8_t {
  Accepted,
  State,       ///< State of a job, in State.
  QueueLength, ///< Number of jobs, in Count.
  Text,        ///< The configuration, in Text.
  WaveRunning,
  WaveComplete,
  NoSuchQueue,
  NoSuchJob,
  NoSuchWave,
  Unauthorized, ///< Never executed; the queue requires a valid key.
  Forbidden,    ///< Never executed; the job is one of another workspace.
  NotLeader,    ///< Not handled; Leader is the address of the leader, if known.
  Unavailable,  ///< Certainly not executed; the caller may retry.
  Unknown,      ///< May or may not be executed.
  TooLarge,     ///< Never executed; the change exceeds what the log accepts.
  Overloaded,   ///< Never executed; the job would be of no use when it ends, or
                ///< exceeds its workspace's rate. RetryAfterS tells when to
                ///< submit it again.
};

/// The reply to a call.
struct reply {
  std::uint64_t Id = 0;
  reply_kind Kind = reply_kind::Unavailable;
  job_state State = job_state::Queued;
  std::uint32_t Count = 0;
  std::string Text;
  std::string Leader;            ///< IP address.
  std::uint32_t RetryAfterS = 0; ///< Of Overloaded.
  /// Where the endpoint is to send its next heartbeats, in the reply to one;
  /// empty for no change.
  std::optional<core::network_address> HeartbeatAddress = {};
};

/// \returns a fixed name for logs and metrics.
std::string_view toString(reply_kind Kind);

} // namespace lycheetrestle::scheduling

#endif
