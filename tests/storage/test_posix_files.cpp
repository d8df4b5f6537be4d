#include "storage/log_store.h"
#include "storage/posix_files.h"

#include <catch2/catch.hpp>

#include <filesystem>

#include <unistd.h>

using namespace lycheetrestle;
using namespace lycheetrestle::storage;

namespace {

/// A folder of its own below the build folder, removed with its contents.
struct scratch_folder {
  explicit scratch_folder(const std::string &Name)
      : Path("storage-test-" + std::to_string(::getpid()) + "-" + Name) {
    std::filesystem::remove_all(Path);
  }
  ~scratch_folder() { std::filesystem::remove_all(Path); }
  std::string Path;
};

template <typename Callable> auto must(Callable &&Function) {
  auto Outcome = core::capture(Function);
  if (auto *Failure = std::get_if<1>(&Outcome))
    FAIL(Failure->Message);
  return std::get<0>(std::move(Outcome));
}

template <typename Callable> void mustSucceed(Callable &&Function) {
  if (auto Failure = core::captureFailure(Function))
    FAIL(Failure->Message);
}

} // namespace

// Guards against a store that works only on the fake file system.
TEST_CASE("a store on real files is whole after it is opened again") {
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
