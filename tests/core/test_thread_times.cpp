#include "core/thread_times.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace lycheetrestle::core;
using namespace std::chrono_literals;

// Guards against time of a thread that is shown under no name, or after its
// end.
TEST_CASE(
    "the processor time of a thread counts under its name until it ends") {
  auto &Times = thread_times::instance();
  std::atomic<bool> IsDone = false;
  std::thread Worker([&] {
    thread_times::registration Name("test_worker");
    while (!IsDone)
      thread_times::record();
  });
  auto Deadline = std::chrono::steady_clock::now() + 30s;
  while (Times.read()["test_worker"] < 20ms &&
         std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(1ms);
  auto Before = Times.read();
  IsDone = true;
  Worker.join();
  CHECK(Before["test_worker"] >= 20ms);
  CHECK(Times.read().count("test_worker") == 0);
}
