#ifndef LYCHEETRESTLE_SCHEDULING_SENDER_TABLE_H
#define LYCHEETRESTLE_SCHEDULING_SENDER_TABLE_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Which scheduler sends the orders of the leader to an endpoint.
///
/// Answers hundreds of endpoints and a thousand starts a second, whose calls
/// cost the leader more processor time than its decisions: the leader sends to
/// a number of endpoints itself, and the other schedulers share the rest. An
/// endpoint keeps its sender, and so its connections, while that is there.
class sender_table {
public:
  /// \param OwnEndpoints so many endpoints are served without any helper.
  explicit sender_table(std::size_t OwnEndpoints)
      : OwnEndpoints(OwnEndpoints) {}

  void addDelegate(const std::string &Name);
  /// Its endpoints get other senders.
  void removeDelegate(const std::string &Name);
  /// \param Endpoint number of the life.
  /// \returns the helper, or an empty string for the leader itself.
  std::string_view senderOf(std::uint32_t Endpoint, core::time_point Now);
  /// Lets go of endpoints that nothing was sent to for a while.
  void prune(core::time_point Now);

private:
  struct assignment {
    std::string Delegate;
    core::time_point UsedAt{};
  };

  std::size_t OwnEndpoints;
  std::size_t OwnCount = 0;
  std::map<std::string, std::size_t> Delegates; ///< Endpoints of each.
  std::map<std::uint32_t, assignment> Assigned;
};

} // namespace lycheetrestle::scheduling

#endif
