#ifndef LYCHEETRESTLE_ENTRY_REQUEST_READER_H
#define LYCHEETRESTLE_ENTRY_REQUEST_READER_H

#include "core/failure.h"
#include "routing/entry_router.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace lycheetrestle::entry {

constexpr std::string_view ServicesPrefix = "/services/";

struct header_values {
  std::string_view First;
  std::size_t Count = 0;
};

/// A received request, independent of the HTTP library.
struct request_view {
  std::string_view Method;
  std::string_view Target; ///< Path and query.
  std::string_view Body;
  std::function<header_values(std::string_view)> FindHeader;
};

/// A caller's request, or the refusal of it.
struct read_outcome {
  routing::caller_request Request; ///< Its CorrelationId is always set.
  std::uint32_t Status = 200;
  std::string Refusal; ///< Empty when the request is accepted.
  std::string ErrorBody;
};

/// Checks and converts a request on `/services/{service}/{rest}`.
/// \param View the request; its target starts with ServicesPrefix.
/// \param MaxBodyBytes larger bodies are refused with 413.
/// \param MakeCorrelationId called when the caller gave no `X-Request-Id`.
/// \returns the request, or a refusal with status 400, 404 or 413.
read_outcome
readCallerRequest(const request_view &View, std::size_t MaxBodyBytes,
                  const std::function<std::string()> &MakeCorrelationId);

/// \param Failure the failure to show.
/// \returns the JSON body of an error response.
std::string errorJson(const core::failure &Failure);

} // namespace lycheetrestle::entry

#endif
