#ifndef LYCHEETRESTLE_TRANSPORT_HUB_CORE_H
#define LYCHEETRESTLE_TRANSPORT_HUB_CORE_H

#include "transport/link_hub.h"
#include "transport/outbox_table.h"
#include "transport/websocket_types.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace lycheetrestle::transport {

/// Implementation of link_hub. Once the hub's thread runs, only that thread
/// modifies the members, except for the outboxes and the counters. hub_core.cpp
/// has the life cycle and the connection events, hub_links.cpp the selection
/// between connections and the dialling.
class link_hub::implementation {
public:
  implementation(link_settings Settings, link_handlers Handlers);
  ~implementation();

  std::string start();
  void stop();
  bool send(const std::string &Peer, std::string Bytes);
  link_traffic traffic() const;
  void addPeer(link_peer Peer);
  void removePeer(const std::string &Name);

private:
  using clock_type = std::chrono::steady_clock;
  using handle = websocketpp::connection_hdl;

  /// Backoff between two dial attempts. The delay is drawn from half of the
  /// backoff to all of it, so the shortest is 50 ms.
  static constexpr std::chrono::milliseconds InitialBackoff{100};
  static constexpr std::chrono::milliseconds MaxBackoff{1000};

  /// Close code for the redundant connection when both sides dialled.
  static constexpr websocketpp::close::status::value DuplicateDial = 4000;

  struct connection_state {
    bool Dialled = false;
    std::string Address;
    std::string Host; ///< IP address of the peer when accepted.
    std::string Peer; ///< Expected name when dialled, else known after hello.
    std::uint64_t Stamp = 0; ///< Of the peer's hello.
    bool HelloSent = false;
    bool Up = false;
    bool Ended = false; ///< The end is reported; only the close is pending.
    clock_type::time_point Started;
    clock_type::time_point LastReceived;
    clock_type::time_point LastPing;
  };

  struct peer_state {
    explicit peer_state(boost::asio::io_context &Context)
        : DialTimer(Context) {}
    std::optional<link_peer> Target; ///< Set for peers that are dialled.
    websocket_pointer Attempt;       ///< Dialled and not up yet.
    websocket_pointer Link;          ///< The connection that is up.
    boost::asio::steady_timer DialTimer;
    std::chrono::milliseconds Backoff = InitialBackoff;
    std::string LastError; ///< Repeated dial errors are reported once.
  };

  // Life cycle.
  std::string listen();
  template <typename Endpoint> void prepare(Endpoint &Side, bool IsClient);
  void run();
  void beginStop();

  // Events of a connection.
  void onConnected(const handle &Handle, bool IsClient);
  /// Drops a connection without a hello if there are too many.
  void limitPendingHellos();
  void onOpen(const handle &Handle);
  void onFail(const handle &Handle);
  void onClose(const handle &Handle);
  void onHttp(const handle &Handle);
  void onReceived(const handle &Handle);
  /// \returns whether to answer a ping.
  bool mayAnswerPing(const handle &Handle);
  void onMessage(const handle &Handle, const websocket_message &Message);
  void removeConnection(const handle &Handle);
  static websocket_pointer lock(const handle &Handle);
  connection_state *find(const handle &Handle);

  // Hello and the selection between connections.
  void sendHello(const websocket_pointer &Connection, connection_state &State);
  void acceptHello(const websocket_pointer &Connection, connection_state &State,
                   const std::string &Bytes);
  void activateLink(const websocket_pointer &Connection,
                    connection_state &State, peer_state &Peer);
  void abandonAttempt(peer_state &Peer);

  // End of a connection.
  /// Ends a connection with a closing handshake that carries the reason.
  void closeConnection(const websocket_pointer &Connection,
                       connection_state &State, const std::string &Reason,
                       websocketpp::close::status::value Code =
                           websocketpp::close::status::policy_violation);
  /// Ends a connection without a closing handshake, which its peer might not
  /// answer.
  void dropConnection(const websocket_pointer &Connection,
                      connection_state &State, const std::string &Reason);
  /// Reports the end of a connection and schedules a redial when needed.
  void endConnection(const websocket_pointer &Connection,
                     connection_state &State, const std::string &Reason);
  static void closeSocket(const websocket_pointer &Connection,
                          const std::string &Reason,
                          websocketpp::close::status::value Code);
  static void terminate(const websocket_pointer &Connection);
  /// Closes the socket of a connection that has ended. The timers of
  /// websocketpp would keep its descriptor open for seconds.
  static void releaseSocket(const websocket_pointer &Connection);

  // Dialling.
  peer_state &peer(const std::string &Name);
  void configurePeer(const link_peer &Target);
  void disconnectPeer(const std::string &Name);
  void scheduleDial(const std::string &Name);
  void dial(const std::string &Name);

  // Sending and supervision.
  void flush(outbox &Outbox);
  void scheduleTick();
  void tick(clock_type::time_point Now);
  void checkLiveness(const websocket_pointer &Connection,
                     connection_state &State, clock_type::time_point Now);

  void notify(const std::string &Peer, bool IsUp);
  void reportError(const std::string &Peer, const std::string &Reason);

  link_settings Settings;
  link_handlers Handlers;
  /// Must outlive the connections, whose sockets use it.
  boost::asio::io_context Context{1};
  websocket_server Server;
  websocket_client Client;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer StopTimer;
  std::map<handle, connection_state, std::owner_less<handle>> Connections;
  std::map<std::string, peer_state> Peers;
  std::atomic<std::uint64_t> MessagesSent{0}, BytesSent{0};
  std::atomic<std::uint64_t> MessagesReceived{0}, BytesReceived{0};
  outbox_table Outboxes; ///< Also used by the senders' threads; thread-safe.
  clock_type::time_point LastTick;
  std::uint64_t LastStamp = 0; ///< Of the last hello that was sent.
  std::mt19937 Random;
  bool DrainScheduled = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace lycheetrestle::transport

#endif
