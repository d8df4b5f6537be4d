#include "workspaces/key_index.h"

namespace lycheetrestle::workspaces {

key_index::key_index(std::span<const workspace_spec> Specs) {
  for (std::size_t Index = 0; Index != Specs.size(); ++Index)
    for (const auto &Key : Specs[Index].Keys)
      Workspaces.emplace(Key, Index);
}

std::optional<std::size_t> key_index::find(std::string_view Digest) const {
  if (Digest.empty())
    return std::nullopt;
  auto Found = Workspaces.find(Digest);
  return Found == Workspaces.end() ? std::nullopt
                                   : std::optional(Found->second);
}

} // namespace lycheetrestle::workspaces
