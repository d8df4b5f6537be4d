#include "core/event_log.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle::core;

// An untrusted value must not be able to forge a second line or a field.
TEST_CASE("values that could forge a field are quoted") {
  CHECK(formatEvent("drain", {{"host", "w01"}, {"epoch", 4}}) ==
        "event=drain host=w01 epoch=4");
  CHECK(formatEvent("drain", {{"host", "a b=\"c\"\nevent=x"}}) ==
        "event=drain host=\"a b=\\\"c\\\"\\nevent=x\"");
  CHECK(formatEvent("drain", {{"host", ""}}) == "event=drain host=\"\"");
}
