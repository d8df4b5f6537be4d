#ifndef LYCHEETRESTLE_SCHEDULING_FIELDS_H
#define LYCHEETRESTLE_SCHEDULING_FIELDS_H

#include "fleet/cbor_archive.h"
#include "scheduling/commands.h"
#include "scheduling/schedule_state.h"

#include <concepts>
#include <optional>
#include <type_traits>

namespace lycheetrestle::fleet {

template <>
inline constexpr auto LargestEnumerator<scheduling::job_state> =
    scheduling::job_state::Cancelled;
template <>
inline constexpr auto LargestEnumerator<scheduling::run_end> =
    scheduling::run_end::Lost;
template <>
inline constexpr auto LargestEnumerator<scheduling::end_cause> =
    scheduling::end_cause::FailedWithRack;

} // namespace lycheetrestle::fleet

namespace lycheetrestle::workspaces {

/// Matches a record type, const for the writing archive and not const for the
/// reading one.
template <typename Type, typename Record>
concept stored_as = std::same_as<std::remove_const_t<Type>, Record>;

template <typename Archive, stored_as<resource_limit> Type>
void fields(Archive &A, Type &R) {
  A(R.MilliCores, R.MemoryMb, R.Accelerators);
}
template <typename Archive, stored_as<workspace_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.Keys, R.Priority, R.Weight, R.Limit);
}

} // namespace lycheetrestle::workspaces

namespace lycheetrestle::scheduling {

// The fields() functions define which members are stored, and in which order;
// the readers of the log and of snapshots depend on both.

/// Matches a record type, const for the writing archive and not const for the
/// reading one.
template <typename Type, typename Record>
concept record_of = std::same_as<std::remove_const_t<Type>, Record>;

template <typename Archive, record_of<resource_amounts> Type>
void fields(Archive &A, Type &R) {
  A(R.MilliCores, R.MemoryMb, R.Accelerators);
}
template <typename Archive, record_of<advice_terms> Type>
void fields(Archive &A, Type &R) {
  A(R.DecisionMs, R.PerEndpointMs, R.ValidMs);
}
template <typename Archive, record_of<queue_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.HostName, R.PathPrefix, R.Pool, R.Priority, R.MaxAttempts,
    R.TimeoutMs, R.TargetLatencyMs, R.SlackThousandths, R.Advice);
  // Rarely set; without it earlier versions can read the record.
  if (!std::is_const_v<Type> || R.IsPublic)
    A.trailing(R.IsPublic);
}
template <typename Archive, record_of<pool_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.HealthPath, R.EnforcesLimits, R.IsStandby);
}
template <typename Archive, record_of<configuration> Type>
void fields(Archive &A, Type &R) {
  A(R.Version, R.Queues, R.Pools);
  A.bytes(R.Text);
  // Without them earlier versions can read the record.
  if (!std::is_const_v<Type> || R.RequiresKeys)
    A.trailing(R.RequiresKeys, R.Workspaces);
}
template <typename Archive, record_of<step_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.Count, R.Size, R.EstimateMs, R.DependsOn, R.IsCheckpointable, R.IsGang,
    R.PrefersSameRack, R.RequiredLabel, R.DataRack, R.MaxPerEndpoint,
    R.AllowsSpeculativeCopies, R.IsLongRunning, R.Image, R.TargetMs,
    R.IsBestEffort, R.MaxUnavailable);
}
template <typename Archive, record_of<job_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.Id);
  A.bytes(R.Payload);
  A(R.Steps, R.RepeatCount, R.StartAtMs, R.IntervalMs);
}
template <typename Archive, record_of<task_key> Type>
void fields(Archive &A, Type &R) {
  A(R.Job, R.Occurrence, R.Step, R.Index);
}
template <typename Archive, record_of<endpoint_facts> Type>
void fields(Archive &A, Type &R) {
  // The log has the address as text. Versions that did not check it wrote any
  // text; the record is read without an address then.
  auto Address = core::toText(R.Address);
  A(R.Id, R.IncarnationMs, Address, R.Pool, R.Zone, R.Capacity, R.Labels,
    R.Rack, R.IsDraining);
  if constexpr (!std::is_const_v<Type>)
    R.Address = core::network_address::parse(Address);
}

template <typename Archive, record_of<set_configuration> Type>
void fields(Archive &A, Type &R) {
  A(R.Configuration);
}
template <typename Archive, record_of<submit_job> Type>
void fields(Archive &A, Type &R) {
  A(R.HostName, R.Path, R.Job);
  if (!std::is_const_v<Type> || !R.KeyDigest.empty() || R.IsOverRate ||
      R.IsExactPath)
    A.trailing(R.KeyDigest, R.IsOverRate);
  if (!std::is_const_v<Type> || R.IsExactPath)
    A.trailing(R.IsExactPath);
}
template <typename Archive, record_of<cancel_job> Type>
void fields(Archive &A, Type &R) {
  A(R.HostName, R.Path, R.Job);
  if (!std::is_const_v<Type> || !R.KeyDigest.empty() || R.IsBinding)
    A.trailing(R.KeyDigest);
  if (!std::is_const_v<Type> || R.IsBinding)
    A.trailing(R.IsBinding);
}
template <typename Archive, record_of<open_occurrence> Type>
void fields(Archive &A, Type &R) {
  A(R.Job, R.Occurrence);
}
template <typename Archive, record_of<start_run> Type>
void fields(Archive &A, Type &R) {
  A(R.Task, R.Attempt, R.Endpoint);
}
template <typename Archive, record_of<end_run> Type>
void fields(Archive &A, Type &R) {
  A(R.Task, R.Attempt, R.Outcome, R.Checkpoint);
}
template <typename Archive, record_of<incarnation_end> Type>
void fields(Archive &A, Type &R) {
  A(R.Cause, R.SilentMs, R.Unstarted);
}
template <typename Archive, record_of<record_endpoint> Type>
void fields(Archive &A, Type &R) {
  A(R.Facts);
  A.trailing(R.End);
  // Rarely set; without it earlier versions can read the record.
  if (!std::is_const_v<Type> || R.Replaces != 0 || R.MayHoldEarlierLease)
    A.trailing(R.Replaces);
  if (!std::is_const_v<Type> || R.MayHoldEarlierLease)
    A.trailing(R.MayHoldEarlierLease);
}
template <typename Archive, record_of<end_endpoint> Type>
void fields(Archive &A, Type &R) {
  A(R.Endpoint);
  A.trailing(R.End);
  // Rarely set; without it earlier versions can read the record.
  if (!std::is_const_v<Type> || !R.OpenStarts.empty())
    A.trailing(R.OpenStarts);
}
template <typename Archive, record_of<start_wave> Type>
void fields(Archive &A, Type &R) {
  A(R.Wave, R.Hosts, R.DeadlineMs, R.MaxCount);
}
template <typename Archive, record_of<order_maintenance> Type>
void fields(Archive &A, Type &R) {
  A(R.Wave, R.Host);
}
template <typename Archive, record_of<record_maintenance> Type>
void fields(Archive &A, Type &R) {
  A(R.Wave, R.Host);
}

