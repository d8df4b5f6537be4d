#include "platform/site_documents.h"
#include "platform/site_messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::platform;
using namespace lycheetrestle::scheduling;
using nlohmann::json;

namespace {

template <typename Callable> std::string failingField(Callable &&Decode) {
  auto Outcome = core::capture(std::forward<Callable>(Decode));
  const auto *Failure = std::get_if<core::failure>(&Outcome);
  return Failure ? Failure->Field : "none";
}

template <typename Callable> auto valueOf(Callable &&Decode) {
  auto Outcome = core::capture(std::forward<Callable>(Decode));
  REQUIRE(Outcome.index() == 0);
  return std::get<0>(Outcome);
}

const std::string Configuration = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"unsafe",
   "timeoutMs":3000,"targetLatencyMs":600,"priority":1,"service":"s1",
   "maxAttempts":3,"slackFactor":1.6,
   "advice":{"decisionMs":5,"perWorkerMs":1,"validMs":3000}}],
 "services":[{"name":"s1","healthPath":"/healthz","maxConns":64,
   "enforceLimits":true,"standby":true}],"limits":{"maxHeaderBytes":1}})";

std::string changed(const std::string &Pointer, const json &Value) {
  auto Document = json::parse(Configuration);
  Document[json::json_pointer(Pointer)] = Value;
  return Document.dump();
}

std::string configurationField(const std::string &Text) {
  return failingField([&] { return decodeConfiguration(Text); });
}

const std::string Heartbeat =
    R"({"service":"s1","addr":"10.0.0.9:80","zone":"z",
  "version":"v1","slots":8,"state":"ready","coldLeftMs":0,
  "capacity":{"cpu":16000,"memMb":32768,"gpu":2},"labels":["a","r1-3"],
  "clockMs":482113,"seq":4,"born":1700000000000})";

} // namespace

TEST_CASE("a configuration of thousands of queues is decoded") {
  auto Document = json::parse(Configuration);
  auto Route = Document["routes"][0];
  for (int Index = 0; Index != 10'000; ++Index) {
    Route["name"] = "r-" + std::to_string(Index);
    Route["pathPrefix"] = "/more" + std::to_string(Index) + "/";
    Document["routes"].push_back(Route);
  }
  auto Text = Document.dump();
  CHECK(Text.size() > 1u << 20);
  CHECK(valueOf([&] { return decodeConfiguration(Text); }).Queues.size() ==
        json::parse(Configuration)["routes"].size() + 10'000);
}

TEST_CASE("a configuration is decoded into queues and pools") {
  auto Result = valueOf([&] { return decodeConfiguration(Configuration); });
  CHECK(Result.Version == 7);
  CHECK(Result.Text == Configuration);
  REQUIRE(Result.Queues.size() == 1);
  CHECK(Result.Queues[0].HostName == "h.example");
  CHECK(Result.Queues[0].Pool == "s1");
  CHECK(Result.Queues[0].SlackThousandths == 1600);
  CHECK(Result.Queues[0].Advice->ValidMs == 3000);
  REQUIRE(Result.Pools.size() == 1);
  CHECK(Result.Pools[0].IsStandby);
  CHECK(Result.Pools[0].EnforcesLimits);
}

TEST_CASE(
    "an invalid configuration is rejected and the invalid field is named") {
  CHECK(configurationField(Configuration.substr(0, 80)) != "none");
  CHECK(configurationField(changed("/routes/0/service", "other")) ==
        "queues[0].pool");
  CHECK(configurationField(changed("/routes/0/timeoutMs", 0)) ==
        "queues[0].timeout_ms");
  CHECK(configurationField(changed("/routes/0/priority", "x")) ==
        "routes[0].priority");
  CHECK(configurationField(changed("/version", -1)) == "version");
  auto Twice = json::parse(Configuration);
  Twice["routes"].push_back(Twice["routes"][0]);
  CHECK(configurationField(Twice.dump()) == "queues[1].path_prefix");
}

TEST_CASE("a job is decoded with every field of its steps") {
  auto Job = valueOf([&] {
    return decodeJob(
        R"({"spec":"text","phases":[{"count":4,"cpu":500,"memMb":256,
          "estimateMs":900,"dataRack":"r1-3"},{"count":2,"cpu":2000,"gpu":1,
          "estimateMs":7000,"dependsOn":[0],"checkpointable":true,"gang":true,
          "sameRack":true,"requiredLabel":"a","maxPerServer":2,
          "speculative":true,"longRunning":true,"image":"i","targetMs":50,
          "fills":true,"mayMiss":1}],"repeatCount":3,"startAtMs":1000,
          "intervalMs":500})",
        "0123456789abcdef");
  });
  CHECK(Job.Payload == "text");
  REQUIRE(Job.Steps.size() == 2);
  CHECK(Job.Steps[0].Size == resource_amounts{500, 256, 0});
  CHECK(Job.Steps[0].DataRack == "r1-3");
  const auto &Step = Job.Steps[1];
  CHECK(Step.DependsOn == std::vector<std::uint32_t>{0});
  CHECK((Step.IsCheckpointable && Step.IsGang && Step.PrefersSameRack &&
         Step.AllowsSpeculativeCopies && Step.IsLongRunning &&
         Step.IsBestEffort));
  CHECK(Step.MaxPerEndpoint == 2);
  CHECK(Step.MaxUnavailable == 1);
  CHECK(Step.TargetMs == 50);
  CHECK(Job.RepeatCount == 3);
  CHECK(Job.IntervalMs == 500);
}

