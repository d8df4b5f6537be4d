#include "scheduling/schedule_node.h"

#include "core/event_log.h"
#include "scheduling/job_order.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::scheduling {

namespace {

// A leader that confirmed its leadership within this time answers reads that
// require a key at once. A key that another leader has withdrawn works for no
// longer than that, also at a process that was suspended.
constexpr core::duration ConfirmationValidity = std::chrono::milliseconds(200);

reply_kind toReply(caller_access Access) {
  return Access == caller_access::Forbidden ? reply_kind::Forbidden
                                            : reply_kind::Unauthorized;
}

} // namespace

std::string_view toString(reply_kind Kind) {
  switch (Kind) {
  case reply_kind::Accepted:
    return "accepted";
  case reply_kind::State:
    return "state";
  case reply_kind::QueueLength:
    return "queue_length";
  case reply_kind::Text:
    return "text";
  case reply_kind::WaveRunning:
    return "wave_running";
  case reply_kind::WaveComplete:
    return "wave_complete";
  case reply_kind::NoSuchQueue:
    return "no_such_queue";
  case reply_kind::NoSuchJob:
    return "no_such_job";
  case reply_kind::NoSuchWave:
    return "no_such_wave";
  case reply_kind::Unauthorized:
    return "unauthorized";
  case reply_kind::Forbidden:
    return "forbidden";
  case reply_kind::NotLeader:
    return "not_leader";
  case reply_kind::Unavailable:
    return "unavailable";
  case reply_kind::Unknown:
    return "unknown";
  case reply_kind::TooLarge:
    return "too_large";
  case reply_kind::Overloaded:
    return "overloaded";
  }
  return "invalid";
}

void setKeyDigest(call_body &Call, workspaces::key_digest Digest) {
  std::visit(
      [&](auto &Typed) {
        if constexpr (requires { Typed.KeyDigest; })
          Typed.KeyDigest = std::move(Digest);
      },
      Call);
}

void schedule_node::answer(std::uint64_t Call, reply_kind Kind) {
  if (Call == 0)
    return;
  if (Kind == reply_kind::Unauthorized || Kind == reply_kind::Forbidden)
    Metrics.add("calls_refused_total{reason=\"" + std::string(toString(Kind)) +
                "\"}");
  reply Reply;
  Reply.Id = Call;
  Reply.Kind = Kind;
  Replies.push_back(std::move(Reply));
}

void schedule_node::answer(std::span<const std::uint64_t> Calls,
                           reply_kind Kind) {
  for (auto Call : Calls)
    answer(Call, Kind);
}

void schedule_node::answerDropped(std::uint64_t Call, const command &Command,
                                  reply_kind Kind) {
  auto Waiting = OpenChanges.recordDropped(Command);
  // Another copy may still be committed.
  if (OpenChanges.contains(Command))
    Kind = reply_kind::Unknown;
  answer(Waiting, Kind);
  answer(Call, Kind);
}

void schedule_node::answerNotLeader(std::uint64_t Call) {
  if (Call == 0)
    return;
  reply Reply;
  Reply.Id = Call;
  Reply.Kind = reply_kind::NotLeader;
  Reply.Leader = leaderAddress();
  // A new leader that is not ready yet must not redirect callers to itself.
  if (Reply.Leader == Self.Name)
    Reply.Leader.clear();
  Replies.push_back(std::move(Reply));
}

void schedule_node::reportDepartures(core::time_point Now) {
  for (const auto &Call : Departures.take(Now)) {
    const auto *Endpoint = State.findEndpoint(Call.EndpointId);
    if (!Endpoint || Endpoint->HasDeregistered)
      continue;
    // Not committed: only an answer that the endpoint gets is worth that. It
    // ends the endpoint once nothing listens there.
    if (Leader->recordDeregistration(Call.EndpointId, Now, Call.IncarnationMs))
      core::logEvent(core::log_level::Info, "deregistration_remembered",
                     {{"endpoint", Endpoint->Number}});
  }
}

bool schedule_node::isForming(core::time_point Now) const {
  return State.currentConfiguration().Version == 0 &&
         Members.isGrowing(Raft.status().Members, Now);
}

