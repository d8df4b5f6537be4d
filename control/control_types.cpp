#include "control/control_types.h"

#include <nlohmann/json.hpp>

namespace lycheetrestle::control {

std::uint16_t httpStatus(const core::failure &Failure) {
  if (Failure.Verdict == core::verdict::MayHaveRun)
    return 504;
  switch (Failure.Code) {
  case core::error_code::BadInput:
    return 400;
  case core::error_code::NotFound:
    return 404;
  case core::error_code::Conflict:
  case core::error_code::BudgetExceeded:
  case core::error_code::StaleEpoch:
    return 409;
  case core::error_code::TooLarge:
    return 413;
  case core::error_code::NotLeader:
    return 421;
  case core::error_code::DeadlinePassed:
    return 504;
  case core::error_code::Unavailable:
  case core::error_code::Overloaded:
  case core::error_code::Corrupt:
  case core::error_code::IoError:
    return 503;
  }
  return 503;
}

std::string failureBody(const core::failure &Failure) {
  nlohmann::ordered_json Body = {
      {"error", std::string(core::toString(Failure.Code))},
      {"field", Failure.Field},
      {"value", Failure.Value},
      {"rule", Failure.Message},
      {"verdict", std::string(core::toString(Failure.Verdict))}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

control_answer failureAnswer(std::uint64_t Id, const core::failure &Failure) {
  return {Id, httpStatus(Failure), failureBody(Failure), ""};
}

} // namespace lycheetrestle::control
