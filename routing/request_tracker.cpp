#include "routing/request_tracker.h"

#include "core/invariant.h"

namespace lycheetrestle::routing {

tracked_request *request_tracker::add(tracked_request Request) {
  auto Id = Request.Request.Id;
  auto Deadline = Request.Deadline;
  auto [Where, IsNew] = Requests.try_emplace(Id, std::move(Request));
  if (!IsNew)
    return nullptr;
  ByDeadline.emplace(Deadline, Id);
  return &Where->second;
}

tracked_request *request_tracker::find(std::uint64_t Id) {
  auto Found = Requests.find(Id);
  return Found == Requests.end() ? nullptr : &Found->second;
}

tracked_request *request_tracker::findBySlot(std::uint64_t SlotId) {
  auto Found = BySlot.find(SlotId);
  return Found == BySlot.end() ? nullptr : find(Found->second);
}

tracked_request *request_tracker::findByAttempt(std::uint64_t Attempt) {
  auto Found = ByAttempt.find(Attempt);
  return Found == ByAttempt.end() ? nullptr : find(Found->second);
}

void request_tracker::startWaiting(tracked_request &Request,
                                   std::uint64_t SlotId) {
  BySlot.erase(Request.SlotId);
  Request.SlotId = SlotId;
  Request.Phase = request_phase::Queued;
  BySlot[SlotId] = Request.Request.Id;
}

void request_tracker::startAttempt(tracked_request &Request,
                                   std::uint64_t Attempt,
                                   core::time_point Now) {
  core::checkInvariant(Request.Attempt == 0,
                       "a request has at most one attempt in flight");
  Request.Attempt = Attempt;
  Request.Phase = request_phase::InFlight;
  Request.AttemptStart = Now;
  ++Request.Attempts;
  ByAttempt[Attempt] = Request.Request.Id;
}

void request_tracker::endAttempt(tracked_request &Request) {
  ByAttempt.erase(Request.Attempt);
  Request.Attempt = 0;
}

void request_tracker::erase(tracked_request &Request) {
  auto Id = Request.Request.Id;
  BySlot.erase(Request.SlotId);
  ByAttempt.erase(Request.Attempt);
  ByDeadline.erase({Request.Deadline, Id});
  Requests.erase(Id);
}

std::vector<std::uint64_t>
request_tracker::expired(core::time_point Now) const {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Deadline, Id] : ByDeadline) {
    if (Deadline > Now)
      break;
    Ids.push_back(Id);
  }
  return Ids;
}

std::map<std::string, std::uint32_t> request_tracker::inFlightByHost() const {
  std::map<std::string, std::uint32_t> Counts;
  for (const auto &[Attempt, Id] : ByAttempt)
    ++Counts[Requests.at(Id).Host];
  return Counts;
}

} // namespace lycheetrestle::routing
