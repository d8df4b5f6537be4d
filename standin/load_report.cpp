#include "standin/load_report.h"

#include "standin/payload.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheetrestle::standin {

std::string_view toString(attempt_kind Kind) {
  switch (Kind) {
  case attempt_kind::Ran:
    return "ran";
  case attempt_kind::NotRun:
    return "not-run";
  case attempt_kind::MayHaveRun:
    return "may-have-run";
  case attempt_kind::Lost:
    return "lost";
  case attempt_kind::Timeout:
    return "timeout";
  case attempt_kind::Wrong:
    return "wrong";
  }
  return "wrong";
}

attempt_kind classify(const attempt_result &Result, std::string_view Id,
                      bool IsDirect) {
  if (!Result.IsSent)
    return attempt_kind::NotRun;
  if (Result.IsTimeout)
    return attempt_kind::Timeout;
  if (!Result.IsComplete)
    return attempt_kind::Lost;
  if (Result.EchoedId != Id)
    return attempt_kind::Wrong;
  if (Result.Verdict == "not-run")
    return attempt_kind::NotRun;
  if (Result.Verdict == "may-have-run")
    return attempt_kind::MayHaveRun;
  bool HasRun = IsDirect ? Result.Verdict.empty() : Result.Verdict == "ran";
  if (!HasRun || Result.Status < 200 || Result.Status > 299)
    return attempt_kind::Wrong;
  return checkPayload(Result.Body, Id) == payload_check::Good
             ? attempt_kind::Ran
             : attempt_kind::Wrong;
}

bool load_report::open(const std::string &Path) {
  if (Path.empty())
    return true;
  File = std::fopen(Path.c_str(), "w");
  return File != nullptr;
}

load_report::~load_report() {
  if (File)
    std::fclose(File);
}

void load_report::add(const finished_request &Request) {
  ++Requests;
  Attempts += Request.Attempts.size();
  Resends += Request.Attempts.size() - 1;
  std::string Kinds;
  for (auto Kind : Request.Attempts) {
    ++AttemptKinds[std::string(toString(Kind))];
    Kinds += (Kinds.empty() ? "" : ",") + std::string(toString(Kind));
  }
  auto Final = Request.Attempts.back();
  ++FinalKinds[std::string(toString(Final))];
  for (const auto &Refusal : Request.Refusals)
    ++Refusals[Refusal];
  if (Final == attempt_kind::Ran)
    LatenciesMs.push_back(Request.LatencyMs);
  if (!File)
    return;
  std::string Line = "id=" + Request.Id + " key=" + Request.Key +
                     " method=" + Request.Method + " verdicts=" + Kinds +
                     " latency_ms=" + std::to_string(Request.LatencyMs) + "\n";
  std::fwrite(Line.data(), 1, Line.size(), File);
}

double load_report::quantile(double Share) const {
  if (LatenciesMs.empty())
    return 0;
  auto Sorted = LatenciesMs;
  auto Rank = static_cast<std::size_t>(Share * (Sorted.size() - 1));
  std::nth_element(Sorted.begin(), Sorted.begin() + Rank, Sorted.end());
  return Sorted[Rank];
}

std::uint64_t load_report::wrong() const {
  auto Found = AttemptKinds.find("wrong");
  return Found == AttemptKinds.end() ? 0 : Found->second;
}

std::string load_report::json(double Seconds) const {
  auto Count = [this](attempt_kind Kind) {
    auto Found = FinalKinds.find(toString(Kind));
    return Found == FinalKinds.end() ? 0 : Found->second;
  };
  nlohmann::json Json = {
      {"requests", Requests},
      {"attempts", Attempts},
      {"resends", Resends},
      {"seconds", Seconds},
      {"ran", Count(attempt_kind::Ran)},
      {"not_run", Count(attempt_kind::NotRun)},
      {"may_have_run", Count(attempt_kind::MayHaveRun)},
      {"timeout", Count(attempt_kind::Timeout)},
      {"lost", Count(attempt_kind::Lost)},
      {"wrong", wrong()},
      {"attempts_by_kind", AttemptKinds},
      {"refusals", Refusals},
      {"ran_per_second",
       Seconds > 0 ? static_cast<double>(LatenciesMs.size()) / Seconds : 0},
      {"latency_ms",
       {{"median", quantile(0.5)},
        {"p99", quantile(0.99)},
        {"max", quantile(1)}}}};
  return Json.dump(2);
}

} // namespace lycheetrestle::standin
