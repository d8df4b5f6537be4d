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
#include <string_view>
#include <vector>

namespace lycheetrestle::gateway {

struct forwarder_settings {
  /// A leader that sent no status for this time gets no calls. Schedulers send
  /// three statuses in it.
  core::duration LeaderTimeout = std::chrono::milliseconds(1000);
  /// How long a request that a lost leader may have executed waits for the next
  /// leader. An election takes 0.6 to 1.2 s.
  core::duration FailoverWait = std::chrono::milliseconds(1300);
  /// The response is sent this long before the caller's deadline, so that it
  /// arrives in time.
  core::duration ResponseMargin = std::chrono::milliseconds(60);
  /// For requests without a deadline header.
  core::duration DefaultDeadline = std::chrono::milliseconds(3000);
  /// The ids of calls follow this number.
  std::uint64_t LastCallId = 0;
};

/// \returns the settings of a process that starts now. A scheduler may reply to
/// a call of an earlier process with the same name, so the ids of calls begin
/// at a random number.
forwarder_settings makeForwarderSettings();

/// What the driver of a forwarder must do.
struct forwarder_actions {
  struct outgoing {
    std::string Peer; ///< IP address of a scheduler.
    call_message Call;
  };
  struct outgoing_status {
    std::string Peer; ///< IP address of a scheduler.
    status_message Status;
  };
  std::vector<outgoing> Calls;
  std::vector<outgoing_status> Statuses;
  std::vector<http::server_response> Responses;
  std::vector<std::string> NewPeers; ///< IP addresses to connect to.
};

/// What a gateway could not do since the last report, and why; for the log.
struct forwarder_report {
  bool HasLeader = false;
  core::duration LeaderlessFor{}; ///< While it has no leader.
  std::uint64_t Failed = 0;       ///< Requests that ended with 429 or 5xx.
  /// Their number by reason and status, as `reason/status=count`, separated by
  /// commas.
  std::string Reasons;
  std::size_t OpenCalls = 0;
  std::size_t WaitingCalls = 0; ///< Of them, not sent to a scheduler now.
  core::duration OldestCall{};
  /// Each scheduler's link, role, term and age of its status in milliseconds,
  /// as `address:up:leads:5:120`, separated by commas.
  std::string Schedulers;
};

/// Forwards callers' requests to the leading scheduler and its replies back.
/// Single-threaded and without input or output.
///
/// A request that no scheduler received is rejected as not run. A request that
/// was forwarded but got no reply is sent again to the next leader, which is
/// safe because jobs are identified by id; without a reply in time, or after
/// two schedulers were lost with it, the outcome is reported as unknown.
class forwarder {
public:
  /// \param Seeds IP addresses of schedulers.
  forwarder(forwarder_settings Settings, std::span<const std::string> Seeds,
            core::metrics_registry &Metrics);

  /// Adds schedulers to connect to. None is ever removed.
  void addSchedulers(std::span<const std::string> Addresses);
  /// Forwards a request to the leader, or rejects it when none is known.
  /// \param KeyDigest digest of the caller's key, or empty.
  /// \param Deadline time until which the caller waits.
  void request(http::server_request Request, workspaces::key_digest KeyDigest,
               core::time_point Deadline, core::time_point Now);
  /// Handles a message from a scheduler.
  /// \param Peer IP address of the scheduler.
  void receive(const std::string &Peer, message Message, core::time_point Now);
  /// Handles that the link to a scheduler came up or went down.
  void linkChanged(const std::string &Peer, bool IsUp, core::time_point Now);
  /// Handles that the link did not accept a call from takeActions().
  void callNotSent(std::uint64_t Id, core::time_point Now);
  /// Resends calls to a new leader and answers those whose time is over.
  void tick(core::time_point Now);
  /// Answers all open requests because the process ends: those that no
  /// scheduler received as not run, the others as unknown.
  void finishAll(core::time_point Now);
  /// \returns what to do since the last call.
  forwarder_actions takeActions();
  /// \returns whether a leader is known, so that requests can be forwarded.
  bool isReady(core::time_point Now) const;
  std::size_t openCalls() const { return OpenCalls.size(); }
  /// \returns what happened since the last call.
  forwarder_report takeReport(core::time_point Now);

private:
  struct open_call {
    std::uint64_t RequestId = 0;
    call_message Call;
    core::time_point Deadline{};
    core::time_point StartedAt{};
    std::string SentTo; ///< Empty while the call waits for a leader.
    /// A copy was sent to a scheduler that was lost before it replied, or that
    /// replied that the call may have run.
    bool MayHaveRun = false;
    /// When its scheduler was lost or replied that it was not handled.
    core::time_point LostAt{};
    std::uint32_t Refusals = 0; ///< Replies that it was not handled.
    /// Copies whose scheduler was lost before it replied.
    std::uint32_t LostCopies = 0;
  };

  /// \returns the IP address of the connected leader with the highest term.
  std::optional<std::string> leader(core::time_point Now) const;
  void send(open_call &Call, const std::string &Peer);
  /// Tells a scheduler the leader if its status does not list it.
  void describeLeader(const std::string &Peer, core::time_point Now);
  void countFailure(std::string_view Reason, std::uint16_t Status);
  /// Answers a call without a reply: as unknown only if a copy is in flight or
  /// was lost.
  void finishWithoutReply(std::uint64_t Id, std::string_view Reason,
                          core::time_point Now);
  void finish(std::uint64_t Id, std::uint16_t Status, std::uint32_t RetryAfterS,
              std::string Body, std::string_view Reason, core::time_point Now);

  /// What this gateway last heard from a scheduler.
  struct scheduler_view {
    status_message Status;
    core::time_point LastStatusAt{};
    bool IsLinked = false;
  };

  forwarder_settings Settings;
  core::metrics_registry &Metrics;
  std::map<std::string, scheduler_view> Schedulers;
  std::map<std::uint64_t, open_call> OpenCalls;
  std::uint64_t LastId;
  std::string LastLeader;
  /// Since when no leader is known; from the start on until there is one.
  std::optional<core::time_point> LeaderlessSince;
  /// Failed requests since the last report, by reason and status.
  std::map<std::string, std::uint64_t> Failures;
  forwarder_actions Actions;
};

} // namespace lycheetrestle::gateway

#endif
