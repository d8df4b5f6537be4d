#include "core/thread_times.h"

#include "core/clock.h"

#include <utility>

namespace lycheetrestle::core {

namespace {

thread_local thread_times::registration *Current = nullptr;

} // namespace

thread_times &thread_times::instance() {
  // Never destroyed: the thread of the log ends after the static objects.
  static auto *Times = new thread_times;
  return *Times;
}

thread_times::registration::registration(std::string Name)
    : Name(std::move(Name)) {
  auto &Times = instance();
  std::lock_guard<std::mutex> Lock(Times.Mutex);
  Times.Threads.insert(this);
  Current = this;
}

thread_times::registration::~registration() {
  auto &Times = instance();
  std::lock_guard<std::mutex> Lock(Times.Mutex);
  Times.Threads.erase(this);
  Current = nullptr;
}

void thread_times::registration::record() {
  UsedUs = thread_cpu_clock::now().time_since_epoch().count();
}

void thread_times::record() {
  if (Current)
    Current->record();
}

std::map<std::string, std::chrono::microseconds> thread_times::read() const {
  std::map<std::string, std::chrono::microseconds> Used;
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto *Thread : Threads)
    Used[Thread->Name] += std::chrono::microseconds(Thread->UsedUs);
  return Used;
}

} // namespace lycheetrestle::core
