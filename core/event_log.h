#ifndef LYCHEETRESTLE_CORE_EVENT_LOG_H
#define LYCHEETRESTLE_CORE_EVENT_LOG_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lycheetrestle::core {

enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

/// One key=value pair of a log line.
class log_field {
public:
  log_field(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  log_field(std::string_view Key, const char *Value) : Key(Key), Value(Value) {}
  log_field(std::string_view Key, const std::string &Value)
      : Key(Key), Value(Value) {}
  log_field(std::string_view Key, bool Value)
      : Key(Key), Value(Value ? "true" : "false") {}
  template <typename Number>
  requires(std::integral<Number> || std::floating_point<Number>) &&
      (!std::same_as<Number, bool>)log_field(std::string_view Key, Number Value)
      : Key(Key),
  Value(std::to_string(Value)) {}

  std::string_view key() const { return Key; }
  std::string_view value() const { return Value; }

private:
  std::string_view Key;
  std::string Value;
};

/// Initializes the log. Call it once; events before the call are dropped.
/// \param Path file to append to, or empty for standard output.
/// \param Minimum events under this level are dropped.
/// \param ProcessName written as `process=` on every line.
void initializeLog(std::string_view Path, log_level Minimum,
                   std::string_view ProcessName);

/// Blocks until all queued lines are written to standard output. Call it before
/// exiting without destructors.
void flushLog();

/// Writes one line: time, level, process, event and the fields. Values with
/// spaces, quotes or control characters are quoted and escaped.
/// \param Level the level of the event.
/// \param Event a snake_case event name.
/// \param Fields the pairs, in the order given.
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

/// Formats the pairs as logEvent() does.
/// \param Event the event name.
/// \param Fields the pairs.
/// \returns the line without time, level and process.
std::string formatEvent(std::string_view Event,
                        std::initializer_list<log_field> Fields);

} // namespace lycheetrestle::core

#endif
