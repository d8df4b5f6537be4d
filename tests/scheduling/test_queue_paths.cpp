#include "platform/site_messages.h"
#include "schedule_fixture.h"
#include "scheduling/explanation.h"
#include "single_scheduler.h"
#include "workspaces/key_digest.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;
using namespace lycheetrestle::scheduling::test;

namespace {

const std::string Document = R"({"spec":"s","phases":[{"count":1,"cpu":1}]})";
const std::string KnownId = "0123456789abcdef";
const std::string UnknownId = "fedcba9876543210";

/// \returns a configuration with a queue for each prefix.
configuration withPrefixes(std::uint64_t Version,
                           const std::vector<std::string> &Prefixes) {
  auto Configuration = makeConfiguration(Version);
  auto Queue = Configuration.Queues.front();
  Configuration.Queues.clear();
  for (const auto &PathPrefix : Prefixes) {
    Queue.Name = "q" + PathPrefix;
    Queue.PathPrefix = PathPrefix;
    Configuration.Queues.push_back(Queue);
  }
  return Configuration;
}

submit_job exactSubmission(const std::string &Path, const std::string &Id,
                           std::string Key = "") {
  submit_job Submit{Host, Path, makeJob(Id, {makeStep(1)}), std::move(Key)};
  Submit.IsExactPath = true;
  return Submit;
}

/// A scheduler that gets the requests of callers.
class called_scheduler {
public:
  explicit called_scheduler(configuration Configuration) {
    Scheduler.call(configure_call{std::move(Configuration)});
  }

  /// \returns the HTTP status and the body of the response.
  std::pair<int, std::string> request(const std::string &Method,
                                      const std::string &Target) {
    http::request Request;
    Request.Method = Method;
    Request.Host = Host;
    Request.Target = Target;
    if (Method == "POST")
      Request.Body = Document;
    auto Decoded = Adapter.DecodeCallerCall(Request);
    auto Response =
        Decoded.Call
            ? Adapter.EncodeReply(Scheduler.ask(std::move(*Decoded.Call)))
            : Decoded.Refusal;
    return {Response.Status, Response.Body};
  }
  int status(const std::string &Method, const std::string &Target) {
    return request(Method, Target).first;
  }

  single_scheduler Scheduler;
  site_adapter Adapter = platform::makeSiteAdapter({});
};

} // namespace

// Guards against a queue whose jobs are refused because its prefix does not end
// with a slash.
TEST_CASE("jobs of a queue are submitted, asked for and cancelled whatever its "
          "prefix ends with") {
  const std::vector<std::string> Prefixes{"/plots/",
                                          "/y/" + KnownId + "/",
                                          "/a1b2/",
                                          "/",
                                          "/gate",
                                          "/gate/inner",
                                          "/z-",
                                          "/a1",
                                          "/q%20r",
                                          "/x/" + KnownId,
                                          "/a1b2/" + KnownId + "0"};
  for (const auto &PathPrefix : Prefixes) {
    INFO(PathPrefix);
    called_scheduler Caller(withPrefixes(1, Prefixes));
    const auto Known = PathPrefix + KnownId, Unknown = PathPrefix + UnknownId;
    CHECK(Caller.status("POST", Known) == 200);
    CHECK(Caller.status("POST", Known + "?retry=1") == 200);
    CHECK(Caller.Scheduler.Node.state().jobs().size() == 1);
    auto State = Caller.request("GET", Known);
    CHECK(State.first == 200);
    CHECK(State.second.find("state") != std::string::npos);
    auto Length = Caller.request("GET", PathPrefix);
    CHECK(Length.first == 200);
    CHECK(nlohmann::json::parse(Length.second)["pending"] == 1);
    CHECK(Caller.status("GET", Unknown) == 410);
    CHECK(Caller.status("DELETE", Known) == 200);
    CHECK(Caller.status("DELETE", Unknown) == 410);
    const auto &Job = Caller.Scheduler.Node.state().jobs().at(KnownId);
    CHECK(Job.QueuePrefix == PathPrefix);
    CHECK(Job.State == job_state::Cancelled);
  }
}

// Guards against a job that is stored in a queue which its path does not name.
TEST_CASE("a path with more than an id after the longest prefix names no "
          "queue") {
  called_scheduler Caller(withPrefixes(1, {"/gate", "/gate/inner/"}));
  for (const auto &Path : {"/gate/" + KnownId, "/gate/inner/x/" + KnownId,
                           "/gate" + KnownId + "0", "/gate/inner" + KnownId}) {
    INFO(Path);
    CHECK(Caller.status("POST", Path) == 404);
  }
  CHECK(Caller.status("GET", "/gate/") == 404);
  CHECK(Caller.status("GET", "/gate/inner") == 404);
  CHECK(Caller.status("GET", "/gate") == 200);
  CHECK(Caller.status("POST", "/gate") == 404);
  CHECK(Caller.Scheduler.Node.state().jobs().empty());
}

