#include "core/log_writer.h"

#include "core/thread_times.h"

#include <csignal>
#include <utility>

namespace lycheetrestle::core {

log_writer::log_writer(sink NewOutput, std::size_t NewMaxQueuedBytes)
    : Output(std::move(NewOutput)), MaxQueuedBytes(NewMaxQueuedBytes),
      Thread([this] { run(); }) {}

log_writer::~log_writer() {
  {
    std::lock_guard Lock(Mutex);
    IsStopping = true;
  }
  Changed.notify_one();
  Thread.join();
}

void log_writer::write(std::string_view Line) {
  {
    std::lock_guard Lock(Mutex);
    if (Queued.size() + Line.size() > MaxQueuedBytes) {
      ++Dropped;
      return;
    }
    bool WasEmpty = Queued.empty();
    Queued += Line;
    if (!WasEmpty || IsWriting)
      return;
  }
  Changed.notify_one();
}

void log_writer::flush() {
  std::unique_lock Lock(Mutex);
  Written.wait(Lock, [this] { return Queued.empty() && !IsWriting; });
}

std::uint64_t log_writer::dropped() const {
  std::lock_guard Lock(Mutex);
  return Dropped;
}

void log_writer::run() {
  thread_times::registration Name("log");
  // Leaves all signals to the thread that waits for them.
  sigset_t All;
  sigfillset(&All);
  pthread_sigmask(SIG_BLOCK, &All, nullptr);
  std::unique_lock Lock(Mutex);
  while (true) {
    Changed.wait(Lock, [this] { return !Queued.empty() || IsStopping; });
    if (Queued.empty())
      return;
    std::string Bytes = std::exchange(Queued, {});
    auto NewlyDropped = Dropped - std::exchange(DroppedReported, Dropped);
    IsWriting = true;
    Lock.unlock();
    Output(Bytes);
    thread_times::record();
    if (NewlyDropped > 0)
      Output("level=WARN event=log_lines_dropped lines=" +
             std::to_string(NewlyDropped) + "\n");
    Lock.lock();
    IsWriting = false;
    Written.notify_all();
  }
}

} // namespace lycheetrestle::core
