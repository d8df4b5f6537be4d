#include "workspaces/workspace_index.h"

namespace lycheetrestle::workspaces {

workspace_index::workspace_index(std::span<const workspace_spec> Workspaces) {
  for (std::size_t Index = 0; Index != Workspaces.size(); ++Index) {
    ByName.emplace(Workspaces[Index].Name, Index);
    for (const auto &Key : Workspaces[Index].Keys)
      ByKey.emplace(Key, Index);
  }
}

std::optional<std::size_t>
workspace_index::findKey(std::string_view Digest) const {
  return Digest.empty() ? std::nullopt : find(ByKey, Digest);
}

std::optional<std::size_t>
workspace_index::findName(std::string_view Name) const {
  return find(ByName, Name);
}

std::optional<std::size_t> workspace_index::find(const index_map &Indexes,
                                                 std::string_view Text) {
  auto Found = Indexes.find(Text);
  return Found == Indexes.end() ? std::nullopt : std::optional(Found->second);
}

} // namespace lycheetrestle::workspaces
