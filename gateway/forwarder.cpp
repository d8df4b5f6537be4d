#include "gateway/forwarder.h"

#include "core/event_log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lycheetrestle::gateway {

namespace {

// Callers retry after this time; an election takes about as long.
constexpr std::uint32_t RetryAfterElectionS = 1;
// A request that has not run is abandoned after more refusals than this:
// schedulers that refer to each other as the leader are in an election.
constexpr std::uint32_t MaxRefusals = 4;
// A request is not sent again after this many schedulers were lost before they
// replied to it, because it may be what ends them. One that is lost by itself
// costs a single copy.
constexpr std::uint32_t MaxLostCopies = 2;

// Schedulers described in a report; a deployment has two in each zone.
constexpr std::size_t MaxDescribedSchedulers = 12;
// Reasons counted separately in a report. There are about ten.
constexpr std::size_t MaxFailureReasons = 32;

double toMs(core::duration Duration) {
  return std::chrono::duration<double, std::milli>(Duration).count();
}

} // namespace

forwarder_settings makeForwarderSettings() {
  forwarder_settings Settings;
  std::random_device Device;
  Settings.LastCallId = std::uint64_t(Device()) << 32u;
  return Settings;
}

forwarder::forwarder(forwarder_settings Settings,
                     std::span<const std::string> Seeds,
                     core::metrics_registry &Metrics)
    : Settings(Settings), Metrics(Metrics), LastId(Settings.LastCallId) {
  addSchedulers(Seeds);
}

void forwarder::addSchedulers(std::span<const std::string> Addresses) {
  for (const auto &Address : Addresses)
    if (Schedulers.try_emplace(Address).second)
      Actions.NewPeers.push_back(Address);
}

std::optional<std::string> forwarder::leader(core::time_point Now) const {
  std::optional<std::string> Best;
  std::uint64_t Term = 0;
  for (const auto &[Address, View] : Schedulers) {
    if (!View.IsLinked || !View.Status.IsLeading ||
        Now - View.LastStatusAt > Settings.LeaderTimeout ||
        View.Status.Term < Term)
      continue;
    Best = Address;
    Term = View.Status.Term;
  }
  return Best;
}

bool forwarder::isReady(core::time_point Now) const {
  return leader(Now).has_value();
}

void forwarder::request(http::server_request Request,
                        workspaces::key_digest KeyDigest,
                        core::time_point Deadline, core::time_point Now) {
  auto Leader = leader(Now);
  if (!Leader) {
    Metrics.add("requests_total{outcome=\"no_leader\"}");
    countFailure("no_leader", 503);
    core::logEvent(core::log_level::Info, "request_refused",
                   {{"method", Request.Request.Method},
                    {"path", Request.Request.Target},
                    {"reason", "no leader known"},
                    {"verdict", "not-run"}});
    Actions.Responses.push_back(
        {Request.Id,
         {503,
          {{"Retry-After", std::to_string(RetryAfterElectionS)}},
          R"({"error":"unavailable"})"}});
    return;
  }
  auto Id = ++LastId;
  auto &Call = OpenCalls[Id];
  Call.RequestId = Request.Id;
  Call.Deadline = Deadline - Settings.ResponseMargin;
  Call.StartedAt = Now;
  Call.Call = {Id,
               std::move(Request.Request.Method),
               std::move(Request.Request.Host),
               std::move(Request.Request.Target),
               std::move(Request.Request.Body),
               std::move(KeyDigest)};
  send(Call, *Leader);
}

void forwarder::send(open_call &Call, const std::string &Peer) {
  Call.SentTo = Peer;
  Actions.Calls.push_back({Peer, Call.Call});
}

void forwarder::describeLeader(const std::string &Peer, core::time_point Now) {
  auto Leader = leader(Now);
  const auto &Known = Schedulers[Peer].Status.Schedulers;
  if (!Leader || *Leader == Peer ||
      std::find(Known.begin(), Known.end(), *Leader) != Known.end())
    return;
  status_message Status;
  Status.Schedulers = {*std::move(Leader)};
  Actions.Statuses.push_back({Peer, std::move(Status)});
}

void forwarder::callNotSent(std::uint64_t Id, core::time_point Now) {
  auto Found = OpenCalls.find(Id);
  if (Found == OpenCalls.end())
    return;
  Found->second.SentTo.clear();
  if (!Found->second.MayHaveRun)
    finish(Id, 503, RetryAfterElectionS, R"({"error":"unavailable"})",
           "link to the scheduler is down", Now);
}

