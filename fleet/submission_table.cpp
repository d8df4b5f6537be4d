#include "fleet/submission_table.h"

#include <utility>

namespace lycheetrestle::fleet {

const submission_entry *
submission_table::find(std::string_view Submission) const {
  auto Found = Entries.find(Submission);
  return Found == Entries.end() ? nullptr : &Found->second;
}

void submission_table::add(std::string_view Submission,
                           submission_entry Entry) {
  Entries.emplace(std::string(Submission), std::move(Entry));
  Order.emplace_back(Submission);
  if (Order.size() <= MaxEntries)
    return;
  Entries.erase(Order.front());
  Order.pop_front();
}

} // namespace lycheetrestle::fleet
