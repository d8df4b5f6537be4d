#ifndef LYCHEETRESTLE_STANDIN_EXECUTION_LOG_H
#define LYCHEETRESTLE_STANDIN_EXECUTION_LOG_H

#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <string_view>

namespace lycheetrestle::standin {

/// Counts the requests that an endpoint executed, by idempotency key and
/// correlation id.
class execution_log {
public:
  /// \param Path file to append to, or empty.
  /// \param Endpoint name of the endpoint, written on each line.
  /// \returns false when the file cannot be opened.
  bool open(const std::string &Path, std::string_view Endpoint);
  ~execution_log();

  /// Records one execution and flushes its line to the file.
  void record(std::string_view Method, std::string_view Key,
              std::string_view Id);
  std::uint64_t total() const { return Total; }
  /// \returns JSON: total and the counts by key and by id.
  std::string json() const;

private:
  std::FILE *File = nullptr;
  std::string Endpoint;
  std::uint64_t Total = 0;
  std::map<std::string, std::uint64_t, std::less<>> ByKey;
  std::map<std::string, std::uint64_t, std::less<>> ById;
};

} // namespace lycheetrestle::standin

#endif
