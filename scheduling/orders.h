#ifndef LYCHEETRESTLE_SCHEDULING_ORDERS_H
#define LYCHEETRESTLE_SCHEDULING_ORDERS_H

#include "core/clock.h"
#include "scheduling/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheetrestle::scheduling {

/// Starts a run. Idempotent within one incarnation of the endpoint.
struct start_order {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::string Payload;
  std::uint64_t LeaseExpiryMs = 0; ///< In the endpoint's clock.
  std::uint64_t Fence = 0;
  std::string Checkpoint;
  std::string Ticket;
};

struct stop_order {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::uint64_t Fence = 0;
};

/// Renews the lease of an endpoint and requests its lists of running and ended
/// runs (long poll).
struct poll_order {
  std::uint64_t Fence = 0;
  std::uint64_t Cursor = 0; ///< Ends up to this number are committed.
  /// In the endpoint's clock; empty when the lease is not renewed.
  std::optional<std::uint64_t> LeaseExpiryMs;
  std::uint32_t WaitMs = 0; ///< Maximum time that the answer waits for an end.
};

/// Limits the rate of a best-effort task.
struct throttle_order {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::uint32_t Percent = 100; ///< Of the unthrottled rate.
  std::uint64_t Fence = 0;
};

/// Requests the adviser's decision on which endpoints may run a step.
struct advise_order {
  task_key Step;                      ///< Index is ignored.
  std::vector<std::string> Endpoints; ///< Ids.
};

struct list_hosts_order {
  std::string PageToken; ///< Empty for the first page.
};

struct move_host_order {
  std::string Host;
  std::string Pool;
  std::uint64_t Fence = 0;
};

struct maintenance_order {
  std::string Host;
  std::uint64_t Wave = 0;
  std::uint64_t Fence = 0;
};

using order_body = std::variant<start_order, stop_order, poll_order,
                                throttle_order, advise_order, list_hosts_order,
                                move_host_order, maintenance_order>;

struct order {
  std::uint64_t Id = 0;
  std::uint32_t Endpoint = 0; ///< Number; 0 for the platform and the adviser.
  /// Empty for the platform and the adviser.
  std::optional<core::network_address> Address;
  std::string EndpointId; ///< An endpoint with another id must refuse.
  core::duration Timeout{};
  order_body Body;
  /// Newest reading of the delegate's clock, in microseconds, that the leader
  /// had when it delegated the order; empty without one. Shows the delegate how
  /// old the order is at most.
  std::optional<std::uint64_t> DelegateClockUs = {};
};

/// A row of an endpoint's list of running runs.
struct run_row {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::string Checkpoint;
  std::uint32_t Percent = 0;
  /// Tail latency in ms of a latency-sensitive task; millicores in use of any
  /// other task.
  std::optional<std::uint32_t> Load;
};

/// A row of an endpoint's list of ended runs.
struct end_row {
  std::uint64_t Number = 0; ///< Increases with each end of an incarnation.
  task_key Task;
  std::uint32_t Attempt = 0;
  run_end Outcome = run_end::Done;
  std::string Checkpoint;
};

enum class endpoint_verdict : std::uint8_t {
  Accepted,
  Fenced,    ///< The endpoint has received a higher fencing token.
  OldRun,    ///< The same or a later attempt ended or was stopped there.
  LateOrder, ///< The lease of the order had expired on arrival.
  NoCapacity,
  BadTicket,
  Unhealthy,        ///< The endpoint reports bad health; nothing was done.
  OtherIncarnation, ///< Another incarnation answers at the address.
  BadOrder,         ///< The endpoint cannot decode the order.
};

struct endpoint_answer {
  endpoint_verdict Verdict = endpoint_verdict::BadOrder;
  std::optional<std::uint64_t> ClockMs;
  std::optional<std::uint64_t> IncarnationMs;
  std::vector<run_row> Running;
  std::vector<end_row> Ended;
};

enum class host_state : std::uint8_t { Up, Moving, Maintenance, Down };

struct host_row {
  std::string Name;
  std::string Pool;
  host_state State = host_state::Down;
  std::string Zone;
  std::vector<std::string> Labels;
  resource_amounts Capacity;
  std::string EndpointId;
};

struct hosts_answer {
  std::vector<host_row> Hosts;
  std::string NextToken; ///< Empty on the last page.
  /// Names of hosts whose rows cannot be read: what an earlier list showed
  /// about them still counts. An empty name stands for any host.
  std::vector<std::string> UnreadableHosts = {};
};

enum class host_verdict : std::uint8_t {
  Accepted, ///< Done now, or by an earlier order.
  Fenced,
  Busy,
  OtherWave,  ///< The host is not part of the wave.
  NoSuchHost, ///< Or the host does not fit the pool.
  Throttled,
};

struct ticket_row {
  std::string EndpointId;
  std::string Ticket;
};

struct advice_answer {
  std::vector<ticket_row> Allowed;
  std::uint32_t ValidMs = 0;
  bool IsBusy = false;
};

/// No answer, or one that cannot be decoded.
struct no_answer {
  bool MayHaveRun = false; ///< The order may have been executed.
  std::string Reason;
  /// The order failed at a scheduler, which says nothing about its receiver.
  bool IsLocal = false;
  /// Nothing listens at the receiver's address.
  bool IsRefused = false;
  /// The receiver answered, so that the order takes no effect after this. Set
  /// for orders to hosts, which are never delegated.
  bool HasResponse = false;
};

using order_answer = std::variant<no_answer, endpoint_answer, hosts_answer,
                                  host_verdict, advice_answer>;

struct order_result {
  std::uint64_t Id = 0;
  order_answer Answer;
};

/// Heartbeat of an endpoint to a scheduler.
struct endpoint_heartbeat {
  endpoint_facts Facts;
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t Sequence = 0;
  std::uint64_t ClockMs = 0; ///< The endpoint's clock.
  /// Time left to drain; set while the endpoint drains.
  std::optional<std::uint32_t> RemainingMs;
};

} // namespace lycheetrestle::scheduling

#endif
