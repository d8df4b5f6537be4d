#include "storage/posix_files.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <optional>
#include <system_error>
#include <utility>

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace lycheetrestle::storage {

namespace {

core::failure makeFailure(int Error, std::string_view Operation,
                          std::string_view Name) {
  bool Full = Error == ENOSPC || Error == EDQUOT || Error == EFBIG;
  return {Full ? core::error_code::Overloaded : core::error_code::IoError,
          std::string(Operation) + " of " + std::string(Name) +
              " failed: " + std::generic_category().message(Error),
          std::string(Name), std::to_string(Error), core::verdict::NotRun};
}

boost::leaf::error_id failErrno(std::string_view Operation,
                                std::string_view Name) {
  return core::fail(makeFailure(errno, Operation, Name));
}

/// Owns a file descriptor.
class descriptor {
public:
  explicit descriptor(int Value = -1) : Value(Value) {}
  descriptor(descriptor &&Other) noexcept
      : Value(std::exchange(Other.Value, -1)) {}
  descriptor &operator=(descriptor &&Other) noexcept {
    std::swap(Value, Other.Value);
    return *this;
  }
  ~descriptor() {
    if (Value >= 0)
      ::close(Value);
  }
  int get() const { return Value; }
  bool isOpen() const { return Value >= 0; }

private:
  int Value;
};

struct open_file {
  std::string Name;
  descriptor File;
};

// Descriptors of the active segment and the temporary file.
constexpr std::size_t MaxOpenFiles = 2;

} // namespace

class posix_files::implementation {
public:
  explicit implementation(const std::string &Path) {
    std::error_code Error;
    std::filesystem::create_directories(Path, Error);
    if (Error) {
      OpenFailure = makeFailure(Error.value(), "creation", Path);
      return;
    }
    Folder =
        descriptor(::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!Folder.isOpen()) {
      OpenFailure = makeFailure(errno, "open", Path);
      return;
    }
    // The kernel releases the lock with the descriptor, also after a kill.
    if (::flock(Folder.get(), LOCK_EX | LOCK_NB) != 0) {
      OpenFailure =
          core::failure{core::error_code::Conflict,
                        "another process uses the data folder " + Path,
                        "folder", Path, core::verdict::NotRun};
      return;
    }
    // The folder itself is durable only once its parent is synced.
    descriptor Parent(
        ::openat(Folder.get(), "..", O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!Parent.isOpen() || ::fsync(Parent.get()) != 0)
      OpenFailure = makeFailure(errno, "sync of the parent", Path);
  }

  core::result<void> check() const {
    if (OpenFailure)
      return core::fail(*OpenFailure);
    return {};
  }

  /// \returns a descriptor of the file, opened for appending and valid until a
  /// later open() evicts it.
  core::result<int> open(std::string_view Name, int ExtraFlags) {
    BOOST_LEAF_CHECK(check());
    auto Known =
        std::find_if(OpenFiles.begin(), OpenFiles.end(),
                     [&](const auto &File) { return File.Name == Name; });
    if (Known != OpenFiles.end()) {
      std::rotate(Known, Known + 1, OpenFiles.end());
      return OpenFiles.back().File.get();
    }
    std::string Path(Name);
    descriptor File(::openat(Folder.get(), Path.c_str(),
                             O_WRONLY | O_APPEND | O_CLOEXEC | ExtraFlags,
                             S_IRUSR | S_IWUSR | S_IRGRP));
    if (!File.isOpen())
      return failErrno("open", Name);
    if (OpenFiles.size() == MaxOpenFiles)
      OpenFiles.erase(OpenFiles.begin());
    OpenFiles.push_back({std::move(Path), std::move(File)});
    return OpenFiles.back().File.get();
  }

  void closeFile(std::string_view Name) {
    OpenFiles.erase(
        std::remove_if(OpenFiles.begin(), OpenFiles.end(),
                       [&](const auto &File) { return File.Name == Name; }),
        OpenFiles.end());
  }

  void renameOpenFile(std::string_view From, std::string_view To) {
    closeFile(To);
    for (auto &File : OpenFiles)
      if (File.Name == From)
        File.Name = To;
  }

  int folder() const { return Folder.get(); }

private:
  std::optional<core::failure> OpenFailure;
  descriptor Folder;
  std::vector<open_file> OpenFiles; ///< Least recently used first.
};

posix_files::posix_files(std::string Folder)
    : Impl(std::make_shared<implementation>(Folder)) {}

core::result<std::vector<std::string>> posix_files::list() {
  BOOST_LEAF_CHECK(Impl->check());
  int Copy = ::openat(Impl->folder(), ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  DIR *Stream = Copy < 0 ? nullptr : ::fdopendir(Copy);
  if (Stream == nullptr) {
    int Error = errno;
    if (Copy >= 0)
      ::close(Copy);
    return core::fail(makeFailure(Error, "listing", "the data folder"));
  }
  std::vector<std::string> Names;
  errno = 0;
  while (const dirent *Entry = ::readdir(Stream)) {
    std::string Name(Entry->d_name);
    if (Name != "." && Name != "..")
      Names.push_back(std::move(Name));
  }
  int Error = errno;
  ::closedir(Stream);
  if (Error != 0)
    return core::fail(makeFailure(Error, "listing", "the data folder"));
  return Names;
}

core::result<std::string> posix_files::read(std::string_view Name) {
  BOOST_LEAF_CHECK(Impl->check());
  std::string Path(Name);
  descriptor File(::openat(Impl->folder(), Path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!File.isOpen())
    return failErrno("open", Name);
  struct stat Status {};
  if (::fstat(File.get(), &Status) != 0)
    return failErrno("stat", Name);
  std::string Bytes(static_cast<std::size_t>(Status.st_size), '\0');
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    auto Count = ::read(File.get(), Bytes.data() + Done, Bytes.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return failErrno("read", Name);
    if (Count == 0)
      break;
    Done += static_cast<std::size_t>(Count);
  }
  Bytes.resize(Done);
  return Bytes;
}

core::result<void> posix_files::append(std::string_view Name,
                                       std::string_view Bytes) {
  BOOST_LEAF_AUTO(File, Impl->open(Name, O_CREAT));
  while (!Bytes.empty()) {
    auto Count = ::write(File, Bytes.data(), Bytes.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return failErrno("write", Name);
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return {};
}

core::result<void> posix_files::truncate(std::string_view Name,
                                         std::uint64_t Size) {
  BOOST_LEAF_AUTO(File, Impl->open(Name, 0));
  if (::ftruncate(File, static_cast<off_t>(Size)) != 0)
    return failErrno("truncate", Name);
  return {};
}

core::result<void> posix_files::sync(std::string_view Name) {
  BOOST_LEAF_AUTO(File, Impl->open(Name, 0));
  if (::fdatasync(File) != 0)
    return failErrno("sync", Name);
  return {};
}

core::result<void> posix_files::rename(std::string_view From,
                                       std::string_view To) {
  BOOST_LEAF_CHECK(Impl->check());
  std::string FromPath(From);
  std::string ToPath(To);
  if (::renameat(Impl->folder(), FromPath.c_str(), Impl->folder(),
                 ToPath.c_str()) != 0)
    return failErrno("rename", From);
  Impl->renameOpenFile(From, To);
  return {};
}

core::result<void> posix_files::remove(std::string_view Name) {
  BOOST_LEAF_CHECK(Impl->check());
  Impl->closeFile(Name);
  std::string Path(Name);
  if (::unlinkat(Impl->folder(), Path.c_str(), 0) != 0 && errno != ENOENT)
    return failErrno("remove", Name);
  return {};
}

core::result<void> posix_files::syncFolder() {
  BOOST_LEAF_CHECK(Impl->check());
  if (::fsync(Impl->folder()) != 0)
    return failErrno("sync", "the data folder");
  return {};
}

} // namespace lycheetrestle::storage
