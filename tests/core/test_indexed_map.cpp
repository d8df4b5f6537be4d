#include "core/indexed_map.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace lycheetrestle::core;

namespace {

template <typename Map> std::vector<std::pair<std::string, int>> items(Map &M) {
  return {M.begin(), M.end()};
}

} // namespace

// Guards against an index that refers to items which are gone or elsewhere.
TEST_CASE("an indexed map holds what an ordered map holds after any changes") {
  std::mt19937 Random(7);
  auto Draw = [&](int Count) {
    return std::uniform_int_distribution<int>(0, Count - 1)(Random);
  };
  indexed_map<std::string, int> Map;
  std::map<std::string, int> Expected;
  for (int Step = 0; Step != 20'000; ++Step) {
    // Some keys are longer than the buffer within a string.
    auto Key = std::string(static_cast<std::size_t>(Draw(2) * 20), 'k') +
               std::to_string(Draw(50));
    switch (Draw(8)) {
    case 0:
    case 1:
      CHECK(Map.emplace(Key, Step).second ==
            Expected.emplace(Key, Step).second);
      break;
    case 2:
      Map[Key] = Step;
      Expected[Key] = Step;
      break;
    case 3:
      CHECK(Map.erase(Key) == Expected.erase(Key));
      break;
    case 4: {
      auto IsOdd = [](const auto &Item) { return Item.second % 7 == 0; };
      CHECK(eraseIf(Map, IsOdd) == std::erase_if(Expected, IsOdd));
      break;
    }
    case 5:
      if (Draw(100) == 0) {
        auto Copy = Map;
        Map.clear();
        CHECK(Map.find(Key) == Map.end());
        Map = Copy;
      }
      break;
    case 6:
      if (Draw(100) == 0) {
        auto Moved = std::move(Map);
        Map = std::move(Moved);
      }
      break;
    default:
      break;
    }
    auto Found = Map.find(Key);
    auto Wanted = Expected.find(Key);
    REQUIRE((Found == Map.end()) == (Wanted == Expected.end()));
    if (Found != Map.end())
      REQUIRE(Found->second == Wanted->second);
    REQUIRE(Map.size() == Expected.size());
  }
  CHECK(items(Map) == items(Expected));
}
