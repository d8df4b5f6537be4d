#ifndef LYCHEETRESTLE_TRANSPORT_OUTBOX_TABLE_H
#define LYCHEETRESTLE_TRANSPORT_OUTBOX_TABLE_H

#include "transport/websocket_types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lycheetrestle::transport {

/// Result of outbox::push().
enum class push_result {
  Refused,       ///< The queue is full or the link is down.
  Accepted,      ///< A flush is already due.
  AcceptedFirst, ///< The caller must schedule a flush on the hub's thread.
};

/// Queue of one link that is up. Any thread pushes; the hub's thread flushes.
class outbox {
public:
  explicit outbox(websocket_pointer Connection);

  /// \param Limit maximum number of bytes that may wait, not counting the batch
  /// that is being written to the socket, which is at most this size as well.
  push_result push(std::string Bytes, std::size_t Limit);
  /// Moves the messages to the connection.
  /// \returns false when the connection still buffers bytes; flush() must then
  /// be called again to detect that they are sent.
  bool flush();
  /// Discards the queued messages and refuses all later ones.
  void close();

private:
  websocket_pointer Connection; ///< Used by the hub's thread only.
  std::mutex Mutex;
  std::vector<std::string> Messages;
  std::size_t MessageBytes = 0;
  std::size_t ConnectionBytes = 0; ///< Buffered there at the last flush().
  bool FlushDue = false;
  bool Closed = false;
};

/// The outboxes of the links that are up, by peer name. Safe from any thread.
class outbox_table {
public:
  /// \returns the outbox of a peer, or null when its link is down.
  std::shared_ptr<outbox> find(const std::string &Peer) const;
  void insert(const std::string &Peer, std::shared_ptr<outbox> Outbox);
  /// Closes and removes the outbox of a peer.
  void erase(const std::string &Peer);
  /// Closes and removes all outboxes.
  void clear();
  /// Calls a function with each outbox, without holding the lock.
  void forEach(const std::function<void(outbox &)> &Function) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::shared_ptr<outbox>> Outboxes;
};

} // namespace lycheetrestle::transport

#endif
