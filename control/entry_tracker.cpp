#include "control/entry_tracker.h"

#include <algorithm>

namespace lycheetrestle::control {

namespace {

// Section 6.3 of the design: an entry refuses requests when its last
// confirmation is older than the freshness bound. The silence bound adds a
// margin to it; after it, a silent entry is certain to refuse requests.
constexpr core::duration FreshnessBound = std::chrono::milliseconds(3000);
constexpr core::duration SilenceBound = std::chrono::milliseconds(3500);

} // namespace

entry_tracker::entry_tracker(const std::vector<std::string> &Names) {
  for (const auto &Name : Names) {
    tracked_entry Entry;
    Entry.Status.Name = Name;
    Entries.push_back(std::move(Entry));
  }
}

void entry_tracker::reset(core::time_point Now) {
  for (auto &Entry : Entries) {
    tracked_entry Empty;
    Empty.Status.Name = Entry.Status.Name;
    Empty.LastContact = Now;
    Entry = std::move(Empty);
  }
  InForce = {};
  CurrentNumber = 0;
  CurrentSince = Now;
}

tracked_entry *entry_tracker::find(std::string_view Name) {
  auto Found = std::find_if(
      Entries.begin(), Entries.end(),
      [&](const tracked_entry &Entry) { return Entry.Status.Name == Name; });
  return Found == Entries.end() ? nullptr : &*Found;
}

void entry_tracker::recordReport(std::string_view Name,
                                 const routing::entry_report &Report,
                                 core::time_point Now) {
  auto *Entry = find(Name);
  if (!Entry)
    return;
  Entry->LastContact = Now;
  if (!Entry->Status.HasReported ||
      Entry->DeclarationNumber != Report.DeclarationNumber)
    Entry->NumberSince = Now;
  Entry->DeclarationNumber = Report.DeclarationNumber;
  Entry->Serving = Report.Serving;
  auto &Status = Entry->Status;
  Status.HasReported = true;
  Status.LastReportAt = Now;
  Status.ViewIndex = Report.ViewIndex;
  Status.InFlightByHost = Report.InFlightByHost;
  Status.DemandByService = Report.DemandByService;
  Status.QueuedByService = Report.QueuedByService;
  Status.BusySlotsByService = Report.BusySlotsByService;
}

void entry_tracker::recordConfirmedProbe(std::string_view Name,
                                         core::time_point Now) {
  if (auto *Entry = find(Name))
    Entry->LastContact = Now;
}

bool entry_tracker::hasFreshMajority(core::time_point Now) const {
  if (Entries.empty())
    return true;
  auto Fresh = std::count_if(
      Entries.begin(), Entries.end(), [&](const tracked_entry &Entry) {
        return Entry.Status.HasReported &&
               Now - Entry.Status.LastReportAt <= FreshnessBound;
      });
  return std::size_t(Fresh) * 2 > Entries.size();
}

std::optional<core::time_point>
entry_tracker::majoritySince(std::uint64_t Number) const {
  std::vector<core::time_point> Times;
  for (const auto &Entry : Entries)
    if (Entry.Status.HasReported && Entry.DeclarationNumber >= Number)
      Times.push_back(Entry.NumberSince);
  if (Times.size() * 2 <= Entries.size())
    return std::nullopt;
  auto Last = Times.begin() + static_cast<std::ptrdiff_t>(Entries.size() / 2);
  std::nth_element(Times.begin(), Last, Times.end());
  return std::max(*Last, CurrentSince);
}

void entry_tracker::update(std::uint64_t Number, core::time_point Now,
                           std::int64_t WallMs) {
  if (Number != CurrentNumber) {
    CurrentNumber = Number;
    CurrentSince = Now;
  }
  InForce.Waiting.clear();
  if (Number == 0 || InForce.Number == Number)
    return;
  // An entry that control cannot reach may still serve while it is connected to
  // a majority of the entries. It is certain to receive the declaration from
  // them only after a majority has it, so its silence counts from that time at
  // the earliest.
  auto Majority = majoritySince(Number);
  for (const auto &Entry : Entries) {
    if (Entry.Status.HasReported && Entry.DeclarationNumber >= Number)
      continue;
    if (!Majority ||
        Now - std::max(Entry.LastContact, *Majority) <= SilenceBound)
      InForce.Waiting.push_back(Entry.Status.Name);
  }
  if (!InForce.Waiting.empty())
    return;
  InForce.Number = Number;
  InForce.SinceMs = WallMs;
}

std::vector<reconciler::entry_status> entry_tracker::statuses() const {
  std::vector<reconciler::entry_status> Result;
  for (const auto &Entry : Entries) {
    Result.push_back(Entry.Status);
    // The entry may serve after a confirmed probe, so it counts as a report.
    if (Entry.LastContact > Entry.Status.LastReportAt)
      Result.back().LastReportAt = Entry.LastContact;
  }
  return Result;
}

} // namespace lycheetrestle::control
