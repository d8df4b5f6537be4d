#ifndef LYCHEETRESTLE_SCHEDULING_PENDING_JOB_COUNTER_H
#define LYCHEETRESTLE_SCHEDULING_PENDING_JOB_COUNTER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::scheduling {

/// Counts the jobs of each queue of which no task has started.
///
/// Callers ask for the length of their queue before they submit a job, so most
/// of them ask while many jobs wait: an answer must not cost a pass over those.
class pending_job_counter {
public:
  /// \param QueueHost host name of the queue.
  /// \param QueuePrefix path prefix of the queue.
  void add(const std::string &QueueHost, const std::string &QueuePrefix);
  /// Undoes one add() of the queue.
  void remove(const std::string &QueueHost, const std::string &QueuePrefix);
  std::uint32_t count(std::string_view QueueHost,
                      std::string_view QueuePrefix) const;

private:
  using prefix_counts = std::map<std::string, std::uint32_t, std::less<>>;
  /// Queues without a job have no element.
  std::map<std::string, prefix_counts, std::less<>> ByHost;
};

} // namespace lycheetrestle::scheduling

#endif
