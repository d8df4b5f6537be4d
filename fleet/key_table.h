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

/// A key with its record; sequences are in the order of reservation.
struct key_entry {
  std::string Key;
  std::uint64_t Sequence = 0;
  key_record Record;
};

/// The idempotency keys of non-idempotent requests. It iterates in the order of
/// reservation, never in that of a hash, so that replicas do not differ.
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
  /// Limit on the stored bodies together; the oldest are dropped first.
  static constexpr std::size_t MaxBodiesBytes = 8u << 20;
  static constexpr std::int64_t RetentionMs = 24ll * 3600 * 1000;

  /// Removes the keys that were reserved longer ago than the retention time.
  void expire(std::int64_t NowMs);
  /// Grants a free key. For a reserved key the response names its holder, or
  /// contains the stored response or `mismatch` if the request differs.
  /// \returns the response as described at reserve_key; BadInput for a key or
  /// holder of invalid length, or Overloaded if the table is full.
  change_outcome reserve(const reserve_key &Command, std::int64_t NowMs);
  /// Stores the response of the key's holder. A second response is ignored.
  /// \returns NotFound for an unknown key, Conflict for another holder, or
  /// BadInput for a content type that is too long.
  change_outcome complete(const complete_key &Command);
  /// Releases a key; does nothing if the key is unknown.
  /// \returns Conflict for another holder or a completed key.
  change_outcome abandon(const abandon_key &Command);

  /// \returns the record, with status Unknown if there is none.
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

  /// Adds the next entry of a snapshot.
  /// \returns whether the entry is valid and in order.
  bool restoreEntry(key_entry Entry);
  /// Completes the restoration from a snapshot.
  /// \param Order the sequences of the entries with a body, in the order of
  /// completion.
  /// \returns whether the order contains exactly the entries with a body.
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
