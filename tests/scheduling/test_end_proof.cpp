#include "scheduling/end_proof.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr core::time_point LeftAt{100s};
constexpr core::duration MaxLease = 10s;

/// An endpoint with runs that deregistered, and whose lease has not expired.
end_evidence departure() {
  end_evidence Evidence;
  Evidence.HasRuns = true;
  Evidence.DeregisteredAt = LeftAt;
  Evidence.LeaseExpiry = LeftAt + 5s;
  return Evidence;
}

} // namespace

TEST_CASE("a deregistration alone does not prove that runs are over") {
  auto Evidence = departure();
  CHECK(proveEnd(Evidence, LeftAt + 1h) == end_proof::None);
  Evidence.HasRuns = false;
  CHECK(proveEnd(Evidence, LeftAt + 299ms) == end_proof::None);
  CHECK(proveEnd(Evidence, LeftAt + 300ms) == end_proof::NoRuns);
  Evidence.DeregisteredAt.reset();
  CHECK(proveEnd(Evidence, LeftAt + 1h) == end_proof::None);
}

TEST_CASE("a refused connection proves the end of an endpoint that had "
          "deregistered before") {
  auto Evidence = departure();
  Evidence.RefusedAt = LeftAt + 10ms;
  CHECK(proveEnd(Evidence, LeftAt + 299ms) == end_proof::None);
  CHECK(proveEnd(Evidence, LeftAt + 300ms) == end_proof::ConnectionRefused);
  Evidence.RefusedAt = LeftAt - 10ms;
  CHECK(proveEnd(Evidence, LeftAt + 1h) == end_proof::None);
  // A cut may refuse connections, too.
  Evidence.RefusedAt = LeftAt + 10ms;
  Evidence.DeregisteredAt.reset();
  CHECK(proveEnd(Evidence, LeftAt + 1h) == end_proof::None);
}

TEST_CASE("the expiry of a lease proves the end only of what is out of reach") {
  auto Evidence = departure();
  CHECK(proveEnd(Evidence, Evidence.LeaseExpiry) == end_proof::None);
  Evidence.IsOutOfReach = true;
  CHECK(proveEnd(Evidence, Evidence.LeaseExpiry - 1ms) == end_proof::None);
  CHECK(proveEnd(Evidence, Evidence.LeaseExpiry) == end_proof::LeaseExpired);
}

TEST_CASE("another id at the address proves the end and voids start orders") {
  auto Evidence = departure();
  Evidence.IsSucceeded = true;
  CHECK(proveEnd(Evidence, LeftAt) == end_proof::Succeeded);
  CHECK(proveStartsVoid(Evidence, LeftAt + 12s, MaxLease, LeftAt) ==
        end_proof::Succeeded);
}

TEST_CASE("neither a refused connection nor an expired lease voids a start "
          "order on its way") {
  auto Evidence = departure();
  Evidence.RefusedAt = LeftAt + 10ms;
  Evidence.IsOutOfReach = true;
  auto OpenUntil = LeftAt + 12s;
  CHECK(proveStartsVoid(Evidence, OpenUntil, MaxLease, OpenUntil) ==
        end_proof::None);
  CHECK(proveStartsVoid(Evidence, {}, MaxLease, LeftAt) ==
        end_proof::NoOpenStart);
}

TEST_CASE("a list voids a start order that had expired before its request") {
  auto Evidence = departure();
  auto OpenUntil = LeftAt + 12s;
  auto Now = LeftAt + 13s;
  Evidence.UnlistedAt = OpenUntil;
  CHECK(proveStartsVoid(Evidence, OpenUntil, MaxLease, Now) == end_proof::None);
  Evidence.UnlistedAt = OpenUntil + 1ms;
  CHECK(proveStartsVoid(Evidence, OpenUntil, MaxLease, Now) ==
        end_proof::HostDown);
}

TEST_CASE("a start order is void once it and its longest lease have expired") {
  auto Evidence = departure();
  auto OpenUntil = LeftAt + 12s;
  CHECK(proveStartsVoid(Evidence, OpenUntil, MaxLease,
                        OpenUntil + MaxLease - 1ms) == end_proof::None);
  CHECK(proveStartsVoid(Evidence, OpenUntil, MaxLease, OpenUntil + MaxLease) ==
        end_proof::NoSuccessor);
}
