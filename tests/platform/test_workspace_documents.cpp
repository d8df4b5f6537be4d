#include "platform/site_documents.h"
#include "platform/site_messages.h"
#include "workspaces/key_digest.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::platform;
using namespace lycheetrestle::scheduling;
using nlohmann::json;

namespace {

// Part of every key of these tests, and of nothing else.
const std::string KeyMark = "sesame";

json makeDocument() {
  return json::parse(R"({"version":7,"routes":[
    {"name":"r1","host":"h.example","pathPrefix":"/a/","timeoutMs":3000,
     "targetLatencyMs":600,"priority":1,"service":"s1"},
    {"name":"r2","host":"h.example","pathPrefix":"/b/","timeoutMs":3000,
     "targetLatencyMs":600,"priority":1,"service":"s1","public":true}],
   "services":[{"name":"s1"}],
   "tenants":[
    {"name":"w1","apiKeys":["sesame-1","sesame-2"],"priority":2,"weight":5,
     "maxCount":{"cpu":4000,"memMb":1000,"gpu":1}},
    {"name":"w2","apiKeys":["sesame-3"]}]})");
}

json changed(const std::string &Pointer, const json &Value) {
  auto Document = makeDocument();
  Document[json::json_pointer(Pointer)] = Value;
  return Document;
}

/// \returns the failure of a text that must be rejected, after a check that no
/// part of it shows a key.
core::failure failureOf(const std::string &Text) {
  auto Outcome = core::capture([&] { return decodeConfiguration(Text); });
  const auto *Failure = std::get_if<core::failure>(&Outcome);
  if (!Failure) {
    FAIL("accepted: " << Text.substr(0, 400));
    return {};
  }
  INFO(Text.substr(0, 400));
  CHECK(Failure->Message.find(KeyMark) == std::string::npos);
  CHECK(Failure->Field.find(KeyMark) == std::string::npos);
  CHECK(Failure->Value.find(KeyMark) == std::string::npos);
  return *Failure;
}

std::string fieldOf(const json &Document) {
  return failureOf(Document.dump()).Field;
}

configuration decode(const std::string &Text) {
  auto Outcome = core::capture([&] { return decodeConfiguration(Text); });
  REQUIRE(Outcome.index() == 0);
  return std::get<0>(Outcome);
}

} // namespace

TEST_CASE("workspaces and public queues are decoded, and the document is kept "
          "unchanged") {
  auto Text = makeDocument().dump(1);
  auto Result = decode(Text);
  CHECK(Result.Text == Text);
  CHECK(Result.RequiresKeys);
  REQUIRE(Result.Queues.size() == 2);
  CHECK_FALSE(Result.Queues[0].IsPublic);
  CHECK(Result.Queues[1].IsPublic);
  REQUIRE(Result.Workspaces.size() == 2);
  const auto &First = Result.Workspaces[0];
  CHECK(First.Name == "w1");
  CHECK(First.Keys ==
        std::vector<std::string>{workspaces::digestOf("sesame-1"),
                                 workspaces::digestOf("sesame-2")});
  CHECK(First.Priority == 2);
  CHECK(First.Weight == 5);
  CHECK(First.Limit == workspaces::resource_limit{4000, 1000, 1});
  const auto &Second = Result.Workspaces[1];
  CHECK(Second.Weight == 1);
  CHECK(Second.Limit.isUnlimited());
}

TEST_CASE("a configuration without workspaces requires no keys, one with an "
          "empty list does") {
  auto Document = makeDocument();
  Document.erase("tenants");
  CHECK_FALSE(decode(Document.dump()).RequiresKeys);
  Document["tenants"] = json::array();
  CHECK(decode(Document.dump()).RequiresKeys);
}

// Guards against a configuration that is accepted in part, and against errors
// that do not name the field.
TEST_CASE("invalid workspaces are rejected with their field") {
  CHECK(fieldOf(changed("/tenants/1/apiKeys/0", "sesame-1")) ==
        "workspaces[1].keys");
  CHECK(fieldOf(changed("/tenants/0/apiKeys/1", "sesame-1")) ==
        "workspaces[0].keys");
  CHECK(fieldOf(changed("/tenants/1/name", "w1")) == "workspaces[1].name");
  CHECK(fieldOf(changed("/tenants/1/name", "")) == "tenants[1].name");
  CHECK(fieldOf(changed("/tenants/1/name", 3)) == "tenants[1].name");
  auto Unnamed = makeDocument();
  Unnamed["tenants"][0].erase("name");
  CHECK(fieldOf(Unnamed) == "tenants[0].name");
  for (const json &Value : {json(-1), json(1.5), json("3"), json(nullptr)}) {
    CHECK(fieldOf(changed("/tenants/0/weight", Value)) == "tenants[0].weight");
    CHECK(fieldOf(changed("/tenants/0/priority", Value)) ==
          "tenants[0].priority");
    for (const char *Name : {"cpu", "memMb", "gpu"})
      CHECK(
          fieldOf(changed(std::string("/tenants/0/maxCount/") + Name, Value)) ==
          std::string("tenants[0].maxCount.") + Name);
  }
  CHECK(fieldOf(changed("/tenants/0/maxCount", 4)) == "tenants[0].maxCount");
  CHECK(fieldOf(changed("/routes/1/public", "yes")) == "routes[1].public");
  CHECK(fieldOf(changed("/tenants", nullptr)) == "tenants");
  CHECK(fieldOf(changed("/tenants/0/apiKeys/1", "")) ==
        "tenants[0].apiKeys[1]");
  CHECK(decode(changed("/tenants/0/apiKeys/1", std::string(256, 'k')).dump())
            .Workspaces.size() == 2);
  CHECK(fieldOf(
            changed("/tenants/0/apiKeys/1", KeyMark + std::string(251, 'k'))) ==
        "tenants[0].apiKeys[1]");
}

