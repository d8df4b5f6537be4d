#include "simulated_cluster.h"

#include <algorithm>

// Endpoints and callers of the simulated cluster.
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

void simulated_cluster::announceLoop(std::size_t Index) {
  auto &Endpoint = Endpoints[Index];
  auto Announce = [&](bool Leaving) {
    announcement Announcement;
    Announcement.Endpoint = Endpoint.Name;
    Announcement.Incarnation = Endpoint.Incarnation;
    Announcement.Sequence = ++Endpoint.Sequence;
    Announcement.Service = Endpoint.Service;
    Announcement.Host = Endpoint.Host;
    Announcement.Pool = "gate";
    Announcement.Address = Endpoint.Address;
    Announcement.Slots = SlotsPerEndpoint;
    Announcement.Leaving = Leaving;
    auto Name = "e" + std::to_string(1 + randomBelow(Entries.size()));
    Clock.after(randomMilliseconds(1, 5), [this, Name, Announcement] {
      deliver(Name, [this, Announcement](entry_router &Router) {
        core::captureFailure(
            [&] { return Router.onAnnouncement(Announcement, Clock.now()); });
      });
    });
  };
  if (Endpoint.State == endpoint_state::Ready) {
    Endpoint.LastReady = Clock.now();
    Announce(false);
  } else if (Endpoint.State == endpoint_state::Leaving) {
    Announce(true);
  }
  Clock.after(randomMilliseconds(900, 1000),
              [this, Index] { announceLoop(Index); });
}

void simulated_cluster::replaceEndpoint(endpoint &Endpoint) {
  if (Endpoint.State != endpoint_state::Ready)
    return;
  Endpoint.State =
      randomChance(0.5) ? endpoint_state::Leaving : endpoint_state::Stopped;
  Endpoint.LeftAt = Clock.now();
  auto Index = static_cast<std::size_t>(&Endpoint - Endpoints.data());
  Clock.after(randomMilliseconds(500, 6000), [this, Index] {
    auto &Restarted = Endpoints[Index];
    Restarted.State = endpoint_state::Ready;
    Restarted.LeftAt.reset();
    Restarted.Active = 0;
    Restarted.Sequence = 0;
    ++Restarted.Incarnation;
  });
}

void simulated_cluster::dispatch(const entry &Entry,
                                 const upstream_request &Attempt) {
  auto Found =
      std::find_if(Endpoints.begin(), Endpoints.end(), [&](const auto &Item) {
        return Item.Name == Attempt.Endpoint;
      });
  require(Found != Endpoints.end(),
          "a request was dispatched to an unknown endpoint");
  auto &Endpoint = *Found;
  auto Now = Clock.now();
  require(!Endpoint.LeftAt || Now - *Endpoint.LeftAt <= 3s,
          Endpoint.Name + " gets a request more than 3 s after it left");
  require(Now - Endpoint.LastReady <= 3s,
          Endpoint.Name +
              " gets a request more than 3 s after its last announcement");
  require(viewIndex(*Entry.Router) >= Control.inForce(Now),
          Entry.Name + " serves with a version that is no longer in force");
  require(Attempt.DeadlineMs > 0, "a request was dispatched with no time left");
  const auto &Name = Entry.Name;
  auto Incarnation = Entry.Incarnation;
  upstream_result Timeout{
      Attempt.Attempt, upstream_status::Unknown, 0, false, "", "", "timeout"};
  // The upstream thread may detect the deadline later than the router.
  result(Name, Incarnation, Timeout,
         std::chrono::milliseconds(Attempt.DeadlineMs) +
             (randomChance(0.5) ? 200ms : 0ms));
  Clock.after(randomMilliseconds(1, 2),
              [this, Name, Incarnation, Attempt, &Endpoint] {
                execute(Name, Incarnation, Attempt, Endpoint);
              });
}

void simulated_cluster::result(const std::string &Name,
                               std::uint64_t Incarnation,
                               upstream_result Result, core::duration Delay) {
  Clock.after(Delay, [this, Name, Incarnation, Result] {
    if (Entries.at(Name).Incarnation != Incarnation)
      return;
    deliver(Name, [this, Result](entry_router &Router) {
      Router.onUpstreamResult(Result, Clock.now());
    });
  });
}

