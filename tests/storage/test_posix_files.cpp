#include "storage/log_store.h"
#include "storage/posix_files.h"
#include "tests/storage/store_model.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>

#include <sys/resource.h>
#include <unistd.h>

using namespace lycheetrestle;
using namespace lycheetrestle::storage;
using namespace lycheetrestle::storage::test;

namespace {

/// Temporary folder in the working directory, removed with its contents.
struct scratch_folder {
  explicit scratch_folder(const std::string &Name)
      : Path("storage-test-" + std::to_string(::getpid()) + "-" + Name) {
    std::filesystem::remove_all(Path);
  }
  ~scratch_folder() { std::filesystem::remove_all(Path); }
  std::string Path;
};

} // namespace

// Guards against a store that works only on the fake file system.
TEST_CASE("a store on real files is complete after it is reopened") {
  scratch_folder Folder("reopen");
  folder_identity Identity{"cluster", {"control-1", 7}, {}};
  replication::storage_write First;
  First.Hard = replication::hard_state{3, replication::replica_id{"a", 1}};
  First.Append = {
      {1, 2, replication::entry_kind::Noop, ""},
      {2, 3, replication::entry_kind::Command, std::string("\0x", 2)}};
  replication::storage_write Second;
  Second.Snapshot = replication::snapshot{1, 2, {{{{"a", 1}, true}}}, "state"};
  {
    log_store<posix_files> Store{posix_files(Folder.Path)};
    CHECK(!must([&] { return Store.readIdentity(); }));
    mustSucceed([&] { return Store.writeIdentity(Identity); });
    must([&] { return Store.load(); });
    mustSucceed([&] { return Store.execute(First); });
    mustSucceed([&] { return Store.execute(Second); });
  }
  log_store<posix_files> Store{posix_files(Folder.Path)};
  CHECK(must([&] { return Store.readIdentity(); })->Replica ==
        Identity.Replica);
  auto State = must([&] { return Store.load(); });
  CHECK(State.Hard == *First.Hard);
  CHECK(State.Snapshot == Second.Snapshot);
  REQUIRE(State.Entries.size() == 1);
  CHECK(State.Entries[0] == First.Append[1]);
}

// Guards against two processes that write to the same folder.
TEST_CASE("a data folder in use is refused") {
  scratch_folder Folder("lock");
  posix_files First(Folder.Path);
  posix_files Second(Folder.Path);
  mustSucceed([&] { return First.append("file", "bytes"); });
  auto Failure =
      core::captureFailure([&] { return Second.append("file", "more"); });
  REQUIRE(Failure);
  CHECK(Failure->Code == core::error_code::Conflict);
  CHECK(must([&] { return First.read("file"); }) == "bytes");
}

// Guards against a full disk that is reported as an I/O error.
TEST_CASE("a full device fails with Overloaded") {
  scratch_folder Folder("full");
  posix_files Files(Folder.Path);
  std::filesystem::create_symlink("/dev/full", Folder.Path + "/file");
  auto Failure =
      core::captureFailure([&] { return Files.append("file", "bytes"); });
  REQUIRE(Failure);
  CHECK(Failure->Code == core::error_code::Overloaded);
}

// Guards against a limit of the file size, as a quota sets it, that is reported
// as an I/O error, and against a file that stays refused when the limit rises.
TEST_CASE("a file at its size limit fails with Overloaded until the limit is "
          "raised") {
  scratch_folder Folder("limit");
  posix_files Files(Folder.Path);
  auto PreviousHandler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit Previous{};
  REQUIRE(::getrlimit(RLIMIT_FSIZE, &Previous) == 0);
  rlimit Limit = Previous;
  Limit.rlim_cur = 3;
  REQUIRE(::setrlimit(RLIMIT_FSIZE, &Limit) == 0);
  auto Failure =
      core::captureFailure([&] { return Files.append("file", "bytes"); });
  REQUIRE(::setrlimit(RLIMIT_FSIZE, &Previous) == 0);
  std::signal(SIGXFSZ, PreviousHandler);
  REQUIRE(Failure);
  CHECK(Failure->Code == core::error_code::Overloaded);
  mustSucceed([&] { return Files.truncate("file", 0); });
  mustSucceed([&] { return Files.append("file", "bytes"); });
  CHECK(must([&] { return Files.read("file"); }) == "bytes");
}

// Guards against an append that goes to a replaced or removed file through a
// descriptor that is still open.
TEST_CASE("open descriptors follow renames and removals") {
  scratch_folder Folder("rename");
  posix_files Files(Folder.Path);
  mustSucceed([&] { return Files.append("old", "replaced"); });
  mustSucceed([&] { return Files.append("new", "a"); });
  mustSucceed([&] { return Files.rename("new", "old"); });
  mustSucceed([&] { return Files.append("old", "bc"); });
  mustSucceed([&] { return Files.truncate("old", 2); });
  mustSucceed([&] { return Files.append("old", "d"); });
  CHECK(must([&] { return Files.read("old"); }) == "abd");
  CHECK(must([&] { return Files.list(); }) == std::vector<std::string>{"old"});
  mustSucceed([&] { return Files.remove("old"); });
  mustSucceed([&] { return Files.remove("old"); });
  mustSucceed([&] { return Files.append("old", "e"); });
  CHECK(must([&] { return Files.read("old"); }) == "e");
}
