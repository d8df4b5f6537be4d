#ifndef LYCHEETRESTLE_CORE_VERDICT_H
#define LYCHEETRESTLE_CORE_VERDICT_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheetrestle::core {

/// States whether a request was executed. Every answer and failure carries one.
enum class verdict : std::uint8_t {
  NotRun,     ///< The request was certainly not executed.
  MayHaveRun, ///< The outcome is unknown; only idempotent work may be retried.
  Ran, ///< The request was executed exactly once; its answer is complete.
};

/// \param Value the verdict to name.
/// \returns the name used in headers and logs: `not-run`, `may-have-run` or
/// `ran`.
std::string_view toString(verdict Value);

/// \param Name a name as given by toString().
/// \returns the verdict, or nothing when the name is unknown.
std::optional<verdict> parseVerdict(std::string_view Name);

} // namespace lycheetrestle::core

#endif