TEST_CASE(
    "a heartbeat is decoded and an invalid one is rejected with its field") {
  auto Result = valueOf([&] { return decodeHeartbeat(Heartbeat, "i-1"); });
  CHECK(Result.Facts.Id == "i-1");
  CHECK(Result.Facts.IncarnationMs == 1700000000000);
  CHECK(Result.Facts.Rack == "r1-3");
  CHECK(Result.Facts.Capacity == resource_amounts{16000, 32768, 2});
  CHECK(Result.Sequence == 4);
  CHECK(!Result.Facts.IsDraining);
  for (const auto &[Name, Bad] :
       std::vector<std::pair<std::string, json>>{{"state", "busy"},
                                                 {"service", 5},
                                                 {"addr", ""},
                                                 {"seq", "x"},
                                                 {"clockMs", nullptr},
                                                 {"labels", "a"}}) {
    auto Document = json::parse(Heartbeat);
    Document[Name] = Bad;
    CHECK(failingField([&] { return decodeHeartbeat(Document.dump(), "i"); }) ==
          Name);
  }
  CHECK(failingField([] { return decodeHeartbeat("\xff\x01", "i"); }) !=
        "none");
}

// Guards against an entry of another writer that is registered, replicated,
// polled and put into a URL as it came.
TEST_CASE("an odd address in a heartbeat is refused with field and value") {
  auto Adapter = makeSiteAdapter({});
  for (const json &Address : std::vector<json>{
           "10.0.0.9:99999", "10.0.0.9:0", "10.0.0.9:-1",
           "10.0.0.9:18446744073709551617", "10.0.0.9", "10.0.0.9:80/path",
           "user@10.0.0.9:80", "10.0.0.9:80\r\nX: 1", "0.0.0.0:80",
           "host.example:80", std::string(1000, '1') + ":80", nullptr, 80}) {
    INFO(Address);
    auto Document = json::parse(Heartbeat);
    Document["addr"] = Address;
    http::request Request;
    Request.Method = "POST";
    Request.Target = "/-/instances/i-7/heartbeat";
    Request.Body = Document.dump();
    auto Decoded = Adapter.DecodeControlCall(Request);
    REQUIRE(!Decoded.Call);
    CHECK(Decoded.Refusal.Status == 400);
    auto Body = json::parse(Decoded.Refusal.Body);
    CHECK(Body.at("field") == "addr");
    CHECK(!Body.at("value").get<std::string>().empty());
  }
}

