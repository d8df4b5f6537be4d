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

/// The values of a header that may be repeated.
struct header_values {
  std::string_view First;
  std::size_t Count = 0;
};

/// Non-owning view of a received request, independent of the HTTP library.
struct request_view {
  std::string_view Method;
  std::string_view Target; ///< Path and query.
  std::string_view Body;
  bool IsBodyTooLarge = false; ///< The body was not read completely.
  /// Finds a header by its case-insensitive name.
  std::function<header_values(std::string_view)> FindHeader;
};

/// A parsed caller request, or its refusal.
struct read_outcome {
  routing::caller_request Request; ///< CorrelationId is set in both cases.
  std::uint32_t Status = 200;      ///< HTTP status of the refusal.
  std::string Refusal;   ///< Refusal code; empty when the request is accepted.
  std::string ErrorBody; ///< JSON body of the refusal.
};

/// Validates and converts a request for `/services/{service}/{rest}`.
/// \param View the request; its target must start with ServicesPrefix.
/// \param MaxBodyBytes larger bodies are refused with 413.
/// \param MakeCorrelationId called when the request has no valid
/// `X-Request-Id`.
/// \returns the request, or a refusal with status 400, 404 or 413.
read_outcome
readCallerRequest(const request_view &View, std::size_t MaxBodyBytes,
                  const std::function<std::string()> &MakeCorrelationId);

/// \returns the failure for a body of more than MaxBodyBytes.
core::failure bodyTooLarge(const request_view &View, std::size_t MaxBodyBytes);

/// \param Failure the failure to encode.
/// \returns the JSON body of an error response.
std::string errorJson(const core::failure &Failure);

} // namespace lycheetrestle::entry

#endif
