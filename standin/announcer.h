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

/// Sends the announcements of an endpoint each second, and at once when asked.
class announcer {
public:
  /// \param Entries `ip:port` of entries; the next is tried when one fails.
  /// \param MakeBody gives the JSON of the next announcement.
  announcer(std::vector<std::string> Entries,
            std::function<std::string()> MakeBody);
  ~announcer();
  announcer(const announcer &) = delete;
  announcer &operator=(const announcer &) = delete;

  void start();
  /// Sends the next announcement without waiting for the second to pass.
  void announceNow();
  void stop();
  std::uint64_t accepted() const { return Accepted; }
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
