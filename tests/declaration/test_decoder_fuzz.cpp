#include "declaration/declaration.h"
#include "document_mutator.h"

using namespace lycheetrestle;
using namespace lycheetrestle::declaration;
using lycheetrestle::test::document_format;

// Guards against a declaration that ends a replica or the tool, and against one
// that the replicas accept but cannot repeat.
TEST_CASE("fuzz: odd declarations are refused") {
  const std::vector<std::string> Samples{R"({
    "number": 7, // with a comment
    "teams": [{"name": "planning",
               "quota": {"cores": 512, "memory_mb": 4096, "accelerators": 8}}],
    "pools": [{"name": "gate", "budget": {"min_available_percent": 50},
               "auto_size": true},
              {"name": "records", "budget": {"min_available_hosts": 1},
               "spare": true}],
    "services": [{"name": "plots", "pool": "gate", "default_class": "urgent",
                  "deadline_ms": 2000}],
    "hosts": [{"name": "w1", "pool": "gate", "zone": "z1", "rack": "r1",
               "cores": 64, "memory_mb": 1024, "accelerators": 2},
              {"name": "w2", "pool": "gate", "zone": "z1", "rack": "r1",
               "cores": 64, "memory_mb": 1024},
              {"name": "w3", "pool": "records", "zone": "z2", "rack": "r2",
               "cores": 64, "memory_mb": 1024},
              {"name": "w4", "pool": "records", "zone": "z2", "rack": "r2",
               "cores": 64, "memory_mb": 1024}],
    "maintenance": {"max_parallel_hosts": 8, "pause_after_failures": 3}})"};
  test::fuzzResult(document_format::Json, Samples, 400, parseDeclaration,
                   [](const fleet::declaration &Value) {
                     auto Text = toJson(Value);
                     auto Again =
                         core::capture([&] { return parseDeclaration(Text); });
                     REQUIRE(Again.index() == 0);
                     REQUIRE(toJson(std::get<0>(Again)) == Text);
                   });
}
