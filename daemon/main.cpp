#include "control/control_process.h"
#include "control/control_settings.h"
#include "core/event_log.h"
#include "core/failure.h"
#include "core/object_reader.h"
#include "entry/entry_process.h"
#include "entry/entry_settings.h"
#include "entry/stop_source.h"
#include "gateway/gateway_process.h"
#include "gateway/gateway_settings.h"
#include "platform/http_client.h"
#include "platform/site_messages.h"
#include "scheduling/scheduler_process.h"
#include "scheduling/scheduler_settings.h"

#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

DEFINE_string(settings, "", "path of the settings file");
DEFINE_bool(check, false, "check the settings file and exit");
DEFINE_bool(init, false, "bootstrap a new cluster (role control only)");

namespace {

using namespace lycheetrestle;

constexpr int ExitFailure = 1;
constexpr int ExitBadSettings = 2;
// Bounds the time that the destructor of signal_thread waits.
constexpr long SignalPollNs = 100'000'000;

int printFailure(const core::failure &Failure, int Status) {
  std::cerr << "lycheetrestled: ";
  if (!Failure.Field.empty())
    std::cerr << Failure.Field << ": ";
  std::cerr << Failure.Message;
  if (!Failure.Value.empty())
    std::cerr << " (found: " << Failure.Value << ")";
  std::cerr << std::endl;
  return Status;
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(File), {});
}

core::result<std::string> readRole(const std::string &Text) {
  BOOST_LEAF_AUTO(Value, core::parseJson(Text, control::MaxSettingsBytes));
  core::object_reader Reader(Value, "");
  auto Role =
      Reader.readChoice("role", {"control", "entry", "scheduler", "gateway"});
  if (Reader.error())
    return core::fail(*Reader.error());
  return Role;
}

/// Waits for signals on its own thread and passes SIGTERM and SIGINT on as stop
/// requests and SIGHUP as a reload request. The signals are blocked in all
/// threads that are started after it.
class signal_thread {
public:
  /// \param NewOnStop called on the thread for each stop request.
  /// \param NewOnReload called on the thread for each SIGHUP.
  explicit signal_thread(std::function<void()> NewOnStop,
                         std::function<void()> NewOnReload = ignoreReload)
      : OnStop(std::move(NewOnStop)), OnReload(std::move(NewOnReload)) {
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGTERM);
    sigaddset(&Signals, SIGINT);
    sigaddset(&Signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
    // A write to a socket that the peer has closed must not kill the process.
    std::signal(SIGPIPE, SIG_IGN);
    // A write beyond the limit of the file size must fail like one to a full
    // disk, which is retried, instead of killing the process.
    std::signal(SIGXFSZ, SIG_IGN);
    Thread = std::thread([this] { run(); });
  }

  ~signal_thread() {
    Stopping = true;
    Thread.join();
  }

private:
  void run() {
    timespec Timeout{0, SignalPollNs};
    while (!Stopping) {
      int Signal = sigtimedwait(&Signals, nullptr, &Timeout);
      if (Signal == SIGHUP)
        OnReload();
      else if (Signal > 0)
        OnStop();
    }
  }

  static void ignoreReload() {
    core::logEvent(
        core::log_level::Info, "reload_ignored",
        {{"reason", "this role reads its settings only at startup"}});
  }

