#ifndef LYCHEETRESTLE_TESTS_STORAGE_FAKE_FILES_H
#define LYCHEETRESTLE_TESTS_STORAGE_FAKE_FILES_H

#include "core/failure.h"
#include "storage/file_system.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheetrestle::storage::test {

/// Fault that is injected into one operation.
enum class fault {
  None,
  Fail,        ///< Fails without an effect; a failed sync loses the pages.
  FailPartly,  ///< An append writes a part and fails; else like Fail.
  FailAfter,   ///< Has its effect and reports a failure.
  CrashBefore, ///< The process crashes before the effect.
  CrashPartly, ///< An append writes a part, and the process crashes.
  CrashAfter,  ///< The process crashes after the effect.
};
constexpr int FaultCount = 7;

enum class operation {
  List,
  Read,
  Append,
  Truncate,
  Sync,
  Rename,
  Remove,
  SyncFolder,
};

/// Disk with a page cache. Bytes and names that were not synced may be lost or
/// torn by a power cut; a kill of the process keeps the cache.
class fake_disk {
public:
  explicit fake_disk(std::uint64_t Seed) : Random(Seed) {}

  /// Chooses the fault of each operation.
  std::function<fault(operation, std::string_view Name)> Plan;
  /// Capacity in bytes; an append that exceeds it fails with Overloaded.
  std::uint64_t Capacity = std::numeric_limits<std::uint64_t>::max();

  /// \returns whether the process crashed. Until this call, every operation
  /// after the crash fails without an effect.
  bool takeCrash() { return std::exchange(Crashed, false); }
  /// Simulates a power cut: applies a random part of the unsynced changes.
  void cutPower();
  std::uint64_t usedBytes() const;
  std::uint64_t random(std::uint64_t Limit);

  core::result<std::vector<std::string>> list();
  core::result<std::string> read(std::string_view Name);
  core::result<void> append(std::string_view Name, std::string_view Bytes);
  core::result<void> truncate(std::string_view Name, std::uint64_t Size);
  core::result<void> sync(std::string_view Name);
  core::result<void> rename(std::string_view From, std::string_view To);
  core::result<void> remove(std::string_view Name);
  core::result<void> syncFolder();

  /// Contents as a reader sees them, by name.
  std::map<std::string, std::string> contents() const;
  /// Replaces all files by synced ones.
  void restore(const std::map<std::string, std::string> &Contents);

private:
  struct file {
    std::string Cached;
    std::string Durable;
    std::string ByteStates; ///< State of each cached byte.
    /// A sync failed: bytes appended later never reach the disk either,
    /// although later syncs report success.
    bool Broken = false;
  };
  using name_table = std::map<std::string, std::shared_ptr<file>, std::less<>>;
  struct name_change {
    std::vector<std::pair<std::string, std::shared_ptr<file>>> Names;
  };

  core::result<void> run(operation Operation, std::string_view Name,
                         const std::function<void()> &Effect,
                         const std::function<void()> &PartialEffect = {});
  void changeNames(name_change Change);
  static void applyNames(name_table &Table, const name_change &Change);
  void writeBack(file &File);
  void cutPower(file &File);

  std::mt19937_64 Random;
  bool Crashed = false;
  name_table Cached;
  name_table Durable;
  std::vector<name_change> Pending; ///< Name changes since syncFolder().
};

/// Handle of a disk that satisfies the file_system concept.
class fake_files {
public:
  explicit fake_files(std::shared_ptr<fake_disk> Disk)
      : Disk(std::move(Disk)) {}
  core::result<std::vector<std::string>> list() { return Disk->list(); }
  core::result<std::string> read(std::string_view Name) {
    return Disk->read(Name);
  }
  core::result<void> append(std::string_view Name, std::string_view Bytes) {
    return Disk->append(Name, Bytes);
  }
  core::result<void> truncate(std::string_view Name, std::uint64_t Size) {
    return Disk->truncate(Name, Size);
  }
  core::result<void> sync(std::string_view Name) { return Disk->sync(Name); }
  core::result<void> rename(std::string_view From, std::string_view To) {
    return Disk->rename(From, To);
  }
  core::result<void> remove(std::string_view Name) {
    return Disk->remove(Name);
  }
  core::result<void> syncFolder() { return Disk->syncFolder(); }

private:
  std::shared_ptr<fake_disk> Disk;
};

static_assert(file_system<fake_files>);

} // namespace lycheetrestle::storage::test

#endif
