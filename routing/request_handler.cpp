#include "routing/request_handler.h"

#include "core/checksum.h"
#include "core/event_log.h"
#include "core/invariant.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::routing {

namespace {

constexpr std::size_t MaxKeyBytes = 200;
// Attempts of one request that may end with an unknown outcome. A request whose
// connections break while it runs may itself end the endpoints that run it. A
// second endpoint is tried because the first may have failed by itself; a third
// is not, whatever the budget for all requests allows.
constexpr std::uint32_t MaxUnknownAttempts = 2;
// A grant can name an endpoint that this entry cannot use any more. After this
// many such grants the entries have disagreed for longer than a lease.
constexpr std::uint32_t MaxRegrants = 5;
// Completions may still be unconfirmed when their requests have ended, so there
// can be more keys than requests.
constexpr std::size_t MaxKeysPerRequest = 2;

std::string_view className(fleet::work_class Class) {
  switch (Class) {
  case fleet::work_class::Urgent:
    return "urgent";
  case fleet::work_class::Normal:
    return "normal";
  case fleet::work_class::Batch:
    break;
  }
  return "batch";
}

bool isIdempotentMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD" || Method == "PUT" ||
         Method == "DELETE";
}

bool isKeyText(std::string_view Key) {
  return Key.size() <= MaxKeyBytes &&
         std::all_of(Key.begin(), Key.end(),
                     [](char C) { return C > ' ' && C <= '~'; });
}

std::uint64_t digestOf(const caller_request &Request) {
  std::string Text;
  for (const auto *Part : {&Request.Method, &Request.Service, &Request.Path,
                           &Request.ContentType, &Request.Body})
    // The length prefix keeps different splits into parts distinct.
    Text += std::to_string(Part->size()) + ":" + *Part;
  return core::stableHash(Text);
}

std::int64_t millisecondsBetween(core::time_point From, core::time_point To) {
  return std::chrono::floor<std::chrono::milliseconds>(To - From).count();
}

} // namespace

request_handler::request_handler(handler_context Context)
    : Context(Context), Requests(Context.Settings.MaxInFlight),
      Slots(Context.Settings.Incarnation),
      Keys(Context.NextId,
           MaxKeysPerRequest * std::size_t(Context.Settings.MaxInFlight)) {}

request_handler::refusal
request_handler::checkArrival(const caller_request &Request,
                              core::time_point Now) const {
  if (IsStopping)
    return {503, "stopping"};
  if (!Context.Guard.isFresh(Now))
    return {503, "not-fresh"};
  if (!Context.View.findService(Request.Service))
    return {404, "unknown-service"};
  if (!isKeyText(Request.Key))
    return {400, "bad-key"};
  if (Request.DeadlineMs && *Request.DeadlineMs == 0)
    return {400, "bad-deadline"};
  if (Requests.isFull())
    return {503, "overloaded"};
  if (!Request.Key.empty() && !Keys.hasLeader())
    return {503, "control-unavailable"};
  return {};
}

void request_handler::onCallerRequest(caller_request Request,
                                      core::time_point Now) {
  auto Refusal = checkArrival(Request, Now);
  if (Refusal.Status != 0)
    return refuseArrival(Request, Refusal);
  const auto &Service = *Context.View.findService(Request.Service);
  ++Arrivals[Request.Service];
  budgetOf(Request.Service).recordRequest(Now);

  tracked_request Tracked;
  Tracked.Class = Request.Class.value_or(Service.DefaultClass);
  Tracked.Arrived = Now;
  Tracked.Deadline = Now + std::chrono::milliseconds(std::min(
                               Request.DeadlineMs.value_or(Service.DeadlineMs),
                               Context.Settings.MaxDeadlineMs));
  Tracked.IsIdempotent =
      Request.Key.empty() && isIdempotentMethod(Request.Method);
  Tracked.Request = std::move(Request);
  auto *Added = Requests.add(std::move(Tracked));
  core::checkInvariant(Added != nullptr,
                       "every request of a caller has a unique id");
  if (!Added->isKeyed())
    return requestSlot(*Added, Now);

  Added->Phase = request_phase::Reserving;
  const auto &Caller = Added->Request;
  key_reserve Reserve;
  Reserve.Key = Caller.Service + "/" + Caller.Key;
  Reserve.RequestDigest = digestOf(Caller);
  Reserve.Holder = Context.Settings.Self + "#" +
                   std::to_string(Context.Settings.Incarnation) + "/" +
                   std::to_string(Context.NextId());
  if (!Keys.reserve(Caller.Id, std::move(Reserve), Now))
    refuse(*Added, {503, "overloaded"}, Now);
}

