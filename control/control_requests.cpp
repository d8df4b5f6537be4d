#include "control/control_loop.h"
#include "control/control_queries.h"
#include "declaration/declaration.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::control {

namespace {

using core::error_code;
using core::failure;
using core::verdict;

// Limit for each of the queues of changes, queries and probes. A change of a
// key takes about 100 bytes, so a full queue holds about 2 MB of payload, twice
// raft_settings::MaxInFlightBytes.
constexpr std::size_t MaxPendingOperations = 20000;

} // namespace

void control_loop::handle(control_request Request, core::time_point Now) {
  LastTime = Now;
  const auto *Query = std::get_if<query_operation>(&Request.Operation);
  if (Query && Query->Kind == query_kind::Replicas) {
    answerQuery(Request, Now);
    return;
  }
  if (ShutdownSince) {
    answerFailure(Request.Id,
                  {error_code::Unavailable,
                   "this replica is shutting down; send the request to "
                   "another one",
                   "", "", verdict::NotRun});
    return;
  }
  if (!isLeader()) {
    answerFailure(Request.Id, notLeader());
    return;
  }
  if (auto *Submit = std::get_if<submit_operation>(&Request.Operation)) {
    submit(Request.Id, std::move(*Submit), Now);
    return;
  }
  if (CollectedReads.Requests.size() >= MaxPendingOperations) {
    answerFailure(Request.Id,
                  {error_code::Overloaded,
                   "too many queries are pending at the leader; try again", "",
                   "", verdict::NotRun});
    return;
  }
  CollectedReads.Requests.push_back(std::move(Request));
}

void control_loop::submit(std::uint64_t Id, submit_operation Operation,
                          core::time_point Now) {
  if (QueuedProposals.size() >= MaxPendingOperations) {
    answerFailure(Id, {error_code::Overloaded,
                       "too many changes are pending at the leader; try again",
                       "", "", verdict::NotRun});
    return;
  }
  // A resend goes through the log again: only the state machine can distinguish
  // it from a different change under the same id, and it executes neither.
  bool IsResend = State.findSubmission(Operation.Submission).has_value();
  if (auto Failure = resolve(Operation.Body, IsResend, Now)) {
    answerFailure(Id, *Failure);
    return;
  }
  proposal Next;
  Next.Command.Submission = std::move(Operation.Submission);
  Next.Command.Actor = std::move(Operation.Actor);
  Next.Command.Body = std::move(Operation.Body);
  Next.Waiter = operator_waiter{Id};
  Next.Since = Now;
  QueuedProposals.push_back(std::move(Next));
}

std::optional<failure> control_loop::resolve(fleet::command_body &Body,
                                             bool IsResend,
                                             core::time_point Now) const {
  // A declaration that does not reach a majority of the entries would not come
  // into force within its time bound.
  if (std::holds_alternative<fleet::submit_declaration>(Body) && !IsResend &&
      !Entries.hasFreshMajority(Now))
    return failure{error_code::Unavailable,
                   "fewer than a majority of the entries reported within the "
                   "freshness bound; nothing was changed",
                   "entries", "", verdict::NotRun};
  std::uint64_t *Wave = nullptr;
  if (auto *Pause = std::get_if<fleet::pause_wave>(&Body))
    Wave = &Pause->Wave;
  if (auto *Resume = std::get_if<fleet::resume_wave>(&Body))
    Wave = &Resume->Wave;
  if (!Wave || *Wave != 0)
    return std::nullopt;
  // The state of the latest wave is checked only by the state machine, so that
  // a resend names the same wave and is recognized.
  const auto &Waves = State.waves();
  if (Waves.empty())
    return failure{error_code::NotFound, "no wave has been started", "wave", "",
                   verdict::NotRun};
  *Wave = Waves.rbegin()->first;
  return std::nullopt;
}

void control_loop::receive(const std::string &Peer, std::string_view Bytes,
                           core::time_point Now) {
  LastTime = Now;
  if (isControlFrame(Bytes))
    receiveFrame(Peer, Bytes, Now);
  else
    receiveEntryMessage(Peer, Bytes, Now);
}

