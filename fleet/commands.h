#ifndef LYCHEETRESTLE_FLEET_COMMANDS_H
#define LYCHEETRESTLE_FLEET_COMMANDS_H

#include "core/failure.h"
#include "fleet/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace lycheetrestle::fleet {

/// Submits a declaration. The leader parsed and checked it before proposing
/// it; the state machine repeats the checks against the state at that index.
struct submit_declaration {
  declaration Declaration;
};

/// Requests that a host be drained, rebooted, moved or returned to service. The
/// goal stays on the host until it is carried out or replaced; until then, a
/// host in service may be cordoned only for that goal.
struct request_host_goal {
  std::string Host;
  host_goal Goal = host_goal::None; ///< None returns it to service.
  std::string TargetPool;
};

/// Moves a host to another state of its life cycle. The planned transitions
/// from Cordoned, Draining, Drained and SetAside back to Returning need goal
/// None.
struct change_host_state {
  std::string Host;
  std::uint64_t FromEpoch = 0; ///< Refused if the host has another epoch.
  host_state To = host_state::InService;
  host_goal Goal = host_goal::None; ///< Set when To is Cordoned.
  std::string TargetPool;           ///< Set when Goal is Move.
  std::uint64_t Wave = 0;           ///< Set when a wave cordons the host.
  std::string Reason;
};

/// Starts a maintenance wave over all hosts. Refused while another wave is not
/// finished.
struct start_wave {};
/// Pauses a running wave: it cordons no further hosts.
struct pause_wave {
  std::uint64_t Wave = 0;
  std::string Reason;
};
/// Resumes a paused wave and resets its count of failures.
struct resume_wave {
  std::uint64_t Wave = 0;
};
/// Finishes a running wave; refused while a host is neither done nor lost.
struct finish_wave {
  std::uint64_t Wave = 0;
};

/// Adds a waiting job.
struct submit_job {
  std::string Team;
  std::string Pool;
  work_class Class = work_class::Normal;
  resources Declared;
  std::uint32_t RunSeconds = 0; ///< Declared run time.
};
/// Cancels a job; a job that holds a lease ends only once its host has stopped
/// it.
struct cancel_job {
  std::uint64_t Job = 0;
};
/// Binds a waiting or checkpointed job to a host under a new lease.
struct start_job {
  std::uint64_t Job = 0;
  std::string Host;
  std::uint64_t HostEpoch = 0;
  std::int64_t LeaseUntilMs = 0;
};
/// Extends the lease of a job; a lease cannot become shorter.
struct renew_job_lease {
  std::uint64_t Job = 0;
  std::uint64_t Lease = 0;
  std::int64_t LeaseUntilMs = 0;
};
/// Records a state that the platform reported for a job, or that the job waits
/// again or can never run. A leased job may wait again only once its lease has
/// expired.
struct change_job_state {
  std::uint64_t Job = 0;
  /// Refused if the job has another lease; 0 for a job that never started.
  std::uint64_t Lease = 0;
  job_state To = job_state::Running;
  resources Learned; ///< Measured usage; all zero keeps the known usage.
  std::string Reason;
};

/// Reserves an idempotency key before its request is dispatched. The response
/// is JSON with `outcome`: `granted`, `held` (with `holder`), `stored` (with
/// `status`, `content_type`, `body_bytes` and `body_dropped`; the body is read
/// by findKey()) or `mismatch` (another digest).
struct reserve_key {
  std::string Key; ///< `service/key`.
  std::uint64_t RequestDigest = 0;
  std::string Holder; ///< `entry#incarnation/sequence`; the same on a resend.
};
/// Stores the response of a keyed request. Bodies over 16 KiB are dropped.
struct complete_key {
  std::string Key;
  std::string Holder;
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body; ///< Empty with BodyDropped when it is too large to keep.
  bool BodyDropped = false;
};
/// Releases a key whose request certainly did not run.
struct abandon_key {
  std::string Key;
  std::string Holder;
};

using command_body =
    std::variant<submit_declaration, request_host_goal, change_host_state,
                 start_wave, pause_wave, resume_wave, finish_wave, submit_job,
                 cancel_job, start_job, renew_job_lease, change_job_state,
                 reserve_key, complete_key, abandon_key>;

/// A command with its origin.
struct command {
  std::string Submission;  ///< Makes a resend idempotent; empty when internal.
  std::string Actor;       ///< Operator's name, or `system`.
  std::int64_t TimeMs = 0; ///< Leader's wall time.
  command_body Body;
};

/// \returns the command as CBOR.
std::string encode(const command &Command);
/// \param Bytes bytes as written by encode().
/// \returns the command, or Corrupt if the bytes are malformed or too long.
core::result<command> decodeCommand(std::string_view Bytes);

} // namespace lycheetrestle::fleet

#endif