void request_handler::refuseArrival(const caller_request &Request,
                                    refusal Refusal) {
  caller_response Response;
  Response.Id = Request.Id;
  Response.Status = Refusal.Status;
  Response.Refusal = Refusal.Reason;
  Response.CorrelationId = Request.CorrelationId;
  count(Response, Request.Class.value_or(fleet::work_class::Normal));
  Output.Responses.push_back(std::move(Response));
}

void request_handler::requestSlot(tracked_request &Request,
                                  core::time_point Now) {
  slot_request Slot;
  Slot.RequestId = Context.NextId();
  Slot.Service = Request.Request.Service;
  Slot.Class = Request.Class;
  Slot.Avoid = Request.Avoid;
  Requests.startWaiting(Request, Slot.RequestId);
  Slots.request(std::move(Slot), Request.Deadline, Now);
}

void request_handler::onGrant(const std::string &Peer, const slot_grant &Grant,
                              core::time_point Now) {
  if (!Slots.onGrant(Peer, Grant))
    return;
  auto *Request = Requests.findBySlot(Grant.RequestId);
  core::checkInvariant(Request != nullptr,
                       "every pending slot belongs to a request");
  auto ReleaseSlot = [&] { Slots.release(Grant.RequestId, 0, false); };
  if (!Context.Guard.isFresh(Now)) {
    ReleaseSlot();
    return refuse(*Request, {503, "not-fresh"}, Now);
  }
  if (Request->Deadline - Now < std::chrono::milliseconds(1)) {
    ReleaseSlot();
    return refuse(*Request, {504, "deadline"}, Now);
  }
  const auto *Endpoint = Context.Registry.findUsable(Grant.Endpoint, Now);
  if (Endpoint && Endpoint->Service == Request->Request.Service &&
      Context.View.allowsWork(Endpoint->Service, Endpoint->Host))
    return dispatch(*Request, *Endpoint, Now);

  ReleaseSlot();
  if (++Request->Regrants > MaxRegrants)
    return refuse(*Request, {503, "no-endpoint"}, Now);
  Request->Avoid.push_back(Grant.Endpoint);
  requestSlot(*Request, Now);
}

void request_handler::dispatch(tracked_request &Request,
                               const announcement &Endpoint,
                               core::time_point Now) {
  if (Request.isKeyed())
    Keys.markDispatched(Request.Request.Id);
  Requests.startAttempt(Request, Context.NextId(), Now);
  Request.Endpoint = Endpoint.Endpoint;
  Request.Host = Endpoint.Host;
  upstream_request Attempt;
  Attempt.Attempt = Request.Attempt;
  Attempt.Endpoint = Endpoint.Endpoint;
  Attempt.Address = Endpoint.Address;
  Attempt.Method = Request.Request.Method;
  Attempt.Path = Request.Request.Path;
  Attempt.CorrelationId = Request.Request.CorrelationId;
  Attempt.ContentType = Request.Request.ContentType;
  Attempt.Body = Request.Request.Body;
  Attempt.Class = Request.Class;
  Attempt.DeadlineMs =
      static_cast<std::uint32_t>(millisecondsBetween(Now, Request.Deadline));
  Attempt.MaxConnections = Endpoint.Connections;
  Output.Dispatch.push_back(std::move(Attempt));
}

void request_handler::onUpstreamResult(upstream_result Result,
                                       core::time_point Now) {
  auto *Request = Requests.findByAttempt(Result.Attempt);
  if (!Request) {
    Context.Metrics.add("upstream_results_ignored_total");
    return;
  }
  bool IsComplete = Result.Status == upstream_status::Complete;
  bool IsCertainlyNotRun = Result.Status == upstream_status::NotSent ||
                           (IsComplete && Result.ReportedNotRun);
  auto ServiceMs = millisecondsBetween(Request->AttemptStart, Now);
  bool Ran = IsComplete && !IsCertainlyNotRun;
  // A time of 0 would mean that nothing was measured.
  Slots.release(
      Request->SlotId,
      Ran ? static_cast<std::uint32_t>(std::max<std::int64_t>(ServiceMs, 1))
          : 0,
      !Ran);
  Requests.endAttempt(*Request);
  if (Ran)
    onCompleteResponse(*Request, std::move(Result), Now);
  else
    onFailedAttempt(*Request, Result, IsCertainlyNotRun, Now);
}

