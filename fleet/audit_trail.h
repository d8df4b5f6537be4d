#ifndef LYCHEETRESTLE_FLEET_AUDIT_TRAIL_H
#define LYCHEETRESTLE_FLEET_AUDIT_TRAIL_H

#include "fleet/fleet_state.h"
#include "fleet/types.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace lycheetrestle::fleet {

/// The newest audit records, up to a fixed number.
class audit_trail {
public:
  static constexpr std::size_t MaxRecords = 20'000;

  /// Adds a record and evicts the oldest one when the trail is full. Long texts
  /// are truncated.
  /// \param Record a record with a larger index than all before.
  void add(audit_record Record);
  /// \returns the oldest matching records after the filter's index, at most as
  /// many as its limit.
  std::vector<audit_record> find(const audit_filter &Filter) const;
  const std::deque<audit_record> &records() const { return Records; }

private:
  std::deque<audit_record> Records;
};

} // namespace lycheetrestle::fleet

#endif
