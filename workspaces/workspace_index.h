#ifndef LYCHEETRESTLE_WORKSPACES_WORKSPACE_INDEX_H
#define LYCHEETRESTLE_WORKSPACES_WORKSPACE_INDEX_H

#include "workspaces/workspace.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lycheetrestle::workspaces {

/// Finds workspaces by key and by name in constant time.
class workspace_index {
public:
  workspace_index() = default;
  /// \param Workspaces no two of them share a key.
  explicit workspace_index(std::span<const workspace_spec> Workspaces);

  /// \returns the index of the workspace that has the key, or nothing when none
  /// has it or the digest is empty.
  std::optional<std::size_t> findKey(std::string_view Digest) const;
  /// \returns the index of the workspace with the name, or nothing.
  std::optional<std::size_t> findName(std::string_view Name) const;

private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  using index_map =
      std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>>;
  static std::optional<std::size_t> find(const index_map &Indexes,
                                         std::string_view Text);

  index_map ByKey;
  index_map ByName;
};

} // namespace lycheetrestle::workspaces

#endif
