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

/// Starts a run. Repeating it to the same life is safe.
struct start_order {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::string Payload;
  std::uint64_t LeaseExpiryMs = 0; ///< On the endpoint's clock.
  std::uint64_t Fence = 0;
  std::string Checkpoint;
  std::string Ticket;
};

struct stop_order {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::uint64_t Fence = 0;
};

/// Renews the lease of an endpoint and asks what runs there and what ended.
struct poll_order {
  std::uint64_t Fence = 0;
  std::uint64_t Cursor = 0; ///< Ends up to it are recorded.
  std::optional<std::uint64_t> LeaseExpiryMs;
  std::uint32_t WaitMs = 0; ///< The answer waits so long for an end.
};

/// Limits the share at which a task works.
struct throttle_order {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::uint32_t Percent = 100;
  std::uint64_t Fence = 0;
};

/// Asks which endpoints may run a step.
struct advise_order {
  task_key Step; ///< Its Index has no meaning.
  std::vector<std::string> Endpoints;
};

struct list_hosts_order {
  std::string PageToken;
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
  std::uint32_t Endpoint = 0; ///< Number of the life, or 0 for the platform.
  std::string Address;        ///< Empty for the platform and the adviser.
  std::string EndpointId;     ///< Any other life must refuse the order.
  core::duration Timeout{};
  order_body Body;
};

/// A row of an endpoint's list of what runs.
struct run_row {
  task_key Task;
  std::uint32_t Attempt = 0;
  std::string Checkpoint;
  std::uint32_t Percent = 0;
  /// Tail latency in ms of a task that serves, thousandths of a core of any
  /// other.
  std::optional<std::uint32_t> Load;
};

/// A row of an endpoint's list of what ended.
struct end_row {
  std::uint64_t Number = 0;
  task_key Task;
  std::uint32_t Attempt = 0;
  run_end Outcome = run_end::Done;
  std::string Checkpoint;
};

enum class endpoint_verdict : std::uint8_t {
  Accepted,
  Fenced,    ///< A higher fencing token was seen.
  OldRun,    ///< A run at least as new ended or was stopped there.
  LateOrder, ///< The lease of the order had run out on arrival.
  NoCapacity,
  BadTicket,
  Unhealthy,        ///< Nothing was done.
  OtherIncarnation, ///< Another life answers at the address.
  BadOrder,         ///< The endpoint cannot read the order.
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
};

enum class host_verdict : std::uint8_t {
  Accepted, ///< Done now, or done before.
  Fenced,
  Busy,
  OtherWave,  ///< The host does not belong to the wave.
  NoSuchHost, ///< Or the pool does not fit it.
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

/// No answer that can be read came.
struct no_answer {
  bool MayHaveRun = false;
  std::string Reason;
};

using order_answer = std::variant<no_answer, endpoint_answer, hosts_answer,
                                  host_verdict, advice_answer>;

struct order_result {
  std::uint64_t Id = 0;
  order_answer Answer;
};

/// What an endpoint announces about itself.
struct endpoint_heartbeat {
  endpoint_facts Facts;
  std::uint64_t Sequence = 0; ///< Larger in later announcements of a life.
  std::uint64_t ClockMs = 0;
  std::optional<std::uint32_t> RemainingMs; ///< While it drains.
};

} // namespace lycheetrestle::scheduling

#endif
