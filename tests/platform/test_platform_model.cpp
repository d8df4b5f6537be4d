#include "standin/platform_model.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using platform::host_condition;
using platform::order;
using platform::order_kind;

namespace {

struct fixture {
  standin::platform_model Model{
      {}, [](const order &Order) {
        return standin::task_profile{Order.Size, 5000, false};
      }};
  fixture() { Model.addHost("w01", "gate"); }

  std::optional<core::error_code> run(order_kind Kind, std::uint64_t Epoch,
                                      std::int64_t NowMs, std::uint64_t Job = 0,
                                      std::string Pool = "") {
    order Order;
    Order.Kind = Kind;
    Order.Host = "w01";
    Order.Epoch = Epoch;
    Order.Job = Job;
    Order.Lease = Job;
    Order.LeaseMs = 1000;
    Order.Size = {2, 100, 0};
    Order.TargetPool = std::move(Pool);
    auto Failure =
        core::captureFailure([&] { return Model.execute(Order, NowMs); });
    if (!Failure)
      return std::nullopt;
    return Failure->Code;
  }
};

} // namespace

// A leader resends an order whose outcome it does not know; the host must not
// reboot a second time.
TEST_CASE("a repeated order is executed once") {
  fixture F;
  CHECK_FALSE(F.run(order_kind::Reboot, 2, 0));
  CHECK(F.Model.report(3000)[0].Condition == host_condition::Up);
  CHECK_FALSE(F.run(order_kind::Reboot, 2, 3001));
  CHECK(F.Model.report(3002)[0].Condition == host_condition::Up);
  CHECK(F.Model.executedCount() == 1);
  CHECK(F.run(order_kind::Reboot, 1, 3003) == core::error_code::StaleEpoch);
}

TEST_CASE("a host keeps draining until its tasks have ended") {
  fixture F;
  CHECK_FALSE(F.run(order_kind::StartTask, 1, 0, 9));
  CHECK_FALSE(F.run(order_kind::Drain, 2, 100));
  CHECK(F.Model.report(900)[0].Condition == host_condition::Draining);
  CHECK(F.run(order_kind::Move, 3, 900, 0, "records") ==
        core::error_code::Conflict);
  CHECK_FALSE(F.run(order_kind::CheckpointTask, 3, 900, 9));
  CHECK(F.Model.report(1200)[0].Condition == host_condition::Drained);
  CHECK_FALSE(F.run(order_kind::Move, 4, 1300, 0, "records"));
  CHECK(F.Model.report(4400)[0].Pool == "records");
}

TEST_CASE("a task stops when its lease expires") {
  fixture F;
  CHECK_FALSE(F.run(order_kind::StartTask, 1, 0, 9));
  CHECK_FALSE(F.run(order_kind::RenewTask, 1, 900, 9));
  CHECK(F.Model.report(1500)[0].Tasks[0].State == fleet::job_state::Running);
  CHECK(F.Model.report(2000)[0].Tasks[0].State ==
        fleet::job_state::Checkpointed);
}

TEST_CASE("injected faults take effect and can be cleared") {
  fixture F;
  F.Model.setFaults("w01", {false, true, false, false}, 0);
  CHECK_FALSE(F.run(order_kind::Reboot, 2, 0));
  CHECK(F.Model.report(3500)[0].Condition == host_condition::Down);
  CHECK(F.run(order_kind::Return, 3, 3600) == core::error_code::Unavailable);
  F.Model.setFaults("w01", {}, 4000);
  CHECK(F.Model.report(4000)[0].Condition == host_condition::Up);
  F.Model.setFaults("w01", {false, false, true, false}, 4000);
  CHECK_FALSE(F.run(order_kind::StartTask, 3, 4000, 5));
  CHECK(F.Model.report(4200)[0].Tasks[0].State == fleet::job_state::Failed);
}
