#include "scheduling/refusal_log.h"

namespace lycheetrestle::scheduling {

bool refusal_log::isDue(std::string_view Sender, core::time_point Now) {
  Sender = Sender.substr(0, MaxSenderBytes);
  std::erase_if(LoggedAt, [&](const auto &Item) {
    return Now - Item.second >= Interval;
  });
  // An empty id is never valid, so it stands for all that do not fit.
  if (LoggedAt.size() >= MaxSenders && LoggedAt.find(Sender) == LoggedAt.end())
    Sender = {};
  return LoggedAt.try_emplace(std::string(Sender), Now).second;
}

} // namespace lycheetrestle::scheduling