void schedule_node::handle(call Call, core::time_point Now) {
  if (!Leader || ShutdownSince || isForming(Now)) {
    if (const auto *Departure = std::get_if<deregister_call>(&Call.Body))
      Departures.record(*Departure, Now);
    answerNotLeader(Call.Id);
    return;
  }
  std::visit([&](auto &&Typed) { handleCall(Call.Id, std::move(Typed), Now); },
             std::move(Call.Body));
}

void schedule_node::handleCall(std::uint64_t Id, submit_call Call,
                               core::time_point Now) {
  bool IsUnknown = !State.findQueue(Call.HostName, Call.Path, Call.Job.Id) &&
                   !(State.findJob(Call.Job.Id) &&
                     State.namesJob(Call.HostName, Call.Path, Call.Job.Id));
  if (IsUnknown || accessOf(Call.KeyDigest, Call.HostName, Call.Path,
                            Call.Job.Id) != caller_access::Allowed) {
    read({Id, std::move(Call)}, Now);
    return;
  }
  // A retry of an accepted job needs no space.
  if (isStorageNearlyFull() && State.findJob(Call.Job.Id)) {
    read({Id, std::move(Call)}, Now);
    return;
  }
  submit_job Submit{std::move(Call.HostName), std::move(Call.Path),
                    std::move(Call.Job), std::move(Call.KeyDigest)};
  Submit.IsExactPath = true;
  const auto *Workspace = State.findWorkspace(Submit.KeyDigest);
  // A retry of a job that is accepted, or may be, is no further job.
  if (Workspace && !hasLongRunningStep(Submit.Job) &&
      !State.findJob(Submit.Job.Id) && !OpenChanges.contains(Submit))
    Submit.IsOverRate = Leader->isOverRate(*Workspace, Now);
  if (!refuseOverload(Id, Submit, Now))
    queue(std::move(Submit), Id, Now);
}

bool schedule_node::refuseOverload(std::uint64_t Call, const submit_job &Submit,
                                   core::time_point Now) {
  if (!Leader->hasAdmissionControl() || isKnownOrOpen(Submit.Job.Id))
    return false;
  auto RetryAfterS = Leader->refuse(Submit, Now, core::wallMilliseconds());
  if (!RetryAfterS)
    return false;
  // A later leader may have accepted a copy: the refusal is sent once a
  // majority confirms that there is none.
  submit_call Refused{
      Submit.HostName, Submit.Path, {}, Submit.KeyDigest, *RetryAfterS};
  Refused.Job.Id = Submit.Job.Id;
  read({Call, std::move(Refused)}, Now);
  return true;
}

bool schedule_node::isKnownOrOpen(const std::string &JobId) const {
  submit_job Copy;
  Copy.Job.Id = JobId;
  return State.findJob(JobId) || OpenChanges.contains(Copy);
}

reply schedule_node::confirmRefusal(const submit_call &Call) const {
  reply Reply;
  Reply.Kind =
      isKnownOrOpen(Call.Job.Id) ? reply_kind::Unknown : reply_kind::Overloaded;
  Reply.RetryAfterS = Call.RetryAfterS;
  return Reply;
}

void schedule_node::handleCall(std::uint64_t Id, job_state_call Call,
                               core::time_point Now) {
  if (State.findJob(Call.Job))
    readWithKey({Id, std::move(Call)}, Now);
  else
    read({Id, std::move(Call)}, Now);
}

void schedule_node::handleCall(std::uint64_t Id, cancel_call Call,
                               core::time_point Now) {
  if (!State.namesJob(Call.HostName, Call.Path, Call.Job) ||
      accessOf(Call.KeyDigest, Call.HostName, Call.Path, Call.Job) !=
          caller_access::Allowed) {
    read({Id, std::move(Call)}, Now);
    return;
  }
  queue(cancel_job{std::move(Call.HostName), std::move(Call.Path),
                   std::move(Call.Job), std::move(Call.KeyDigest), true},
        Id, Now);
}

void schedule_node::handleCall(std::uint64_t Id, queue_length_call Call,
                               core::time_point Now) {
  if (State.findQueue(Call.HostName, Call.Path, ""))
    readWithKey({Id, std::move(Call)}, Now);
  else
    read({Id, std::move(Call)}, Now);
}

