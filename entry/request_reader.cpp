#include "entry/request_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace lycheetrestle::entry {

namespace {

constexpr std::size_t MaxServiceName = 64;
constexpr std::size_t MaxTokenBytes = 128;
constexpr std::array<std::string_view, 7> Methods = {
    "GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"};

bool isVisible(char C) { return C > ' ' && C < 0x7f; }

bool isServiceName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxServiceName &&
         std::all_of(Name.begin(), Name.end(), [](char C) {
           return std::isalnum(static_cast<unsigned char>(C)) || C == '.' ||
                  C == '_' || C == '-';
         });
}

// Ids and keys are written to headers and log lines, so they must not contain
// spaces or control characters.
bool isToken(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxTokenBytes &&
         std::all_of(Text.begin(), Text.end(), isVisible);
}

// Keeps the first refusal of a request.
void refuse(read_outcome &Outcome, std::uint32_t Status,
            std::string_view Refusal, core::failure Failure) {
  if (!Outcome.Refusal.empty())
    return;
  Outcome.Status = Status;
  Outcome.Refusal = Refusal;
  Outcome.ErrorBody = errorJson(Failure);
}

void refuseHeader(read_outcome &Outcome, std::string_view Name,
                  std::string_view Value, std::string_view Rule) {
  refuse(Outcome, 400, "bad-request",
         {core::error_code::BadInput, std::string(Rule), std::string(Name),
          std::string(Value.substr(0, MaxTokenBytes)), core::verdict::NotRun});
}

// A repeated header is refused, because endpoints and proxies differ in which
// of the values they use.
std::optional<std::string_view> readHeader(const request_view &View,
                                           read_outcome &Outcome,
                                           std::string_view Name) {
  auto Values = View.FindHeader(Name);
  if (Values.Count == 0)
    return std::nullopt;
  if (Values.Count > 1)
    refuseHeader(Outcome, Name, Values.First, "must be given only once");
  return Values.First;
}

void readTarget(const request_view &View, read_outcome &Outcome) {
  auto Rest = View.Target.substr(ServicesPrefix.size());
  auto End = Rest.find_first_of("/?");
  auto Service = Rest.substr(0, End);
  if (!isServiceName(Service))
    refuse(Outcome, 404, "unknown-service",
           {core::error_code::NotFound,
            "the service must consist of letters, digits, '.', '_' and '-'",
            "service", std::string(Service.substr(0, MaxTokenBytes)),
            core::verdict::NotRun});
  Outcome.Request.Service = Service;
  if (End == std::string_view::npos)
    Outcome.Request.Path = "/";
  else if (Rest[End] == '?')
    Outcome.Request.Path = "/" + std::string(Rest.substr(End));
  else
    Outcome.Request.Path = Rest.substr(End);
}

void readDeadline(std::string_view Text, read_outcome &Outcome) {
  std::uint32_t DeadlineMs = 0;
  auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), DeadlineMs);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      DeadlineMs == 0)
    refuseHeader(Outcome, "X-Deadline-Ms", Text,
                 "must be a positive number of milliseconds");
  Outcome.Request.DeadlineMs = DeadlineMs;
}

} // namespace

read_outcome
readCallerRequest(const request_view &View, std::size_t MaxBodyBytes,
                  const std::function<std::string()> &MakeCorrelationId) {
  read_outcome Outcome;
  auto &Request = Outcome.Request;
  Request.Method = View.Method;
  auto Id = readHeader(View, Outcome, "X-Request-Id");
  if (Id && !isToken(*Id))
    refuseHeader(Outcome, "X-Request-Id", *Id,
                 "must have 1 to 128 visible ASCII characters");
  // A response must not echo an invalid id in a header.
  Request.CorrelationId =
      Id && isToken(*Id) ? std::string(*Id) : MakeCorrelationId();
  if (std::find(Methods.begin(), Methods.end(), View.Method) == Methods.end())
    refuseHeader(Outcome, "method", View.Method, "is not supported");
  readTarget(View, Outcome);
  if (auto Key = readHeader(View, Outcome, "Idempotency-Key")) {
    if (!isToken(*Key))
      refuseHeader(Outcome, "Idempotency-Key", *Key,
                   "must have 1 to 128 visible ASCII characters");
    Request.Key = *Key;
  }
  if (auto Class = readHeader(View, Outcome, "X-Request-Class")) {
    Request.Class = fleet::parseWorkClass(*Class);
    if (!Request.Class)
      refuseHeader(Outcome, "X-Request-Class", *Class,
                   "must be urgent, normal or batch");
  }
  if (auto Deadline = readHeader(View, Outcome, "X-Deadline-Ms"))
    readDeadline(*Deadline, Outcome);
  if (auto Type = readHeader(View, Outcome, "Content-Type"))
    Request.ContentType = *Type;
  if (View.IsBodyTooLarge || View.Body.size() > MaxBodyBytes)
    refuse(Outcome, 413, "too-large", bodyTooLarge(View, MaxBodyBytes));
  if (Outcome.Refusal.empty())
    Request.Body = View.Body;
  return Outcome;
}

core::failure bodyTooLarge(const request_view &View, std::size_t MaxBodyBytes) {
  // The size of a body without an announced length is not known.
  auto Size = View.IsBodyTooLarge
                  ? std::string(View.FindHeader("Content-Length").First)
                  : std::to_string(View.Body.size());
  return {core::error_code::TooLarge,
          "must have at most " + std::to_string(MaxBodyBytes) + " bytes",
          "body", std::move(Size), core::verdict::NotRun};
}

std::string errorJson(const core::failure &Failure) {
  nlohmann::json Body = {{"error", core::toString(Failure.Code)},
                         {"field", Failure.Field},
                         {"value", Failure.Value},
                         {"rule", Failure.Message},
                         {"verdict", core::toString(Failure.Verdict)}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lycheetrestle::entry
