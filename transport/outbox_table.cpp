#include "transport/outbox_table.h"

#include <utility>

namespace lycheetrestle::transport {

outbox::outbox(websocket_pointer Connection)
    : Connection(std::move(Connection)) {}

push_result outbox::push(std::string Bytes, std::size_t Limit) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Closed || MessageBytes + ConnectionBytes + Bytes.size() > Limit)
    return push_result::Refused;
  MessageBytes += Bytes.size();
  Messages.push_back(std::move(Bytes));
  return std::exchange(FlushDue, true) ? push_result::Accepted
                                       : push_result::AcceptedFirst;
}

bool outbox::flush() {
  std::vector<std::string> Batch;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    FlushDue = false;
    if (Closed)
      return true;
    Batch.swap(Messages);
    ConnectionBytes += std::exchange(MessageBytes, 0);
  }
  // A connection that is no longer open rejects the messages; its link is then
  // reported as lost.
  for (const auto &Message : Batch)
    Connection->send(Message, websocketpp::frame::opcode::binary);
  std::lock_guard<std::mutex> Lock(Mutex);
  ConnectionBytes = Connection->get_buffered_amount();
  return ConnectionBytes == 0;
}

void outbox::close() {
  std::lock_guard<std::mutex> Lock(Mutex);
  Closed = true;
  Messages.clear();
}

std::shared_ptr<outbox> outbox_table::find(const std::string &Peer) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto Found = Outboxes.find(Peer);
  return Found == Outboxes.end() ? nullptr : Found->second;
}

void outbox_table::insert(const std::string &Peer,
                          std::shared_ptr<outbox> Outbox) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Outboxes[Peer] = std::move(Outbox);
}

void outbox_table::erase(const std::string &Peer) {
  std::shared_ptr<outbox> Outbox;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Outboxes.find(Peer);
    if (Found == Outboxes.end())
      return;
    Outbox = std::move(Found->second);
    Outboxes.erase(Found);
  }
  Outbox->close();
}

void outbox_table::clear() {
  std::lock_guard<std::mutex> Lock(Mutex);
  for (auto &[Name, Outbox] : Outboxes)
    Outbox->close();
  Outboxes.clear();
}

void outbox_table::forEach(
    const std::function<void(outbox &)> &Function) const {
  std::vector<std::shared_ptr<outbox>> Current;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Name, Outbox] : Outboxes)
      Current.push_back(Outbox);
  }
  for (const auto &Outbox : Current)
    Function(*Outbox);
}

} // namespace lycheetrestle::transport
