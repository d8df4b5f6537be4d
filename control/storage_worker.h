#ifndef LYCHEETRESTLE_CONTROL_STORAGE_WORKER_H
#define LYCHEETRESTLE_CONTROL_STORAGE_WORKER_H

#include "control/write_batch.h"
#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/event_log.h"
#include "core/failure.h"
#include "core/metrics.h"
#include "core/thread_times.h"
#include "replication/types.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <thread>
#include <utility>

namespace lycheetrestle::control {

/// Result of one attempt to store writes.
struct storage_result {
  std::uint64_t Ticket = 0; ///< Of the last of the writes.
  bool Stored = false;      ///< When false, the write is retried.
};

/// Storage thread: executes the writes in order and syncs them; writes that
/// arrive during a sync share the next one. A failed write is reported and
/// retried until it succeeds.
///
/// \tparam Store a type with the members execute() and sizeBytes() of
/// log_store.
template <typename Store> class storage_worker {
public:
  static constexpr std::size_t Capacity = 1024; ///< Of the ring of writes.
  static constexpr core::duration RetryInterval =
      std::chrono::milliseconds(500);
  static constexpr core::duration IdleWait = std::chrono::milliseconds(500);
  /// Interval of attempts to pass on a success while the ring is full.
  static constexpr core::duration FullRingWait = std::chrono::milliseconds(1);

  /// \param Log the store; from start() on, used only by the storage thread.
  /// \param Control wakes the control thread when a result is ready.
  /// \param Metrics receives the metrics; must outlive the worker.
  storage_worker(Store Log, core::ring_signal &Control,
                 core::metrics_registry &Metrics)
      : Log(std::move(Log)), Metrics(Metrics), Writes(Capacity, Signal),
        // Each write has one success; failures are dropped when the ring is
        // full.
        Results(2 * Capacity, Control) {}

  ~storage_worker() { stop(); }

  void start() {
    Thread = std::thread([this] { run(); });
  }
  /// Completes the queued writes, without retries of failed ones, and joins the
  /// thread.
  void stop() {
    if (!Thread.joinable())
      return;
    Stopping = true;
    Signal.notify();
    Thread.join();
  }

  core::bounded_ring<replication::storage_write> &writes() { return Writes; }
  core::bounded_ring<storage_result> &results() { return Results; }
  /// \returns the size of all files of the store. Safe from any thread.
  std::uint64_t storedBytes() const { return StoredBytes; }

private:
  void run() {
    core::thread_times::registration Name("storage");
    std::optional<replication::storage_write> Next;
    publishSize();
    while (true) {
      if (Next || (Next = take())) {
        write_batch Batch(std::move(*Next));
        while ((Next = take()) && Batch.add(*Next))
          ;
        store(Batch.write());
        continue;
      }
      if (Stopping)
        return;
      Signal.waitFor(IdleWait);
    }
  }

  std::optional<replication::storage_write> take() {
    replication::storage_write Write;
    if (!Writes.pop(Write))
      return std::nullopt;
    return Write;
  }

  void store(const replication::storage_write &Write) {
    while (true) {
      auto Begin = core::boot_clock::now();
      auto Failure = core::captureFailure([&] { return Log.execute(Write); });
      auto Elapsed = core::boot_clock::now() - Begin;
      core::thread_times::record();
      Metrics.observe(
          "sync_ms",
          std::chrono::duration<double, std::milli>(Elapsed).count());
      publishSize();
      if (!Failure) {
        while (!Results.push({Write.Ticket, true}) && !Stopping)
          std::this_thread::sleep_for(FullRingWait);
        return;
      }
      Metrics.add("storage_failures_total");
      core::logEvent(core::log_level::Error, "storage_failed",
                     {{"ticket", Write.Ticket},
                      {"code", core::toString(Failure->Code)},
                      {"reason", Failure->Message}});
      Results.push({Write.Ticket, false});
      if (Stopping)
        return;
      waitForRetry();
    }
  }

  void publishSize() {
    StoredBytes = Log.sizeBytes();
    Metrics.set("log_bytes", static_cast<double>(StoredBytes));
  }

  void waitForRetry() {
    auto Until = core::boot_clock::now() + RetryInterval;
    for (auto Now = core::boot_clock::now(); Now < Until && !Stopping;
         Now = core::boot_clock::now())
      Signal.waitFor(Until - Now);
  }

  Store Log;
  std::atomic<std::uint64_t> StoredBytes = 0;
  core::metrics_registry &Metrics;
  core::ring_signal Signal;
  core::bounded_ring<replication::storage_write> Writes;
  core::bounded_ring<storage_result> Results;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace lycheetrestle::control

#endif
