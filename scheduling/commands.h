#ifndef LYCHEETRESTLE_SCHEDULING_COMMANDS_H
#define LYCHEETRESTLE_SCHEDULING_COMMANDS_H

#include "scheduling/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling {

/// Replaces the configuration if the new version is higher.
struct set_configuration {
  configuration Configuration;
  bool operator==(const set_configuration &) const = default;
};

/// Adds a job to the queue that the host name and path select at the time when
/// the command is applied.
struct submit_job {
  std::string HostName;
  std::string Path;
  job_spec Job;
  workspaces::key_digest KeyDigest = {}; ///< Of the caller's key, or empty.
  /// The leader received it above the rate of its workspace.
  bool IsOverRate = false;
  /// Nothing but the id may follow the prefix of the queue in the path. Entries
  /// of earlier versions lack it, so that they give the state that they gave
  /// then.
  bool IsExactPath = false;
  bool operator==(const submit_job &) const = default;
};

/// Cancels a job; its runs are stopped.
struct cancel_job {
  std::string HostName;
  std::string Path;
  std::string Job;
  workspaces::key_digest KeyDigest = {}; ///< Of the caller's key, or empty.
  /// An unknown job is not accepted later either. Entries of earlier versions
  /// lack it, so that they give the state that they gave then.
  bool IsBinding = false;
  bool operator==(const cancel_job &) const = default;
};

/// Opens the next occurrence of a repeated job once it is due.
struct open_occurrence {
  std::string Job;
  std::uint32_t Occurrence = 0;
  bool operator==(const open_occurrence &) const = default;
};

/// Assigns a run of a task to an endpoint. The order to start it is sent only
/// after this command is committed.
struct start_run {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::uint32_t Endpoint = 0; ///< Number of the incarnation.
  bool operator==(const start_run &) const = default;
};

/// Records the end of a run. An end as done also completes a task that waits
/// because this run of it was recorded as lost or refused.
struct end_run {
  task_key Task;
  std::uint32_t Attempt = 0;
  run_end Outcome = run_end::Done;
  std::string Checkpoint;
  bool operator==(const end_run &) const = default;
};

/// What the leader knew about the end of an incarnation when it proposed it.
struct incarnation_end {
  end_cause Cause = end_cause::Unknown;
  /// Time since it was last known to be alive; its runs may have ended since.
  std::uint32_t SilentMs = 0;
  /// Runs of it that did not start, or not before it was already down.
  std::vector<task_key> Unstarted;
  bool operator==(const incarnation_end &) const = default;
};

/// Records a new incarnation of an endpoint, or new facts of a known one.
struct record_endpoint {
  endpoint_facts Facts;
  incarnation_end End = {}; ///< Of the earlier incarnation with the same id.
  /// Number of the incarnation that it replaces although that one's start time
  /// is later, because a clock was stepped; 0 when the start times decide.
  std::uint32_t Replaces = 0;
  /// An incarnation with the id ended lately: polls for it may still give this
  /// one a lease in another clock.
  bool MayHoldEarlierLease = false;
  bool operator==(const record_endpoint &) const = default;
};

/// Records that an incarnation has ended; its runs are lost, but for those with
/// open starts.
struct end_endpoint {
  std::uint32_t Endpoint = 0;
  incarnation_end End = {};
  /// Runs with a start order that a later incarnation with its id may still
  /// execute. They stay assigned until that is known.
  std::vector<task_key> OpenStarts = {};
  bool operator==(const end_endpoint &) const = default;
};

/// Starts a maintenance wave.
struct start_wave {
  std::uint64_t Wave = 0;
  std::vector<std::string> Hosts;
  std::uint32_t DeadlineMs = 0;
  std::uint32_t MaxCount = 1;
  bool operator==(const start_wave &) const = default;
};

/// Records that the maintenance of a host is about to be ordered.
struct order_maintenance {
  std::uint64_t Wave = 0;
  std::string Host;
  bool operator==(const order_maintenance &) const = default;
};

/// Records that the maintenance of a host has begun, or that the platform did
/// not know the host for too long.
struct record_maintenance {
  std::uint64_t Wave = 0;
  std::string Host;
  bool operator==(const record_maintenance &) const = default;
};

/// Records the host that an incarnation runs on, so that a later leader can
/// tell from the list of hosts whether the incarnation has ended.
struct record_host {
  std::uint32_t Endpoint = 0;
  std::string Host;
  bool operator==(const record_host &) const = default;
};

/// Records that an incarnation whose runs were recorded as lost is alive: it
/// was out of reach and has not crashed.
struct record_contact {
  std::uint32_t Endpoint = 0;
  bool operator==(const record_contact &) const = default;
};

/// Records that an incarnation deregistered: it exits and never returns.
struct record_deregistration {
  std::uint32_t Endpoint = 0;
  bool operator==(const record_deregistration &) const = default;
};

/// Records that a start order of a run has no answer: it may be executed later,
/// also by the next incarnation of its endpoint. The next leader inherits that.
struct record_open_start {
  task_key Task;
  std::uint32_t Attempt = 0;
  bool operator==(const record_open_start &) const = default;
};

/// Records that the only copy of the start order of a run was answered as
/// accepted, or that a list shows the run: no order is on its way any more.
struct record_answered_start {
  task_key Task;
  std::uint32_t Attempt = 0;
  bool operator==(const record_answered_start &) const = default;
};

/// Ends a live job as failed of which a waiting task has failed as often as its
/// queue allows, because a configuration lowered that number.
struct fail_job {
  std::string Job;
  bool operator==(const fail_job &) const = default;
};

/// The index of an alternative is part of the log format, so their order must
/// not change.
using command =
    std::variant<set_configuration, submit_job, cancel_job, open_occurrence,
                 start_run, end_run, record_endpoint, end_endpoint, start_wave,
                 order_maintenance, record_maintenance, record_host,
                 record_contact, record_deregistration, record_open_start,
                 fail_job, record_answered_start>;

std::string_view toText(run_end Outcome);
std::string_view toText(end_cause Cause);

/// The commands of one log entry.
struct command_batch {
  std::int64_t TimeMs = 0; ///< Wall time of the leader.
  std::vector<command> Commands;
  bool operator==(const command_batch &) const = default;
};

/// \returns the payload of a log entry, in CBOR.
std::string encodeBatch(const command_batch &Batch);

/// \returns the command as the other encodeBatch() takes it.
std::string encodeCommand(const command &Command);

/// \param TimeMs wall time of the leader.
/// \param Commands results of encodeCommand().
/// \returns the payload of a log entry, in CBOR.
std::string encodeBatch(std::int64_t TimeMs,
                        std::span<const std::string_view> Commands);

/// \param Bytes payload of a log entry.
/// \returns the commands, or nothing when the bytes are malformed.
std::optional<command_batch> decodeBatch(std::string_view Bytes);

} // namespace lycheetrestle::scheduling

#endif