void forwarder::receive(const std::string &Peer, message Message,
                        core::time_point Now) {
  if (auto *Status = std::get_if<status_message>(&Message)) {
    addSchedulers(Status->Schedulers);
    auto &View = Schedulers[Peer];
    View.Status = std::move(*Status);
    View.LastStatusAt = Now;
    View.IsLinked = true;
    describeLeader(Peer, Now);
    return;
  }
  auto *Reply = std::get_if<reply_message>(&Message);
  if (!Reply)
    return;
  auto Found = OpenCalls.find(Reply->Id);
  if (Found == OpenCalls.end() || Found->second.SentTo != Peer)
    return;
  auto &Call = Found->second;
  // The scheduler speaks for this copy only: an earlier one may have run.
  bool IsRefused = Reply->Status == 429 || Reply->Status == 503;
  if (Reply->IsHandled && IsRefused && Call.MayHaveRun) {
    finish(Reply->Id, 504, 0, R"({"error":"unknown"})",
           "refused after an earlier copy was lost", Now);
    return;
  }
  if (Reply->IsHandled) {
    finish(Reply->Id, Reply->Status, Reply->RetryAfterS, std::move(Reply->Body),
           "answered", Now);
    return;
  }
  // This copy of the call has not run unless the reply says that it may have.
  // MayHaveRun stays set if an earlier copy got no reply.
  Call.SentTo.clear();
  Call.MayHaveRun |= Reply->MayHaveRun;
  Call.LostAt = Now;
  Schedulers[Peer].Status.IsLeading = false;
  if (++Call.Refusals == 1 && !Call.MayHaveRun && !leader(Now))
    finish(Reply->Id, 503, RetryAfterElectionS, R"({"error":"unavailable"})",
           "the scheduler no longer leads", Now);
}

void forwarder::linkChanged(const std::string &Peer, bool IsUp,
                            core::time_point Now) {
  auto &View = Schedulers[Peer];
  if (View.IsLinked != IsUp)
    core::logEvent(core::log_level::Info,
                   IsUp ? "scheduler_linked" : "scheduler_unlinked",
                   {{"scheduler", Peer},
                    {"status_age_ms", toMs(Now - View.LastStatusAt)}});
  View.IsLinked = IsUp;
  if (IsUp)
    return;
  for (auto &[Id, Call] : OpenCalls)
    if (Call.SentTo == Peer) {
      Call.SentTo.clear();
      Call.MayHaveRun = true;
      Call.LostAt = Now;
      ++Call.LostCopies;
    }
}

void forwarder::tick(core::time_point Now) {
  auto Current = leader(Now);
  if (Current)
    LeaderlessSince.reset();
  else if (!LeaderlessSince)
    LeaderlessSince = Now;
  if (Current.value_or("") != LastLeader) {
    core::logEvent(core::log_level::Info, "leader_changed",
                   {{"before", LastLeader}, {"after", Current.value_or("")}});
    LastLeader = Current.value_or("");
  }
  std::vector<std::pair<std::uint64_t, std::string_view>> Expired;
  for (auto &[Id, Call] : OpenCalls) {
    if (Now >= Call.Deadline) {
      Expired.emplace_back(Id, Call.SentTo.empty() ? "no leader in time"
                                                   : "no reply in time");
      continue;
    }
    // A leader that stopped sending statuses may have executed the call.
    // Sending it to the next leader is safe because jobs are identified by id.
    if (!Call.SentTo.empty() && Call.SentTo != Current.value_or("")) {
      Call.MayHaveRun = true;
      Call.SentTo.clear();
      Call.LostAt = Now;
      ++Call.LostCopies;
    }
    if (!Call.SentTo.empty())
      continue;
    if (Call.LostCopies >= MaxLostCopies) {
      Metrics.add("requests_lost_with_schedulers_total");
      Expired.emplace_back(Id, "lost with several schedulers");
      continue;
    }
    if (!Current) {
      // The caller may reach the next leader sooner through another gateway, so
      // a call that may have run does not wait for its deadline.
      if (Call.MayHaveRun && Now - Call.LostAt > Settings.FailoverWait)
        Expired.emplace_back(Id, "no next leader");
      continue;
    }
    if (Call.Refusals > MaxRefusals && !Call.MayHaveRun) {
      Expired.emplace_back(Id, "each scheduler refers to another leader");
      continue;
    }
    send(Call, *Current);
  }
  for (const auto &[Id, Reason] : Expired)
    finishWithoutReply(Id, Reason, Now);
}

