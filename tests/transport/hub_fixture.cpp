#include "tests/transport/hub_fixture.h"

#include <algorithm>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lycheetrestle::transport::test {

link_handlers recorder::handlers() {
  link_handlers Handlers;
  Handlers.OnMessage = [this](const std::string &, std::string Bytes) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Messages.push_back(std::move(Bytes));
    Changed.notify_all();
    Changed.wait_for(Lock, WaitTimeout, [this] { return !Blocked; });
  };
  Handlers.OnPeerChange = [this](const std::string &Peer, bool IsUp) {
    std::lock_guard<std::mutex> Lock(Mutex);
    PeerChanges.emplace_back(Peer, IsUp);
    Changed.notify_all();
  };
  Handlers.OnError = [this](const std::string &Peer,
                            const std::string &Reason) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Errors.push_back(Peer + ": " + Reason);
    Changed.notify_all();
  };
  return Handlers;
}

bool recorder::isUp(const std::string &Peer) const {
  auto Last =
      std::find_if(PeerChanges.rbegin(), PeerChanges.rend(),
                   [&](const auto &Change) { return Change.first == Peer; });
  return Last != PeerChanges.rend() && Last->second;
}

bool recorder::waitForMessages(std::size_t Count) {
  return waitFor([&] { return Messages.size() >= Count; });
}

bool recorder::waitForUp(const std::string &Peer) {
  return waitFor([&] { return isUp(Peer); });
}

bool recorder::waitForDown(const std::string &Peer) {
  return waitFor([&] { return !isUp(Peer); });
}

bool recorder::waitForError(const std::string &Part) {
  return waitFor([&] {
    return std::any_of(Errors.begin(), Errors.end(), [&](const auto &Error) {
      return Error.find(Part) != std::string::npos;
    });
  });
}

std::vector<std::string> recorder::messages() {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Messages;
}

void recorder::setBlocked(bool Value) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Blocked = Value;
  Changed.notify_all();
}

link_settings settingsOf(std::string Name, std::vector<link_peer> Peers,
                         std::uint16_t Port) {
  link_settings Settings;
  Settings.SelfName = std::move(Name);
  Settings.ListenAddress = "127.0.0.1";
  Settings.ListenPort = Port;
  Settings.Peers = std::move(Peers);
  return Settings;
}

test_hub::test_hub(std::string Name, std::vector<link_peer> Peers,
                   std::uint16_t Port)
    : test_hub(settingsOf(std::move(Name), std::move(Peers), Port)) {}

test_hub::test_hub(link_settings Settings)
    : Settings(std::move(Settings)), Hub(this->Settings, Recorder.handlers()) {
  auto Reason = Hub.start();
  if (!Reason.empty())
    throw std::runtime_error(Reason);
}

link_peer test_hub::asPeer() const {
  return {Settings.SelfName, Settings.ListenAddress, Settings.ListenPort};
}

bool test_hub::sendWithRetry(const std::string &Peer,
                             const std::string &Bytes) {
  auto End = std::chrono::steady_clock::now() + WaitTimeout;
  while (std::chrono::steady_clock::now() < End) {
    if (Hub.send(Peer, Bytes))
      return true;
    std::this_thread::yield();
  }
  return false;
}

} // namespace lycheetrestle::transport::test
