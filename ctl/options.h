#ifndef LYCHEETRESTLE_CTL_OPTIONS_H
#define LYCHEETRESTLE_CTL_OPTIONS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheetrestle::ctl {

/// Values of the command-line flags.
struct options {
  std::vector<std::string> Replicas; ///< `host:port` of control replicas.
  bool Json = false;                 ///< Print JSON instead of tables.
  std::string Actor;                 ///< Name for the audit trail.
  std::string Submission; ///< Id of the change; equal ids are one change.
  std::chrono::milliseconds Timeout{15000};     ///< For one call, with resends.
  std::chrono::milliseconds WaitTimeout{60000}; ///< For a whole wait.
  bool Wait = false;            ///< Submit: wait until in force everywhere.
  std::string By, Object, Kind; ///< Audit filters, empty for all.
  std::string Queue;            ///< Explanation: host and path of the queue.
  std::string KeyFile; ///< Explanation: file with the caller's key, or empty.
  std::uint64_t After = 0;   ///< Audit: only changes after this index.
  std::uint32_t Limit = 100; ///< Audit: maximum number of changes.
};

} // namespace lycheetrestle::ctl

#endif
