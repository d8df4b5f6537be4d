#include "core/failure.h"

namespace lycheetrestle::core {

std::string_view toString(error_code Code) {
  switch (Code) {
  case error_code::BadInput:
    return "bad-input";
  case error_code::NotFound:
    return "not-found";
  case error_code::Conflict:
    return "conflict";
  case error_code::NotLeader:
    return "not-leader";
  case error_code::Unavailable:
    return "unavailable";
  case error_code::Overloaded:
    return "overloaded";
  case error_code::DeadlinePassed:
    return "deadline-passed";
  case error_code::BudgetExceeded:
    return "budget-exceeded";
  case error_code::StaleEpoch:
    return "stale-epoch";
  case error_code::Corrupt:
    return "corrupt";
  case error_code::IoError:
    return "io-error";
  case error_code::TooLarge:
    return "too-large";
  }
  return "unavailable";
}

boost::leaf::error_id failInput(std::string_view Field, std::string_view Value,
                                std::string_view Rule) {
  return fail({error_code::BadInput, std::string(Rule), std::string(Field),
               std::string(Value), verdict::NotRun});
}

} // namespace lycheetrestle::core
