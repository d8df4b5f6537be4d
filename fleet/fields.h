#ifndef LYCHEETRESTLE_FLEET_FIELDS_H
#define LYCHEETRESTLE_FLEET_FIELDS_H

#include "fleet/cbor_archive.h"
#include "fleet/commands.h"
#include "fleet/fleet_state.h"
#include "fleet/types.h"

#include <concepts>
#include <type_traits>

namespace lycheetrestle::fleet {

template <>
inline constexpr auto LargestEnumerator<host_state> = host_state::SetAside;
template <>
inline constexpr auto LargestEnumerator<work_class> = work_class::Batch;
template <>
inline constexpr auto LargestEnumerator<host_goal> = host_goal::Move;
template <>
inline constexpr auto LargestEnumerator<wave_state> = wave_state::Finished;
template <>
inline constexpr auto LargestEnumerator<job_state> = job_state::Impossible;
template <>
inline constexpr auto LargestEnumerator<key_status> = key_status::Completed;
template <>
inline constexpr auto LargestEnumerator<core::error_code> =
    core::error_code::TooLarge;
template <>
inline constexpr auto LargestEnumerator<core::verdict> = core::verdict::Ran;

/// Matches the record type for both archives; it is const when written.
template <typename Type, typename Record>
concept record_of = std::same_as<std::remove_const_t<Type>, Record>;

template <typename Archive, record_of<resources> Type>
void fields(Archive &A, Type &R) {
  A(R.Cores, R.MemoryMb, R.Accelerators);
}
template <typename Archive, record_of<team_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.Quota);
}
template <typename Archive, record_of<availability_budget> Type>
void fields(Archive &A, Type &R) {
  A(R.MinAvailableHosts, R.MinAvailablePercent);
}
template <typename Archive, record_of<pool_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.Budget, R.Spare, R.AutoSize);
}
template <typename Archive, record_of<service_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.Pool, R.DefaultClass, R.DeadlineMs);
}
template <typename Archive, record_of<host_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.Name, R.HomePool, R.Zone, R.Rack, R.Size);
}
template <typename Archive, record_of<maintenance_spec> Type>
void fields(Archive &A, Type &R) {
  A(R.MaxParallelHosts, R.PauseAfterFailures);
}
template <typename Archive, record_of<declaration> Type>
void fields(Archive &A, Type &R) {
  A(R.Number, R.Teams, R.Pools, R.Services, R.Hosts, R.Maintenance);
}
template <typename Archive, record_of<host_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Spec, R.Pool, R.State, R.Epoch, R.Goal, R.TargetPool, R.Wave, R.LastWave,
    R.ChangedIndex, R.ChangedMs, R.NextGoal, R.NextTargetPool);
}
template <typename Archive, record_of<wave_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.State, R.Total, R.Done, R.Failures, R.PauseReason, R.StartedMs,
    R.FinishedMs);
}
template <typename Archive, record_of<job_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Id, R.Team, R.Pool, R.Class, R.Declared, R.Learned, R.DeclaredRunSeconds,
    R.State, R.Host, R.HostEpoch, R.Lease, R.LeaseUntilMs, R.FailedOn, R.Reason,
    R.CancelRequested, R.SubmittedMs, R.EndedIndex);
}
template <typename Archive, record_of<audit_record> Type>
void fields(Archive &A, Type &R) {
  A(R.Index, R.TimeMs, R.Actor, R.Kind, R.Object, R.Before, R.After, R.Result);
}
template <typename Archive, record_of<core::failure> Type>
void fields(Archive &A, Type &R) {
  A(R.Code, R.Message, R.Field, R.Value, R.Verdict);
}

template <typename Archive, record_of<submit_declaration> Type>
void fields(Archive &A, Type &R) {
  A(R.Declaration);
}
template <typename Archive, record_of<request_host_goal> Type>
void fields(Archive &A, Type &R) {
  A(R.Host, R.Goal, R.TargetPool);
}
template <typename Archive, record_of<change_host_state> Type>
void fields(Archive &A, Type &R) {
  A(R.Host, R.FromEpoch, R.To, R.Goal, R.TargetPool, R.Wave, R.Reason);
}
template <typename Archive, record_of<start_wave> Type>
void fields(Archive &, Type &) {}
template <typename Archive, record_of<pause_wave> Type>
void fields(Archive &A, Type &R) {
  A(R.Wave, R.Reason);
}
template <typename Archive, record_of<resume_wave> Type>
void fields(Archive &A, Type &R) {
  A(R.Wave);
}
template <typename Archive, record_of<finish_wave> Type>
void fields(Archive &A, Type &R) {
  A(R.Wave);
}
template <typename Archive, record_of<submit_job> Type>
void fields(Archive &A, Type &R) {
  A(R.Team, R.Pool, R.Class, R.Declared, R.RunSeconds);
}
template <typename Archive, record_of<cancel_job> Type>
void fields(Archive &A, Type &R) {
  A(R.Job);
}
template <typename Archive, record_of<start_job> Type>
void fields(Archive &A, Type &R) {
  A(R.Job, R.Host, R.HostEpoch, R.LeaseUntilMs);
}
template <typename Archive, record_of<renew_job_lease> Type>
void fields(Archive &A, Type &R) {
  A(R.Job, R.Lease, R.LeaseUntilMs);
}
template <typename Archive, record_of<change_job_state> Type>
void fields(Archive &A, Type &R) {
  A(R.Job, R.Lease, R.To, R.Learned, R.Reason);
}
template <typename Archive, record_of<reserve_key> Type>
void fields(Archive &A, Type &R) {
  A(R.Key, R.RequestDigest, R.Holder);
}
template <typename Archive, record_of<complete_key> Type>
void fields(Archive &A, Type &R) {
  A(R.Key, R.Holder, R.Status, R.ContentType);
  A.bytes(R.Body);
  A(R.BodyDropped);
}
template <typename Archive, record_of<abandon_key> Type>
void fields(Archive &A, Type &R) {
  A(R.Key, R.Holder);
}

} // namespace lycheetrestle::fleet

#endif