  std::function<void()> OnStop;
  std::function<void()> OnReload;
  sigset_t Signals{};
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

std::optional<control::platform_adapter>
makePlatform(const control::control_settings &Settings) {
  if (Settings.PlatformUrl.empty())
    return std::nullopt;
  platform::http_client_settings Client;
  Client.Url = Settings.PlatformUrl;
  auto Shared = std::make_shared<platform::http_client>(std::move(Client));
  control::platform_adapter Adapter;
  Adapter.Execute = [Shared](const platform::order &Order) {
    return Shared->execute(Order);
  };
  Adapter.Report = [Shared] { return Shared->report(); };
  return Adapter;
}

int runControlRole(const std::string &Text) {
  auto Outcome =
      core::capture([&] { return control::parseControlSettings(Text); });
  if (const auto *Failure = std::get_if<core::failure>(&Outcome))
    return printFailure(*Failure, ExitBadSettings);
  if (FLAGS_check)
    return 0;
  const auto &Settings = std::get<0>(Outcome);
  core::initializeLog(Settings.Log.File, Settings.Log.Level, Settings.Name);
  std::atomic<int> StopRequests = 0;
  signal_thread Signals([&] { ++StopRequests; });
  auto Failure = core::captureFailure([&] {
    return control::runControl(Settings, FLAGS_init, makePlatform(Settings),
                               StopRequests);
  });
  if (!Failure)
    return 0;
  core::logEvent(core::log_level::Error, "start_failed",
                 {{"field", Failure->Field},
                  {"value", Failure->Value},
                  {"reason", Failure->Message}});
  return printFailure(*Failure, ExitFailure);
}

int runEntryRole(const std::string &Text) {
  auto Outcome = core::capture([&] { return entry::parseEntrySettings(Text); });
  if (const auto *Failure = std::get_if<core::failure>(&Outcome))
    return printFailure(*Failure, ExitBadSettings);
  if (FLAGS_check)
    return 0;
  const auto &Settings = std::get<0>(Outcome);
  core::initializeLog(Settings.Log.File, Settings.Log.Level, Settings.Name);
  entry::stop_source Stop;
  signal_thread Signals([&] { Stop.requestStop(); });
  return entry::runEntry(Settings, Stop);
}

/// Reads the settings file again.
/// \returns the seeds in it, or nothing when the file is not valid.
template <typename Settings>
std::optional<std::vector<std::string>>
rereadSeeds(core::result<Settings> (*Parse)(std::string_view),
            const std::string &Path) {
  auto Outcome =
      core::capture([&] { return Parse(readFile(Path).value_or("")); });
  if (const auto *Failure = std::get_if<core::failure>(&Outcome)) {
    core::logEvent(core::log_level::Error, "reload_failed",
                   {{"field", Failure->Field},
                    {"value", Failure->Value},
                    {"reason", Failure->Message}});
    return std::nullopt;
  }
  return std::get<0>(Outcome).Seeds;
}

/// Runs a role whose settings have a name, seeds and a log.
/// \param Parse parses the settings.
/// \param Text the contents of the settings file.
/// \param Path the path of the settings file, read again on a reload.
/// \param Run runs the role with the settings until a stop request.
/// \returns the exit status of the process.
template <typename Settings, typename Callable>
int runRole(core::result<Settings> (*Parse)(std::string_view),
            const std::string &Text, const std::string &Path, Callable &&Run) {
  auto Outcome = core::capture([&] { return Parse(Text); });
  if (const auto *Failure = std::get_if<core::failure>(&Outcome))
    return printFailure(*Failure, ExitBadSettings);
  if (FLAGS_check)
    return 0;
  const auto &Parsed = std::get<0>(Outcome);
  core::initializeLog(Parsed.Log.File, Parsed.Log.Level, Parsed.Name);
  core::process_requests Requests;
  signal_thread Signals([&] { ++Requests.Stops; }, [&] { ++Requests.Reloads; });
  core::seed_reader ReadSeeds = [&] { return rereadSeeds(Parse, Path); };
  auto Failure =
      core::captureFailure([&] { return Run(Parsed, Requests, ReadSeeds); });
  if (!Failure)
    return 0;
  core::logEvent(core::log_level::Error, "start_failed",
                 {{"field", Failure->Field},
                  {"value", Failure->Value},
                  {"reason", Failure->Message}});
  return printFailure(*Failure, ExitFailure);
}

int runSchedulerRole(const std::string &Text, const std::string &Path) {
  return runRole(
      scheduling::parseSchedulerSettings, Text, Path,
      [](const scheduling::scheduler_settings &Settings,
         const core::process_requests &Requests,
         const core::seed_reader &ReadSeeds) {
        auto Adapter = platform::makeSiteAdapter(
            {Settings.PlatformAddress, Settings.AdviserAddress, Settings.Name});
        return scheduling::runScheduler(Settings, Adapter, Requests, ReadSeeds);
      });
}

int runGatewayRole(const std::string &Text, const std::string &Path) {
  return runRole(gateway::parseGatewaySettings, Text, Path,
                 [](const gateway::gateway_settings &Settings,
                    const core::process_requests &Requests,
                    const core::seed_reader &ReadSeeds) {
                   gateway::gateway_dialect Dialect{
                       platform::DeadlineHeader, platform::ReadinessPath,
                       platform::KeyHeader, platform::KeyScheme};
                   return gateway::runGateway(Settings, Dialect, Requests,
                                              ReadSeeds);
                 });
}

/// \returns the path of the settings file: the value of --settings, or of the
/// environment variable in which the platform passes it.
std::string settingsPath() {
  const char *Variable = std::getenv("LYCHEETRESTLE_BOOT");
  return FLAGS_settings.empty() && Variable ? Variable : FLAGS_settings;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage("runs one process of a lycheetrestle deployment");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (Count > 1)
    return printFailure({core::error_code::BadInput,
                         "unexpected argument; only flags are allowed", "",
                         Arguments[1], core::verdict::NotRun},
                        ExitBadSettings);
  auto Path = settingsPath();
  auto Text = readFile(Path);
  if (!Text)
    return printFailure({core::error_code::IoError,
                         "cannot read the settings file named by --settings or "
                         "LYCHEETRESTLE_BOOT",
                         "settings", Path, core::verdict::NotRun},
                        ExitBadSettings);
  auto Role = core::capture([&] { return readRole(*Text); });
  if (const auto *Failure = std::get_if<core::failure>(&Role))
    return printFailure(*Failure, ExitBadSettings);
  if (std::get<0>(Role) == "control")
    return runControlRole(*Text);
  if (FLAGS_init)
    return printFailure({core::error_code::BadInput,
                         "--init is valid only for the role control", "init",
                         "", core::verdict::NotRun},
                        ExitBadSettings);
  if (std::get<0>(Role) == "scheduler")
    return runSchedulerRole(*Text, Path);
  if (std::get<0>(Role) == "gateway")
    return runGatewayRole(*Text, Path);
  return runEntryRole(*Text);
}
