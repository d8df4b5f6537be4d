#include "core/log_writer.h"

#include <catch2/catch.hpp>

#include <future>
#include <string>

using namespace lycheetrestle::core;

TEST_CASE("lines are written in order, and all of them before the end") {
  std::string Written;
  {
    log_writer Writer([&](std::string_view Bytes) { Written += Bytes; }, 1000);
    Writer.write("a\n");
    Writer.write("b\n");
  }
  CHECK(Written == "a\nb\n");
}

// A reader that stops reading must not block the process.
TEST_CASE("an output that blocks does not block the writers") {
  std::promise<void> Release;
  auto Released = Release.get_future().share();
  std::string Written;
  {
    log_writer Writer(
        [&](std::string_view Bytes) {
          Released.wait();
          Written += Bytes;
        },
        100);
    for (int Line = 0; Line != 1000; ++Line)
      Writer.write("0123456789\n");
    CHECK(Writer.dropped() > 900);
    Release.set_value();
    Writer.flush();
    Writer.write("after\n");
  }
  CHECK(Written.find("event=log_lines_dropped lines=") != std::string::npos);
  CHECK(Written.find("after\n") != std::string::npos);
}
