#ifndef LYCHEETRESTLE_CTL_HTTP_SESSION_H
#define LYCHEETRESTLE_CTL_HTTP_SESSION_H

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheetrestle::ctl {

/// One request to a replica.
struct http_request {
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// A complete reply of a replica.
struct http_reply {
  long Status = 0;
  std::string Body;
  std::string Leader;  ///< Value of X-Leader, or empty.
  std::string Verdict; ///< Value of X-Verdict, or empty.
};

/// Whether a request reached the server and was answered.
enum class delivery : unsigned char {
  Answered, ///< A complete reply arrived.
  NotSent,  ///< No connection was made, so the request did not run.
  Lost,     ///< The request may have arrived; no complete reply came back.
};

/// Result of sending one request.
struct exchange {
  delivery Delivery = delivery::NotSent;
  http_reply Reply;    ///< Set when Answered.
  std::string Problem; ///< Error text of libcurl, set otherwise.
};

/// Sends HTTP requests with libcurl, each over a new connection.
class http_session {
public:
  http_session();
  ~http_session();
  http_session(const http_session &) = delete;
  http_session &operator=(const http_session &) = delete;

  /// Sends one request and waits for its reply.
  /// \param Address `host:port` of the server.
  /// \param Request the request.
  /// \param Timeout limit for the exchange, connection setup included.
  exchange send(const std::string &Address, const http_request &Request,
                std::chrono::milliseconds Timeout);

  /// \returns the text with everything but unreserved characters
  /// percent-encoded.
  std::string escape(std::string_view Text) const;

private:
  struct handle;
  std::unique_ptr<handle> Handle;
};

} // namespace lycheetrestle::ctl

#endif
