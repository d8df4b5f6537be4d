#ifndef LYCHEETRESTLE_CTL_COMMAND_CONTEXT_H
#define LYCHEETRESTLE_CTL_COMMAND_CONTEXT_H

#include "core/failure.h"
#include "ctl/options.h"
#include "ctl/replica_client.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace lycheetrestle::ctl {

/// Options, arguments, output streams and client of one command.
struct command_context {
  const options &Options;
  std::vector<std::string> Arguments; ///< Without the command's name.
  std::ostream &Out;
  std::ostream &Err;
  replica_client *Client = nullptr; ///< Null for local commands.

  /// Prints the reply of a call to Out, or its error to Err.
  /// \returns the exit code of the call.
  exit_code finish(const call_outcome &Outcome) const;

  /// Prints the submission id to Err and sends a change.
  /// \param Method HTTP method.
  /// \param Path path and query.
  /// \param Body JSON document, or empty.
  call_outcome change(std::string Method, const std::string &Path,
                      std::string Body = {}) const;

  /// Prints a failure of local validation, before any request was sent.
  /// \returns BadInput.
  exit_code rejectInput(const core::failure &Failure) const;
};

/// Reports a reused submission id as a refusal. A replica replies to a known id
/// with the stored reply of the earlier change, which must not be taken as the
/// confirmation of this one.
/// \param Outcome the outcome of a change.
/// \param Member member of the reply that names the changed object; a reply
/// without it is left unchanged.
/// \param Expected the value of this member, as text.
void checkChangedObject(call_outcome &Outcome, const char *Member,
                        const std::string &Expected);

} // namespace lycheetrestle::ctl

#endif