// Guards against an id that ends a line of a header or a path, and a pool that
// does so in logs and views.
TEST_CASE("an odd id, pool or zone of an endpoint is refused with field and "
          "value") {
  for (std::string Id : {"", "a/b", "a b", "a\r\nX: 1", "a\n", "a%2f", "a?b",
                         "a#b", "\x7f", "\xc3\xa9", "a\"b"}) {
    INFO(Id);
    CHECK(failingField([&] { return decodeHeartbeat(Heartbeat, Id); }) == "id");
    auto Adapter = makeSiteAdapter({});
    http::request Request;
    Request.Method = "POST";
    Request.Target = "/-/instances/" + Id + "/deregister";
    if (Id.find('?') == std::string::npos)
      CHECK(Adapter.DecodeControlCall(Request).Refusal.Status == 400);
  }
  CHECK(failingField([&] {
          return decodeHeartbeat(Heartbeat, std::string(1025, 'i'));
        }) == "id");
  for (const char *Name : {"service", "zone"})
    for (const char *Bad : {"a\nb", "a\r\nX: 1", "a/b", "\x7f"}) {
      INFO(Name << " " << Bad);
      auto Document = json::parse(Heartbeat);
      Document[Name] = Bad;
      CHECK(failingField(
                [&] { return decodeHeartbeat(Document.dump(), "i"); }) == Name);
    }
}

// Guards against an endpoint that gets every waiting task of its pool.
TEST_CASE("a capacity that no host has is refused with field and value") {
  for (const char *Name : {"cpu", "memMb", "gpu"}) {
    auto Document = json::parse(Heartbeat);
    Document["capacity"][Name] = 2'147'483'647;
    CHECK(failingField([&] { return decodeHeartbeat(Document.dump(), "i"); }) ==
          "capacity." + std::string(Name));
  }
  auto Document = json::parse(Heartbeat);
  Document["capacity"] = {
      {"cpu", 2'000'000}, {"memMb", 67'108'864}, {"gpu", 64}};
  CHECK(failingField([&] { return decodeHeartbeat(Document.dump(), "i"); }) ==
        "none");
}

// Guards against a metric or a log line for each odd heartbeat of a flood.
TEST_CASE("a refused heartbeat names its sender and a member of a fixed list") {
  auto Adapter = makeSiteAdapter({});
  auto FieldOf = [&](const std::string &Body) {
    http::request Request;
    Request.Method = "POST";
    Request.Target = "/-/instances/i-7/heartbeat";
    Request.Body = Body;
    auto Decoded = Adapter.DecodeControlCall(Request);
    REQUIRE(Decoded.Heartbeat);
    CHECK(Decoded.Heartbeat->EndpointId == "i-7");
    return Decoded.Heartbeat->Field;
  };
  CHECK(FieldOf("") == "body");
  CHECK(FieldOf("[]") == "body");
  CHECK(FieldOf("\xff") == "body");
  auto Document = json::parse(Heartbeat);
  Document["labels"][1] = 7;
  CHECK(FieldOf(Document.dump()) == "labels");
  Document = json::parse(Heartbeat);
  Document["capacity"]["cpu"] = -1;
  CHECK(FieldOf(Document.dump()) == "capacity.cpu");
}

TEST_CASE("task names are encoded and decoded") {
  task_key Task{"0123456789abcdef", 2, 1, 17};
  CHECK(encodeTask(Task) == "0123456789abcdef.2.1.17");
  CHECK(decodeTask(encodeTask(Task)) == Task);
  for (const char *Bad : {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2."})
    CHECK(!decodeTask(Bad));
}

TEST_CASE(
    "an endpoint's task lists are decoded and malformed rows are skipped") {
  auto Answer = decodeEndpointAnswer(200, R"({"clockMs":5,"born":9,
    "running":[["j.0.0.1",2,"c",41,12],[1],["bad",1,"",0]],
    "finished":[[58,"j.0.0.9",1,"done",""],[59,"j.0.0.8",1,"lapsed","c"]]})");
  CHECK(Answer.Verdict == endpoint_verdict::Accepted);
  CHECK(Answer.IncarnationMs == 9);
  REQUIRE(Answer.Running.size() == 1);
  CHECK(Answer.Running[0].Percent == 41);
  CHECK(Answer.Running[0].Load == 12);
  REQUIRE(Answer.Ended.size() == 2);
  CHECK(Answer.Ended[0].Outcome == run_end::Done);
  CHECK(Answer.Ended[1].Outcome == run_end::Expired);
}

// Guards against ends that are lost because a later one was confirmed, and
// against a clock that no lease can be based on.
TEST_CASE("numbers in an endpoint's answer that no count reaches are ignored") {
  auto Answer = decodeEndpointAnswer(
      200, R"({"clockMs":18446744073709551615,"born":9223372036854775808,
    "finished":[[9223372036854775808,"j.0.0.9",1,"done",""],
                [59,"j.0.0.8",1,"done","c"]]})");
  CHECK(!Answer.ClockMs);
  CHECK(!Answer.IncarnationMs);
  REQUIRE(Answer.Ended.size() == 1);
  CHECK(Answer.Ended[0].Number == 59);
}

