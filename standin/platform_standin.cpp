// Simulates the platform's HTTP interface for tests and the demo. Names and
// pools of the hosts are read from a declaration file.

#include "core/event_log.h"
#include "core/object_reader.h"
#include "declaration/declaration.h"
#include "standin/platform_server.h"

#include <asio.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iterator>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 9000, "TCP port, 0 for any free one");
DEFINE_string(declaration, "", "declaration file that lists the hosts");
DEFINE_int64(drain_ms, 500,
             "time until a host without tasks is drained, in ms");
DEFINE_int64(reboot_ms, 3000, "duration of a reboot in ms");
DEFINE_int64(move_ms, 3000, "duration of a move to another pool in ms");
DEFINE_int64(return_ms, 200, "time until a returned host is up, in ms");
DEFINE_int64(checkpoint_ms, 200, "duration of a checkpoint in ms");
DEFINE_int64(usage_lag_ms, 3000, "age of reported usage in ms");
DEFINE_int64(max_seconds, 3600, "time after which the process exits");

namespace {

using namespace lycheetrestle;

constexpr std::int64_t FailedTaskMs = 100;

core::result<void> addHosts(standin::platform_model &Model,
                            std::string_view Text) {
  BOOST_LEAF_AUTO(Value,
                  core::parseJson(Text, declaration::MaxDeclarationBytes));
  if (!Value.is_object() || !Value.contains("hosts") ||
      !Value["hosts"].is_array())
    return core::failInput("hosts", "", "is required and must be an array");
  std::size_t Index = 0;
  for (const auto &Host : Value["hosts"]) {
    core::object_reader Reader(Host, "hosts[" + std::to_string(Index++) + "]");
    auto Name = Reader.readName("name");
    auto Pool = Reader.readName("pool");
    if (auto Failure = Reader.error())
      return core::fail(*Failure);
    Model.addHost(std::move(Name), std::move(Pool));
  }
  return {};
}

int serve() {
  core::initializeLog("", core::log_level::Info, "platform_standin");
  std::ifstream File(FLAGS_declaration, std::ios::binary);
  if (!File) {
    core::logEvent(core::log_level::Error, "declaration_not_readable",
                   {{"file", FLAGS_declaration}});
    return 1;
  }
  std::string Text((std::istreambuf_iterator<char>(File)),
                   std::istreambuf_iterator<char>());
  standin::platform_times Times{
      FLAGS_drain_ms,      FLAGS_reboot_ms,    FLAGS_move_ms, FLAGS_return_ms,
      FLAGS_checkpoint_ms, FLAGS_usage_lag_ms, FailedTaskMs};
  standin::platform_model Model(Times, standin::profileByJob);
  if (auto Failure =
          core::captureFailure([&] { return addHosts(Model, Text); })) {
    core::logEvent(core::log_level::Error, "declaration_not_valid",
                   {{"field", Failure->Field}, {"rule", Failure->Message}});
    return 1;
  }
  standin::platform_server Server(std::move(Model), FLAGS_address,
                                  std::uint16_t(FLAGS_port));
  core::logEvent(core::log_level::Info, "listening",
                 {{"address", FLAGS_address}, {"port", Server.port()}});
  asio::io_context Context;
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](const asio::error_code &, int) { Context.stop(); });
  Context.run_for(std::chrono::seconds(FLAGS_max_seconds));
  Server.stop();
  core::logEvent(core::log_level::Info, "stopped", {});
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("simulates the platform's HTTP interface");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  try {
    return serve();
  } catch (const std::exception &Exception) {
    core::logEvent(core::log_level::Error, "cannot_serve",
                   {{"reason", Exception.what()}});
    return 1;
  }
}
