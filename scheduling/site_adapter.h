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

/// A request that was read, or the response that refuses it.
struct decoded_call {
  std::optional<call_body> Call;
  http::response Refusal;
};

/// Translates between the scheduler's types and the messages of the platform
/// that it runs on. Nothing here decides.
struct site_adapter {
  /// Reads a request of an endpoint or an operator.
  std::function<decoded_call(const http::request &)> DecodeControlCall;
  /// Reads a request of a caller.
  std::function<decoded_call(const http::request &)> DecodeCallerCall;
  /// \returns the response, except for NotLeader, which the process answers.
  std::function<http::response(const reply &)> EncodeReply;
  /// \param Id passed on to the call.
  std::function<http::client_call(const order &)> EncodeOrder;
  std::function<order_answer(const order &, const http::client_result &)>
      DecodeAnswer;
};

} // namespace lycheetrestle::scheduling

#endif