void request_handler::onCompleteResponse(tracked_request &Request,
                                         upstream_result Result,
                                         core::time_point Now) {
  caller_response Response;
  Response.Status = Result.HttpStatus;
  Response.Verdict = core::verdict::Ran;
  Response.ContentType = std::move(Result.ContentType);
  Response.Body = std::move(Result.Body);
  if (Request.isKeyed()) {
    key_complete Complete;
    Complete.Status = Response.Status;
    Complete.ContentType = Response.ContentType;
    Complete.BodyDropped =
        Response.Body.size() > Context.Settings.MaxStoredResponse;
    if (!Complete.BodyDropped)
      Complete.Body = Response.Body;
    Keys.complete(Request.Request.Id, std::move(Complete), Now);
  }
  respond(Request, std::move(Response), Now);
}

void request_handler::onFailedAttempt(tracked_request &Request,
                                      const upstream_result &Result,
                                      bool IsCertainlyNotRun,
                                      core::time_point Now) {
  core::logEvent(core::log_level::Debug, "attempt_failed",
                 {{"endpoint", Request.Endpoint},
                  {"correlation", Request.Request.CorrelationId},
                  {"certain", IsCertainlyNotRun},
                  {"reason", Result.Reason}});
  if (!IsCertainlyNotRun) {
    Request.MayHaveRun = true;
    ++Request.UnknownAttempts;
  } else if (Request.isKeyed()) {
    Keys.markNotRun(Request.Request.Id);
  }
  if (mayRetry(Request, IsCertainlyNotRun, Now)) {
    Context.Metrics.add("retries_total");
    Request.Avoid.push_back(Request.Endpoint);
    return requestSlot(Request, Now);
  }
  if (!IsCertainlyNotRun)
    return refuse(Request, {502, "upstream-failed"}, Now);
  refuse(Request,
         {503, Result.Status == upstream_status::NotSent
                   ? "endpoint-unreachable"
                   : "endpoint-refused"},
         Now);
}

bool request_handler::mayRetry(const tracked_request &Request,
                               bool IsCertainlyNotRun, core::time_point Now) {
  bool IsAllowed =
      Request.IsIdempotent || (Request.isKeyed() && IsCertainlyNotRun);
  if (!IsAllowed || Request.IsCallerDisconnected || Now >= Request.Deadline ||
      Request.Attempts > Context.Settings.MaxRetries ||
      Request.UnknownAttempts >= MaxUnknownAttempts)
    return false;
  return budgetOf(Request.Request.Service).tryRetry(Now);
}

void request_handler::onKeyReply(const key_reply &Reply, core::time_point Now) {
  auto Decision = Keys.onReply(Reply, Now);
  if (!Decision)
    return;
  auto *Request = Requests.find(Decision->Request);
  core::checkInvariant(
      Request != nullptr && Request->Phase == request_phase::Reserving,
      "a decision about a key belongs to a request that waits for it");
  switch (Decision->Reply.Outcome) {
  case key_outcome::Granted:
    return requestSlot(*Request, Now);
  case key_outcome::Mismatch:
    return refuse(*Request, {409, "key-conflict"}, Now);
  case key_outcome::Refused:
    return refuse(*Request, {503, "key-refused"}, Now);
  case key_outcome::Held:
  case key_outcome::Stored:
    break;
  }
  caller_response Response;
  Response.Status = Decision->Reply.Status;
  Response.Verdict = core::verdict::Ran;
  Response.ContentType = Decision->Reply.ContentType;
  Response.Body = Decision->Reply.Body;
  if (Decision->Reply.BodyDropped) {
    // The request ran, but its response was too large to be stored.
    Response = {};
    Response.Status = 409;
    Response.Verdict = core::verdict::Ran;
    Response.Refusal = "response-not-kept";
  }
  respond(*Request, std::move(Response), Now);
}

void request_handler::onRefusal(const std::string &Peer,
                                const slot_refusal &Refusal,
                                core::time_point Now) {
  if (!Slots.onRefusal(Peer, Refusal))
    return;
  auto *Request = Requests.findBySlot(Refusal.RequestId);
  core::checkInvariant(Request != nullptr,
                       "every pending slot belongs to a request");
  // Reasons come from another process; only known codes reach a caller.
  for (std::string_view Reason : {"queue-full", "deadline-unreachable"})
    if (Refusal.Reason == Reason)
      return refuse(*Request, {503, Reason}, Now);
  if (Refusal.Reason == "deadline")
    return refuse(*Request, {504, "deadline"}, Now);
  refuse(*Request, {503, "overloaded"}, Now);
}

