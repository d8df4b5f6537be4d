#ifndef LYCHEETRESTLE_REPLICATION_READ_QUEUE_H
#define LYCHEETRESTLE_REPLICATION_READ_QUEUE_H

#include <cstdint>
#include <deque>
#include <vector>

namespace lycheetrestle::replication {

struct read_result;

/// Pending reads, each confirmed by a heartbeat round that starts after its
/// request.
class read_queue {
public:
  /// \returns whether no more reads are accepted.
  bool full() const;
  /// \returns the token of a new read that has no round yet.
  std::uint64_t add();
  /// Binds all reads without a round to a round that starts now.
  void startRound(std::uint64_t Round, std::uint64_t CommitIndex);
  /// \param Round a heartbeat round that a majority has answered.
  /// \param Results receives the reads of this round and all before.
  void confirm(std::uint64_t Round, std::vector<read_result> &Results);
  /// Fails all reads, because leadership was lost.
  void failAll(std::vector<read_result> &Results);

private:
  struct pending_read {
    std::uint64_t Token = 0;
    std::uint64_t Round = 0; ///< 0 until a round is started.
    std::uint64_t Index = 0;
  };
  std::deque<pending_read> Pending;
  std::uint64_t NextToken = 1;
};

} // namespace lycheetrestle::replication

#endif
