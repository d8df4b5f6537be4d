#ifndef LYCHEETRESTLE_CORE_LOG_WRITER_H
#define LYCHEETRESTLE_CORE_LOG_WRITER_H

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace lycheetrestle::core {

/// Writes log lines in batches on its own thread, so that a slow reader of the
/// output never blocks the threads that log. Lines over the limit are dropped
/// and counted; a line with the count follows.
class log_writer {
public:
  /// Writes bytes to the output; it may block.
  using sink = std::function<void(std::string_view Bytes)>;

  /// \param Output called on the writer's thread only.
  /// \param MaxQueuedBytes lines that would exceed it are dropped.
  log_writer(sink Output, std::size_t MaxQueuedBytes);
  /// Writes the queued lines and ends the thread.
  ~log_writer();
  log_writer(const log_writer &) = delete;
  log_writer &operator=(const log_writer &) = delete;

  /// Queues a line. Safe from any thread; never blocks on the output.
  /// \param Line the line with its line feed.
  void write(std::string_view Line);
  /// Blocks until all lines queued before are written.
  void flush();
  /// \returns the number of lines dropped since the start.
  std::uint64_t dropped() const;

private:
  void run();

  sink Output;
  std::size_t MaxQueuedBytes;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::condition_variable Written;
  std::string Queued;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedReported = 0;
  bool IsWriting = false;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace lycheetrestle::core

#endif
