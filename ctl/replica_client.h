#ifndef LYCHEETRESTLE_CTL_REPLICA_CLIENT_H
#define LYCHEETRESTLE_CTL_REPLICA_CLIENT_H

#include "ctl/exit_code.h"
#include "ctl/http_session.h"
#include "ctl/options.h"

#include <chrono>
#include <iosfwd>
#include <string>
#include <string_view>

namespace lycheetrestle::ctl {

/// How a call ended.
struct call_outcome {
  exit_code Code = exit_code::Unavailable;
  std::string Body;    ///< Body of the final reply, or empty.
  std::string Problem; ///< One sentence unless Code is Done.
};

/// Calls the control replicas: follows redirects to the leader, tries the
/// replicas in turn and resends a change under the same submission id after a
/// lost reply.
class replica_client {
public:
  /// \param Options replicas, actor, submission id and timeout.
  /// \param Log receives one line for each resend of a change after a lost
  /// reply. Both must outlive the client.
  replica_client(const options &Options, std::ostream &Log);

  /// Sends a GET request.
  /// \param Path path and query.
  call_outcome read(const std::string &Path);
  /// \param Limit replaces the timeout of the options when it is shorter.
  call_outcome read(const std::string &Path, std::chrono::milliseconds Limit);
  /// Sends a document that the replica checks without applying it.
  call_outcome postDryRun(const std::string &Path, std::string Body);
  /// Sends a change. The replicas apply it at most once per submission id.
  call_outcome change(std::string Method, const std::string &Path,
                      std::string Body = {});

  /// \returns the text percent-encoded for a query.
  std::string escape(std::string_view Text) const {
    return Session.escape(Text);
  }

private:
  call_outcome call(const http_request &Request, bool Changes,
                    std::chrono::milliseconds Timeout);
  void selectNextReplica();

  const options &Options;
  std::ostream &Log;
  http_session Session;
  std::string Target;          ///< Replica of the next attempt.
  std::size_t NextReplica = 0; ///< Index into Options.Replicas.
};

/// \param Header the value of X-Leader.
/// \returns the `host:port` in it, or empty when the leader is not known.
std::string leaderAddress(std::string_view Header);

} // namespace lycheetrestle::ctl

#endif