TEST_CASE("each rejection by an endpoint maps to its own verdict") {
  auto Verdict = [](std::uint16_t Status, const char *Reason) {
    return decodeEndpointAnswer(Status,
                                json{{"clockMs", 1}, {"reason", Reason}}.dump())
        .Verdict;
  };
  CHECK(Verdict(409, "fence") == endpoint_verdict::Fenced);
  CHECK(Verdict(409, "old") == endpoint_verdict::OldRun);
  CHECK(Verdict(409, "late") == endpoint_verdict::LateOrder);
  CHECK(Verdict(409, "room") == endpoint_verdict::NoCapacity);
  CHECK(Verdict(409, "ticket") == endpoint_verdict::BadTicket);
  CHECK(Verdict(421, "") == endpoint_verdict::OtherIncarnation);
  CHECK(Verdict(503, "") == endpoint_verdict::Unhealthy);
  CHECK(Verdict(400, "") == endpoint_verdict::BadOrder);
}

TEST_CASE("a page of hosts is decoded") {
  auto Page = decodeHosts(R"({"machines":[{"machine":"m-1","pool":"s1",
    "state":"upkeep","zone":"z","labels":["a","r1-2"],
    "capacity":{"cpu":16000,"memMb":1,"gpu":0},"id":null}],
    "nextToken":"t"})");
  REQUIRE(Page);
  CHECK(Page->NextToken == "t");
  REQUIRE(Page->Hosts.size() == 1);
  CHECK(Page->Hosts[0].State == host_state::Maintenance);
  CHECK(Page->Hosts[0].EndpointId.empty());
  CHECK(!decodeHosts("{}"));
  CHECK(!decodeHosts("\xff"));
}

// Guards against a row that ends the sound endpoint of a host, because its host
// is taken for one that is down or has another endpoint.
TEST_CASE("an odd row of the list of hosts is skipped") {
  auto Page = decodeHosts(R"({"machines":[7,null,[],{"machine":"m-1"},
    {"machine":"m-2","state":"gone","id":"i-2"},
    {"machine":"m-3","state":"up","id":7},
    {"machine":"m-4","state":5,"id":"i-4"},
    {"machine":"m-5","state":"up","id":"a\nb"},
    {"machine":"","state":"up","id":"i-6"},
    {"machine":"m-7","pool":"p","state":"down","id":null},
    {"machine":"m-8","pool":"p","state":"up","id":"i-8"},
    {"machine":"m-9","state":"up","id":"i-9"},
    {"machine":"m-10","pool":"p","state":"up","id":"i-10","labels":7},
    {"machine":"m-11","pool":"p","state":"up","id":"i-11",
     "capacity":{"cpu":4294967297}},
    {"machine":"m-12","pool":"p","state":"up","id":"i-12",
     "capacity":{"memMb":-1}},
    {"machine":"m-13","pool":"p","state":"up","id":"i-13",
     "capacity":{"gpu":"x"}}]})");
  REQUIRE(Page);
  REQUIRE(Page->Hosts.size() == 2);
  CHECK(Page->Hosts[0].Name == "m-7");
  CHECK(Page->Hosts[1].EndpointId == "i-8");
  CHECK(Page->Hosts[1].Capacity == resource_amounts{});
}

