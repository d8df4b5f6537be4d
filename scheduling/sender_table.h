#ifndef LYCHEETRESTLE_SCHEDULING_SENDER_TABLE_H
#define LYCHEETRESTLE_SCHEDULING_SENDER_TABLE_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Assigns to each endpoint the scheduler that sends the leader's orders to it.
///
/// Designed for hundreds of endpoints and a thousand starts a second, when
/// sending takes more of the leader's processor time than deciding. The leader
/// sends itself while it has few endpoints. With more, its processor time is
/// the scarce one, and its own calls would wait behind its decisions until they
/// time out, so all endpoints are spread evenly over its delegates. An endpoint
/// keeps its sender, and so its open connections, as long as that sender is
/// available.
class sender_table {
public:
  /// \param OwnEndpoints number of endpoints up to which the leader sends
  /// itself.
  explicit sender_table(std::size_t OwnEndpoints)
      : OwnEndpoints(OwnEndpoints) {}

  void addDelegate(const std::string &Name);
  /// Removes a delegate; its endpoints are assigned again at their next order.
  void removeDelegate(const std::string &Name);
  /// \param Endpoint number of the incarnation.
  /// \returns the delegate, or an empty string for the leader itself.
  std::string_view senderOf(std::uint32_t Endpoint, core::time_point Now);
  /// Removes the assignments of endpoints that got no order for a while.
  void prune(core::time_point Now);

private:
  struct assignment {
    std::string Delegate; ///< Empty for the leader itself.
    core::time_point UsedAt{};
  };

  std::size_t OwnEndpoints;
  std::map<std::string, std::size_t> Delegates; ///< Endpoints of each.
  std::map<std::uint32_t, assignment> Assigned;
};

} // namespace lycheetrestle::scheduling

#endif
