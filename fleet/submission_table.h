#ifndef LYCHEETRESTLE_FLEET_SUBMISSION_TABLE_H
#define LYCHEETRESTLE_FLEET_SUBMISSION_TABLE_H

#include "fleet/fleet_state.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::fleet {

/// Digest and result of the first command under a submission.
struct submission_entry {
  std::uint64_t CommandDigest = 0; ///< Of actor and body.
  std::string Actor;
  apply_result Result;
};

/// The newest submissions and their results, up to a fixed number.
class submission_table {
public:
  static constexpr std::size_t MaxEntries = 10'000;

  /// \returns the entry, or null.
  const submission_entry *find(std::string_view Submission) const;
  /// Adds a submission that is not in the table, and evicts the oldest when the
  /// table is full.
  void add(std::string_view Submission, submission_entry Entry);
  /// \returns the names, oldest first.
  const std::deque<std::string> &order() const { return Order; }

private:
  std::map<std::string, submission_entry, std::less<>> Entries;
  std::deque<std::string> Order;
};

} // namespace lycheetrestle::fleet

#endif