void control_loop::receiveEntryMessage(const std::string &Peer,
                                       std::string_view Bytes,
                                       core::time_point Now) {
  bool IsKnown = std::any_of(
      Settings.Entries.begin(), Settings.Entries.end(),
      [&](const entry_settings &Entry) { return Entry.Name == Peer; });
  auto Outcome = core::capture([&] { return routing::decodeMessage(Bytes); });
  if (!IsKnown || Outcome.index() != 0) {
    Metrics.add("messages_dropped_total");
    return;
  }
  auto &Message = std::get<0>(Outcome);
  if (const auto *Probe = std::get_if<routing::probe>(&Message)) {
    Metrics.add("probes_total");
    if (isLeader() && !ShutdownSince &&
        CollectedReads.Probes.size() < MaxPendingOperations) {
      CollectedReads.Probes.push_back({Peer, *Probe});
      return;
    }
    read_group Refused;
    Refused.Probes.push_back({Peer, *Probe});
    refuseReads(Refused);
  } else if (const auto *Report =
                 std::get_if<routing::entry_report>(&Message)) {
    if (isLeader())
      Entries.recordReport(Peer, *Report, Now);
  } else if (auto *Reserve = std::get_if<routing::key_reserve>(&Message)) {
    queueKey(Peer, Reserve->RequestId,
             fleet::reserve_key{std::move(Reserve->Key), Reserve->RequestDigest,
                                std::move(Reserve->Holder)},
             Now);
  } else if (auto *Complete = std::get_if<routing::key_complete>(&Message)) {
    queueKey(Peer, Complete->RequestId,
             fleet::complete_key{
                 std::move(Complete->Key), std::move(Complete->Holder),
                 Complete->Status, std::move(Complete->ContentType),
                 std::move(Complete->Body), Complete->BodyDropped},
             Now);
  } else if (auto *Abandon = std::get_if<routing::key_abandon>(&Message)) {
    queueKey(
        Peer, Abandon->RequestId,
        fleet::abandon_key{std::move(Abandon->Key), std::move(Abandon->Holder)},
        Now);
  }
}

void control_loop::queueKey(const std::string &Peer, std::uint64_t RequestId,
                            fleet::command_body Body, core::time_point Now) {
  proposal Next;
  Next.Command.Actor = Peer;
  Next.Command.Body = std::move(Body);
  Next.Waiter = key_waiter{Peer, RequestId};
  Next.Since = Now;
  if (!isLeader() || ShutdownSince) {
    failProposal(Next, notLeader());
    return;
  }
  if (QueuedProposals.size() >= MaxPendingOperations) {
    failProposal(Next, {error_code::Overloaded,
                        "too many changes are pending at the leader; try again",
                        "", "", verdict::NotRun});
    return;
  }
  QueuedProposals.push_back(std::move(Next));
}

void control_loop::replyToKey(const key_waiter &Waiter,
                              const fleet::command_body &Body,
                              const fleet::apply_result &Result) {
  routing::key_reply Reply;
  Reply.RequestId = Waiter.RequestId;
  if (Result.Failure)
    Reply.Reason = std::string(core::toString(Result.Failure->Code));
  const auto *Reserve = std::get_if<fleet::reserve_key>(&Body);
  if (!Reserve) {
    Reply.Outcome = Result.Failure ? routing::key_outcome::Refused
                                   : routing::key_outcome::Granted;
    sendToEntry(Waiter.Peer, Reply);
    return;
  }
  auto Record = State.findKey(Reserve->Key);
  if (Record.Status == fleet::key_status::Unknown) {
    Reply.Outcome = routing::key_outcome::Refused;
  } else if (Record.RequestDigest != Reserve->RequestDigest) {
    Reply.Outcome = routing::key_outcome::Mismatch;
  } else if (Record.Status == fleet::key_status::Completed) {
    Reply.Outcome = routing::key_outcome::Stored;
    Reply.Status = Record.HttpStatus;
    Reply.ContentType = Record.ContentType;
    Reply.Body = Record.Body;
    Reply.BodyDropped = Record.BodyDropped;
  } else {
    Reply.Outcome = Record.Holder == Reserve->Holder
                        ? routing::key_outcome::Granted
                        : routing::key_outcome::Held;
  }
  sendToEntry(Waiter.Peer, Reply);
}