void simulated_cluster::execute(const std::string &Name,
                                std::uint64_t Incarnation,
                                const upstream_request &Attempt,
                                endpoint &Endpoint) {
  upstream_result Result;
  Result.Attempt = Attempt.Attempt;
  if (Endpoint.State == endpoint_state::Stopped) {
    Result.Status = upstream_status::NotSent;
    return result(Name, Incarnation, Result, 1ms);
  }
  Result.Status = upstream_status::Complete;
  bool IsFull = Endpoint.Active >= SlotsPerEndpoint;
  if (IsFull || (AreFaultsOn && randomChance(0.02))) {
    SlotOverflows += IsFull ? 1 : 0;
    require(NextId < FirstFaultFreeId,
            Endpoint.Name + " has no free slot for a request with a grant");
    Result.HttpStatus = 503;
    Result.ReportedNotRun = true;
    return result(Name, Incarnation, Result, 1ms);
  }
  // The body carries the key, as a caller's own data would.
  const auto &Key = Attempt.Body;
  Result.HttpStatus = 200;
  Result.Body = bodyOf(Attempt.CorrelationId, Key, Executions.size());
  Executions.push_back({Attempt.CorrelationId, Key, Result.Body});
  ++Endpoint.Active;
  auto ServiceTime = randomChance(0.02) && AreFaultsOn
                         ? randomMilliseconds(500, 4000)
                         : randomMilliseconds(5, 60);
  Clock.after(ServiceTime, [&Endpoint, Started = Endpoint.Incarnation] {
    if (Endpoint.Incarnation == Started && Endpoint.Active > 0)
      --Endpoint.Active;
  });
  auto Fault = AreFaultsOn ? randomBelow(30) : 30;
  if (Fault == 0) // Lost.
    return;
  if (Fault == 1) { // Truncated, or with the id of another request.
    Result.Status = upstream_status::Unknown;
    Result.Body.clear();
  }
  if (Fault == 2) // Delayed, often beyond the deadline.
    ServiceTime += randomMilliseconds(100, 4000);
  if (Fault == 3) // Duplicated.
    result(Name, Incarnation, Result, ServiceTime + 1ms);
  result(Name, Incarnation, Result, ServiceTime + 1ms);
}

void simulated_cluster::callLoop(core::time_point Until) {
  if (Clock.now() >= Until)
    return;
  submission Submission;
  auto Kind = randomBelow(10);
  Submission.Kind = Kind < 6   ? request_kind::Keyed
                    : Kind < 8 ? request_kind::Post
                               : request_kind::Get;
  Submission.Service = randomChance(0.5) ? "plots" : "water";
  if (Submission.Kind == request_kind::Keyed)
    Submission.Key = "k" + std::to_string(NextId);
  // Some callers send the same key twice without waiting for the response.
  if (Submission.Kind == request_kind::Keyed && randomChance(0.05))
    submit(Submission);
  submit(Submission);
  Clock.after(randomMilliseconds(1, 20), [this, Until] { callLoop(Until); });
}

void simulated_cluster::submit(submission Submission) {
  auto Id = ++NextId;
  Submission.Correlation = "r" + std::to_string(Id);
  Submission.Responses = 0;
  Submission.IsLost = false;
  do
    Submission.Entry = "e" + std::to_string(1 + randomBelow(Entries.size()));
  while (!Entries.at(Submission.Entry).Router);
  caller_request Request;
  Request.Id = Id;
  Request.Method = Submission.Kind == request_kind::Get ? "GET" : "POST";
  Request.Service = Submission.Service;
  Request.CorrelationId = Submission.Correlation;
  Request.Key = Submission.Key;
  Request.Body = Submission.Key;
  Request.DeadlineMs = static_cast<std::uint32_t>(300 + randomBelow(2000));
  auto Name = Submission.Entry;
  Submissions[Id] = Submission;
  deliver(Name, [this, Request](entry_router &Router) {
    Router.onCallerRequest(Request, Clock.now());
  });
  if (!AreFaultsOn || !randomChance(0.03))
    return;
  Clock.after(randomMilliseconds(0, 300), [this, Id, Name] {
    auto &Abandoned = Submissions.at(Id);
    if (Abandoned.Responses > 0 || Abandoned.IsLost)
      return;
    Abandoned.IsLost = true;
    deliver(Name, [this, Id](entry_router &Router) {
      Router.onCallerDisconnected(Id, Clock.now());
    });
    resend(Abandoned);
  });
}

void simulated_cluster::onResponse(const caller_response &Response) {
  auto Found = Submissions.find(Response.Id);
  require(Found != Submissions.end(),
          "a response has the id of an unknown request");
  auto &Submission = Found->second;
  require(Submission.Responses == 0,
          "request " + Submission.Correlation + " got two responses");
  require(Response.CorrelationId == Submission.Correlation,
          "a response has the correlation id of another request");
  if (Submission.IsLost)
    return;
  ++Submission.Responses;
  Submission.Response = Response;
  require(Response.Id < FirstFaultFreeId ||
              Response.Verdict == core::verdict::Ran,
          "request " + Submission.Correlation +
              " was not run although there are no faults: " + Response.Refusal);
  if (Response.Verdict != core::verdict::Ran)
    Clock.after(randomMilliseconds(1, 500),
                [this, Copy = Submission] { resend(Copy); });
}

void simulated_cluster::resend(const submission &Failed) {
  if (Failed.Kind != request_kind::Keyed || Failed.Try + 1 >= MaxTries)
    return;
  auto Next = Failed;
  ++Next.Try;
  submit(std::move(Next));
}

} // namespace lycheetrestle::routing::test