template <typename Archive, record_of<record_host> Type>
void fields(Archive &A, Type &R) {
  A(R.Endpoint, R.Host);
}
template <typename Archive, record_of<record_contact> Type>
void fields(Archive &A, Type &R) {
  A(R.Endpoint);
}

template <typename Archive, record_of<record_deregistration> Type>
void fields(Archive &A, Type &R) {
  A(R.Endpoint);
}

template <typename Archive, record_of<record_open_start> Type>
void fields(Archive &A, Type &R) {
  A(R.Task, R.Attempt);
}

template <typename Archive, record_of<record_answered_start> Type>
void fields(Archive &A, Type &R) {
  A(R.Task, R.Attempt);
}

template <typename Archive, record_of<fail_job> Type>
void fields(Archive &A, Type &R) {
  A(R.Job);
}

template <typename Archive, record_of<task_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Attempt, R.Failures, R.Endpoint, R.IsDone, R.Checkpoint);
  A.trailing(R.StartedMs);
  // Rarely set; without it earlier versions can read the record.
  if (!std::is_const_v<Type> || R.OpenStartMs != 0 || R.IsStartAnswered)
    A.trailing(R.OpenStartMs);
  if (!std::is_const_v<Type> || R.IsStartAnswered)
    A.trailing(R.IsStartAnswered);
}
template <typename Archive, record_of<crash_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Incarnation, R.EndpointId, R.Host);
  A.trailing(R.IsAlone, R.TimeMs, R.RanMs, R.SilentMs);
}
template <typename Archive, record_of<recent_crash> Type>
void fields(Archive &A, Type &R) {
  A(R.Incarnation, R.Pool, R.TimeMs);
}
template <typename Archive, record_of<suspect_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Occurrence, R.Step, R.Index, R.Attempt, R.Crashes, R.RanMs,
    R.RackFailures, R.WasExonerated);
}
template <typename Archive, record_of<lost_run> Type>
void fields(Archive &A, Type &R) {
  A(R.Task, R.Attempt, R.StartedMs, R.EndedMs);
}
template <typename Archive, record_of<step_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Tasks, R.Done);
  // Rarely set; without it earlier versions can read the record.
  if (!std::is_const_v<Type> || R.FailedAttempt != 0)
    A.trailing(R.FailedAttempt);
}
template <typename Archive, record_of<occurrence_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Number, R.Steps, R.StepsDone);
}
template <typename Archive, record_of<job_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Spec, R.QueueHost, R.QueuePrefix, R.Pool, R.State, R.SubmittedMs,
    R.EndedMs, R.NextOccurrence, R.OccurrencesDone, R.OpenOccurrences,
    R.RunsLeft);
  A.trailing(R.Suspects);
  // Earlier versions ended jobs because of crashes and stored the task here.
  // Without the last two they can read the record of a job that has ended or
  // waits.
  std::optional<suspect_record> GivenUp;
  bool HasWorkspace = !std::is_const_v<Type> || !R.Workspace.empty();
  if (HasWorkspace || R.RemovedQueue || R.HasOnlyRefusals)
    A.trailing(GivenUp, R.RemovedQueue, R.HasOnlyRefusals);
  if (HasWorkspace)
    A.trailing(R.Workspace, R.IsOverRate);
}
template <typename Archive, record_of<endpoint_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Number, R.Facts, R.Runs);
  A.trailing(R.Host, R.IsMaintenanceOrdered, R.LostRuns);
  // Rarely set; without it earlier versions can read the record.
  bool IsSuccessor = !std::is_const_v<Type> || R.TookOverMs != 0;
  if (IsSuccessor || R.HasDeregistered || R.HasEnded)
    A.trailing(R.HasDeregistered);
  if (IsSuccessor || R.HasEnded)
    A.trailing(R.HasEnded);
  if (IsSuccessor)
    A.trailing(R.TookOverMs);
}
template <typename Archive, record_of<job_tombstone> Type>
void fields(Archive &A, Type &R) {
  A(R.Job, R.Workspace, R.TimeMs);
}
template <typename Archive, record_of<wave_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Wave, R.Hosts, R.Ordered, R.Begun, R.MaxCount, R.DeadlineMs, R.StartedMs);
}

} // namespace lycheetrestle::scheduling

#endif
