#ifndef LYCHEETRESTLE_TESTS_SCHEDULING_GATEWAY_GROUP_H
#define LYCHEETRESTLE_TESTS_SCHEDULING_GATEWAY_GROUP_H

#include "gateway/forwarder.h"
#include "membership_site.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lycheetrestle::scheduling::test {

/// The gateways of a membership_site. They are connected to the schedulers that
/// they know and get their statuses.
class gateway_group {
public:
  /// \param Site must outlive the group and calls it after each step.
  gateway_group(membership_site &Site, std::size_t Count);

  std::size_t size() const { return Gateways.size(); }
  /// Starts a gateway, or starts it again.
  /// \param Seeds hosts that its settings name.
  void start(std::size_t Index, const std::vector<std::size_t> &Seeds);
  /// \returns whether a gateway is linked with a scheduler.
  bool isLinked(std::size_t Index, std::size_t Host) const;
  /// \returns the name of the scheduler to which a gateway sends a call now, or
  /// an empty string when it refuses the call.
  std::string target(std::size_t Index);

private:
  struct scheduler_link {
    std::size_t HostLife = 0; ///< 0 while the link is down.
    std::size_t DialledLife = 0;
    core::time_point UpAt{}; ///< Of the link to DialledLife.
    core::time_point NextStatus{};
    std::vector<std::string> Schedulers; ///< In the last status.
  };
  struct simulated_gateway {
    core::metrics_registry Metrics;
    std::unique_ptr<gateway::forwarder> Forwarder;
    std::map<std::string, scheduler_link> Links; ///< Of all that it dials.
  };

  void step();
  void updateLink(simulated_gateway &Gateway, const std::string &Name,
                  scheduler_link &Link);
  gateway::status_message statusOf(std::size_t Host) const;

  membership_site &Site;
  std::vector<std::unique_ptr<simulated_gateway>> Gateways;
  std::uint64_t LastRequest = 0;
};

} // namespace lycheetrestle::scheduling::test

#endif
