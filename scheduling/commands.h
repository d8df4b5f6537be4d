#ifndef LYCHEETRESTLE_SCHEDULING_COMMANDS_H
#define LYCHEETRESTLE_SCHEDULING_COMMANDS_H

#include "scheduling/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling {

/// Puts a configuration in force unless a version at least as high is.
struct set_configuration {
  configuration Configuration;
  bool operator==(const set_configuration &) const = default;
};

/// Accepts a job for the queue that the host name and path select when the
/// command is applied.
struct submit_job {
  std::string HostName;
  std::string Path;
  job_spec Job;
  bool operator==(const submit_job &) const = default;
};

struct cancel_job {
  std::string HostName;
  std::string Path;
  std::string Job;
  bool operator==(const cancel_job &) const = default;
};

/// Creates an occurrence of a repeated job that is due.
struct open_occurrence {
  std::string Job;
  std::uint32_t Occurrence = 0;
  bool operator==(const open_occurrence &) const = default;
};

/// Assigns a run of a task to an endpoint. It is sent only once committed.
struct start_run {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::uint32_t Endpoint = 0; ///< Number of the life.
  bool operator==(const start_run &) const = default;
};

/// Records the end of a run.
struct end_run {
  task_key Task;
  std::uint32_t Attempt = 0;
  run_end Outcome = run_end::Done;
  std::string Checkpoint;
  bool operator==(const end_run &) const = default;
};

/// Records a new life of an endpoint, or new facts of a known one.
struct record_endpoint {
  endpoint_facts Facts;
  bool operator==(const record_endpoint &) const = default;
};

/// Records that a life is over; its runs are lost.
struct end_endpoint {
  std::uint32_t Endpoint = 0;
  bool operator==(const end_endpoint &) const = default;
};

struct start_wave {
  std::uint64_t Wave = 0;
  std::vector<std::string> Hosts;
  std::uint32_t DeadlineMs = 0;
  std::uint32_t MaxCount = 1;
  bool operator==(const start_wave &) const = default;
};

/// Records that the upkeep of a host is about to be ordered.
struct order_maintenance {
  std::uint64_t Wave = 0;
  std::string Host;
  bool operator==(const order_maintenance &) const = default;
};

/// Records that the upkeep of a host has begun, or that the host has left.
struct record_maintenance {
  std::uint64_t Wave = 0;
  std::string Host;
  bool operator==(const record_maintenance &) const = default;
};

using command =
    std::variant<set_configuration, submit_job, cancel_job, open_occurrence,
                 start_run, end_run, record_endpoint, end_endpoint, start_wave,
                 order_maintenance, record_maintenance>;

/// Commands that share one log entry.
struct command_batch {
  std::int64_t TimeMs = 0; ///< Wall time of the leader.
  std::vector<command> Commands;
  bool operator==(const command_batch &) const = default;
};

/// \param Batch the commands.
/// \returns their CBOR bytes.
std::string encodeBatch(const command_batch &Batch);

/// \param Bytes bytes of a log entry.
/// \returns the commands, or nothing when the bytes are malformed.
std::optional<command_batch> decodeBatch(std::string_view Bytes);

} // namespace lycheetrestle::scheduling

#endif