// Guards against a job that a path with another last part finds or cancels.
TEST_CASE("the end of a longer id names no job") {
  called_scheduler Caller(withPrefixes(1, {"/gate"}));
  REQUIRE(Caller.status("POST", "/gate" + KnownId) == 200);
  CHECK(Caller.status("GET", "/gate1" + KnownId) == 410);
  CHECK(Caller.status("DELETE", "/gate1" + KnownId) == 410);
  CHECK(Caller.Scheduler.Node.state().jobs().at(KnownId).State ==
        job_state::Queued);
}

// Guards against jobs that can't be asked for or cancelled once their queue was
// removed.
TEST_CASE("a job of a removed queue is found whatever the prefix ends with") {
  for (const std::string PathPrefix : {"/gate", "/gate/inner"}) {
    called_scheduler Caller(withPrefixes(1, {"/gate", "/gate/inner"}));
    REQUIRE(Caller.status("POST", PathPrefix + KnownId) == 200);
    auto Next = PathPrefix == "/gate" ? "/gate/inner" : "/gate";
    Caller.Scheduler.call(configure_call{withPrefixes(2, {Next})});
    CHECK(Caller.status("GET", PathPrefix + KnownId) == 200);
    CHECK(Caller.status("POST", PathPrefix + KnownId) == 200);
    CHECK(Caller.status("POST", PathPrefix + UnknownId) == 404);
    CHECK(Caller.status("DELETE", PathPrefix + KnownId) == 200);
  }
}

// Guards against a submission that falls to a queue with a shorter prefix when
// its own queue is removed before it is applied.
TEST_CASE("a submission is applied only to the queue that its path names") {
  schedule_state State;
  State.apply(set_configuration{withPrefixes(1, {"/gate"})}, 0);
  CHECK(State.apply(exactSubmission("/gate/inner" + KnownId, KnownId), 0) ==
        apply_outcome::NoSuchQueue);
  CHECK(State.apply(exactSubmission("/gate" + KnownId, KnownId), 0) ==
        apply_outcome::Accepted);
}

// Guards against a log of an earlier version that gives another state.
TEST_CASE("submissions in logs of earlier versions keep the queue of the "
          "longest prefix") {
  command_batch Batch;
  Batch.Commands = {
      submit_job{Host, "/gate/x/" + KnownId, makeJob(KnownId, {makeStep(1)})}};
  auto Bytes = encodeBatch(Batch);
  auto Items = nlohmann::json::from_cbor(Bytes);
  CHECK(Items[2].size() == 3);
  auto Copy = decodeBatch(Bytes);
  REQUIRE(Copy);
  schedule_state State;
  State.apply(set_configuration{withPrefixes(1, {"/gate"})}, 0);
  CHECK(State.apply(Copy->Commands[0], 0) == apply_outcome::Accepted);
  Batch.Commands = {exactSubmission("/gate/x/" + UnknownId, UnknownId)};
  Copy = decodeBatch(encodeBatch(Batch));
  REQUIRE(Copy);
  CHECK(Copy->Commands == Batch.Commands);
  CHECK(State.apply(Copy->Commands[0], 0) == apply_outcome::NoSuchQueue);
}

// Guards against a path that is judged by a public queue and stored in one that
// requires a key.
TEST_CASE("a key is required by the queue in which the job is stored") {
  auto Configuration = withPrefixes(1, {"/open", "/open/plots", "/open/x/"});
  Configuration.Queues[0].IsPublic = true;
  Configuration.RequiresKeys = true;
  Configuration.Workspaces = {
      {"w", {workspaces::digestOf("key")}, 1, 4, {8000, 100, 0}}};
  called_scheduler Caller(Configuration);
  CHECK(Caller.status("POST", "/open/plots" + KnownId) == 401);
  CHECK(Caller.status("POST", "/open/x/" + KnownId) == 401);
  CHECK(Caller.status("GET", "/open/plots") == 401);
  CHECK(Caller.status("POST", "/open/" + KnownId) == 404);
  CHECK(Caller.Scheduler.Node.state().jobs().empty());
  CHECK(Caller.status("POST", "/open" + KnownId) == 200);
}

// Guards against an explanation that names no queue for a prefix without a
// slash at its end.
TEST_CASE("an explanation accepts the path of a queue without an id") {
  called_scheduler Caller(withPrefixes(1, {"/gate", "/plots/"}));
  auto Explain = [&](const std::string &Path) {
    nlohmann::json Question = {
        {"host", Host}, {"path", Path}, {"document", Document}};
    auto Response =
        explain(Caller.Scheduler.Node,
                {"POST", std::string(ExplanationPath), "", {}, Question.dump()},
                Caller.Adapter, 7801, Caller.Scheduler.now());
    REQUIRE(Response.Status == 200);
    return nlohmann::json::parse(Response.Body)["answer"];
  };
  CHECK(Explain("/gate") == 200);
  CHECK(Explain("/gate" + UnknownId) == 200);
  CHECK(Explain("/plots/") == 200);
  CHECK(Explain("/plots/x" + UnknownId) == 404);
}