TEST_CASE("the value of an error about a shared key is the other workspace") {
  CHECK(failureOf(changed("/tenants/1/apiKeys/0", "sesame-1").dump()).Value ==
        "w1");
}

TEST_CASE("too many workspaces and too many keys are rejected with their "
          "number") {
  auto Document = makeDocument();
  for (int Index = 2; Index != 10'000; ++Index)
    Document["tenants"].push_back({{"name", "w-" + std::to_string(Index)}});
  CHECK(decode(Document.dump()).Workspaces.size() == 10'000);
  Document["tenants"].push_back({{"name", "last"}});
  auto Failure = failureOf(Document.dump());
  CHECK(Failure.Field == "tenants");
  CHECK(Failure.Value == "10001");

  Document = makeDocument();
  auto Keys = json::array();
  for (int Index = 0; Index != 200'000 - 1; ++Index)
    Keys.push_back(std::to_string(Index));
  Document["tenants"][0]["apiKeys"] = Keys;
  CHECK(decode(Document.dump()).Workspaces.size() == 2);
  Document["tenants"][1]["apiKeys"].push_back("sesame-4");
  CHECK(fieldOf(Document) == "workspaces[1].keys");
  Keys.push_back("x");
  Keys.push_back("y");
  Document["tenants"][0]["apiKeys"] = Keys;
  Failure = failureOf(Document.dump());
  CHECK(Failure.Field == "tenants[0].apiKeys");
  CHECK(Failure.Value == "200001");
}

// Guards against keys in responses and log lines when a document is malformed
// in a way that makes an error show the text around the keys.
TEST_CASE("no error shows a key, whatever is wrong with the document") {
  CHECK(fieldOf(changed("/tenants/0/apiKeys", "sesame")) ==
        "tenants[0].apiKeys");
  CHECK(fieldOf(changed("/tenants/0/apiKeys", {{"sesame", 1}})) ==
        "tenants[0].apiKeys");
  CHECK(fieldOf(changed("/tenants/0/apiKeys/0", {"sesame"})) ==
        "tenants[0].apiKeys[0]");
  CHECK(fieldOf(changed("/tenants/0", "sesame")) == "tenants[0]");
  CHECK(fieldOf(changed("/tenants", "sesame")) == "tenants");
  CHECK(fieldOf(changed("/tenants", {{"sesame", 1}})) == "tenants");
  // The keys stand in a part of the document that holds none.
  auto Workspace = json{{"apiKeys", {"sesame"}}};
  CHECK(fieldOf(json::array({Workspace})).empty());
  CHECK(fieldOf("sesame").empty());
  for (const char *Pointer :
       {"/version", "/routes", "/services", "/routes/0/name",
        "/routes/0/priority", "/services/0/name", "/tenants/0/name",
        "/tenants/0/maxCount/cpu", "/tenants/0/weight"})
    CHECK_FALSE(fieldOf(changed(Pointer, Workspace)).empty());
  CHECK_FALSE(fieldOf(changed("/tenants/0/maxCount", {"sesame"})).empty());
}

TEST_CASE("no syntax error shows a key") {
  auto Text = makeDocument().dump();
  for (std::size_t Bytes = 0; Bytes != Text.size(); ++Bytes)
    failureOf(Text.substr(0, Bytes));
  auto Replaced = [&](const std::string &Old, const std::string &New) {
    auto Copy = Text;
    auto Position = Copy.find(Old);
    REQUIRE(Position != std::string::npos);
    return failureOf(Copy.replace(Position, Old.size(), New));
  };
  Replaced("\"sesame-1\"", "sesame-1");
  Replaced("\"sesame-1\",", "\"sesame-1\" ");
  Replaced("\"sesame-1\"", "\"sesame-1\n\"");
  Replaced("\"sesame-1\"", "\"sesame-1\\q\"");
  Replaced("\"sesame-1\"", "\"sesame-1\xff\"");
  // A key without quotation marks may be read as a number that is too large.
  auto Failure = Replaced("\"sesame-1\"", "47110815e999");
  CHECK(Failure.Message.find("47110815") == std::string::npos);
}
