#ifndef LYCHEETRESTLE_CONTROL_PLATFORM_WORKER_H
#define LYCHEETRESTLE_CONTROL_PLATFORM_WORKER_H

#include "control/control_types.h"
#include "core/bounded_ring.h"
#include "core/clock.h"
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

/// A platform client behind two functions, so that the control process does not
/// depend on the client's library.
struct platform_adapter {
  std::function<core::result<void>(const platform::order &)> Execute;
  std::function<core::result<std::vector<platform::host_report>>()> Report;

  core::result<void> execute(const platform::order &Order) {
    return Execute(Order);
  }
  core::result<std::vector<platform::host_report>> report() { return Report(); }
};

static_assert(platform::platform_client<platform_adapter>);

/// Hosts as reported by the platform, or nothing when it did not answer.
using platform_result = std::optional<std::vector<platform::host_report>>;

/// Platform thread: executes the orders of the newest round, then requests a
/// report of the hosts.
template <platform::platform_client Client> class platform_worker {
public:
  static constexpr std::size_t Capacity = 4; ///< Of each ring, in items.
  static constexpr core::duration IdleWait = std::chrono::milliseconds(500);

  /// \param Control wakes the control thread when a result is ready.
  /// \param Metrics receives the metrics; must outlive the worker.
  platform_worker(Client Platform, core::ring_signal &Control,
                  core::metrics_registry &Metrics)
      : Platform(std::move(Platform)), Metrics(Metrics),
        Rounds(Capacity, Signal), Results(Capacity, Control) {}

  ~platform_worker() { stop(); }

  void start() {
    Thread = std::thread([this] { run(); });
  }
  /// Skips the remaining orders of the current round and joins the thread.
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
      // Earlier rounds are discarded: the newest one repeats all orders that
      // are still needed.
      std::optional<platform_round> Newest;
      Rounds.drain([&](platform_round &&Round) { Newest = std::move(Round); });
      if (!Newest) {
        Signal.waitFor(IdleWait);
        continue;
      }
      execute(*Newest);
      auto Outcome = core::capture([&] { return Platform.report(); });
      platform_result Result;
      if (Outcome.index() == 0)
        Result = std::move(std::get<0>(Outcome));
      else
        recordFailure("report", std::get<1>(Outcome));
      // Dropped while the ring is full; a later report replaces it.
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
      // While the platform does not answer, each further order would run into
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
