#include "fault_world.h"

#include <algorithm>

// The endpoints and the callers of fault_world.
namespace lycheetrestle::routing::test {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t SlotsPerEndpoint = 2;
constexpr int MaxTries = 5;

std::string bodyOf(const std::string &Correlation, const std::string &Key,
                   std::size_t Run) {
  return "response to " + (Key.empty() ? Correlation : Key) + " run " +
         std::to_string(Run);
}

} // namespace

void fault_world::announceLoop(std::size_t Index) {
  auto &Endpoint = Endpoints[Index];
  auto Announce = [&](bool Leaving) {
    announcement News;
    News.Endpoint = Endpoint.Name;
    News.Incarnation = Endpoint.Incarnation;
    News.Sequence = ++Endpoint.Sequence;
    News.Service = Endpoint.Service;
    News.Host = Endpoint.Host;
    News.Pool = "gate";
    News.Address = Endpoint.Address;
    News.Slots = SlotsPerEndpoint;
    News.Leaving = Leaving;
    auto Name = "e" + std::to_string(1 + pick(Entries.size()));
    Clock.after(milliseconds(1, 5), [this, Name, News] {
      deliver(Name, [this, News](entry_router &Router) {
        core::captureFailure(
            [&] { return Router.onAnnouncement(News, Clock.now()); });
      });
    });
  };
  if (Endpoint.State == endpoint_state::Ready) {
    Endpoint.LastReady = Clock.now();
    Announce(false);
  } else if (Endpoint.State == endpoint_state::Leaving) {
    Announce(true);
  }
  Clock.after(milliseconds(900, 1000), [this, Index] { announceLoop(Index); });
}

void fault_world::replaceEndpoint(endpoint &Endpoint) {
  if (Endpoint.State != endpoint_state::Ready)
    return;
  Endpoint.State = chance(0.5) ? endpoint_state::Leaving : endpoint_state::Gone;
  Endpoint.LeftAt = Clock.now();
  auto Index = static_cast<std::size_t>(&Endpoint - Endpoints.data());
  Clock.after(milliseconds(500, 6000), [this, Index] {
    auto &Again = Endpoints[Index];
    Again.State = endpoint_state::Ready;
    Again.LeftAt.reset();
    Again.Active = 0;
    Again.Sequence = 0;
    ++Again.Incarnation;
  });
}

void fault_world::dispatch(const entry &Entry,
                           const upstream_request &Attempt) {
  auto Found =
      std::find_if(Endpoints.begin(), Endpoints.end(), [&](const auto &Item) {
        return Item.Name == Attempt.Endpoint;
      });
  require(Found != Endpoints.end(), "an unknown endpoint gets a request");
  auto &Endpoint = *Found;
  auto Now = Clock.now();
  require(!Endpoint.LeftAt || Now - *Endpoint.LeftAt <= 3s,
          Endpoint.Name + " gets a request after it left");
  require(Now - Endpoint.LastReady <= 3s,
          Endpoint.Name + " gets a request although it is silent");
  require(viewIndex(*Entry.Router) >= Control.inForce(Now),
          Entry.Name + " serves by a version that is no longer in force");
  require(Attempt.DeadlineMs > 0, "a request has no time left");
  const auto &Name = Entry.Name;
  auto Incarnation = Entry.Incarnation;
  upstream_result Timeout{
      Attempt.Attempt, upstream_status::Unknown, 0, false, "", "", "timeout"};
  // The upstream thread may notice the deadline later than the router.
  result(Name, Incarnation, Timeout,
         std::chrono::milliseconds(Attempt.DeadlineMs) +
             (chance(0.5) ? 200ms : 0ms));
  Clock.after(milliseconds(1, 2),
              [this, Name, Incarnation, Attempt, &Endpoint] {
                execute(Name, Incarnation, Attempt, Endpoint);
              });
}

void fault_world::result(const std::string &Name, std::uint64_t Incarnation,
                         upstream_result Result, core::duration Delay) {
  Clock.after(Delay, [this, Name, Incarnation, Result] {
    if (Entries.at(Name).Incarnation != Incarnation)
      return;
    deliver(Name, [this, Result](entry_router &Router) {
      Router.onUpstreamResult(Result, Clock.now());
    });
  });
}

