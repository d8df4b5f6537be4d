#ifndef LYCHEETRESTLE_SCHEDULING_REFUSAL_LOG_H
#define LYCHEETRESTLE_SCHEDULING_REFUSAL_LOG_H

#include "core/clock.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Limits the log lines about odd entries to one for each sender and minute. A
/// sender that is not remembered any more is logged again.
class refusal_log {
public:
  /// \param Sender the id that the sender gave, of any length.
  /// \returns whether a line about this sender is due.
  bool isDue(std::string_view Sender, core::time_point Now);

private:
  static constexpr core::duration Interval = std::chrono::seconds(60);
  /// All further senders share one line for each interval.
  static constexpr std::size_t MaxSenders = 256;
  static constexpr std::size_t MaxSenderBytes = 64;

  std::map<std::string, core::time_point, std::less<>> LoggedAt;
};

} // namespace lycheetrestle::scheduling

#endif
