#include "session_text.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

using namespace lycheetrestle::fleet;

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

// Guards against unintended changes of results and audit records. To accept a
// change, run this test with LT_UPDATE_GOLDEN=1 and review the difference.
TEST_CASE("sessions reproduce the results and audit trail of their files") {
  for (const std::string Name :
       {"operators_race", "maintenance_wave", "jobs_and_keys"}) {
    auto Path = std::string(LT_GOLDEN_DIR) + "/" + Name + ".txt";
    auto Expected = readFile(Path);
    REQUIRE(!Expected.empty());
    auto Actual = runSession(Expected);
    if (std::getenv("LT_UPDATE_GOLDEN"))
      std::ofstream(Path) << Actual;
    else
      CHECK(Actual == Expected);
  }
}
