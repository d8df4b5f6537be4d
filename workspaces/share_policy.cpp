#include "workspaces/share_policy.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lycheetrestle::workspaces {

namespace {

double partOf(double Amount, double Total) {
  return Total > 0 ? Amount / Total : 0;
}

} // namespace

void share_policy::advance(entry &Entry, core::time_point Now) {
  using seconds = std::chrono::duration<double>;
  double ElapsedS = std::max(0.0, seconds(Now - Entry.UpdatedAt).count());
  double Kept = std::exp(-ElapsedS / seconds(Window).count());
  auto Decay = [Kept](double &Average, std::uint64_t Use) {
    Average = static_cast<double>(Use) * (1 - Kept) + Average * Kept;
  };
  Decay(Entry.Average.MilliCores, Entry.Use.MilliCores);
  Decay(Entry.Average.MemoryMb, Entry.Use.MemoryMb);
  Decay(Entry.Average.Accelerators, Entry.Use.Accelerators);
  Entry.UpdatedAt = Now;
}

void share_policy::beginRound(core::time_point Now) {
  // A thousandth of a core, with the unit of the averages.
  constexpr double Negligible = 1;
  constexpr double NegligibleAccelerators = 0.001;
  RoundAt = Now;
  for (auto Item = Entries.begin(); Item != Entries.end();) {
    auto &Entry = Item->second;
    advance(Entry, Now);
    // An average that has only begun to grow is small, too.
    bool IsOver = Entry.Use.isZero() && Entry.Average.MilliCores < Negligible &&
                  Entry.Average.MemoryMb < Negligible &&
                  Entry.Average.Accelerators < NegligibleAccelerators;
    Entry.Use = {};
    Entry.IsAsking = false;
    Entry.Level = share_level::Within;
    Item = IsOver ? Entries.erase(Item) : std::next(Item);
  }
}

void share_policy::recordUse(std::string_view Workspace,
                             const resource_usage &Use) {
  find(Workspace).Use = Use;
}

share_policy::entry &share_policy::find(std::string_view Workspace) {
  auto Found = Entries.find(Workspace);
  if (Found == Entries.end()) {
    Found = Entries.emplace(std::string(Workspace), entry()).first;
    Found->second.UpdatedAt = RoundAt;
  }
  return Found->second;
}

void share_policy::recordAsking(std::string_view Workspace,
                                std::uint32_t Weight) {
  auto &Entry = find(Workspace);
  Entry.IsAsking = true;
  Entry.Weight = Weight;
}

void share_policy::finishRound() {
  Total = {};
  double Weights = 0;
  for (const auto &[Name, Entry] : Entries) {
    Total.MilliCores += Entry.Average.MilliCores;
    Total.MemoryMb += Entry.Average.MemoryMb;
    Total.Accelerators += Entry.Average.Accelerators;
    Weights += Entry.IsAsking ? Entry.Weight : 0;
  }
  for (auto &[Name, Entry] : Entries)
    if (Entry.IsAsking && dominantShareOf(Entry) >
                              Tolerance * partOf(Entry.Weight, Weights) + Slack)
      Entry.Level = share_level::Above;
}

share_level share_policy::levelOf(std::string_view Workspace) const {
  auto Found = Entries.find(Workspace);
  return Found == Entries.end() ? share_level::Within : Found->second.Level;
}

double share_policy::dominantShareOf(std::string_view Workspace) const {
  auto Found = Entries.find(Workspace);
  return Found == Entries.end() ? 0 : dominantShareOf(Found->second);
}

double share_policy::dominantShareOf(const entry &Entry) const {
  return std::max({partOf(Entry.Average.MilliCores, Total.MilliCores),
                   partOf(Entry.Average.MemoryMb, Total.MemoryMb),
                   partOf(Entry.Average.Accelerators, Total.Accelerators)});
}

} // namespace lycheetrestle::workspaces
