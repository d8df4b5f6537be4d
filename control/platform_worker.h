#ifndef LYCHEETRESTLE_CONTROL_PLATFORM_WORKER_H
#define LYCHEETRESTLE_CONTROL_PLATFORM_WORKER_H

#include "control/control_types.h"
#include "core/bounded_ring.h"
#include "core/event_log.h"
#include "core/failure.h"
#include "core/metrics.h"
#include "platform/types.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace lycheetrestle::control {

/// A platform client behind two functions, so that the control process does
/// not depend on a client's library.
struct platform_adapter {
  std::function<core::result<void>(const platform::order &)> Execute;
  std::function<core::result<std::vector<platform::host_report>>()> Report;

  core::result<void> execute(const platform::order &Order) {
    return Execute(Order);
  }
  core::result<std::vector<platform::host_report>> report() { return Report(); }
};

static_assert(platform::platform_client<platform_adapter>);

/// Hosts as the platform reported them, or nothing when it did not answer.
using platform_result = std::optional<std::vector<platform::host_report>>;

/// Platform thread: executes the orders of the newest round, then reports.
template <platform::platform_client Client> class platform_worker {
public:
  /// \param Control wakes the control thread.
  platform_worker(Client Platform, core::ring_signal &Control,
                  core::metrics_registry &Metrics)
      : Platform(std::move(Platform)), Metrics(Metrics), Rounds(4, Signal),
        Results(4, Control) {}

  ~platform_worker() { stop(); }

  void start() {
    Thread = std::thread([this] { run(); });
  }
  void stop() {
    if (!Thread.joinable())
      return;
    Stopping = true;
    Signal.notify();
    Thread.join();
  }

  core::bounded_ring<platform_round> &rounds() { return Rounds; }
  core::bounded_ring<platform_result> &results() { return Results; }

private:
  void run() {
    while (!Stopping) {
      // Only the newest round counts: it repeats what is still to be done.
      std::optional<platform_round> Newest;
      Rounds.drain([&](platform_round &&Round) { Newest = std::move(Round); });
      if (!Newest) {
        Signal.waitFor(std::chrono::milliseconds(500));
        continue;
      }
      execute(*Newest);
      auto Outcome = core::capture([&] { return Platform.report(); });
      platform_result Result;
      if (Outcome.index() == 0)
        Result = std::move(std::get<0>(Outcome));
      else
        recordFailure("report", std::get<1>(Outcome));
      Results.push(std::move(Result));
    }
  }

  void execute(const platform_round &Round) {
    for (const auto &Order : Round.Orders) {
      if (Stopping)
        return;
      auto Failure =
          core::captureFailure([&] { return Platform.execute(Order); });
      Metrics.add("platform_orders_total");
      if (!Failure)
        continue;
      recordFailure(Order.Host, *Failure);
      // When the platform does not answer, each further order would wait for
      // its own timeout. The next round repeats them.
      if (Failure->Code == core::error_code::Unavailable ||
          Failure->Code == core::error_code::IoError ||
          Failure->Code == core::error_code::DeadlinePassed)
        return;
    }
  }

  void recordFailure(std::string_view Object, const core::failure &Failure) {
    Metrics.add("platform_failures_total");
    core::logEvent(core::log_level::Warning, "platform_failed",
                   {{"object", Object},
                    {"code", core::toString(Failure.Code)},
                    {"reason", Failure.Message}});
  }

  Client Platform;
  core::metrics_registry &Metrics;
  core::ring_signal Signal;
  core::bounded_ring<platform_round> Rounds;
  core::bounded_ring<platform_result> Results;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace lycheetrestle::control

#endif
