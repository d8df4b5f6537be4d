#ifndef LYCHEETRESTLE_FLEET_CHANGE_H
#define LYCHEETRESTLE_FLEET_CHANGE_H

#include "core/failure.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace lycheetrestle::fleet {

/// Submission, actor and log index of a command.
struct origin {
  std::string_view Submission;
  std::string_view Actor;
  std::uint64_t Index = 0;
};

/// What an accepted command did, for the audit trail and the caller.
struct change {
  std::string Object; ///< Set when the command does not name the object.
  std::string Before;
  std::string After;
  std::string Response;
  /// Set for lease renewals, repeated job reports and key commands. They are
  /// not audited, because they would evict the decisions from the bounded
  /// trail.
  bool Routine = false;
};

using change_outcome = core::outcome<change>;

/// \returns a failure with verdict NotRun.
inline core::failure refuse(core::error_code Code, std::string Message,
                            std::string_view Field = {},
                            std::string_view Value = {}) {
  return {Code, std::move(Message), std::string(Field), std::string(Value),
          core::verdict::NotRun};
}

/// \returns the value as JSON text; bytes that are not UTF-8 are replaced.
inline std::string jsonText(const nlohmann::json &Value) {
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lycheetrestle::fleet

#endif
