#ifndef LYCHEETRESTLE_STANDIN_LOAD_REPORT_H
#define LYCHEETRESTLE_STANDIN_LOAD_REPORT_H

#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lycheetrestle::standin {

/// Result of one attempt of the load client.
struct attempt_result {
  bool IsSent = false; ///< Some bytes of the request may have been sent.
  bool IsTimeout = false;
  bool IsComplete = false; ///< The HTTP response is complete.
  unsigned Status = 0;
  std::string Verdict;  ///< `X-Verdict`, empty when absent.
  std::string Refusal;  ///< `X-Refusal`, empty when absent.
  std::string EchoedId; ///< `X-Request-Id` of the response.
  std::string Body;
};

/// Outcome of an attempt, as seen by the caller.
enum class attempt_kind {
  Ran,        ///< Complete response to this request, status 2xx.
  NotRun,     ///< Refused as not run, or certainly not sent.
  MayHaveRun, ///< The entry cannot tell whether the request ran.
  Lost,       ///< The connection was lost before a complete response.
  Timeout,
  Wrong, ///< Complete, but with a wrong id, verdict, status or body.
};

std::string_view toString(attempt_kind Kind);

/// Classifies an attempt.
/// \param Result the attempt.
/// \param Id correlation id that was sent.
/// \param IsDirect whether the request went to an endpoint instead of an entry;
/// an endpoint sends a verdict only with a refusal.
attempt_kind classify(const attempt_result &Result, std::string_view Id,
                      bool IsDirect);

/// A request after its last attempt.
struct finished_request {
  std::string Id, Key, Method;
  std::vector<attempt_kind> Attempts; ///< Never empty.
  std::vector<std::string> Refusals;
  double LatencyMs = 0;
};

/// Collects the results of a load run and formats them.
class load_report {
public:
  /// \param Path file that gets a line for each request, or empty.
  /// \returns false when the file cannot be opened.
  bool open(const std::string &Path);
  ~load_report();

  void add(const finished_request &Request);
  /// \param Seconds duration of the run.
  /// \returns JSON with counts, rates and latencies.
  std::string json(double Seconds) const;
  /// \returns the number of attempts classified as Wrong.
  std::uint64_t wrong() const;

private:
  double quantile(double Share) const;

  std::FILE *File = nullptr;
  std::uint64_t Requests = 0, Attempts = 0, Resends = 0;
  std::map<std::string, std::uint64_t, std::less<>> FinalKinds;
  std::map<std::string, std::uint64_t, std::less<>> AttemptKinds;
  std::map<std::string, std::uint64_t, std::less<>> Refusals;
  std::vector<double> LatenciesMs; ///< Of the requests that ran.
};

} // namespace lycheetrestle::standin

#endif
