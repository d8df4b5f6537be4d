#ifndef LYCHEETRESTLE_SCHEDULING_RUN_LOG_H
#define LYCHEETRESTLE_SCHEDULING_RUN_LOG_H

#include "scheduling/commands.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::scheduling {

/// Collects the starts and ends of runs that one log entry contains, and logs
/// those of the same step in one line: `run_assigned` and `run_ended`, with the
/// runs as index:attempt@endpoint. An end other than done has its own line.
///
/// A leader assigns and ends thousands of runs a second, and a line for each
/// took more of its time than applying the command.
class run_log {
public:
  /// \param Result what applying the command gave.
  void recordStart(const start_run &Start, std::string_view Result);
  /// \param Endpoint number of the endpoint of the run, or 0.
  /// \param JobState the state of the job after the end.
  void recordEnd(const end_run &End, std::uint32_t Endpoint,
                 std::string_view JobState, std::string_view Result);
  /// Writes the lines.
  void flush();

private:
  struct entry {
    task_key Task;
    std::uint32_t Attempt = 0;
    std::uint32_t Endpoint = 0;
    // These refer to constants.
    std::string_view JobState;
    std::string_view Result;
  };

  static void write(std::string_view Event, std::vector<entry> Entries);

  std::vector<entry> Starts;
  std::vector<entry> Done;
};

} // namespace lycheetrestle::scheduling

#endif
