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

/// The leader's record of one entry.
struct tracked_entry {
  reconciler::entry_status Status;
  std::uint64_t DeclarationNumber = 0; ///< As last reported.
  bool Serving = false;                ///< As last reported.
  /// Time of the first report with DeclarationNumber.
  core::time_point NumberSince{};
  /// Time of the last report or confirmed probe, or of the election of this
  /// leader.
  core::time_point LastContact{};
};

/// Which declaration is in force at all entries.
struct in_force_state {
  std::uint64_t Number = 0; ///< Newest declaration in force, or 0.
  std::int64_t SinceMs = 0; ///< Wall time in ms since which it is in force.
  std::vector<std::string> Waiting; ///< Entries that delay the newest one.
};

/// The leader's record of all entries: their reports and which declaration is
/// in force (section 6.3 of the design). Each new leader rebuilds it.
class entry_tracker {
public:
  /// \param Names names of all configured entries.
  explicit entry_tracker(const std::vector<std::string> &Names);

  /// Discards all records; to be called after winning an election.
  void reset(core::time_point Now);
  /// Records a report; reports of entries that are not configured are ignored.
  void recordReport(std::string_view Name, const routing::entry_report &Report,
                    core::time_point Now);
  /// Records that a probe of the entry was confirmed, which allows it to serve
  /// for the freshness bound. An entry whose reports are lost thus does not
  /// count as silent.
  void recordConfirmedProbe(std::string_view Name, core::time_point Now);
  /// \returns whether a majority of the entries reported within the freshness
  /// bound; true without entries.
  bool hasFreshMajority(core::time_point Now) const;
  /// Recomputes the in-force state.
  /// \param Number number of the current declaration.
  /// \param WallMs wall time in ms, recorded when the declaration has come into
  /// force.
  void update(std::uint64_t Number, core::time_point Now, std::int64_t WallMs);

  const in_force_state &inForce() const { return InForce; }
  std::span<const tracked_entry> entries() const { return Entries; }
  /// \returns the status of each entry for the reconciler. A confirmed probe
  /// counts as a report there.
  std::vector<reconciler::entry_status> statuses() const;

private:
  tracked_entry *find(std::string_view Name);
  /// \returns the time since which a majority of the entries has reported this
  /// declaration or a newer one, at the earliest the time at which it became
  /// the current one; nothing without a majority.
  std::optional<core::time_point> majoritySince(std::uint64_t Number) const;

  std::vector<tracked_entry> Entries;
  in_force_state InForce;
  std::uint64_t CurrentNumber = 0;
  core::time_point CurrentSince{};
};

} // namespace lycheetrestle::control

#endif
