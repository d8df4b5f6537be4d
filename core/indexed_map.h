#ifndef LYCHEETRESTLE_CORE_INDEXED_MAP_H
#define LYCHEETRESTLE_CORE_INDEXED_MAP_H

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace lycheetrestle::core {

/// A map in the order of its keys whose look-ups do not walk a tree. References
/// to items are stable.
///
/// With a thousand items a walk is ten cache misses, and a leader looks up
/// endpoints and hosts some hundred thousand times a second.
template <typename Key, typename Value> class indexed_map {
  using ordered_map = std::map<Key, Value>;
  // Views of the keys of Items, which are stable.
  using index_key = std::conditional_t<std::is_same_v<Key, std::string>,
                                       std::string_view, Key>;

public:
  using iterator = typename ordered_map::iterator;
  using const_iterator = typename ordered_map::const_iterator;
  using value_type = typename ordered_map::value_type;

  indexed_map() = default;
  indexed_map(const indexed_map &Other) : Items(Other.Items) {
    Index.reserve(Items.size());
    for (auto Item = Items.begin(); Item != Items.end(); ++Item)
      Index.emplace(Item->first, Item);
  }
  // A map that is moved keeps its iterators valid.
  indexed_map(indexed_map &&Other) noexcept = default;
  indexed_map &operator=(const indexed_map &Other) {
    return *this = indexed_map(Other);
  }
  indexed_map &operator=(indexed_map &&Other) noexcept = default;
  ~indexed_map() = default;

  iterator begin() { return Items.begin(); }
  iterator end() { return Items.end(); }
  const_iterator begin() const { return Items.begin(); }
  const_iterator end() const { return Items.end(); }
  std::size_t size() const { return Items.size(); }
  bool empty() const { return Items.empty(); }

  iterator find(const index_key &Wanted) {
    auto Found = Index.find(Wanted);
    return Found == Index.end() ? Items.end() : Found->second;
  }
  const_iterator find(const index_key &Wanted) const {
    auto Found = Index.find(Wanted);
    return Found == Index.end() ? Items.end() : const_iterator(Found->second);
  }
  std::size_t count(const index_key &Wanted) const {
    return Index.count(Wanted);
  }
  /// \returns the item; throws std::out_of_range when there is none.
  const Value &at(const Key &Wanted) const { return Items.at(Wanted); }
  /// Adds an item unless there is one with the key.
  template <typename... Types>
  std::pair<iterator, bool> emplace(const Key &New, Types &&...Arguments) {
    if (auto Found = find(New); Found != Items.end())
      return {Found, false};
    auto Added = Items.try_emplace(New, std::forward<Types>(Arguments)...);
    Index.emplace(Added.first->first, Added.first);
    return Added;
  }
  Value &operator[](const Key &Wanted) { return emplace(Wanted).first->second; }
  iterator erase(iterator Item) {
    Index.erase(Item->first);
    return Items.erase(Item);
  }
  std::size_t erase(const index_key &Wanted) {
    auto Found = find(Wanted);
    if (Found == Items.end())
      return 0;
    erase(Found);
    return 1;
  }
  void clear() {
    Index.clear();
    Items.clear();
  }

private:
  ordered_map Items;
  boost::unordered_flat_map<index_key, iterator> Index;
};

/// Removes the items for which the predicate holds.
/// \returns their number.
template <typename Key, typename Value, typename Predicate>
std::size_t eraseIf(indexed_map<Key, Value> &Map, Predicate Remove) {
  auto Before = Map.size();
  for (auto Item = Map.begin(); Item != Map.end();)
    Item = Remove(*Item) ? Map.erase(Item) : std::next(Item);
  return Before - Map.size();
}

} // namespace lycheetrestle::core

#endif
