#ifndef LYCHEETRESTLE_TRANSPORT_LINK_HUB_H
#define LYCHEETRESTLE_TRANSPORT_LINK_HUB_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// This header is included from C++17 and C++20 sources, so it uses neither
// std::span nor concepts.
namespace lycheetrestle::transport {

/// Name and address of another process of the system.
struct link_peer {
  std::string Name;    ///< Process name, for example `control-1`.
  std::string Address; ///< IP address.
  std::uint16_t Port = 0;
};

/// Identity, addresses and limits of a hub.
struct link_settings {
  std::string SelfName;
  std::string ListenAddress;
  std::uint16_t ListenPort = 0;
  std::vector<link_peer> Peers; ///< Peers that this process dials.
  /// Per peer. The largest message fits beside others that are queued.
  std::size_t MaxQueuedBytes = 8u << 20;
  std::size_t MaxMessageBytes = 4u << 20; ///< Larger ones close the link.
  /// Accepted connections without a hello; a further one closes one of them.
  std::size_t MaxPendingHellos = 256;
};

/// \param Descriptors limit of file descriptors of the process.
/// \returns the limit of accepted connections without a hello.
inline std::size_t pendingHellosFor(std::size_t Descriptors) {
  constexpr std::size_t Parts = 8;
  return std::min(link_settings().MaxPendingHellos, Descriptors / Parts);
}

/// Messages that a hub queued for its links and received from them since its
/// start. Byte counts exclude the framing.
struct link_traffic {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
};

/// Callbacks, called on the hub's own thread; they must not block. OnError has
/// an empty Peer while the peer of a connection is not known.
struct link_handlers {
  std::function<void(const std::string &Peer, std::string Bytes)> OnMessage;
  std::function<void(const std::string &Peer, bool IsUp)> OnPeerChange;
  std::function<void(const std::string &Peer, const std::string &Reason)>
      OnError;
};

/// Message links to the other processes over WebSocket. It listens, dials every
/// configured peer, redials with backoff after a loss, and identifies both
/// sides by their first messages. Messages on one link keep their order; after
/// a link is lost, messages may be lost but are never duplicated.
class link_hub {
public:
  link_hub(link_settings Settings, link_handlers Handlers);
  /// Stops the hub when it still runs.
  ~link_hub();
  link_hub(const link_hub &) = delete;
  link_hub &operator=(const link_hub &) = delete;

  /// Binds the listening socket and starts the hub's thread.
  /// \returns an empty string, or the reason why the address cannot be bound.
  std::string start();
  /// Closes all links and joins the thread.
  void stop();
  /// Queues a message. Safe from any thread.
  /// \param Peer the process name of the receiver.
  /// \param Bytes the message.
  /// \returns false when the link is down, its queue is full or the message
  /// exceeds MaxMessageBytes; the message is then never sent.
  bool send(const std::string &Peer, std::string Bytes);
  /// \returns what was sent and received so far. Safe from any thread.
  link_traffic traffic() const;
  /// Adds a peer to dial, or changes its address. Safe from any thread.
  void addPeer(link_peer Peer);
  /// Closes the link to a peer and stops dialling it. Safe from any thread.
  void removePeer(const std::string &Name);

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace lycheetrestle::transport

#endif