void forwarder::finishAll(core::time_point Now) {
  while (!OpenCalls.empty())
    finishWithoutReply(OpenCalls.begin()->first, "the gateway stops", Now);
}

void forwarder::finishWithoutReply(std::uint64_t Id, std::string_view Reason,
                                   core::time_point Now) {
  const auto &Call = OpenCalls.find(Id)->second;
  bool HasNotRun = Call.SentTo.empty() && !Call.MayHaveRun;
  finish(Id, HasNotRun ? 503 : 504, HasNotRun ? RetryAfterElectionS : 0,
         HasNotRun ? R"({"error":"unavailable"})" : R"({"error":"unknown"})",
         Reason, Now);
}

void forwarder::countFailure(std::string_view Reason, std::uint16_t Status) {
  if (Status != 429 && Status < 500)
    return;
  std::string Key(Reason);
  std::replace(Key.begin(), Key.end(), ' ', '_');
  Key += "/" + std::to_string(Status);
  if (Failures.size() >= MaxFailureReasons && Failures.count(Key) == 0)
    Key = "other";
  ++Failures[Key];
}

forwarder_report forwarder::takeReport(core::time_point Now) {
  forwarder_report Report;
  Report.HasLeader = isReady(Now);
  if (!Report.HasLeader && LeaderlessSince)
    Report.LeaderlessFor = Now - *LeaderlessSince;
  for (const auto &[Reason, Count] : std::exchange(Failures, {})) {
    Report.Failed += Count;
    if (!Report.Reasons.empty())
      Report.Reasons += ",";
    Report.Reasons += Reason + "=" + std::to_string(Count);
  }
  Report.OpenCalls = OpenCalls.size();
  for (const auto &[Id, Call] : OpenCalls) {
    Report.WaitingCalls += Call.SentTo.empty();
    Report.OldestCall = std::max(Report.OldestCall, Now - Call.StartedAt);
  }
  std::size_t Described = 0;
  for (const auto &[Address, View] : Schedulers) {
    if (++Described > MaxDescribedSchedulers)
      break;
    if (!Report.Schedulers.empty())
      Report.Schedulers += ",";
    bool HasStatus = View.LastStatusAt != core::time_point();
    auto AgeMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                     Now - View.LastStatusAt)
                     .count();
    Report.Schedulers += Address + (View.IsLinked ? ":up:" : ":down:") +
                         (View.Status.IsLeading ? "leads:" : "follows:") +
                         std::to_string(View.Status.Term) + ":" +
                         (HasStatus ? std::to_string(AgeMs) : "never");
  }
  return Report;
}

void forwarder::finish(std::uint64_t Id, std::uint16_t Status,
                       std::uint32_t RetryAfterS, std::string Body,
                       std::string_view Reason, core::time_point Now) {
  auto Found = OpenCalls.find(Id);
  auto &Call = Found->second;
  http::server_response Response;
  Response.Id = Call.RequestId;
  Response.Response.Status = Status;
  Response.Response.Body = std::move(Body);
  if (!Response.Response.Body.empty())
    Response.Response.Headers.push_back({"Content-Type", "application/json"});
  if (RetryAfterS > 0)
    Response.Response.Headers.push_back(
        {"Retry-After", std::to_string(RetryAfterS)});
  Actions.Responses.push_back(std::move(Response));
  auto ElapsedMs = toMs(Now - Call.StartedAt);
  Metrics.observe("request_ms", ElapsedMs);
  Metrics.add("requests_total{status=\"" + std::to_string(Status) + "\"}");
  countFailure(Reason, Status);
  bool IsRead = Call.Call.Method == "GET" && Status < 500;
  core::logEvent(IsRead ? core::log_level::Debug : core::log_level::Info,
                 "request_answered",
                 {{"method", Call.Call.Method},
                  {"path", Call.Call.Target},
                  {"status", Status},
                  {"reason", Reason},
                  {"scheduler", Call.SentTo},
                  {"refusals", Call.Refusals},
                  {"lost_copies", Call.LostCopies},
                  {"took_ms", ElapsedMs}});
  OpenCalls.erase(Found);
}

forwarder_actions forwarder::takeActions() {
  return std::exchange(Actions, {});
}

} // namespace lycheetrestle::gateway
