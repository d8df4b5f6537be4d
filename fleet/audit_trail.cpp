#include "fleet/audit_trail.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace lycheetrestle::fleet {

namespace {

// Limits the trail to about 20 MB if every text has the maximum length;
// ordinary texts are far shorter.
constexpr std::size_t MaxTextBytes = 200;

void truncate(std::string &Text) {
  if (Text.size() > MaxTextBytes)
    Text.resize(MaxTextBytes);
}

bool matches(std::string_view Expected, std::string_view Value) {
  return Expected.empty() || Expected == Value;
}

} // namespace

void audit_trail::add(audit_record Record) {
  for (auto *Text : {&Record.Actor, &Record.Kind, &Record.Object,
                     &Record.Before, &Record.After, &Record.Result})
    truncate(*Text);
  Records.push_back(std::move(Record));
  if (Records.size() > MaxRecords)
    Records.pop_front();
}

std::vector<audit_record> audit_trail::find(const audit_filter &Filter) const {
  std::vector<audit_record> Found;
  auto First = std::upper_bound(
      Records.begin(), Records.end(), Filter.AfterIndex,
      [](std::uint64_t Index, const auto &R) { return Index < R.Index; });
  for (auto At = First; At != Records.end() && Found.size() < Filter.Limit;
       ++At)
    if (matches(Filter.Actor, At->Actor) && matches(Filter.Kind, At->Kind) &&
        matches(Filter.Object, At->Object))
      Found.push_back(*At);
  return Found;
}

} // namespace lycheetrestle::fleet