namespace {

http::request request(std::string Method, std::string Target,
                      std::string Body = "") {
  http::request Request;
  Request.Method = std::move(Method);
  Request.Target = std::move(Target);
  Request.Host = "h.example";
  Request.Body = std::move(Body);
  return Request;
}

order endpointOrder(order_body Body) {
  order Order;
  Order.Endpoint = 1;
  Order.Address = core::network_address::parse("10.0.0.9:80");
  Order.EndpointId = "i-1";
  Order.Body = std::move(Body);
  return Order;
}

} // namespace

TEST_CASE("golden session: callers' requests") {
  auto Adapter = makeSiteAdapter({});
  const std::string Path = "/q/0123456789abcdef";
  auto Submit = Adapter.DecodeCallerCall(
      request("POST", Path, R"({"spec":"s","phases":[{"count":1,"cpu":1}]})"));
  REQUIRE(Submit.Call);
  CHECK(std::get<submit_call>(*Submit.Call).Job.Id == "0123456789abcdef");
  auto Bad = Adapter.DecodeCallerCall(request("POST", Path, "{"));
  CHECK(!Bad.Call);
  CHECK(Bad.Refusal.Status == 400);
  auto State = Adapter.DecodeCallerCall(request("GET", Path + "?x=1"));
  CHECK(std::get<job_state_call>(*State.Call).Path == Path);
  auto Length = Adapter.DecodeCallerCall(request("GET", "/q/"));
  CHECK(std::get<queue_length_call>(*Length.Call).Path == "/q/");
  auto Cancel = Adapter.DecodeCallerCall(request("DELETE", Path));
  CHECK(std::holds_alternative<cancel_call>(*Cancel.Call));
  CHECK(Adapter.DecodeCallerCall(request("POST", "/q/short")).Refusal.Status ==
        404);
}

TEST_CASE("golden session: each reply has the status for its outcome") {
  auto Adapter = makeSiteAdapter({});
  auto Status = [&](reply_kind Kind) {
    reply Reply;
    Reply.Kind = Kind;
    return Adapter.EncodeReply(Reply).Status;
  };
  CHECK(Status(reply_kind::Accepted) == 200);
  CHECK(Status(reply_kind::NoSuchQueue) == 404);
  CHECK(Status(reply_kind::NoSuchJob) == 410);
  CHECK(Status(reply_kind::Unavailable) == 503);
  CHECK(Status(reply_kind::TooLarge) == 413);
  CHECK(Status(reply_kind::Unknown) == 504);
  reply Overloaded;
  Overloaded.Kind = reply_kind::Overloaded;
  Overloaded.RetryAfterS = 7;
  auto Refusal = Adapter.EncodeReply(Overloaded);
  CHECK(Refusal.Status == 429);
  CHECK(Refusal.Body == R"({"error":"overloaded"})");
  CHECK(http::findHeader(Refusal.Headers, "Retry-After") == "7");
  reply Complete;
  Complete.Kind = reply_kind::State;
  Complete.State = job_state::Complete;
  CHECK(Adapter.EncodeReply(Complete).Body == R"({"state":"complete"})");
}

