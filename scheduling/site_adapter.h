#ifndef LYCHEETRESTLE_SCHEDULING_SITE_ADAPTER_H
#define LYCHEETRESTLE_SCHEDULING_SITE_ADAPTER_H

#include "http/client.h"
#include "http/messages.h"
#include "scheduling/calls.h"
#include "scheduling/orders.h"

#include <functional>
#include <optional>
#include <string>

namespace lycheetrestle::scheduling {

/// What a refused heartbeat said, for the log and the metrics.
struct refused_heartbeat {
  std::string EndpointId; ///< As in the path; any text.
  /// Name of the invalid member, one of a fixed list; `body` when it cannot be
  /// read at all.
  std::string Field;
  std::string Value;
  std::string Reason;
};

/// A decoded request, or the response that rejects it.
struct decoded_call {
  std::optional<call_body> Call;
  http::response Refusal;
  std::optional<refused_heartbeat> Heartbeat = {}; ///< Set if it was one.
};

/// Translates between the scheduler's types and the messages of the platform
/// that it runs on. It makes no scheduling decisions.
struct site_adapter {
  /// Decodes a request of an endpoint or an operator.
  std::function<decoded_call(const http::request &)> DecodeControlCall;
  /// Decodes a request of a caller.
  std::function<decoded_call(const http::request &)> DecodeCallerCall;
  /// Encodes a reply of any kind but NotLeader, which the process handles.
  std::function<http::response(const reply &)> EncodeReply;
  /// Encodes an order; the process sets the id and the time-out of the call.
  std::function<http::client_call(const order &)> EncodeOrder;
  /// Decodes the response to an order.
  std::function<order_answer(const order &, const http::client_result &)>
      DecodeAnswer;
};

} // namespace lycheetrestle::scheduling

#endif
