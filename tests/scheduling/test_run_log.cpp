#include "core/event_log.h"
#include "scheduling/run_log.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

using namespace lycheetrestle;
using namespace lycheetrestle::scheduling;

namespace {

/// Sends the log to a file while it exists.
class captured_log {
public:
  captured_log() {
    int File = mkstemp(Path.data());
    REQUIRE(File >= 0);
    close(File);
    core::initializeLog(Path, core::log_level::Info, "test");
  }
  ~captured_log() {
    core::initializeLog("/dev/null", core::log_level::Error, "test");
    std::remove(Path.c_str());
  }
  /// \returns the lines from the event on.
  std::vector<std::string> lines() const {
    std::ifstream File(Path);
    std::vector<std::string> Lines;
    for (std::string Line; std::getline(File, Line);)
      Lines.push_back(Line.substr(Line.find("event=")));
    return Lines;
  }

private:
  std::string Path = "/tmp/run_log_XXXXXX";
};

} // namespace

// Guards against a run that cannot be found in the log, and against a line for
// each of thousands of runs a second.
TEST_CASE("runs of one step share a line that names each of them") {
  captured_log Log;
  run_log Runs;
  Runs.recordStart({{"job", 0, 1, 0}, 1, 17}, "accepted");
  Runs.recordStart({{"other", 0, 0, 3}, 2, 18}, "accepted");
  Runs.recordStart({{"job", 0, 1, 1}, 1, 18}, "accepted");
  Runs.recordStart({{"job", 0, 1, 2}, 4, 18}, "stale");
  Runs.recordEnd({{"job", 0, 0, 5}, 1, run_end::Done, ""}, 3, "running",
                 "accepted");
  Runs.recordEnd({{"job", 0, 0, 6}, 2, run_end::Done, ""}, 4, "complete",
                 "accepted");
  Runs.recordEnd({{"job", 0, 0, 7}, 1, run_end::Failed, ""}, 5, "running",
                 "accepted");
  Runs.flush();
  Runs.flush();
  CHECK(Log.lines() ==
        std::vector<std::string>{
            "event=run_ended job=job occurrence=0 step=0 index=7 attempt=1 "
            "endpoint=5 how=failed job_state=running result=accepted",
            "event=run_assigned job=job occurrence=0 step=1 "
            "runs=0:1@17,1:1@18 result=accepted",
            "event=run_assigned job=job occurrence=0 step=1 runs=2:4@18 "
            "result=stale",
            "event=run_assigned job=other occurrence=0 step=0 runs=3:2@18 "
            "result=accepted",
            "event=run_ended job=job occurrence=0 step=0 runs=5:1@3,6:2@4 "
            "how=done job_state=complete result=accepted"});
}

TEST_CASE("a line names a bounded number of runs") {
  captured_log Log;
  run_log Runs;
  for (std::uint32_t Index = 0; Index != 200; ++Index)
    Runs.recordStart({{"job", 0, 0, Index}, 1, 1}, "accepted");
  Runs.flush();
  auto Lines = Log.lines();
  CHECK(Lines.size() == 4);
  for (const auto &Line : Lines)
    CHECK(Line.size() < 1024);
}