void control_loop::sendToEntry(const std::string &Peer,
                               const routing::message &Message) {
  Messages.push_back({Peer, routing::encode(Message)});
}

void control_loop::startReads(core::time_point Now) {
  if (CollectedReads.isEmpty())
    return;
  auto Outcome = core::capture([&] { return Raft.requestRead(Now); });
  auto Group = std::exchange(CollectedReads, {});
  Group.Since = Now;
  if (const auto *Token = std::get_if<0>(&Outcome))
    UnconfirmedReads.emplace(*Token, std::move(Group));
  else
    refuseReads(Group);
}

void control_loop::finishReads(core::time_point Now) {
  auto Waiting = std::exchange(ConfirmedReads, {});
  for (auto &Group : Waiting) {
    if (Group.Index > AppliedIndex) {
      ConfirmedReads.push_back(std::move(Group));
      continue;
    }
    for (const auto &Probe : Group.Probes)
      answerProbe(Probe, Now);
    for (const auto &Request : Group.Requests)
      answerQuery(Request, Now);
  }
}

void control_loop::refuseReads(read_group &Group) {
  auto Leader = Raft.status().Leader;
  for (const auto &Waiter : Group.Probes) {
    routing::probe_reply Reply;
    Reply.Nonce = Waiter.Probe.Nonce;
    Reply.Leader = Leader ? Leader->Name : "";
    sendToEntry(Waiter.Peer, Reply);
  }
  for (const auto &Request : Group.Requests)
    answerFailure(Request.Id, notLeader());
}

void control_loop::answerProbe(const probe_waiter &Waiter,
                               core::time_point Now) {
  Entries.recordConfirmedProbe(Waiter.Peer, Now);
  routing::probe_reply Reply;
  Reply.Nonce = Waiter.Probe.Nonce;
  Reply.Confirmed = true;
  Reply.Leader = Self.Name;
  Reply.Delta = viewSince(Waiter.Probe.KnownViewIndex);
  sendToEntry(Waiter.Peer, Reply);
}

routing::view_delta control_loop::viewSince(std::uint64_t Known) const {
  routing::view_delta Delta;
  Delta.ViewIndex = State.viewIndex();
  Delta.DeclarationNumber = State.currentDeclaration().Number;
  // Hosts that a declaration removed have no record, so a list of changed hosts
  // cannot contain them. All hosts are sent after a new declaration.
  Delta.IsFull = Known == 0 || State.declarationIndex() > Known;
  if (Delta.IsFull)
    Delta.Services = State.currentDeclaration().Services;
  for (const auto &[Name, Host] : State.hosts())
    if (Delta.IsFull || Host.ChangedIndex > Known)
      Delta.Hosts.push_back({Name, Host.Pool, Host.Spec.Zone, Host.State,
                             Host.Epoch, Host.ChangedIndex});
  return Delta;
}

void control_loop::answerQuery(const control_request &Request,
                               core::time_point Now) {
  auto Raft = status();
  auto Leader = Raft.Leader ? Raft.Leader->Name : std::string();
  auto Outcome = core::capture([&]() -> core::result<std::string> {
    if (const auto *Plan = std::get_if<plan_operation>(&Request.Operation)) {
      BOOST_LEAF_AUTO(Steps,
                      declaration::planDeclaration(State, Plan->Declaration));
      return planToJson(Steps);
    }
    return runQuery(
        std::get<query_operation>(Request.Operation),
        {State, Raft, Entries, Self.Name, Leader, AppliedIndex, Now});
  });
  if (auto *Failure = std::get_if<failure>(&Outcome)) {
    answerFailure(Request.Id, *Failure);
    return;
  }
  Answers.push_back({Request.Id, 200, std::move(std::get<0>(Outcome)), ""});
}

} // namespace lycheetrestle::control
