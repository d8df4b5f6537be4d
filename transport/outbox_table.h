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

enum class push_result {
  Refused,       ///< The queue is full or the link is down.
  Accepted,      ///< A flush is already due.
  AcceptedFirst, ///< The caller must cause a flush on the hub's thread.
};

/// Queue of one link that is up. Any thread pushes; the hub's thread flushes.
class outbox {
public:
  explicit outbox(websocket_pointer Connection);

  /// \param Limit the most bytes that may wait, without the batch that is
  /// already with the kernel; that batch has at most this size as well.
  push_result push(std::string Bytes, std::size_t Limit);
  /// Moves the messages to the connection.
  /// \returns false when bytes still wait there, so that flush() must be
  /// called again to notice when they are gone.
  bool flush();
  /// Refuses all later messages.
  void close();

private:
  websocket_pointer Connection; ///< Used by the hub's thread only.
  std::mutex Mutex;
  std::vector<std::string> Messages;
  std::size_t MessageBytes = 0;
  std::size_t ConnectionBytes = 0; ///< As last seen by flush().
  bool FlushDue = false;
  bool Closed = false;
};

/// The outboxes of the links that are up, by peer name. Safe from any thread.
class outbox_table {
public:
  std::shared_ptr<outbox> find(const std::string &Peer) const;
  void insert(const std::string &Peer, std::shared_ptr<outbox> Outbox);
  void erase(const std::string &Peer);
  void clear();
  /// Calls a function with each outbox, without holding the lock.
  void forEach(const std::function<void(outbox &)> &Function) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::shared_ptr<outbox>> Outboxes;
};

} // namespace lycheetrestle::transport

#endif
