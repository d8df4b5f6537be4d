#ifndef LYCHEETRESTLE_SCHEDULING_CALLS_H
#define LYCHEETRESTLE_SCHEDULING_CALLS_H

#include "scheduling/orders.h"
#include "scheduling/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling {

struct submit_call {
  std::string HostName;
  std::string Path;
  job_spec Job;
};
struct job_state_call {
  std::string HostName;
  std::string Path;
  std::string Job;
};
struct cancel_call {
  std::string HostName;
  std::string Path;
  std::string Job;
};
/// Asks how many jobs of a queue have not begun.
struct queue_length_call {
  std::string HostName;
  std::string Path;
};
struct heartbeat_call {
  endpoint_heartbeat Heartbeat;
};
/// An endpoint says that it ends.
struct deregister_call {
  std::string EndpointId;
};
struct configure_call {
  configuration Configuration;
};
struct read_configuration_call {};
struct start_wave_call {
  std::uint64_t Wave = 0;
  std::vector<std::string> Hosts;
  std::uint32_t DeadlineMs = 0;
  std::uint32_t MaxCount = 1;
};
struct wave_state_call {
  std::uint64_t Wave = 0;
};

/// What callers, endpoints and operators ask of the scheduler.
using call_body =
    std::variant<submit_call, job_state_call, cancel_call, queue_length_call,
                 heartbeat_call, deregister_call, configure_call,
                 read_configuration_call, start_wave_call, wave_state_call>;

struct call {
  std::uint64_t Id = 0; ///< Passed back in the reply.
  call_body Body;
};

enum class reply_kind : std::uint8_t {
  Accepted,
  State,       ///< State of a job.
  QueueLength, ///< Count.
  Text,        ///< The configuration.
  WaveRunning,
  WaveComplete,
  NoSuchQueue,
  NoSuchJob,
  NoSuchWave,
  NotLeader,   ///< Not handled; Leader names the replica to ask, if known.
  Unavailable, ///< Certainly not done; try again later.
  Unknown,     ///< It may be done.
};

struct reply {
  std::uint64_t Id = 0;
  reply_kind Kind = reply_kind::Unavailable;
  job_state State = job_state::Queued;
  std::uint32_t Count = 0;
  std::string Text;
  std::string Leader; ///< IP address.
};

/// \returns a fixed name for logs.
std::string_view toString(reply_kind Kind);

} // namespace lycheetrestle::scheduling

#endif
