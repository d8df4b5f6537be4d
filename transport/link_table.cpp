#include "transport/link_table.h"

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
  // A connection that is no longer open refuses, and its link is then lost.
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

std::shared_ptr<outbox> link_table::find(const std::string &Peer) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto Found = Boxes.find(Peer);
  return Found == Boxes.end() ? nullptr : Found->second;
}

void link_table::insert(const std::string &Peer, std::shared_ptr<outbox> Box) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Boxes[Peer] = std::move(Box);
}

void link_table::erase(const std::string &Peer) {
  std::shared_ptr<outbox> Box;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Boxes.find(Peer);
    if (Found == Boxes.end())
      return;
    Box = std::move(Found->second);
    Boxes.erase(Found);
  }
  Box->close();
}

void link_table::clear() {
  std::lock_guard<std::mutex> Lock(Mutex);
  for (auto &[Name, Box] : Boxes)
    Box->close();
  Boxes.clear();
}

void link_table::forEach(const std::function<void(outbox &)> &Function) const {
  std::vector<std::shared_ptr<outbox>> Current;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Name, Box] : Boxes)
      Current.push_back(Box);
  }
  for (const auto &Box : Current)
    Function(*Box);
}

} // namespace lycheetrestle::transport
