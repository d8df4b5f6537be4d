#include "gateway/gateway_settings.h"

#include <catch2/catch.hpp>

using namespace lycheetrestle;
using namespace lycheetrestle::gateway;

namespace {

const std::string Valid = R"({
  "role": "gateway", "name": "g1", "address": "10.0.0.1",
  "listen": "10.0.0.1:80", "readiness": "10.0.0.1:81", "link_port": 7001,
  "scheduler_link_port": 7000, "seeds": ["10.0.0.2:8000"]
})";

std::string failingField(std::string Text) {
  auto Outcome = core::capture([&] { return parseGatewaySettings(Text); });
  const auto *Failure = std::get_if<core::failure>(&Outcome);
  return Failure ? Failure->Field : "";
}

std::string replaced(const std::string &From, const std::string &To) {
  auto Text = Valid;
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace

TEST_CASE("gateway settings are read") {
  auto Outcome = core::capture([&] { return parseGatewaySettings(Valid); });
  REQUIRE(Outcome.index() == 0);
  CHECK(std::get<0>(Outcome).Readiness.Port == 81);
  CHECK(std::get<0>(Outcome).SchedulerLinkPort == 7000);
  CHECK(std::get<0>(Outcome).Limits.MemoryMb == 160);
  CHECK(std::get<0>(Outcome).Limits.Descriptors == 1024);
}

TEST_CASE("an invalid gateway setting is rejected and its field is named") {
  CHECK(failingField(replaced("10.0.0.1:81", "10.0.0.1")) == "readiness");
  CHECK(failingField(replaced("7001", "70010")) == "link_port");
  CHECK(failingField(replaced("\"link_port\": 7001,", "")) == "link_port");
  CHECK(failingField(replaced("\"name\"", "\"nmae\"")) == "name");
  CHECK(failingField(replaced("\"link_port\"",
                              "\"limits\": {\"memory_mb\": 1}, "
                              "\"link_port\"")) == "limits.memory_mb");
  CHECK(failingField(replaced("\"link_port\"",
                              "\"limits\": {\"descriptors\": 8}, "
                              "\"link_port\"")) == "limits.descriptors");
}