void schedule_node::handleCall(std::uint64_t Id, heartbeat_call Call,
                               core::time_point Now) {
  if (Leader->recordHeartbeat(Call.Heartbeat, Now))
    answer(Id, reply_kind::Accepted);
  else
    queue(Leader->describeEndpoint(std::move(Call.Heartbeat.Facts), Now), Id,
          Now);
}

void schedule_node::handleCall(std::uint64_t Id, deregister_call Call,
                               core::time_point Now) {
  if (auto Record = Leader->recordDeregistration(Call.EndpointId, Now,
                                                 Call.IncarnationMs))
    queue(*Record, Id, Now);
  else
    answer(Id, reply_kind::Accepted);
}

void schedule_node::handleCall(std::uint64_t Id, configure_call Call,
                               core::time_point Now) {
  if (isStorageNearlyFull() &&
      Call.Configuration.Version <= State.currentConfiguration().Version) {
    read({Id, std::move(Call)}, Now);
    return;
  }
  queue(set_configuration{std::move(Call.Configuration)}, Id, Now);
}

void schedule_node::handleCall(std::uint64_t Id, read_configuration_call Call,
                               core::time_point Now) {
  read({Id, Call}, Now);
}

void schedule_node::handleCall(std::uint64_t Id, start_wave_call Call,
                               core::time_point Now) {
  queue(start_wave{Call.Wave, std::move(Call.Hosts), Call.DeadlineMs,
                   Call.MaxCount},
        Id, Now);
}

void schedule_node::handleCall(std::uint64_t Id, wave_state_call Call,
                               core::time_point Now) {
  read({Id, Call}, Now);
}

void schedule_node::answerApplied(std::uint64_t Call, const command &Command,
                                  apply_outcome Outcome) {
  if (Call == 0)
    return;
  switch (Outcome) {
  case apply_outcome::NoSuchQueue:
    answer(Call, reply_kind::NoSuchQueue);
    return;
  case apply_outcome::NoSuchJob:
    answer(Call, reply_kind::NoSuchJob);
    return;
  case apply_outcome::Unauthorized:
    answer(Call, reply_kind::Unauthorized);
    return;
  case apply_outcome::Forbidden:
    answer(Call, reply_kind::Forbidden);
    return;
  case apply_outcome::TooMany:
    Metrics.add("cancellations_refused_total");
    answer(Call, reply_kind::Unavailable);
    return;
  default:
    break;
  }
  if (std::holds_alternative<submit_job>(Command))
    Metrics.add("jobs_accepted_total");
  answer(Call, reply_kind::Accepted);
}

void schedule_node::read(call Call, core::time_point Now) {
  if (PendingReads.Calls.empty())
    PendingReads.Since = Now;
  PendingReads.Calls.push_back(std::move(Call));
}

void schedule_node::readWithKey(call Call, core::time_point Now) {
  bool IsConfirmed = LeadershipConfirmedAt != core::time_point() &&
                     Now - LeadershipConfirmedAt <= ConfirmationValidity;
  if (!State.currentConfiguration().RequiresKeys || IsConfirmed)
    answerRead(Call);
  else
    read(std::move(Call), Now);
}

caller_access schedule_node::accessOf(std::string_view KeyDigest,
                                      std::string_view HostName,
                                      std::string_view Path,
                                      std::string_view Job) const {
  return State.accessOf(KeyDigest, HostName, Path, State.findJob(Job));
}

void schedule_node::flushReads(core::time_point Now) {
  if (PendingReads.Calls.empty())
    return;
  auto Outcome = core::capture([&] { return Raft.requestRead(Now); });
  if (const auto *Token = std::get_if<0>(&Outcome))
    RequestedReads.emplace(*Token, std::exchange(PendingReads, {}));
  else
    refuse(PendingReads);
}

void schedule_node::refuse(read_group &Group) {
  for (const auto &Call : std::exchange(Group.Calls, {}))
    answerNotLeader(Call.Id);
}

void schedule_node::finishReads() {
  std::erase_if(ConfirmedReads, [this](read_group &Group) {
    if (Group.Index > AppliedIndex)
      return false;
    for (const auto &Call : Group.Calls)
      answerRead(Call);
    return true;
  });
}

