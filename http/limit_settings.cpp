#include "http/limit_settings.h"

#include "core/common_settings.h"

#include <cstdint>

namespace lycheetrestle::http {

namespace {

constexpr std::int64_t MaxMemoryMb = std::int64_t(1) << 20u;
constexpr std::size_t MinMemoryMb = 32;
constexpr std::size_t MinDescriptors = 64;
constexpr std::int64_t MaxDescriptors = std::int64_t(1) << 20u;

} // namespace

process_limits readLimitFields(core::object_reader &Group,
                               process_limits Default) {
  auto Read = [&](std::string_view Name, std::size_t Minimum,
                  std::int64_t Maximum, std::size_t Value) {
    return static_cast<std::size_t>(
        Group.readInteger(Name, static_cast<std::int64_t>(Minimum), Maximum,
                          static_cast<std::int64_t>(Value)));
  };
  return {
      Read("memory_mb", MinMemoryMb, MaxMemoryMb, Default.MemoryMb),
      Read("descriptors", MinDescriptors, MaxDescriptors, Default.Descriptors)};
}

process_limits readLimits(core::object_reader &Reader, process_limits Default) {
  auto Result = Default;
  core::readNested(Reader, "limits", [&](core::object_reader &Nested) {
    Result = readLimitFields(Nested, Default);
  });
  return Result;
}

} // namespace lycheetrestle::http
