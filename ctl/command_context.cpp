#include "ctl/command_context.h"

#include "ctl/printable.h"
#include "ctl/report.h"

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