void schedule_node::answerRead(const call &Call) {
  const auto *JobState = std::get_if<job_state_call>(&Call.Body);
  // The prefix of a queue may end like the id of a job.
  if (JobState &&
      State.findQueue(JobState->HostName, JobState->Path, "") != nullptr) {
    answerRead({Call.Id, queue_length_call{JobState->HostName, JobState->Path,
                                           JobState->KeyDigest}});
    return;
  }
  reply Reply;
  Reply.Id = Call.Id;
  auto Access = std::visit(
      [this](const auto &Typed) {
        if constexpr (requires { Typed.Job.Id; })
          return accessOf(Typed.KeyDigest, Typed.HostName, Typed.Path,
                          Typed.Job.Id);
        else if constexpr (requires { Typed.Job; })
          return accessOf(Typed.KeyDigest, Typed.HostName, Typed.Path,
                          Typed.Job);
        else if constexpr (requires { Typed.KeyDigest; })
          return accessOf(Typed.KeyDigest, Typed.HostName, Typed.Path, "");
        else
          return caller_access::Allowed;
      },
      Call.Body);
  if (Access != caller_access::Allowed) {
    answer(Call.Id, toReply(Access));
    return;
  }
  if (const auto *Submit = std::get_if<submit_call>(&Call.Body);
      Submit && Submit->RetryAfterS > 0) {
    Reply = confirmRefusal(*Submit);
    Reply.Id = Call.Id;
  } else if (Submit) {
    // A configuration that was committed meanwhile may have added the queue;
    // the caller then has to submit the job again.
    const auto &Id = Submit->Job.Id;
    if (State.findJob(Id) && State.namesJob(Submit->HostName, Submit->Path, Id))
      Reply.Kind = reply_kind::Accepted;
    else
      Reply.Kind = State.findQueue(Submit->HostName, Submit->Path, Id)
                       ? reply_kind::Unavailable
                       : reply_kind::NoSuchQueue;
  } else if (const auto *Change = std::get_if<configure_call>(&Call.Body)) {
    Reply.Kind =
        Change->Configuration.Version <= State.currentConfiguration().Version
            ? reply_kind::Accepted
            : reply_kind::Unavailable;
  } else if (const auto *Cancel = std::get_if<cancel_call>(&Call.Body)) {
    // A configuration that was committed meanwhile may have added the key.
    Reply.Kind = State.namesJob(Cancel->HostName, Cancel->Path, Cancel->Job)
                     ? reply_kind::Unavailable
                     : reply_kind::NoSuchJob;
  } else if (JobState) {
    const auto *Job =
        State.namesJob(JobState->HostName, JobState->Path, JobState->Job)
            ? State.findJob(JobState->Job)
            : nullptr;
    Reply.Kind = Job ? reply_kind::State : reply_kind::NoSuchJob;
    if (Job)
      Reply.State = Job->State;
  } else if (const auto *Length = std::get_if<queue_length_call>(&Call.Body)) {
    const auto *Queue = State.findQueue(Length->HostName, Length->Path, "");
    Reply.Kind = Queue ? reply_kind::QueueLength : reply_kind::NoSuchQueue;
    if (Queue)
      Reply.Count = State.pendingJobs(Queue->HostName, Queue->PathPrefix);
  } else if (const auto *Wave = std::get_if<wave_state_call>(&Call.Body)) {
    auto Found = State.waves().find(Wave->Wave);
    Reply.Kind = Found == State.waves().end() ? reply_kind::NoSuchWave
                 : Found->second.isComplete() ? reply_kind::WaveComplete
                                              : reply_kind::WaveRunning;
  } else {
    const auto &Configuration = State.currentConfiguration();
    Reply.Kind =
        Configuration.Version == 0 ? reply_kind::Unavailable : reply_kind::Text;
    Reply.Text = Configuration.Text;
  }
  Replies.push_back(std::move(Reply));
}

void schedule_node::orderFinished(order_result Result, core::time_point Now) {
  if (Leader)
    Leader->finishOrder(std::move(Result), Now);
}

} // namespace lycheetrestle::scheduling
