#ifndef LYCHEETRESTLE_WORKSPACES_KEY_INDEX_H
#define LYCHEETRESTLE_WORKSPACES_KEY_INDEX_H

#include "workspaces/workspace.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

namespace lycheetrestle::workspaces {

/// Finds the workspace of a key in constant time.
class key_index {
public:
  key_index() = default;
  /// \param Workspaces no two of them share a key.
  explicit key_index(std::span<const workspace_spec> Workspaces);

  /// \returns the index of the workspace that has the key, or nothing when none
  /// has it or the digest is empty.
  std::optional<std::size_t> find(std::string_view Digest) const;

private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  std::unordered_map<key_digest, std::size_t, text_hash, std::equal_to<>>
      Workspaces;
};

} // namespace lycheetrestle::workspaces

#endif
