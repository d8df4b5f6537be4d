#ifndef LYCHEETRESTLE_STANDIN_PLATFORM_SERVER_H
#define LYCHEETRESTLE_STANDIN_PLATFORM_SERVER_H

#include "standin/platform_model.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheetrestle::standin {

/// Serves a platform_model over HTTP on one thread: `GET /hosts`,
/// `POST /orders`, `GET /orders`, `POST /fault`, `POST /hosts`, `GET /healthz`.
class platform_server {
public:
  /// Binds and starts to serve.
  /// \param Model the platform to serve.
  /// \param Address an IP address.
  /// \param Port the TCP port, or 0 for any free one.
  /// \throws std::exception when the address cannot be bound.
  platform_server(platform_model Model, std::string Address,
                  std::uint16_t Port);
  ~platform_server();
  platform_server(const platform_server &) = delete;
  platform_server &operator=(const platform_server &) = delete;

  /// \returns the TCP port that the server listens on.
  std::uint16_t port() const;
  /// Ends the server and waits for its thread.
  void stop();

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::standin

#endif
