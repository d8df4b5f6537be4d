#include "gateway/gateway_settings.h"

#include "core/object_reader.h"

namespace lycheetrestle::gateway {

namespace {

constexpr std::int64_t MaxStopMs = 600'000;

} // namespace

core::result<gateway_settings> parseGatewaySettings(std::string_view Text) {
  BOOST_LEAF_AUTO(Value, core::parseJson(Text, core::MaxSettingsBytes));
  core::object_reader Reader(Value, "");
  gateway_settings Settings;
  Reader.readChoice("role", {"gateway"});
  Settings.Name = Reader.readName("name");
  Settings.Address = core::readIpAddress(Reader, "address");
  Settings.Listen = core::readSocketText(Reader, "listen");
  Settings.Readiness = core::readSocketText(Reader, "readiness");
  if (Reader.has("metrics"))
    Settings.Metrics = core::readSocketText(Reader, "metrics");
  Settings.LinkPort =
      static_cast<std::uint16_t>(Reader.readInteger("link_port", 1, 65'535));
  Settings.SchedulerLinkPort = static_cast<std::uint16_t>(
      Reader.readInteger("scheduler_link_port", 1, 65'535));
  Settings.Seeds = core::readSeeds(Reader);
  Settings.Log = core::readLog(Reader);
  Settings.Limits = http::readLimits(Reader, Settings.Limits);
  auto ReadMs = [&](std::string_view Name, core::duration Default) {
    return std::chrono::milliseconds(Reader.readInteger(
        Name, 0, MaxStopMs,
        std::chrono::duration_cast<std::chrono::milliseconds>(Default)
            .count()));
  };
  Settings.StopLinger = ReadMs("stop_linger_ms", Settings.StopLinger);
  Settings.StopDrain = ReadMs("stop_drain_ms", Settings.StopDrain);
  BOOST_LEAF_CHECK(Reader.finish());
  return Settings;
}

} // namespace lycheetrestle::gateway
