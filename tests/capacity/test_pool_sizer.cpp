#include "capacity/fixed_share.h"
#include "capacity/pool_sizer.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::capacity;

namespace {

core::time_point at(std::int64_t Seconds) {
  return core::time_point(std::chrono::seconds(1000 + Seconds));
}

pool_load gate(double Demand, std::uint32_t Available,
               std::uint32_t Borrowed = 0, std::uint32_t Arriving = 0) {
  return {"gate", Demand, Available, 6, Borrowed, Arriving, false, true};
}

pool_load spare(double Demand, std::uint32_t Available) {
  return {"records", Demand, Available, 4, 0, 0, true, false};
}

std::uint32_t lent(const std::vector<host_transfer> &Transfers,
                   std::string_view To) {
  std::uint32_t Count = 0;
  for (const auto &Transfer : Transfers)
    if (Transfer.ToPool == To)
      Count += Transfer.Hosts;
  return Count;
}

} // namespace

// Guards against moving hosts on a single outlier, and against not moving them
// on sustained demand.
TEST_CASE("a host is lent only on sustained demand") {
  pool_sizer Sizer({});
  auto Plan = [&](double Demand, int Second) {
    std::vector<pool_load> Pools = {gate(Demand, 8), spare(1, 10)};
    return lent(Sizer.plan(Pools, at(Second)), "gate");
  };
  CHECK(Plan(4, 0) == 0);
  CHECK(Plan(12, 1) == 0);
  CHECK(Plan(12, 2) == 0);
  CHECK(Plan(12, 3) > 0);
}

TEST_CASE("a single outlier moves nothing, repeated peaks do") {
  pool_sizer Sizer({});
  auto Plan = [&](double Demand, int Second) {
    std::vector<pool_load> Pools = {gate(Demand, 8), spare(1, 10)};
    return lent(Sizer.plan(Pools, at(Second)), "gate");
  };
  int Second = 0;
  for (int Peak = 0; Peak < 3; ++Peak) {
    CHECK(Plan(25, Second++) == (Peak < 2 ? 0 : 6));
    for (int Quiet = 0; Quiet < 20; ++Quiet)
      CHECK(Plan(1, Second++) == (Peak < 2 ? 0 : 6));
  }
}

// Guards against lending that takes the spare pool below its minimum or its own
// demand.
TEST_CASE("the spare pool keeps its minimum and its own load") {
  for (auto [Own, Limit] : {std::pair{1.0, 6u}, std::pair{6.0, 2u}}) {
    pool_sizer Sizer({});
    std::uint32_t Last = 0;
    for (int Second = 0; Second < 10; ++Second) {
      std::vector<pool_load> Pools = {gate(100, 8), spare(Own, 10)};
      Last = lent(Sizer.plan(Pools, at(Second)), "gate");
    }
    CHECK(Last == Limit);
  }
}

// Pools peak one after the other: the first one must not borrow every host, but
// demand that outlasts a peak gets all that is left.
TEST_CASE(
    "a peak leaves a host for each other pool, sustained demand does not") {
  pool_sizer Sizer({});
  std::uint32_t Last = 0;
  for (int Second = 0; Second < 80; ++Second) {
    std::vector<pool_load> Pools = {
        gate(14, 8), {"desk", 1, 8, 6, 0, 0, false, true}, spare(1, 8)};
    Last = lent(Sizer.plan(Pools, at(Second)), "gate");
    if (Second >= 20 && Second < 50)
      CHECK(Last == 3);
  }
  CHECK(Last == 4);
}

TEST_CASE("arriving hosts reduce what is lent") {
  pool_sizer Sizer({});
  for (auto [Arriving, Expected] : {std::pair{5u, 0u}, std::pair{3u, 2u}}) {
    std::uint32_t Last = 0;
    for (int Second = 0; Second < 10; ++Second) {
      std::vector<pool_load> Pools = {gate(10, 8, 0, Arriving), spare(1, 10)};
      Last = lent(Sizer.plan(Pools, at(Second)), "gate");
    }
    CHECK(Last == Expected);
  }
}

// Guards against returning a host between two peaks, which costs two needless
// moves.
TEST_CASE("a borrowed host returns only after ten idle minutes") {
  pool_sizer Sizer({});
  auto Returned = [&](double Demand, int Second) {
    std::vector<pool_load> Pools = {gate(Demand, 10, 3), spare(1, 7)};
    return lent(Sizer.plan(Pools, at(Second)), "records");
  };
  CHECK(Returned(7, 0) == 0);
  int First = -1;
  for (int Second = 1; Second < 3000 && First < 0; ++Second) {
    auto Count = Returned(0.4, Second);
    CHECK(Count <= 3);
    if (Count > 0)
      First = Second;
  }
  CHECK(First > 600);
  CHECK(First < 2400);
}

TEST_CASE("the baseline lends each pool its fixed share once") {
  std::vector<pool_load> Pools = {gate(9, 8), spare(1, 10)};
  CHECK(lent(planFixedShare(Pools, 2), "gate") == 2);
  Pools[0].Borrowed = 2;
  CHECK(planFixedShare(Pools, 2).empty());
  Pools[0].Borrowed = 0;
  Pools[1].Available = 5;
  CHECK(lent(planFixedShare(Pools, 2), "gate") == 1);
}
