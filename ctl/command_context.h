#ifndef LYCHEETRESTLE_CTL_COMMAND_CONTEXT_H
#define LYCHEETRESTLE_CTL_COMMAND_CONTEXT_H

#include "core/failure.h"
#include "ctl/options.h"
#include "ctl/replica_client.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace lycheetrestle::ctl {

/// What a command works with.
struct command_context {
  const options &Options;
  std::vector<std::string> Arguments; ///< Without the command's name.
  std::ostream &Out;
  std::ostream &Err;
  replica_client *Client = nullptr; ///< Null for local commands.

  /// Prints the reply, or the problem, of a call.
  /// \returns its exit code.
  exit_code finish(const call_outcome &Outcome) const;

  /// Prints the submission id and makes a change.
  call_outcome change(std::string Method, const std::string &Path,
                      std::string Body = {}) const;

  /// Prints a failure found before anything was sent.
  exit_code rejectInput(const core::failure &Failure) const;
};

/// Turns the answer to a reused submission id into a refusal. A replica
/// answers a known id with the earlier answer, which must not confirm another
/// change.
/// \param Outcome the outcome of a change.
/// \param Member member of the answer that names what was changed; an answer
/// without it is left as it is.
/// \param Expected its value as text.
void checkChangedObject(call_outcome &Outcome, const char *Member,
                        const std::string &Expected);

} // namespace lycheetrestle::ctl

#endif
