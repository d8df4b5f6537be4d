#include "replication/outbox.h"

#include <utility>

namespace lycheetrestle::replication {

namespace {

// Holds about one minute of heartbeat replies; older ones are obsolete.
constexpr std::size_t MaxWaitingMessages = 1024;
constexpr std::size_t MaxWaitingBytes = 64u << 20;

} // namespace

void outbox::add(outgoing_message Message, std::uint64_t Ticket) {
  if (Waiting.size() >= MaxWaitingMessages ||
      WaitingBytes + Message.Bytes.size() > MaxWaitingBytes)
    return;
  WaitingBytes += Message.Bytes.size();
  Waiting.push_back({std::move(Message), Ticket});
}

std::vector<outgoing_message> outbox::take(std::uint64_t StoredTicket) {
  std::vector<outgoing_message> Ready;
  std::deque<waiting_message> Kept;
  for (waiting_message &Item : Waiting) {
    if (Item.Ticket > StoredTicket) {
      Kept.push_back(std::move(Item));
      continue;
    }
    WaitingBytes -= Item.Message.Bytes.size();
    Ready.push_back(std::move(Item.Message));
  }
  Waiting = std::move(Kept);
  return Ready;
}

} // namespace lycheetrestle::replication
