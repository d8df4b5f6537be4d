#ifndef LYCHEETRESTLE_TRANSPORT_TRAFFIC_METRICS_H
#define LYCHEETRESTLE_TRANSPORT_TRAFFIC_METRICS_H

#include "core/metrics.h"
#include "transport/link_hub.h"

// Separate from link_hub.h, because the metrics need C++20.
namespace lycheetrestle::transport {

/// Sets the gauges of the link traffic.
/// \param Metrics receives the gauges `link_messages` and `link_bytes`, each
/// with the label `direction`.
/// \param Traffic totals since the start of the hub.
inline void publishTraffic(core::metrics_registry &Metrics,
                           const link_traffic &Traffic) {
  auto Set = [&](std::string_view Name, std::uint64_t Value) {
    Metrics.set(Name, static_cast<double>(Value));
  };
  Set("link_messages{direction=\"sent\"}", Traffic.MessagesSent);
  Set("link_messages{direction=\"received\"}", Traffic.MessagesReceived);
  Set("link_bytes{direction=\"sent\"}", Traffic.BytesSent);
  Set("link_bytes{direction=\"received\"}", Traffic.BytesReceived);
}

} // namespace lycheetrestle::transport

#endif
