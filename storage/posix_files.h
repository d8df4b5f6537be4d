#ifndef LYCHEETRESTLE_STORAGE_POSIX_FILES_H
#define LYCHEETRESTLE_STORAGE_POSIX_FILES_H

#include "core/failure.h"
#include "storage/file_system.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::storage {

/// Files of one data folder on a POSIX file system. Copies share the open
/// descriptors and the lock on the folder; all are used by one thread.
class posix_files {
public:
  /// \param Folder the data folder; it is created when it does not exist. The
  /// folder is locked until the last copy is destroyed; when the lock or the
  /// creation fails, every operation fails with the reason.
  explicit posix_files(std::string Folder);

  core::result<std::vector<std::string>> list();
  core::result<std::string> read(std::string_view Name);
  core::result<void> append(std::string_view Name, std::string_view Bytes);
  core::result<void> truncate(std::string_view Name, std::uint64_t Size);
  core::result<void> sync(std::string_view Name);
  core::result<void> rename(std::string_view From, std::string_view To);
  core::result<void> remove(std::string_view Name);
  core::result<void> syncFolder();

private:
  class implementation;
  std::shared_ptr<implementation> Impl;
};

static_assert(file_system<posix_files>);

} // namespace lycheetrestle::storage

#endif
