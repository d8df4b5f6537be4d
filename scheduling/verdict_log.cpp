#include "scheduling/verdict_log.h"

#include <utility>

namespace lycheetrestle::scheduling {

void verdict_log::record(const task_key &Task, run_verdict Verdict) {
  if (Verdicts.insert_or_assign(Task, std::move(Verdict)).second)
    Order.push_back(Task);
  if (Order.size() <= MaxVerdicts)
    return;
  Verdicts.erase(Order.front());
  Order.pop_front();
}

const run_verdict *verdict_log::find(const task_key &Task,
                                     std::uint32_t Attempt) const {
  auto Found = Verdicts.find(Task);
  return Found != Verdicts.end() && Found->second.Attempt == Attempt
             ? &Found->second
             : nullptr;
}

} // namespace lycheetrestle::scheduling
