#include "core/invariant.h"

#include "core/event_log.h"

#include <atomic>
#include <cstdlib>

namespace lycheetrestle::core {

namespace {

void abortProcess(std::string_view What) {
  logEvent(log_level::Error, "invariant_broken", {{"what", What}});
  // The line is in the queue of another thread, which ends with the process.
  flushLog();
  std::abort();
}

std::atomic<invariant_handler> CurrentHandler{&abortProcess};

} // namespace

invariant_handler setInvariantHandler(invariant_handler Handler) {
  return CurrentHandler.exchange(Handler);
}

void checkInvariant(bool Holds, std::string_view What) {
  if (Holds)
    return;
  CurrentHandler.load()(What);
}

} // namespace lycheetrestle::core
