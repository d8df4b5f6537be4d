#ifndef LYCHEETRESTLE_TESTS_TRANSPORT_HUB_FIXTURE_H
#define LYCHEETRESTLE_TESTS_TRANSPORT_HUB_FIXTURE_H

#include "tests/main/free_port.h"
#include "transport/link_hub.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lycheetrestle::transport::test {

/// A failed condition ends its test after this time; a passing one never waits
/// for it. Exceeds the hub's receive timeout of 3 s even on a busy machine.
constexpr std::chrono::seconds WaitTimeout(30);

using lycheetrestle::test::freePort;

/// Records the callbacks of one hub.
class recorder {
public:
  link_handlers handlers();

  /// \returns whether the condition, checked under the lock, became true within
  /// WaitTimeout.
  template <typename Condition> bool waitFor(Condition &&Holds) {
    std::unique_lock<std::mutex> Lock(Mutex);
    return Changed.wait_for(Lock, WaitTimeout, [&] { return Holds(); });
  }
  bool waitForMessages(std::size_t Count);
  bool waitForUp(const std::string &Peer);
  bool waitForDown(const std::string &Peer);
  bool waitForError(const std::string &Part);
  std::vector<std::string> messages();

  // Guarded by Mutex; read them only inside waitFor().
  std::vector<std::string> Messages;
  std::vector<std::pair<std::string, bool>> PeerChanges;
  std::vector<std::string> Errors; ///< `peer: reason`.

  /// Makes the hub's thread wait in OnMessage until unblock(), for at most
  /// WaitTimeout.
  void block() { setBlocked(true); }
  void unblock() { setBlocked(false); }

private:
  void setBlocked(bool Value);
  bool isUp(const std::string &Peer) const;

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Blocked = false;
};

/// A hub on a free loopback port with its recorder.
struct test_hub {
  explicit test_hub(std::string Name, std::vector<link_peer> Peers = {},
                    std::uint16_t Port = freePort());
  test_hub(link_settings Settings);
  link_peer asPeer() const;
  /// Sends a message, retrying while the link is down or the queue is full.
  bool sendWithRetry(const std::string &Peer, const std::string &Bytes);

  link_settings Settings;
  recorder Recorder; ///< Must outlive the hub, whose thread calls it.
  link_hub Hub;
};

/// \returns settings for a hub on a free loopback port.
link_settings settingsOf(std::string Name, std::vector<link_peer> Peers = {},
                         std::uint16_t Port = freePort());

} // namespace lycheetrestle::transport::test

#endif
