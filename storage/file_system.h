#ifndef LYCHEETRESTLE_STORAGE_FILE_SYSTEM_H
#define LYCHEETRESTLE_STORAGE_FILE_SYSTEM_H

#include "core/failure.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::storage {

/// The file operations that the log store needs, within one data folder. Names
/// are relative to it. Contents are durable only after sync() of the file, and
/// names only after syncFolder(). append() creates a missing file and may write
/// only a part of the bytes when it fails; remove() of a missing file succeeds;
/// rename() replaces its target atomically. Failures have code IoError, or
/// Overloaded when the disk is full.
template <typename Type>
concept file_system = requires(Type Files, std::string_view Name,
                               std::string_view Bytes, std::uint64_t Size) {
  { Files.list() } -> std::same_as<core::result<std::vector<std::string>>>;
  { Files.read(Name) } -> std::same_as<core::result<std::string>>;
  { Files.append(Name, Bytes) } -> std::same_as<core::result<void>>;
  { Files.truncate(Name, Size) } -> std::same_as<core::result<void>>;
  { Files.sync(Name) } -> std::same_as<core::result<void>>;
  { Files.rename(Name, Name) } -> std::same_as<core::result<void>>;
  { Files.remove(Name) } -> std::same_as<core::result<void>>;
  { Files.syncFolder() } -> std::same_as<core::result<void>>;
};

} // namespace lycheetrestle::storage

#endif
