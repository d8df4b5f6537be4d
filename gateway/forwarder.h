#ifndef LYCHEETRESTLE_GATEWAY_FORWARDER_H
#define LYCHEETRESTLE_GATEWAY_FORWARDER_H

#include "core/clock.h"
#include "core/metrics.h"
#include "gateway/messages.h"
#include "http/server.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lycheetrestle::gateway {

struct forwarder_settings {
  /// A leader that sent no status for so long takes no calls. Three statuses
  /// are sent in this time.
  core::duration LeaderTimeout = std::chrono::milliseconds(1000);
  /// How long a request that a lost leader may have taken waits for the next
  /// one. An election takes 0.6 to 1.2 s.
  core::duration FailoverWait = std::chrono::milliseconds(1300);
  /// Time that is left for the response to reach the caller.
  core::duration ResponseMargin = std::chrono::milliseconds(60);
  core::duration DefaultDeadline = std::chrono::milliseconds(3000);
};

struct forwarder_actions {
  struct outgoing {
    std::string Peer; ///< IP address of a scheduler.
    call_message Call;
  };
  std::vector<outgoing> Calls;
  std::vector<http::server_response> Responses;
  std::vector<std::string> NewPeers; ///< IP addresses to link with.
};

/// Sends callers' requests to the scheduler that leads and its replies back.
/// Single-threaded and without input or output.
///
/// A request that was never handed on is refused as not run. One that was
/// handed on and got no reply is sent again to the next leader, because a job
/// is known by its id, and is answered as unknown when its time is over.
class forwarder {
public:
  /// \param Seeds IP addresses of schedulers.
  forwarder(forwarder_settings Settings, std::span<const std::string> Seeds,
            core::metrics_registry &Metrics);

  /// Adds schedulers to link with; known ones stay.
  void addSchedulers(std::span<const std::string> Addresses);
  /// \param Deadline the caller waits until then.
  void request(http::server_request Request, core::time_point Deadline,
               core::time_point Now);
  void receive(const std::string &Peer, message Message, core::time_point Now);
  void linkChanged(const std::string &Peer, bool IsUp, core::time_point Now);
  /// Tells that the link did not take a call.
  void callNotSent(std::uint64_t Id, core::time_point Now);
  void tick(core::time_point Now);
  forwarder_actions takeActions();
  /// \returns whether calls would be handed on now.
  bool isReady(core::time_point Now) const;
  std::size_t openCalls() const { return OpenCalls.size(); }

private:
  struct open_call {
    std::uint64_t RequestId = 0;
    call_message Call;
    core::time_point Deadline{};
    core::time_point StartedAt{};
    std::string SentTo; ///< Empty while it waits for a leader.
    /// A copy went to a scheduler that was lost before it replied.
    bool MayHaveRun = false;
    core::time_point LostAt{}; ///< When it last had a scheduler.
    std::uint32_t Refusals = 0;
  };

  std::optional<std::string> leader(core::time_point Now) const;
  void send(open_call &Call, const std::string &Peer);
  void finish(std::uint64_t Id, std::uint16_t Status, std::uint32_t RetryAfterS,
              std::string Body, std::string_view Reason, core::time_point Now);

  struct scheduler_view {
    status_message Status;
    core::time_point LastStatusAt{};
    bool IsLinked = false;
  };

  forwarder_settings Settings;
  core::metrics_registry &Metrics;
  std::map<std::string, scheduler_view> Schedulers;
  std::map<std::uint64_t, open_call> OpenCalls;
  std::uint64_t LastId = 0;
  std::string LastLeader;
  forwarder_actions Actions;
};

} // namespace lycheetrestle::gateway

#endif
