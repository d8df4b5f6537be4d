#include "core/clock.h"
#include "storage/log_store.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <vector>

DEFINE_string(folder, "storage-bench-data",
              "folder on the disk to measure; it must not exist");
DEFINE_double(seconds, 3, "duration of each case in s");
DEFINE_uint32(payload_bytes, 200, "payload of each entry in bytes");

namespace {

using namespace lycheetrestle;

struct measurement {
  std::size_t Writes = 0;
  double Seconds = 0;
  std::vector<double> Milliseconds; ///< Latency of each write, sorted.
};

core::result<measurement> measure(std::size_t EntriesPerWrite) {
  storage::log_store<storage::posix_files> Store{
      storage::posix_files(FLAGS_folder)};
  BOOST_LEAF_CHECK(Store.load());
  replication::storage_write Write;
  Write.Append.resize(EntriesPerWrite);
  std::uint64_t Index = 0;
  measurement Result;
  auto Start = core::boot_clock::now();
  auto End = Start + std::chrono::duration_cast<core::duration>(
                         std::chrono::duration<double>(FLAGS_seconds));
  auto Now = Start;
  while (Now < End) {
    for (auto &Entry : Write.Append)
      Entry = {++Index, 1, replication::entry_kind::Command,
               std::string(FLAGS_payload_bytes, 'x')};
    BOOST_LEAF_CHECK(Store.execute(Write));
    auto Before = std::exchange(Now, core::boot_clock::now());
    Result.Milliseconds.push_back(
        std::chrono::duration<double, std::milli>(Now - Before).count());
    ++Result.Writes;
  }
  Result.Seconds = std::chrono::duration<double>(Now - Start).count();
  std::sort(Result.Milliseconds.begin(), Result.Milliseconds.end());
  return Result;
}

} // namespace

/// Measures durable appends on a real disk: one sync for each write, with 1, 16
/// and 256 entries per write. Prints writes and entries per second and the
/// write latency in ms.
int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  if (std::filesystem::exists(FLAGS_folder)) {
    std::fprintf(stderr,
                 "folder %s exists already; --folder must name a new one\n",
                 FLAGS_folder.c_str());
    return 1;
  }
  for (std::size_t Entries : {1, 16, 256}) {
    auto Outcome = core::capture([&] { return measure(Entries); });
    std::filesystem::remove_all(FLAGS_folder);
    if (const auto *Failure = std::get_if<core::failure>(&Outcome)) {
      std::fprintf(stderr, "%s\n", Failure->Message.c_str());
      return 1;
    }
    const auto &Result = std::get<0>(Outcome);
    const auto &Times = Result.Milliseconds;
    std::printf("entries_per_write=%zu payload_bytes=%u writes_per_s=%.0f "
                "entries_per_s=%.0f p50_ms=%.2f p99_ms=%.2f max_ms=%.2f\n",
                Entries, FLAGS_payload_bytes, Result.Writes / Result.Seconds,
                Result.Writes * Entries / Result.Seconds,
                Times[Times.size() / 2], Times[Times.size() * 99 / 100],
                Times.back());
  }
  return 0;
}
