#include "standin/execution_log.h"

#include <nlohmann/json.hpp>

namespace lycheetrestle::standin {

namespace {

void count(std::map<std::string, std::uint64_t, std::less<>> &Counts,
           std::string_view Name) {
  if (!Name.empty())
    ++Counts[std::string(Name)];
}

} // namespace

bool execution_log::open(const std::string &Path, std::string_view Name) {
  Endpoint = Name;
  if (Path.empty())
    return true;
  File = std::fopen(Path.c_str(), "a");
  return File != nullptr;
}

execution_log::~execution_log() {
  if (File)
    std::fclose(File);
}

void execution_log::record(std::string_view Method, std::string_view Key,
                           std::string_view Id) {
  ++Total;
  count(ByKey, Key);
  count(ById, Id);
  if (!File)
    return;
  std::string Line = "endpoint=" + Endpoint + " method=" + std::string(Method) +
                     " key=" + std::string(Key) + " id=" + std::string(Id) +
                     "\n";
  std::fwrite(Line.data(), 1, Line.size(), File);
  std::fflush(File);
}

std::string execution_log::json() const {
  return nlohmann::json{{"total", Total}, {"keys", ByKey}, {"ids", ById}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lycheetrestle::standin
