#ifndef LYCHEETRESTLE_FLEET_KEY_TABLE_H
#define LYCHEETRESTLE_FLEET_KEY_TABLE_H

#include "fleet/change.h"
#include "fleet/commands.h"
#include "fleet/fleet_state.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::fleet {

/// A key with its record. Sequence gives the order of reservation.
struct key_entry {
  std::string Key;
  std::uint64_t Sequence = 0;
  key_record Record;
};

/// The idempotency keys of non-idempotent requests. Its order is that of
/// reservation, never that of a hash.
class key_table {
  struct by_sequence {};
  struct by_key {};
  using container = boost::multi_index_container<
      key_entry,
      boost::multi_index::indexed_by<
          boost::multi_index::ordered_unique<
              boost::multi_index::tag<by_sequence>,
              boost::multi_index::member<key_entry, std::uint64_t,
                                         &key_entry::Sequence>>,
          boost::multi_index::hashed_unique<
              boost::multi_index::tag<by_key>,
              boost::multi_index::member<key_entry, std::string,
                                         &key_entry::Key>,
              std::hash<std::string_view>, std::equal_to<std::string_view>>>>;

public:
  static constexpr std::size_t MaxKeys = 200'000;
  static constexpr std::size_t MaxBodyBytes = 16u << 10;
  static constexpr std::size_t MaxBodiesBytes = 8u << 20;
  static constexpr std::int64_t RetentionMs = 24ll * 3600 * 1000;

  /// Drops the keys that were reserved more than the retention time ago.
  void expire(std::int64_t NowMs);
  change_outcome reserve(const reserve_key &Command, std::int64_t NowMs);
  change_outcome complete(const complete_key &Command);
  change_outcome abandon(const abandon_key &Command);

  /// \returns the record, with status Unknown when there is none.
  key_record find(std::string_view Key) const;
  std::size_t size() const { return Entries.size(); }

  /// Calls the function with each entry in the order of reservation.
  template <typename Callable> void forEach(Callable &&Function) const {
    for (const auto &Entry : Entries.template get<by_sequence>())
      Function(Entry);
  }
  /// \returns the sequences of the entries with a stored body, in the order of
  /// completion.
  std::vector<std::uint64_t> bodyOrder() const;
  std::uint64_t nextSequence() const { return NextSequence; }

  /// Rebuilds a table entry by entry from a snapshot.
  /// \returns whether the entry keeps order and bounds.
  bool restoreEntry(key_entry Entry);
  /// \returns whether the order names exactly the entries with a body.
  bool restoreOrder(const std::vector<std::uint64_t> &Order,
                    std::uint64_t FollowingSequence);

private:
  void dropOldBodies();

  container Entries;
  std::deque<std::uint64_t> BodyOrder;
  std::size_t BodiesBytes = 0;
  std::uint64_t NextSequence = 1;
};

} // namespace lycheetrestle::fleet

#endif
