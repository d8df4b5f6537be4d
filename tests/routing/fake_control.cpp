#include "fake_control.h"

#include <algorithm>

namespace lycheetrestle::routing::test {

namespace {

constexpr int HostCount = 6;
// The freshness bound of 3 s plus a margin.
constexpr core::duration PropagationBound = std::chrono::milliseconds(3500);

std::string hostName(std::uint64_t Number) {
  return "w" + std::to_string(Number);
}

} // namespace

fake_control::fake_control() {
  view_delta First;
  First.IsFull = true;
  First.Services = {{{"plots", "gate", fleet::work_class::Urgent, 2000},
                     {"water", "gate", fleet::work_class::Normal, 2000}}};
  for (std::uint64_t Number = 0; Number < HostCount; ++Number)
    Hosts[hostName(Number)] = {
        hostName(Number), "gate", "z", fleet::host_state::InService, 1, 1};
  for (const auto &[Name, Host] : Hosts)
    First.Hosts.push_back(Host);
  commit(std::move(First));
}

void fake_control::commit(view_delta Delta) {
  Delta.ViewIndex = View.index() + 1;
  Delta.DeclarationNumber = Delta.ViewIndex;
  View.apply(Delta);
}

void fake_control::changeView(std::uint64_t Random) {
  auto Name = hostName(Random % HostCount);
  auto Next = View.index() + 1;
  bool IsListed = Hosts.count(Name) > 0;
  auto &Host = Hosts[Name];
  view_delta Delta;
  if (IsListed && Random / 7 % 4 == 0) {
    Hosts.erase(Name);
    Delta.IsFull = true;
    for (const auto &[Other, Listed] : Hosts)
      Delta.Hosts.push_back(Listed);
  } else {
    bool IsBack = !IsListed || Host.State != fleet::host_state::InService;
    Host = {Name,
            "gate",
            "z",
            IsBack ? fleet::host_state::InService : fleet::host_state::Cordoned,
            Host.Epoch + 1,
            Next};
    Delta.Hosts = {Host};
  }
  commit(std::move(Delta));
}

void fake_control::restoreView() {
  view_delta Delta;
  for (std::uint64_t Number = 0; Number < HostCount; ++Number) {
    auto &Host = Hosts[hostName(Number)];
    Host = {
        hostName(Number), "gate",          "z", fleet::host_state::InService,
        Host.Epoch + 1,   View.index() + 1};
    Delta.Hosts.push_back(Host);
  }
  commit(std::move(Delta));
}

key_reply fake_control::apply(const key_reserve &Command) {
  key_reply Reply;
  Reply.RequestId = Command.RequestId;
  auto [Where, IsNew] = Keys.try_emplace(Command.Key);
  auto &Key = Where->second;
  if (IsNew)
    Key = {Command.RequestDigest, Command.Holder, {}};
  if (Key.Digest != Command.RequestDigest) {
    Reply.Outcome = key_outcome::Mismatch;
  } else if (Key.Stored) {
    Reply = *Key.Stored;
    Reply.RequestId = Command.RequestId;
  } else {
    Reply.Outcome =
        Key.Holder == Command.Holder ? key_outcome::Granted : key_outcome::Held;
  }
  return Reply;
}

key_reply fake_control::apply(const key_complete &Command) {
  key_reply Reply;
  Reply.RequestId = Command.RequestId;
  auto Found = Keys.find(Command.Key);
  if (Found == Keys.end() || Found->second.Holder != Command.Holder) {
    Reply.Reason = "conflict";
    return Reply;
  }
  key_reply Stored;
  Stored.Outcome = key_outcome::Stored;
  Stored.Status = Command.Status;
  Stored.ContentType = Command.ContentType;
  Stored.Body = Command.Body;
  Found->second.Stored = Stored;
  Reply.Outcome = key_outcome::Granted;
  return Reply;
}

key_reply fake_control::apply(const key_abandon &Command) {
  key_reply Reply;
  Reply.RequestId = Command.RequestId;
  Reply.Outcome = key_outcome::Granted;
  auto Found = Keys.find(Command.Key);
  if (Found == Keys.end())
    return Reply;
  if (Found->second.Holder != Command.Holder) {
    Reply.Outcome = key_outcome::Refused;
    Reply.Reason = "conflict";
  } else if (!Found->second.Stored) {
    Keys.erase(Found);
  }
  return Reply;
}

void fake_control::onReport(const std::string &Entry,
                            const entry_report &Report, std::size_t Entries,
                            core::time_point Now) {
  auto &Known = Reported[Entry];
  Known = std::max(Known, Report.ViewIndex);
  std::vector<std::uint64_t> Indexes;
  for (const auto &[Name, Index] : Reported)
    Indexes.push_back(Index);
  std::sort(Indexes.rbegin(), Indexes.rend());
  if (Indexes.size() <= Entries / 2)
    return;
  auto Majority = Indexes[Entries / 2];
  if (Confirmed.empty() || Confirmed.back().second < Majority)
    Confirmed.emplace_back(Now, Majority);
}

std::uint64_t fake_control::inForce(core::time_point Now) const {
  std::uint64_t Index = 0;
  for (const auto &[Time, Majority] : Confirmed)
    if (Now - Time >= PropagationBound)
      Index = Majority;
  return Index;
}

} // namespace lycheetrestle::routing::test
