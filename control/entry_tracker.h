#ifndef LYCHEETRESTLE_CONTROL_ENTRY_TRACKER_H
#define LYCHEETRESTLE_CONTROL_ENTRY_TRACKER_H

#include "core/clock.h"
#include "reconciler/reconciler.h"
#include "routing/messages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::control {

/// What the leader knows of one entry.
struct tracked_entry {
  reconciler::entry_status Status;
  std::uint64_t DeclarationNumber = 0;
  bool Serving = false;
  /// Time of the report that first gave DeclarationNumber.
  core::time_point NumberSince{};
  /// Last report, confirmed probe, or start of this leadership.
  core::time_point LastContact{};
};

/// Whether the newest declaration is in force at all entries.
struct in_force_state {
  std::uint64_t Number = 0; ///< Largest number that is in force, or 0.
  std::int64_t SinceMs = 0;
  std::vector<std::string> Waiting; ///< Entries that hold the next one up.
};

/// The leader's knowledge of the entries: their reports and the state of
/// section 6.3 of the design. It is rebuilt by each new leader.
class entry_tracker {
public:
  /// \param Names every configured entry.
  explicit entry_tracker(const std::vector<std::string> &Names);

  /// Forgets everything; call it when becoming leader.
  void reset(core::time_point Now);
  void recordReport(std::string_view Name, const routing::entry_report &Report,
                    core::time_point Now);
  /// Records that a probe of the entry was confirmed, which lets it serve for
  /// the freshness bound. An entry whose reports are lost is then not silent.
  void recordConfirmedProbe(std::string_view Name, core::time_point Now);
  /// \returns whether a majority of the entries reported within the bound.
  bool hasFreshMajority(core::time_point Now) const;
  /// Recomputes the in-force state.
  /// \param Number the current declaration.
  /// \param WallMs wall time, recorded as the start.
  void update(std::uint64_t Number, core::time_point Now, std::int64_t WallMs);

  const in_force_state &inForce() const { return InForce; }
  std::span<const tracked_entry> entries() const { return Entries; }
  std::vector<reconciler::entry_status> statuses() const;

private:
  tracked_entry *find(std::string_view Name);
  std::optional<core::time_point> majoritySince(std::uint64_t Number) const;

  std::vector<tracked_entry> Entries;
  in_force_state InForce;
  std::uint64_t CurrentNumber = 0;
  core::time_point CurrentSince{};
};

} // namespace lycheetrestle::control

#endif
