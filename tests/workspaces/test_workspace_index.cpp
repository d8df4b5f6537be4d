#include "workspaces/workspace_index.h"

#include <catch2/catch.hpp>

#include <array>
#include <utility>

using namespace lycheetrestle::workspaces;

namespace {

workspace_spec makeWorkspace(std::string Name, std::vector<std::string> Keys) {
  workspace_spec Spec;
  Spec.Name = std::move(Name);
  for (const auto &Key : Keys)
    Spec.Keys.push_back(digestOf(Key));
  return Spec;
}

} // namespace

// Guards against jobs that count for another workspace than that of their key.
TEST_CASE("each key and each name leads to its workspace") {
  std::array Specs{makeWorkspace("a", {"k1", "k2"}), makeWorkspace("b", {}),
                   makeWorkspace("c", {"k3"})};
  workspace_index Index(Specs);
  CHECK(Index.findKey(digestOf("k1")) == 0);
  CHECK(Index.findKey(digestOf("k2")) == 0);
  CHECK(Index.findKey(digestOf("k3")) == 2);
  CHECK(Index.findName("b") == 1);
}

// Guards against access without a key, with an unknown one, or with a name or a
// digest in place of a key.
TEST_CASE("nothing is found for what is no key or no name") {
  std::array Specs{makeWorkspace("a", {"k1"}), makeWorkspace("", {})};
  workspace_index Index(Specs);
  CHECK(Index.findKey("") == std::nullopt);
  CHECK(Index.findKey("a") == std::nullopt);
  CHECK(Index.findKey(digestOf("k2")) == std::nullopt);
  CHECK(Index.findKey(digestOf(digestOf("k1"))) == std::nullopt);
  CHECK(Index.findName("k1") == std::nullopt);
  CHECK(workspace_index().findName("a") == std::nullopt);
}