void fault_world::execute(const std::string &Name, std::uint64_t Incarnation,
                          const upstream_request &Attempt, endpoint &Endpoint) {
  upstream_result Result;
  Result.Attempt = Attempt.Attempt;
  if (Endpoint.State == endpoint_state::Gone) {
    Result.Status = upstream_status::NotSent;
    return result(Name, Incarnation, Result, 1ms);
  }
  Result.Status = upstream_status::Complete;
  bool IsFull = Endpoint.Active >= SlotsPerEndpoint;
  if (IsFull || (AreFaultsOn && chance(0.02))) {
    Overflows += IsFull ? 1 : 0;
    require(NextId < FirstMustRun,
            Endpoint.Name + " has no slot for a request that was granted one");
    Result.HttpStatus = 503;
    Result.SaysNotRun = true;
    return result(Name, Incarnation, Result, 1ms);
  }
  // The key travels in the body, as a caller's own data would.
  const auto &Key = Attempt.Body;
  Result.HttpStatus = 200;
  Result.Body = bodyOf(Attempt.CorrelationId, Key, Executions.size());
  Executions.push_back({Attempt.CorrelationId, Key, Result.Body});
  ++Endpoint.Active;
  auto Service = chance(0.02) && AreFaultsOn ? milliseconds(500, 4000)
                                             : milliseconds(5, 60);
  Clock.after(Service, [&Endpoint, Started = Endpoint.Incarnation] {
    if (Endpoint.Incarnation == Started && Endpoint.Active > 0)
      --Endpoint.Active;
  });
  auto Fault = AreFaultsOn ? pick(30) : 30;
  if (Fault == 0) // Lost.
    return;
  if (Fault == 1) { // Truncated, or with the id of another request.
    Result.Status = upstream_status::Unknown;
    Result.Body.clear();
  }
  if (Fault == 2) // Delayed, often beyond the deadline.
    Service += milliseconds(100, 4000);
  if (Fault == 3) // Twice.
    result(Name, Incarnation, Result, Service + 1ms);
  result(Name, Incarnation, Result, Service + 1ms);
}

void fault_world::callLoop(core::time_point Until) {
  if (Clock.now() >= Until)
    return;
  submission Submission;
  auto Kind = pick(10);
  Submission.Kind = Kind < 6   ? call_kind::Keyed
                    : Kind < 8 ? call_kind::Post
                               : call_kind::Get;
  Submission.Service = chance(0.5) ? "plots" : "water";
  if (Submission.Kind == call_kind::Keyed)
    Submission.Key = "k" + std::to_string(NextId);
  // An impatient caller sends the same key twice.
  if (Submission.Kind == call_kind::Keyed && chance(0.05))
    submit(Submission);
  submit(Submission);
  Clock.after(milliseconds(1, 20), [this, Until] { callLoop(Until); });
}

void fault_world::submit(submission Submission) {
  auto Id = ++NextId;
  Submission.Correlation = "r" + std::to_string(Id);
  Submission.Responses = 0;
  Submission.IsLost = false;
  do
    Submission.Entry = "e" + std::to_string(1 + pick(Entries.size()));
  while (!Entries.at(Submission.Entry).Router);
  caller_request Request;
  Request.Id = Id;
  Request.Method = Submission.Kind == call_kind::Get ? "GET" : "POST";
  Request.Service = Submission.Service;
  Request.CorrelationId = Submission.Correlation;
  Request.Key = Submission.Key;
  Request.Body = Submission.Key;
  Request.DeadlineMs = static_cast<std::uint32_t>(300 + pick(2000));
  auto Name = Submission.Entry;
  Submissions[Id] = Submission;
  deliver(Name, [this, Request](entry_router &Router) {
    Router.onCallerRequest(Request, Clock.now());
  });
  if (!AreFaultsOn || !chance(0.03))
    return;
  Clock.after(milliseconds(0, 300), [this, Id, Name] {
    auto &Leaving = Submissions.at(Id);
    if (Leaving.Responses > 0 || Leaving.IsLost)
      return;
    Leaving.IsLost = true;
    deliver(Name, [this, Id](entry_router &Router) {
      Router.onCallerGone(Id, Clock.now());
    });
    resend(Leaving);
  });
}

void fault_world::onResponse(const caller_response &Response) {
  auto Found = Submissions.find(Response.Id);
  require(Found != Submissions.end(), "a response to an unknown request");
  auto &Submission = Found->second;
  require(Submission.Responses == 0,
          "request " + Submission.Correlation + " got two responses");
  require(Response.CorrelationId == Submission.Correlation,
          "a response has the id of another request");
  if (Submission.IsLost)
    return;
  ++Submission.Responses;
  Submission.Response = Response;
  require(Response.Id < FirstMustRun || Response.Verdict == core::verdict::Ran,
          "request " + Submission.Correlation +
              " is refused without any fault: " + Response.Refusal);
  if (Response.Verdict != core::verdict::Ran)
    Clock.after(milliseconds(1, 500),
                [this, Copy = Submission] { resend(Copy); });
}

void fault_world::resend(const submission &Failed) {
  if (Failed.Kind != call_kind::Keyed || Failed.Try + 1 >= MaxTries)
    return;
  auto Again = Failed;
  ++Again.Try;
  submit(std::move(Again));
}

} // namespace lycheetrestle::routing::test
