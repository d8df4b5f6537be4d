#ifndef LYCHEETRESTLE_CORE_THREAD_TIMES_H
#define LYCHEETRESTLE_CORE_THREAD_TIMES_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace lycheetrestle::core {

/// The processor time of the threads of this process that have a name. Safe
/// from any thread. Has no feature of C++20, because transport includes it.
///
/// Each thread records its own time: on some platforms a thread cannot read the
/// clock of another one.
class thread_times {
public:
  /// \returns the table of this process.
  static thread_times &instance();

  /// Gives the calling thread a name while this object exists.
  class registration {
  public:
    /// \param Name threads with the same name are added up.
    explicit registration(std::string Name);
    ~registration();
    registration(const registration &) = delete;
    registration &operator=(const registration &) = delete;

    /// Records the time that the thread has used. Call it from this thread.
    void record();

  private:
    friend class thread_times;
    std::string Name;
    std::atomic<std::int64_t> UsedUs{0};
  };

  /// Records the time of the calling thread, if it has a name.
  static void record();
  /// \returns the processor time that the running threads have recorded, by
  /// name.
  std::map<std::string, std::chrono::microseconds> read() const;

private:
  mutable std::mutex Mutex;
  std::set<registration *> Threads;
};

} // namespace lycheetrestle::core

#endif
