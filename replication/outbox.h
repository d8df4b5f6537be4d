#ifndef LYCHEETRESTLE_REPLICATION_OUTBOX_H
#define LYCHEETRESTLE_REPLICATION_OUTBOX_H

#include "replication/raft_node.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace lycheetrestle::replication {

/// Queue of outgoing messages. A message is released only after the write that
/// it depends on is synced.
class outbox {
public:
  /// \param Message the message.
  /// \param Ticket the write it depends on, or 0. When too many messages wait
  /// for a slow disk, the message is dropped like one that the network loses.
  void add(outgoing_message Message, std::uint64_t Ticket);
  /// \param StoredTicket all writes up to it are synced.
  /// \returns the messages that may be sent, in order.
  std::vector<outgoing_message> take(std::uint64_t StoredTicket);

private:
  struct waiting_message {
    outgoing_message Message;
    std::uint64_t Ticket;
  };
  std::deque<waiting_message> Waiting;
  std::size_t WaitingBytes = 0;
};

} // namespace lycheetrestle::replication

#endif
