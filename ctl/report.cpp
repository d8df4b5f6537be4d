#include "ctl/report.h"

#include "ctl/printable.h"
#include "ctl/reply_document.h"
#include "ctl/table_writer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <ctime>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::ctl {

namespace {

using json = nlohmann::ordered_json;
using flat_object = std::vector<std::pair<std::string, std::string>>;

// Columns shown first, in this order; the others keep the order of the reply.
constexpr std::array<std::string_view, 18> LeadingColumns = {
    "index",     "id",      "number", "batch", "time_ms", "name",
    "host",      "object",  "actor",  "kind",  "action",  "pool",
    "from_pool", "to_pool", "zone",   "rack",  "state",   "role"};
// Members with wall-clock times in ms since 1970, shown as UTC. Other members
// in milliseconds are durations.
constexpr std::array<std::string_view, 8> WallTimeMembers = {
    "time_ms",      "started_ms",  "finished_ms",    "changed_ms",
    "submitted_ms", "accepted_ms", "lease_until_ms", "since"};

bool isWallTime(std::string_view Name) {
  return std::find(WallTimeMembers.begin(), WallTimeMembers.end(), Name) !=
         WallTimeMembers.end();
}

std::string formatWallTime(std::int64_t Milliseconds) {
  const std::time_t Seconds = Milliseconds / 1000;
  std::tm Utc{};
  gmtime_r(&Seconds, &Utc);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Utc);
  return Text.data();
}

std::string cellOf(const std::string &Name, const json &Value) {
  if (Value.is_null())
    return {};
  if (Value.is_string())
    return printable(Value.get<std::string>());
  if (Value.is_boolean())
    return Value.get<bool>() ? "yes" : "no";
  if (Value.is_number_integer() && isWallTime(Name)) {
    auto Milliseconds = Value.get<std::int64_t>();
    return Milliseconds == 0 ? "" : formatWallTime(Milliseconds);
  }
  // The library does not escape the delete character.
  if (!Value.is_array())
    return printable(Value.dump());
  std::string Joined;
  for (const auto &Element : Value)
    Joined += (Joined.empty() ? "" : ",") + cellOf(Name, Element);
  return Joined;
}

bool isTable(const json &Value) {
  return Value.is_array() && !Value.empty() &&
         std::all_of(Value.begin(), Value.end(),
                     [](const json &Element) { return Element.is_object(); });
}

void flatten(const json &Object, const std::string &Prefix, flat_object &Into) {
  for (const auto &[Name, Value] : Object.items()) {
    if (Value.is_object())
      flatten(Value, Prefix + printable(Name) + ".", Into);
    else
      Into.emplace_back(Prefix + printable(Name), cellOf(Name, Value));
  }
}

std::size_t rankOf(const std::string &Column) {
  return std::find(LeadingColumns.begin(), LeadingColumns.end(), Column) -
         LeadingColumns.begin();
}

std::string headerOf(std::string Column) {
  if (isWallTime(Column))
    Column = Column.substr(0, Column.rfind("_ms"));
  std::transform(Column.begin(), Column.end(), Column.begin(),
                 [](unsigned char C) { return C == '_' ? '-' : toupper(C); });
  return Column;
}

void writeTable(std::ostream &Out, const json &Array) {
  std::vector<flat_object> Rows;
  std::vector<std::string> Columns;
  for (const auto &Element : Array) {
    flatten(Element, "", Rows.emplace_back());
    for (const auto &[Name, Cell] : Rows.back())
      if (std::find(Columns.begin(), Columns.end(), Name) == Columns.end())
        Columns.push_back(Name);
  }
  std::stable_sort(Columns.begin(), Columns.end(),
                   [](const auto &Left, const auto &Right) {
                     return rankOf(Left) < rankOf(Right);
                   });
  std::vector<std::string> Header;
  for (const auto &Column : Columns)
    Header.push_back(headerOf(Column));
  table_writer Table(std::move(Header));
  for (const auto &Row : Rows) {
    std::vector<std::string> Cells;
    for (const auto &Column : Columns) {
      auto Found =
          std::find_if(Row.begin(), Row.end(), [&](const auto &Member) {
            return Member.first == Column;
          });
      Cells.push_back(Found == Row.end() ? "" : Found->second);
    }
    Table.addRow(std::move(Cells));
  }
  Table.write(Out);
}

void writeObject(std::ostream &Out, const json &Object,
                 const std::string &Prefix) {
  json Singles = json::object();
  for (const auto &[Name, Value] : Object.items())
    if (!isTable(Value))
      Singles[Name] = Value;
  flat_object Members;
  flatten(Singles, Prefix, Members);
  bool First = Members.empty();
  std::size_t Width = 0;
  for (const auto &Member : Members)
    Width = std::max(Width, Member.first.size());
  for (const auto &[Name, Cell] : Members)
    Out << Name << std::string(Width - Name.size() + 2, ' ')
        << (Cell.empty() ? "-" : Cell) << '\n';
  for (const auto &[Name, Value] : Object.items())
    if (isTable(Value)) {
      Out << (First ? "" : "\n") << Prefix << printable(Name) << '\n';
      writeTable(Out, Value);
      First = false;
    }
}

} // namespace

void writeReport(std::ostream &Out, std::string_view Body) {
  if (Body.empty())
    return;
  auto Value = parseReply<json>(Body);
  if (Value.is_discarded()) {
    Out << printable(Body) << '\n';
    return;
  }
  // A reply that holds a single list is shown without its name as a title.
  if (Value.is_object() && Value.size() == 1 && Value.begin()->is_array())
    Value = json(*Value.begin());
  if (Value.is_object())
    writeObject(Out, Value, "");
  else if (isTable(Value))
    writeTable(Out, Value);
  else if (Value.is_array() && Value.empty())
    Out << "none\n";
  else
    Out << cellOf("", Value) << '\n';
}

void writeJson(std::ostream &Out, std::string_view Body) {
  auto Value = parseReply<json>(Body);
  if (Value.is_discarded())
    Out << Body << '\n';
  else
    Out << Value.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
}

} // namespace lycheetrestle::ctl
