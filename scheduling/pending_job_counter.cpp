#include "scheduling/pending_job_counter.h"

#include "core/invariant.h"

namespace lycheetrestle::scheduling {

void pending_job_counter::add(const std::string &QueueHost,
                              const std::string &QueuePrefix) {
  ++ByHost[QueueHost][QueuePrefix];
}

void pending_job_counter::remove(const std::string &QueueHost,
                                 const std::string &QueuePrefix) {
  auto Host = ByHost.find(QueueHost);
  core::checkInvariant(Host != ByHost.end(),
                       "a removed pending job was counted for its host name");
  auto Queue = Host->second.find(QueuePrefix);
  core::checkInvariant(Queue != Host->second.end(),
                       "a removed pending job was counted for its queue");
  if (--Queue->second != 0)
    return;
  Host->second.erase(Queue);
  if (Host->second.empty())
    ByHost.erase(Host);
}

std::uint32_t pending_job_counter::count(std::string_view QueueHost,
                                         std::string_view QueuePrefix) const {
  auto Host = ByHost.find(QueueHost);
  if (Host == ByHost.end())
    return 0;
  auto Queue = Host->second.find(QueuePrefix);
  return Queue == Host->second.end() ? 0 : Queue->second;
}

} // namespace lycheetrestle::scheduling
