#include "core/verdict.h"

namespace lycheetrestle::core {

std::string_view toString(verdict Value) {
  switch (Value) {
  case verdict::NotRun:
    return "not-run";
  case verdict::MayHaveRun:
    return "may-have-run";
  case verdict::Ran:
    return "ran";
  }
  return "may-have-run";
}

std::optional<verdict> parseVerdict(std::string_view Name) {
  for (auto Value : {verdict::NotRun, verdict::MayHaveRun, verdict::Ran})
    if (toString(Value) == Name)
      return Value;
  return std::nullopt;
}

} // namespace lycheetrestle::core
