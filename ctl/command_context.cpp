#include "ctl/command_context.h"

#include "ctl/printable.h"
#include "ctl/reply_document.h"
#include "ctl/report.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace lycheetrestle::ctl {

exit_code command_context::finish(const call_outcome &Outcome) const {
  if (Outcome.Code != exit_code::Done) {
    Err << "error: " << printable(Outcome.Problem) << '\n';
    if (Options.Json && !Outcome.Body.empty())
      writeJson(Out, Outcome.Body);
    return Outcome.Code;
  }
  if (Options.Json)
    writeJson(Out, Outcome.Body);
  else
    writeReport(Out, Outcome.Body);
  return exit_code::Done;
}

call_outcome command_context::change(std::string Method,
                                     const std::string &Path,
                                     std::string Body) const {
  Err << "submission " << Options.Submission << std::endl;
  return Client->change(std::move(Method), Path, std::move(Body));
}

void checkChangedObject(call_outcome &Outcome, const char *Member,
                        const std::string &Expected) {
  if (Outcome.Code != exit_code::Done)
    return;
  auto Reply = parseReply(Outcome.Body);
  if (!Reply.is_object() || !Reply.contains(Member))
    return;
  const auto &Value = Reply[Member];
  auto Found = Value.is_string() ? Value.get<std::string>() : Value.dump();
  if (Found == Expected)
    return;
  Outcome.Code = exit_code::Refused;
  Outcome.Problem = "the submission id was used before, for " +
                    std::string(Member) + " " + Found +
                    "; this change was not submitted";
}

exit_code command_context::rejectInput(const core::failure &Failure) const {
  Err << "error: " << core::toString(Failure.Code) << ": "
      << printable(Failure.Message);
  if (!Failure.Field.empty())
    Err << " (" << printable(Failure.Field)
        << (Failure.Value.empty() ? "" : " is " + printable(Failure.Value))
        << ")";
  Err << '\n';
  return exit_code::BadInput;
}

} // namespace lycheetrestle::ctl
