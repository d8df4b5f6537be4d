#include "core/bounded_ring.h"

#include <catch2/catch.hpp>

#include <memory>
#include <thread>

using namespace lycheetrestle::core;

TEST_CASE("a full ring refuses and leaves the item with its producer") {
  ring_signal Signal;
  bounded_ring<std::unique_ptr<int>> Ring(1, Signal);
  REQUIRE(Ring.push(std::make_unique<int>(1)));
  auto Second = std::make_unique<int>(2);
  CHECK(!Ring.push(std::move(Second)));
  CHECK(Second != nullptr);
}

// A push between two waits must not be lost, or the consumer sleeps while items
// are queued.
TEST_CASE("items cross threads in order") {
  constexpr int Count = 20000;
  ring_signal Signal;
  bounded_ring<int> Ring(64, Signal);
  std::thread Producer([&] {
    for (int I = 0; I < Count;)
      if (Ring.push(int(I)))
        ++I;
      else
        std::this_thread::yield();
  });
  int Next = 0;
  bool InOrder = true;
  while (Next < Count) {
    Signal.waitFor(std::chrono::seconds(1));
    Ring.drain([&](int Value) { InOrder = InOrder && Value == Next++; });
  }
  Producer.join();
  CHECK(InOrder);
}
