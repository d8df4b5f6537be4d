#include "schedule_fixture.h"
#include "scheduling/schedule_views.h"
#include "single_scheduler.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

nlohmann::json viewOf(const single_scheduler &Scheduler,
                      std::string_view Path) {
  auto Text = scheduling::viewOf(Scheduler.Node, Path);
  REQUIRE(Text);
  return nlohmann::json::parse(*Text);
}

} // namespace

TEST_CASE("the views show members, endpoints, jobs and waves") {
  single_scheduler Scheduler;
  Scheduler.call(configure_call{makeConfiguration(7)});
  endpoint_heartbeat Heartbeat;
  Heartbeat.Facts = makeEndpoint("e1");
  Scheduler.call(heartbeat_call{Heartbeat});
  Scheduler.call(submit_call{Host, Prefix + "j", makeJob("j", {makeStep(2)})});
  Scheduler.call(start_wave_call{3, {"h1", "h2"}, 1000, 1});
  auto Status = viewOf(Scheduler, "/v1/schedule");
  CHECK(Status["role"] == "leader");
  CHECK(Status["leader"] == "10.0.0.1");
  CHECK(Status["configuration"] == 7);
  CHECK(Status["running_waves"] == 1);
  CHECK(viewOf(Scheduler, "/v1/schedule/members")["members"][0]["voter"] ==
        true);
  auto Endpoint = viewOf(Scheduler, "/v1/schedule/endpoints")["endpoints"][0];
  CHECK(Endpoint["name"] == "e1");
  CHECK(Endpoint["pool"] == "a");
  auto Job = viewOf(Scheduler, "/v1/schedule/jobs")["jobs"][0];
  CHECK(Job["id"] == "j");
  CHECK(Job["queue"] == Host + Prefix);
  auto Wave = viewOf(Scheduler, "/v1/schedule/waves")["waves"][0];
  CHECK(Wave["hosts"] == 2);
  CHECK(Wave["state"] == "running");
  CHECK(Wave["deadline_ms"].get<std::int64_t>() ==
        Wave["started_ms"].get<std::int64_t>() + 1000);
  // Hosts wait for a plan, which needs a list of the platform.
  CHECK(Wave["waits_for"] == "");
  CHECK(Wave["waiting"] == "");
}

TEST_CASE("the view of jobs shows the crashes and the pause of suspect tasks") {
  // An operator must see which task crashed which endpoints.
  single_scheduler Scheduler;
  Scheduler.call(configure_call{makeConfiguration(7)});
  Scheduler.call(submit_call{Host, Prefix + "j", makeJob("j", {makeStep(1)})});
  endpoint_heartbeat Heartbeat;
  Heartbeat.ClockMs = 1;
  for (std::string Id : {"e1", "e2"}) {
    Heartbeat.Facts = makeEndpoint(Id);
    Scheduler.call(heartbeat_call{Heartbeat});
    Scheduler.wait();
    REQUIRE(Scheduler.Node.state().findTask({"j", 0, 0, 0})->Endpoint != 0);
    // The endpoint crashed and comes back; then it leaves for good.
    Heartbeat.Facts.IncarnationMs = 9;
    Scheduler.restart(Heartbeat);
    auto Job = viewOf(Scheduler, "/v1/schedule/jobs")["jobs"][0];
    CHECK(Job["state"] == "running");
    REQUIRE(Job["suspect_tasks"].size() == 1);
    auto Task = Job["suspect_tasks"][0];
    CHECK(Task["index"] == 0);
    CHECK(Task["evidence"] == "weak");
    CHECK(Task["last_crash_ms"] > 0);
    if (Id == "e1") {
      CHECK(Task["crashed_endpoints"] == nlohmann::json::array({"e1"}));
      CHECK(Task["crashes"] == 1);
      CHECK(Task["pause_ms"] == 0);
    } else {
      CHECK(Task["crashed_endpoints"] == nlohmann::json::array({"e1", "e2"}));
      CHECK(Task["crashes"] == 2);
      CHECK(Task["crashes_alone"] == 2);
      CHECK(Task["pause_ms"] == 250);
    }
    Scheduler.call(deregister_call{Id});
    Scheduler.wait();
  }
}

// Guards against an operator who cannot tell a workspace at its limit from one
// that waits for capacity.
TEST_CASE("workspaces: the view shows use, limit, share and what is held") {
  single_scheduler Scheduler;
  auto Configuration = makeConfiguration(7);
  Configuration.RequiresKeys = true;
  for (std::string Name : {"idle", "limited", "other"}) {
    workspaces::workspace_spec Spec;
    Spec.Name = Name;
    Spec.Keys = {workspaces::digestOf(Name)};
    Spec.Weight = Name == "limited" ? 30 : 10;
    Spec.Limit.MilliCores = Name == "limited" ? 2500 : 0;
    Configuration.Workspaces.push_back(Spec);
  }
  Scheduler.call(configure_call{Configuration});
  endpoint_heartbeat Heartbeat;
  Heartbeat.Facts = makeEndpoint("e1");
  Heartbeat.ClockMs = 1;
  Scheduler.call(heartbeat_call{Heartbeat});
  Scheduler.wait();
  for (std::string Name : {"limited", "other"}) {
    submit_call Submit{Host, Prefix + Name, makeJob(Name, {makeStep(4)})};
    Submit.KeyDigest = workspaces::digestOf(Name);
    Scheduler.call(Submit);
  }
  Scheduler.wait();
  auto Rows = viewOf(Scheduler, "/v1/schedule/workspaces")["workspaces"];
  REQUIRE(Rows.size() == 2);
  CHECK(Rows[0]["name"] == "other");
  CHECK(Rows[0]["running_millicores"] == 4000);
  CHECK(Rows[0]["limit_millicores"] == 0);
  CHECK(Rows[0]["queued_tasks"] == 0);
  CHECK(Rows[0]["weight_share"] == 0.25);
  CHECK(Rows[1]["name"] == "limited");
  CHECK(Rows[1]["running_millicores"] == 2000);
  CHECK(Rows[1]["limit_millicores"] == 2500);
  CHECK(Rows[1]["queued_tasks"] == 2);
  CHECK(Rows[1]["held_by_limit"] == 2);
  CHECK(Rows[1]["over_rate"] == 0);
}

TEST_CASE("other paths give no view") {
  single_scheduler Scheduler;
  CHECK(!viewOf(Scheduler.Node, "/v1/schedule/"));
  CHECK(!viewOf(Scheduler.Node, "/metrics"));
}
