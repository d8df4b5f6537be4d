#ifndef LYCHEETRESTLE_CORE_FAILURE_H
#define LYCHEETRESTLE_CORE_FAILURE_H

#include "core/verdict.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace lycheetrestle::core {

/// Kinds of failure. toString() gives the fixed code shown to callers and
/// operators.
enum class error_code : std::uint8_t {
  BadInput,       ///< A value breaks a rule; Field and Value name it.
  NotFound,       ///< The named object does not exist.
  Conflict,       ///< The change conflicts with earlier accepted state.
  NotLeader,      ///< Another control replica must answer.
  Unavailable,    ///< The system cannot answer now; try again later.
  Overloaded,     ///< A queue or ring is full, or a deadline cannot be met.
  DeadlinePassed, ///< The deadline passed before an answer was complete.
  BudgetExceeded, ///< A planned step would take a pool under its budget.
  StaleEpoch,     ///< The order carries an older epoch than the host has.
  Corrupt,        ///< Stored or received bytes fail validation.
  IoError,        ///< A file or socket operation failed.
  TooLarge,       ///< The input exceeds a size limit.
};

/// \param Code the kind of failure.
/// \returns its fixed name, for example `bad-input`.
std::string_view toString(error_code Code);

/// A failure with the details that a caller or operator needs to act on it.
struct failure {
  error_code Code = error_code::Unavailable;
  std::string Message;               ///< One plain sentence.
  std::string Field;                 ///< Path of the field at fault, or empty.
  std::string Value;                 ///< The offending value, or empty.
  verdict Verdict = verdict::NotRun; ///< Whether the request may have run.
};

/// A value, or a core::failure transported by Boost.LEAF.
template <typename Type> using result = boost::leaf::result<Type>;

/// Creates a failure to be returned from a function that returns a result.
/// \param Failure the failure to transport.
/// \returns the error id, which converts to every result type.
inline boost::leaf::error_id fail(failure Failure) {
  return boost::leaf::new_error(std::move(Failure));
}

/// Creates a failure with code BadInput.
/// \param Field path of the field, for example `pools[2].budget`.
/// \param Value the offending value as text.
/// \param Rule the rule that it breaks, as one sentence.
/// \returns the error id, which converts to every result type.
boost::leaf::error_id failInput(std::string_view Field, std::string_view Value,
                                std::string_view Rule);

/// A value, or the failure that replaced it, as plain data. Use it where a
/// failure must outlive the LEAF scope, for example to pass through a ring.
template <typename Type> using outcome = std::variant<Type, failure>;

/// Calls a function and captures its value or failure. Exceptions of the
/// standard library become failures with Unavailable and MayHaveRun.
/// \param Function a callable that returns result<Type> with a non-void Type.
/// \returns the value or the failure.
template <typename Callable>
auto capture(Callable &&Function)
    -> outcome<std::decay_t<decltype(Function().value())>> {
  using value_type = std::decay_t<decltype(Function().value())>;
  using outcome_type = outcome<value_type>;
  return boost::leaf::try_catch(
      [&]() -> outcome_type {
        return boost::leaf::try_handle_all(
            [&]() -> result<outcome_type> {
              auto Result = Function();
              if (!Result)
                return Result.error();
              return outcome_type(std::in_place_index<0>,
                                  std::move(Result.value()));
            },
            [](const failure &Failure) {
              return outcome_type(std::in_place_index<1>, Failure);
            },
            [] {
              return outcome_type(std::in_place_index<1>,
                                  failure{error_code::Unavailable,
                                          "an unknown failure occurred", "", "",
                                          verdict::MayHaveRun});
            });
      },
      [](const std::exception &Exception) {
        return outcome_type(std::in_place_index<1>,
                            failure{error_code::Unavailable, Exception.what(),
                                    "", "", verdict::MayHaveRun});
      });
}

/// Calls a function without a value and captures its failure.
/// \param Function a callable that returns result<void>.
/// \returns nothing, or the failure.
template <typename Callable>
std::optional<failure> captureFailure(Callable &&Function) {
  auto Outcome = capture([&]() -> result<bool> {
    auto Result = Function();
    if (!Result)
      return Result.error();
    return true;
  });
  if (auto *Failure = std::get_if<1>(&Outcome))
    return std::move(*Failure);
  return std::nullopt;
}

} // namespace lycheetrestle::core

#endif
