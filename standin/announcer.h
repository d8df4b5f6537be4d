#ifndef LYCHEETRESTLE_STANDIN_ANNOUNCER_H
#define LYCHEETRESTLE_STANDIN_ANNOUNCER_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lycheetrestle::standin {

/// Announces an endpoint to one of the entries every second, and at once on
/// request.
class announcer {
public:
  /// \param Entries `ip:port` of entries; after a failure the next is tried.
  /// \param MakeBody returns the JSON of the next announcement. It is called on
  /// the announcer's thread.
  announcer(std::vector<std::string> Entries,
            std::function<std::string()> MakeBody);
  ~announcer();
  announcer(const announcer &) = delete;
  announcer &operator=(const announcer &) = delete;

  void start();
  /// Sends the next announcement without waiting for the end of the interval.
  void announceNow();
  /// Ends the thread and waits for it.
  void stop();
  /// \returns the number of announcements that an entry accepted.
  std::uint64_t accepted() const { return Accepted; }
  /// \returns the number of announcements that no entry accepted.
  std::uint64_t failed() const { return Failed; }

private:
  void run();
  bool post(const std::string &Entry, const std::string &Body);
  void announce();

  std::vector<std::string> Entries;
  std::function<std::string()> MakeBody;
  std::size_t Next = 0;
  std::mutex Mutex;
  std::condition_variable Condition;
  bool IsUrgent = false;
  bool IsStopping = false;
  std::atomic<std::uint64_t> Accepted{0};
  std::atomic<std::uint64_t> Failed{0};
  std::thread Thread;
};

} // namespace lycheetrestle::standin

#endif
