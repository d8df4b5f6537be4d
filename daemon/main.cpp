#include "control/control_process.h"
#include "control/control_settings.h"
#include "core/event_log.h"
#include "core/failure.h"
#include "core/object_reader.h"

#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>

DEFINE_string(settings, "", "path of the settings file");
DEFINE_bool(check, false, "check the settings file and exit");
DEFINE_bool(init, false, "found a new cluster (role control only)");

namespace {

using namespace lycheetrestle;

constexpr int ExitFailure = 1;
constexpr int ExitBadSettings = 2;

int report(const core::failure &Failure, int Status) {
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
  auto Role = Reader.readChoice("role", {"control"});
  if (Reader.error())
    return core::fail(*Reader.error());
  return Role;
}

/// Counts SIGTERM and SIGINT on a thread of its own. All other threads are
/// started after it with these signals blocked.
class signal_counter {
public:
  signal_counter() {
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGTERM);
    sigaddset(&Signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
    // A peer that closes its socket must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    Thread = std::thread([this] { run(); });
  }

  ~signal_counter() {
    Ending = true;
    Thread.join();
  }

  const std::atomic<int> &requests() const { return Requests; }

private:
  void run() {
    timespec Timeout{0, 100'000'000};
    while (!Ending)
      if (sigtimedwait(&Signals, nullptr, &Timeout) > 0)
        ++Requests;
  }

  sigset_t Signals{};
  std::atomic<int> Requests = 0;
  std::atomic<bool> Ending = false;
  std::thread Thread;
};

int runControlRole(const std::string &Text) {
  auto Outcome =
      core::capture([&] { return control::parseControlSettings(Text); });
  if (const auto *Failure = std::get_if<core::failure>(&Outcome))
    return report(*Failure, ExitBadSettings);
  if (FLAGS_check)
    return 0;
  const auto &Settings = std::get<0>(Outcome);
  core::initializeLog(Settings.LogFile, Settings.LogLevel, Settings.Name);
  signal_counter Signals;
  auto Failure = core::captureFailure([&] {
    return control::runControl(Settings, FLAGS_init, std::nullopt,
                               Signals.requests());
  });
  if (!Failure)
    return 0;
  core::logEvent(core::log_level::Error, "start_failed",
                 {{"field", Failure->Field},
                  {"value", Failure->Value},
                  {"reason", Failure->Message}});
  return report(*Failure, ExitFailure);
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage("runs one process of a lycheetrestle deployment");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (Count > 1)
    return report({core::error_code::BadInput, "unexpected argument", "",
                   Arguments[1], core::verdict::NotRun},
                  ExitBadSettings);
  auto Text = readFile(FLAGS_settings);
  if (!Text)
    return report({core::error_code::IoError,
                   "cannot read the settings file named by --settings",
                   "settings", FLAGS_settings, core::verdict::NotRun},
                  ExitBadSettings);
  auto Role = core::capture([&] { return readRole(*Text); });
  if (const auto *Failure = std::get_if<core::failure>(&Role))
    return report(*Failure, ExitBadSettings);
  return runControlRole(*Text);
}