TEST_CASE("golden session: requests of operators and endpoints") {
  auto Adapter = makeSiteAdapter({});
  auto Decode = [&](http::request Request) {
    return Adapter.DecodeControlCall(Request);
  };
  auto HeartbeatRequest =
      Decode(request("POST", "/-/instances/i-7/heartbeat", Heartbeat));
  CHECK(std::get<heartbeat_call>(*HeartbeatRequest.Call).Heartbeat.Facts.Id ==
        "i-7");
  CHECK(Decode(request("POST", "/-/instances/i-7/heartbeat", "{}"))
            .Refusal.Status == 400);
  auto Deregistered = Decode(request("POST", "/-/instances/i-7/deregister"));
  CHECK(std::get<deregister_call>(*Deregistered.Call).EndpointId == "i-7");
  CHECK(Decode(request("POST", "/-/config/replace", Configuration)).Call);
  CHECK(Decode(request("POST", "/-/config/replace", "{}")).Refusal.Status ==
        400);
  CHECK(std::holds_alternative<read_configuration_call>(
      *Decode(request("GET", "/-/config/read")).Call));
  auto Wave = Decode(
      request("POST", "/-/wave-start",
              R"({"wave":1,"machines":["m-1"],"deadlineS":20,"maxCount":2})"));
  CHECK(std::get<start_wave_call>(*Wave.Call).DeadlineMs == 20'000);
  CHECK(
      std::get<wave_state_call>(*Decode(request("GET", "/-/wave-get/12")).Call)
          .Wave == 12);
  CHECK(Decode(request("GET", "/-/wave-get/x")).Refusal.Status == 400);
  CHECK(Decode(request("GET", "/other")).Refusal.Status == 404);
}

TEST_CASE("golden session: orders") {
  auto Adapter =
      makeSiteAdapter({core::network_address::parse("10.0.0.1:1"),
                       core::network_address::parse("10.0.0.2:2"), "holder"});
  start_order Start;
  Start.Task = {"j", 0, 1, 2};
  Start.Attempt = 3;
  Start.Payload = "s";
  Start.LeaseExpiryMs = 99;
  Start.Fence = 7;
  auto Call = Adapter.EncodeOrder(endpointOrder(Start));
  CHECK(Call.Request.Target == "/-/run-start");
  CHECK(http::findHeader(Call.Request.Headers,
                         "Lycheetrestle-Expect-Instance") == "i-1");
  CHECK(json::parse(Call.Request.Body) ==
        json::parse(R"({"task":"j.0.1.2","attempt":3,"spec":"s",
                        "deadlineMs":99,"fence":7})"));
  poll_order Poll;
  Poll.Fence = 7;
  Poll.Cursor = 5;
  Poll.WaitMs = 100;
  CHECK(json::parse(Adapter.EncodeOrder(endpointOrder(Poll)).Request.Body) ==
        json::parse(R"({"fence":7,"ackCursor":5,"waitMs":100})"));
  order Maintenance;
  Maintenance.Body = maintenance_order{"m-1", 4, 7};
  Call = Adapter.EncodeOrder(Maintenance);
  CHECK(core::toText(Call.Address) == "10.0.0.1:1");
  CHECK(http::findHeader(Call.Request.Headers, "Lycheetrestle-Lease-Holder") ==
        "holder");
  CHECK(http::findHeader(Call.Request.Headers, "Lycheetrestle-Fencing-Token") ==
        "7");
  order List;
  List.Body = list_hosts_order{"a/b"};
  CHECK(Adapter.EncodeOrder(List).Request.Target ==
        "/-/machines?pageToken=a%2Fb");
}

TEST_CASE("a missing or malformed response gives no answer") {
  auto Adapter = makeSiteAdapter({});
  http::client_result Lost;
  Lost.WasSent = true;
  Lost.Reason = "timeout";
  auto Answer = Adapter.DecodeAnswer(endpointOrder(stop_order{}), Lost);
  CHECK(std::get<no_answer>(Answer).MayHaveRun);
  CHECK(!std::get<no_answer>(Answer).HasResponse);
  http::client_result UnreadableResult;
  UnreadableResult.IsComplete = true;
  UnreadableResult.Response.Status = 200;
  UnreadableResult.Response.Body = "no document";
  order List;
  List.Body = list_hosts_order{};
  CHECK(std::holds_alternative<no_answer>(
      Adapter.DecodeAnswer(List, UnreadableResult)));
}

TEST_CASE("a move that is answered with a server error has a response") {
  auto Adapter = makeSiteAdapter({});
  http::client_result Failed;
  Failed.IsComplete = true;
  Failed.Response.Status = 503;
  order Move;
  Move.Body = move_host_order{"h", "pool", 1};
  auto Answer = Adapter.DecodeAnswer(Move, Failed);
  REQUIRE(std::holds_alternative<no_answer>(Answer));
  CHECK(std::get<no_answer>(Answer).MayHaveRun);
  CHECK(std::get<no_answer>(Answer).HasResponse);
}

// Guards against texts that fill a log entry, and each replica's memory.
TEST_CASE("texts beyond their limit are refused with field and value") {
  auto Job = [](const json &Document) {
    return failingField([&] { return decodeJob(Document.dump(), "j"); });
  };
  json Phases = json::parse(R"([{"count":1,"cpu":1}])");
  CHECK(Job({{"spec", std::string(4000, 's')}, {"phases", Phases}}) == "none");
  CHECK(Job({{"spec", std::string(4001, 's')}, {"phases", Phases}}) == "spec");
  auto Beat = [](const std::string &Pointer, const json &Value,
                 const std::string &Id = "i-1") {
    auto Document = json::parse(Heartbeat);
    Document[json::json_pointer(Pointer)] = Value;
    return failingField([&] { return decodeHeartbeat(Document.dump(), Id); });
  };
  CHECK(Beat("/labels/1", std::string(1024, 'l')) == "none");
  CHECK(Beat("/labels/1", std::string(1025, 'l')) == "labels[1]");
  CHECK(Beat("/labels/0", 7) == "labels[0]");
  CHECK(Beat("/seq", 5, std::string(1025, 'i')) == "id");
  CHECK(Beat("/seq", 5, "") == "id");
  auto Wave = [](const json &Hosts) {
    return failingField([&] {
      return decodeWave(json{{"wave", 1}, {"machines", Hosts}}.dump());
    });
  };
  CHECK(Wave({"m-1", std::string(1025, 'm')}) == "machines[1]");
  CHECK(Wave({"m-1", ""}) == "machines[1]");
  auto Large = core::capture([&] {
    return decodeConfiguration(Configuration + std::string(4u << 20, ' '));
  });
  REQUIRE(std::get_if<core::failure>(&Large));
  CHECK(std::get<core::failure>(Large).Code == core::error_code::TooLarge);
}

// Guards against a wave that is never complete.
TEST_CASE("a host that a wave names twice counts once") {
  auto Wave = valueOf(
      [&] { return decodeWave(R"({"wave":1,"machines":["b","a","b","a"]})"); });
  CHECK(Wave.Hosts == std::vector<std::string>{"b", "a"});
}

// Guards against an answer that overflows the stack of each leader in turn.
TEST_CASE("deeply nested answers are read without recursion") {
  constexpr std::size_t Depth = 1'000'000;
  auto Nested = std::string(Depth, '[') + std::string(Depth, ']');
  CHECK(decodeEndpointAnswer(409, R"({"reason":)" + Nested + "}").Verdict ==
        endpoint_verdict::BadOrder);
  auto Poll = decodeEndpointAnswer(200, R"({"running":)" + Nested + "}");
  CHECK(Poll.Running.empty());
  auto Adapter = makeSiteAdapter({});
  order Move;
  Move.Body = move_host_order{"m-1", "p", 1};
  http::client_result Result;
  Result.IsComplete = true;
  Result.Response.Status = 409;
  Result.Response.Body = R"({"reason":)" + Nested + "}";
  CHECK(std::get<host_verdict>(Adapter.DecodeAnswer(Move, Result)) ==
        host_verdict::Busy);
}

// Guards against an end with a truncated number, which would end another
// attempt, and against a checkpoint that fills the log.
TEST_CASE("rows with extreme numbers and texts change no other run") {
  auto Answer = decodeEndpointAnswer(
      200, json{{"running", {{"j.0.0.1", 4294967297, "", 5}}},
                {"finished",
                 {{1, "j.0.0.1", 4294967297, "done", ""},
                  {2, "j.0.0.2", 1, "failed", std::string(4001, 'c')},
                  {3, "j.0.0.4294967296", 1, "done", ""},
                  {4, "j.0.0.3", 1, "done", std::string(4000, 'c')}}}}
               .dump());
  CHECK(Answer.Running.empty());
  REQUIRE(Answer.Ended.size() == 2);
  CHECK(Answer.Ended[0].Outcome == run_end::Failed);
  CHECK(Answer.Ended[0].Checkpoint.empty());
  CHECK(Answer.Ended[1].Checkpoint.size() == 4000);
}