void request_handler::onCallerDisconnected(std::uint64_t Id,
                                           core::time_point Now) {
  auto *Request = Requests.find(Id);
  if (!Request || Request->IsCallerDisconnected)
    return;
  Request->IsCallerDisconnected = true;
  // An attempt in flight continues: its slot stays in use until it ends, and
  // the response of a keyed request must still be stored.
  if (Request->Phase == request_phase::InFlight)
    return;
  refuse(*Request, {503, "caller-gone"}, Now);
}

void request_handler::expire(tracked_request &Request, core::time_point Now) {
  if (Request.Phase == request_phase::Reserving) {
    if (Keys.isHeldByOther(Request.Request.Id)) {
      Request.MayHaveRun = true;
      return refuse(Request, {504, "key-held"}, Now);
    }
    return refuse(Request, {503, "control-unavailable"}, Now);
  }
  if (Request.Phase == request_phase::InFlight) {
    Output.CancelUpstream.push_back(Request.Attempt);
    Slots.release(Request.SlotId, 0, true);
    Requests.endAttempt(Request);
    Request.MayHaveRun = true;
  }
  refuse(Request, {504, "deadline"}, Now);
}

void request_handler::refuse(tracked_request &Request, refusal Refusal,
                             core::time_point Now) {
  auto Id = Request.Request.Id;
  // A keyed request is never retried after an unknown outcome, so MayHaveRun
  // means its own attempt unless another holder has the key.
  if (Request.isKeyed()) {
    if (Request.MayHaveRun && !Keys.isHeldByOther(Id))
      Keys.discard(Id);
    else
      Keys.abandon(Id, Now);
  }
  Slots.cancel(Request.SlotId);
  caller_response Response;
  Response.Status = Refusal.Status;
  Response.Refusal = Refusal.Reason;
  Response.Verdict =
      Request.MayHaveRun ? core::verdict::MayHaveRun : core::verdict::NotRun;
  // Status 503 states that nothing was run.
  if (Request.MayHaveRun && Refusal.Status == 503)
    Response.Status = 502;
  respond(Request, std::move(Response), Now);
}

void request_handler::respond(tracked_request &Request,
                              caller_response Response, core::time_point Now) {
  Response.Id = Request.Request.Id;
  Response.CorrelationId = Request.Request.CorrelationId;
  count(Response, Request.Class);
  Context.Metrics.observe(
      "request_ms{class=\"" + std::string(className(Request.Class)) + "\"}",
      std::chrono::duration<double, std::milli>(Now - Request.Arrived).count());
  core::checkInvariant(Requests.find(Response.Id) == &Request &&
                           Request.Attempt == 0,
                       "a request gets exactly one response, after its "
                       "attempts have ended");
  bool IsCallerDisconnected = Request.IsCallerDisconnected;
  Requests.erase(Request);
  if (!IsCallerDisconnected)
    Output.Responses.push_back(std::move(Response));
}

void request_handler::count(const caller_response &Response,
                            fleet::work_class Class) {
  Context.Metrics.add("requests_total{verdict=\"" +
                      std::string(core::toString(Response.Verdict)) +
                      "\",class=\"" + std::string(className(Class)) + "\"}");
  if (!Response.Refusal.empty())
    Context.Metrics.add("refusals_total{reason=\"" + Response.Refusal + "\"}");
}

retry_budget &request_handler::budgetOf(const std::string &Service) {
  return Budgets.try_emplace(Service, Context.Settings.RetryBudget)
      .first->second;
}

void request_handler::setLeader(const std::string &Leader,
                                core::time_point Now) {
  Keys.setLeader(Leader, Now);
}

void request_handler::setOwner(const std::string &Service,
                               const std::string &Owner, core::time_point Now) {
  Slots.setOwner(Service, Owner, Now);
}

void request_handler::tick(core::time_point Now) {
  for (auto Id : Requests.expired(Now))
    expire(*Requests.find(Id), Now);
  Slots.tick(Now);
  Keys.tick(Now);
}

void request_handler::takeOutput(router_output &Target) {
  auto Append = [](auto &To, auto &From) {
    To.insert(To.end(), std::make_move_iterator(From.begin()),
              std::make_move_iterator(From.end()));
    From.clear();
  };
  Append(Target.Responses, Output.Responses);
  Append(Target.Dispatch, Output.Dispatch);
  Append(Target.CancelUpstream, Output.CancelUpstream);
  for (auto &Message : Keys.takeMessages())
    Target.Messages.push_back({Keys.leader(), std::move(Message)});
}

std::map<std::string, std::uint32_t> request_handler::takeArrivals() {
  return std::exchange(Arrivals, {});
}

} // namespace lycheetrestle::routing
