#ifndef LYCHEETRESTLE_SCHEDULING_AHEAD_DECODER_H
#define LYCHEETRESTLE_SCHEDULING_AHEAD_DECODER_H

#include "replication/types.h"
#include "scheduling/commands.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lycheetrestle::scheduling {

/// Decodes the entries that a restarted replica read from its disk before it
/// learns that they are committed.
///
/// After a loss of power nothing is known to be committed until a leader is
/// elected, which waits about a second for time-outs, and the new leader
/// decides nothing until it has replayed its log. Decoding is two thirds of
/// that replay and does not depend on the commit.
class ahead_decoder {
public:
  /// \param Entries the log after the snapshot.
  explicit ahead_decoder(std::vector<replication::log_entry> Entries);

  /// Decodes entries until the given size of payload is reached.
  void decode(std::size_t Bytes);
  /// \returns whether decode() has nothing to do.
  bool isDone() const { return Entries.empty(); }
  /// \returns the commands of an entry that was decoded, or nothing. Forgets
  /// the entry and all earlier ones.
  std::optional<command_batch> take(std::uint64_t Index, std::uint64_t Term);
  /// Forgets all entries.
  void clear();

private:
  std::deque<replication::log_entry> Entries; ///< Not decoded.
  /// Term and commands by index. An index and a term identify one entry.
  std::map<std::uint64_t, std::pair<std::uint64_t, command_batch>> Decoded;
};

} // namespace lycheetrestle::scheduling

#endif
