#include "ctl/refusal.h"

#include "core/verdict.h"
#include "ctl/printable.h"
#include "ctl/reply_document.h"

#include <nlohmann/json.hpp>

namespace lycheetrestle::ctl {

namespace {

constexpr std::size_t MaxShownBodyBytes = 200;

std::string textOf(const nlohmann::json &Body, const char *Name) {
  auto Found = Body.find(Name);
  if (Found == Body.end() || Found->is_null())
    return {};
  return printable(Found->is_string() ? Found->get<std::string>()
                                      : Found->dump());
}

std::string messageOf(const nlohmann::json &Body) {
  std::string Message = textOf(Body, "error");
  std::string Rule = textOf(Body, "rule");
  if (!Rule.empty())
    Message += ": " + Rule;
  std::string Field = textOf(Body, "field"), Value = textOf(Body, "value");
  if (!Field.empty())
    Message += " (" + Field + (Value.empty() ? "" : " is " + Value) + ")";
  else if (!Value.empty())
    Message += " (" + Value + ")";
  return Message;
}

} // namespace

refusal readRefusal(const http_reply &Reply) {
  refusal Refusal;
  auto Body = parseReply(Reply.Body);
  std::string Verdict = Reply.Verdict;
  std::string Error;
  if (Body.is_object()) {
    Refusal.Message = messageOf(Body);
    Error = textOf(Body, "error");
    if (Verdict.empty())
      Verdict = textOf(Body, "verdict");
  }
  if (Refusal.Message.empty())
    Refusal.Message = "status " + std::to_string(Reply.Status) +
                      (Reply.Body.empty() ? "" : ": ") +
                      printable(Reply.Body.substr(0, MaxShownBodyBytes));
  auto Parsed = core::parseVerdict(Verdict);
  Refusal.CertainlyNotRun = Parsed == core::verdict::NotRun;
  Refusal.Final = Reply.Status >= 400 && Reply.Status < 500 &&
                  Parsed != core::verdict::MayHaveRun;
  if (Error == "bad-input" || Error == "too-large" || Reply.Status == 400 ||
      Reply.Status == 413)
    Refusal.Code = exit_code::BadInput;
  return Refusal;
}

} // namespace lycheetrestle::ctl
