#include "transport/link_hub.h"

#include "transport/hello.h"
#include "transport/link_table.h"
#include "transport/websocket_types.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace lycheetrestle::transport {

namespace {

using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;
using asio_error = boost::system::error_code;

constexpr milliseconds FirstBackoff(50);
constexpr milliseconds LastBackoff(1000);
constexpr milliseconds TickPeriod(250);
constexpr milliseconds PingPeriod(1000);
/// Three lost pings; the entries' freshness bound is 3 s as well.
constexpr milliseconds SilenceLimit(3000);
constexpr milliseconds HelloLimit(2000);
/// A hub that did not run for this long cannot tell whether its peers were
/// silent, so it gives them a whole period more.
constexpr milliseconds StallLimit(1000);
/// Time for the closing handshakes of a stop.
constexpr milliseconds StopLimit(500);
/// websocketpp does not report when its queue drains, so a link with queued
/// bytes looks again after this time.
constexpr milliseconds DrainPeriod(5);
/// Connections that have not named themselves yet.
constexpr std::size_t MaxUnnamed = 256;

} // namespace

/// All members but the outboxes belong to the hub's thread once it runs.
class link_hub::implementation {
public:
  implementation(link_settings Settings, link_handlers Handlers)
      : Settings(std::move(Settings)), Handlers(std::move(Handlers)),
        TickTimer(Context), StopTimer(Context), Random(std::random_device{}()) {
  }

  ~implementation() { stop(); }

  std::string start() {
    try {
      return listen();
    } catch (const std::exception &Exception) {
      return Exception.what();
    }
  }

  void stop() {
    if (!Thread.joinable())
      return;
    boost::asio::post(Context, [this] { beginStop(); });
    Thread.join();
    Outboxes.clear();
  }

  bool send(const std::string &Peer, std::string Bytes) {
    if (Bytes.size() > Settings.MaxMessageBytes)
      return false;
    auto Box = Outboxes.find(Peer);
    if (!Box)
      return false;
    auto Result = Box->push(std::move(Bytes), Settings.MaxQueuedBytes);
    if (Result == push_result::AcceptedFirst)
      boost::asio::post(Context, [this, Box] { flush(*Box); });
    return Result != push_result::Refused;
  }

  void addPeer(link_peer Peer) {
    boost::asio::post(Context,
                      [this, Peer = std::move(Peer)] { configurePeer(Peer); });
  }

  void removePeer(const std::string &Name) {
    boost::asio::post(Context, [this, Name] { forgetPeer(Name); });
  }

private:
  struct connection_state {
    bool Dialled = false;
    std::string Address;
    std::string Peer; ///< Expected name when dialled, else known after hello.
    std::uint64_t Stamp = 0; ///< Of the peer's hello.
    bool HelloSent = false;
    bool Up = false;
    bool Ended = false; ///< The reason is reported; only the close is left.
    clock_type::time_point Started;
    clock_type::time_point LastReceived;
    clock_type::time_point LastPing;
  };

  struct peer_state {
    explicit peer_state(boost::asio::io_context &Context)
        : DialTimer(Context) {}
    std::optional<link_peer> Target; ///< Set for peers that are dialled.
    websocket_pointer Attempt;       ///< Dialled and not up yet.
    websocket_pointer Link;          ///< The one that is up.
    boost::asio::steady_timer DialTimer;
    milliseconds Backoff = FirstBackoff;
    std::string LastError; ///< Repeated dial errors are reported once.
  };

  std::string listen() {
    boost::system::error_code AddressError;
    auto Address =
        boost::asio::ip::make_address(Settings.ListenAddress, AddressError);
    if (AddressError)
      return "listen address " + Settings.ListenAddress + ": " +
             AddressError.message();
    prepare(Server);
    prepare(Client);
    Server.set_reuse_addr(true);
    websocketpp::lib::error_code Error;
    Server.listen(boost::asio::ip::tcp::endpoint(Address, Settings.ListenPort),
                  Error);
    if (!Error)
      Server.start_accept(Error);
    if (Error)
      return "listening on " + Settings.ListenAddress + ":" +
             std::to_string(Settings.ListenPort) + ": " + Error.message();
    for (const auto &Peer : Settings.Peers)
      addPeer(Peer);
    LastTick = clock_type::now();
    scheduleTick();
    Thread = std::thread([this] { run(); });
    return {};
  }

  template <typename Endpoint> void prepare(Endpoint &Side) {
    using websocketpp::connection_hdl;
    Side.clear_access_channels(websocketpp::log::alevel::all);
    Side.clear_error_channels(websocketpp::log::elevel::all);
    Side.init_asio(&Context);
    Side.set_max_message_size(MaxHelloBytes);
    Side.set_tcp_post_init_handler(
        [this](connection_hdl Handle) { onConnected(Handle); });
    Side.set_open_handler([this](connection_hdl Handle) { onOpen(Handle); });
    Side.set_fail_handler([this](connection_hdl Handle) { onFail(Handle); });
    Side.set_close_handler([this](connection_hdl Handle) { onClose(Handle); });
    Side.set_message_handler(
        [this](connection_hdl Handle, websocket_message Message) {
          onMessage(Handle, Message);
        });
    Side.set_ping_handler([this](connection_hdl Handle, std::string) {
      onReceived(Handle);
      return true;
    });
    Side.set_pong_handler(
        [this](connection_hdl Handle, std::string) { onReceived(Handle); });
    Side.set_http_handler([this](connection_hdl Handle) { onHttp(Handle); });
  }

  void run() {
    for (;;) {
      try {
        Context.run();
        return;
      } catch (const std::exception &Exception) {
        reportError("", std::string("a handler failed: ") + Exception.what());
      }
    }
  }

  // Events of a connection.

  static websocket_pointer lock(const websocketpp::connection_hdl &Handle) {
    return std::static_pointer_cast<websocket_connection>(Handle.lock());
  }

  connection_state *find(const websocketpp::connection_hdl &Handle) {
    auto Found = Connections.find(Handle);
    return Found == Connections.end() ? nullptr : &Found->second;
  }

  void onConnected(const websocketpp::connection_hdl &Handle) {
    auto Connection = lock(Handle);
    if (!Connection)
      return;
    asio_error Ignored;
    Connection->get_raw_socket().set_option(
        boost::asio::ip::tcp::no_delay(true), Ignored);
    auto &State = Connections[Handle];
    State.Address = Connection->get_remote_endpoint();
    if (State.Dialled)
      return;
    State.Started = clock_type::now();
    auto Unnamed = std::count_if(
        Connections.begin(), Connections.end(), [](const auto &Entry) {
          return !Entry.second.Dialled && !Entry.second.Up;
        });
    if (static_cast<std::size_t>(Unnamed) > MaxUnnamed)
      cut(Connection, State, "too many connections without a hello");
  }

  void onOpen(const websocketpp::connection_hdl &Handle) {
    auto Connection = lock(Handle);
    auto *State = find(Handle);
    if (!Connection || !State || State->Ended)
      return;
    State->LastReceived = State->LastPing = clock_type::now();
    if (State->Dialled)
      sendHello(Connection, *State);
  }

  void onFail(const websocketpp::connection_hdl &Handle) {
    auto Connection = lock(Handle);
    if (auto *State = find(Handle); Connection && State)
      end(Connection, *State, Connection->get_ec().message());
    Connections.erase(Handle);
  }

  void onClose(const websocketpp::connection_hdl &Handle) {
    auto Connection = lock(Handle);
    if (auto *State = find(Handle); Connection && State)
      end(Connection, *State, closeReason(*Connection));
    Connections.erase(Handle);
    if (Stopping && Connections.empty())
      Context.stop();
  }

  static std::string closeReason(const websocket_connection &Connection) {
    auto Code = Connection.get_remote_close_code();
    auto Reason = Connection.get_remote_close_reason();
    std::string Side = "the peer closed the link: ";
    if (Code == websocketpp::close::status::blank ||
        Code == websocketpp::close::status::abnormal_close) {
      Code = Connection.get_local_close_code();
      Reason = Connection.get_local_close_reason();
      Side = "the link was lost: ";
    }
    if (Reason.empty())
      Reason = websocketpp::close::status::get_string(Code);
    return Side + Reason;
  }

  void onHttp(const websocketpp::connection_hdl &Handle) {
    auto Connection = lock(Handle);
    if (auto *State = find(Handle); Connection && State)
      end(Connection, *State, "the request is not for a websocket");
    if (Connection)
      Connection->set_status(websocketpp::http::status_code::upgrade_required);
  }

  void onReceived(const websocketpp::connection_hdl &Handle) {
    if (auto *State = find(Handle))
      State->LastReceived = clock_type::now();
  }

  void onMessage(const websocketpp::connection_hdl &Handle,
                 const websocket_message &Message) {
    auto Connection = lock(Handle);
    auto *State = find(Handle);
    if (!Connection || !State || State->Ended)
      return;
    State->LastReceived = clock_type::now();
    if (Message->get_opcode() != websocketpp::frame::opcode::binary) {
      close(Connection, *State, "a frame is not binary",
            websocketpp::close::status::unsupported_data);
      return;
    }
    if (!State->Up) {
      acceptHello(Connection, *State, Message->get_payload());
      return;
    }
    if (Handlers.OnMessage) {
      // The handler may end this connection.
      auto Peer = State->Peer;
      Handlers.OnMessage(Peer, std::move(Message->get_raw_payload()));
    }
  }

  // Hello and the choice between connections. A connection is used once both
  // hellos are exchanged; the dialling side sends first. When both sides dial
  // at once, the side with the smaller name refuses the other's connection if
  // its own hello is already sent, and gives up its own dial otherwise; the
  // other side accepts. Both decisions are made where the hellos are sent, so
  // the sides cannot choose differently. Against an established link, the
  // newer stamp wins.

  void sendHello(const websocket_pointer &Connection, connection_state &State) {
    LastStamp = std::max<std::uint64_t>(
        LastStamp + 1, std::chrono::duration_cast<std::chrono::microseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count());
    State.HelloSent = true;
    Connection->send(encodeHello({Settings.SelfName, LastStamp}),
                     websocketpp::frame::opcode::binary);
  }

  void acceptHello(const websocket_pointer &Connection, connection_state &State,
                   const std::string &Bytes) {
    auto Hello = decodeHello(Bytes);
    if (!Hello) {
      close(Connection, State, "the first message is not a valid hello");
      return;
    }
    if (Hello->Name == Settings.SelfName) {
      close(Connection, State, "the peer has this process's own name");
      return;
    }
    if (State.Dialled && Hello->Name != State.Peer) {
      close(Connection, State, "the peer names itself " + Hello->Name);
      return;
    }
    State.Peer = Hello->Name;
    State.Stamp = Hello->Stamp;
    auto &Peer = peer(State.Peer);
    if (Peer.Link) {
      auto *Existing = find(Peer.Link);
      if (Existing && Existing->Stamp >= State.Stamp) {
        close(Connection, State, "a newer link exists");
        return;
      }
      if (Existing)
        close(websocket_pointer(Peer.Link), *Existing,
              "a newer connection replaces the link");
    }
    if (Peer.Attempt && Peer.Attempt != Connection) {
      auto *Own = find(Peer.Attempt);
      if (Own && Own->HelloSent && Settings.SelfName < State.Peer) {
        refuseQuietly(Connection, State);
        return;
      }
      giveUpAttempt(Peer);
    }
    bringUp(Connection, State, Peer);
  }

  void bringUp(const websocket_pointer &Connection, connection_state &State,
               peer_state &Peer) {
    if (!State.Dialled)
      sendHello(Connection, State);
    Connection->set_max_message_size(Settings.MaxMessageBytes);
    State.Up = true;
    State.LastReceived = State.LastPing = clock_type::now();
    Peer.Attempt.reset();
    Peer.Link = Connection;
    Peer.DialTimer.cancel();
    Peer.Backoff = FirstBackoff;
    Peer.LastError.clear();
    Outboxes.insert(State.Peer, std::make_shared<outbox>(Connection));
    notify(State.Peer, true);
  }

  void refuseQuietly(const websocket_pointer &Connection,
                     connection_state &State) {
    State.Ended = true;
    closeSocket(Connection, "both sides dial",
                websocketpp::close::status::normal);
  }

  void giveUpAttempt(peer_state &Peer) {
    auto Attempt = std::exchange(Peer.Attempt, nullptr);
    if (auto *Own = find(Attempt))
      Own->Ended = true;
    terminate(Attempt);
  }

  // End of a connection.

  /// Ends a connection with a closing handshake that tells the peer why.
  void close(const websocket_pointer &Connection, connection_state &State,
             const std::string &Reason,
             websocketpp::close::status::value Code =
                 websocketpp::close::status::policy_violation) {
    closeSocket(Connection, Reason, Code);
    end(Connection, State, Reason);
  }

  /// Ends a connection whose peer does not answer.
  void cut(const websocket_pointer &Connection, connection_state &State,
           const std::string &Reason) {
    end(Connection, State, Reason);
    terminate(Connection);
  }

  static void closeSocket(const websocket_pointer &Connection,
                          const std::string &Reason,
                          websocketpp::close::status::value Code) {
    websocketpp::lib::error_code Error;
    // A control frame holds at most 125 bytes, two of them the code.
    Connection->close(Code, Reason.substr(0, 123), Error);
    if (Error)
      terminate(Connection);
  }

  static void terminate(const websocket_pointer &Connection) {
    Connection->terminate(websocketpp::error::make_error_code(
        websocketpp::error::operation_canceled));
  }

  /// Reports the end of a connection and dials again when that is needed.
  void end(const websocket_pointer &Connection, connection_state &State,
           const std::string &Reason) {
    if (std::exchange(State.Ended, true))
      return;
    bool WasUp = std::exchange(State.Up, false);
    if (State.Peer.empty()) {
      reportError("", State.Address + ": " + Reason);
      return;
    }
    auto Name = State.Peer;
    auto &Peer = peer(Name);
    if (Peer.Attempt == Connection)
      Peer.Attempt.reset();
    if (Peer.Link == Connection)
      Peer.Link.reset();
    if (WasUp) {
      Outboxes.erase(Name);
      notify(Name, false);
    }
    if (WasUp || std::exchange(Peer.LastError, Reason) != Reason)
      reportError(Name, Reason);
    scheduleDial(Name);
  }

  // Dialling.

  peer_state &peer(const std::string &Name) {
    return Peers.try_emplace(Name, Context).first->second;
  }

  void configurePeer(const link_peer &Target) {
    if (Stopping || Target.Name == Settings.SelfName)
      return;
    auto &Peer = peer(Target.Name);
    bool Moved = Peer.Target && (Peer.Target->Address != Target.Address ||
                                 Peer.Target->Port != Target.Port);
    Peer.Target = Target;
    if (Moved && Peer.Attempt)
      giveUpAttempt(Peer);
    if (Moved && Peer.Link)
      if (auto *State = find(Peer.Link); State && State->Dialled)
        close(websocket_pointer(Peer.Link), *State,
              "the address of the peer changed");
    Peer.Backoff = FirstBackoff;
    dial(Target.Name);
  }

  void forgetPeer(const std::string &Name) {
    auto Found = Peers.find(Name);
    if (Found == Peers.end())
      return;
    auto &Peer = Found->second;
    Peer.Target.reset();
    Peer.DialTimer.cancel();
    if (Peer.Attempt)
      giveUpAttempt(Peer);
    if (Peer.Link)
      if (auto *State = find(Peer.Link))
        close(websocket_pointer(Peer.Link), *State, "the peer was removed",
              websocketpp::close::status::going_away);
  }

  void scheduleDial(const std::string &Name) {
    auto &Peer = peer(Name);
    if (Stopping || !Peer.Target || Peer.Link || Peer.Attempt)
      return;
    std::uniform_int_distribution<long> Jitter(Peer.Backoff.count() / 2,
                                               Peer.Backoff.count());
    Peer.DialTimer.expires_after(milliseconds(Jitter(Random)));
    Peer.Backoff = std::min(2 * Peer.Backoff, LastBackoff);
    Peer.DialTimer.async_wait([this, Name](asio_error Error) {
      if (!Error)
        dial(Name);
    });
  }

  void dial(const std::string &Name) {
    auto &Peer = peer(Name);
    if (Stopping || !Peer.Target || Peer.Link || Peer.Attempt)
      return;
    bool IsVersion6 = Peer.Target->Address.find(':') != std::string::npos;
    auto Host =
        IsVersion6 ? "[" + Peer.Target->Address + "]" : Peer.Target->Address;
    websocketpp::lib::error_code Error;
    auto Connection = Client.get_connection(
        "ws://" + Host + ":" + std::to_string(Peer.Target->Port) + "/", Error);
    if (Error) {
      reportError(Name, "dialling " + Host + ": " + Error.message());
      scheduleDial(Name);
      return;
    }
    auto &State = Connections[Connection];
    State.Dialled = true;
    State.Peer = Name;
    State.Address = Host;
    State.Started = clock_type::now();
    Peer.Attempt = Connection;
    Client.connect(Connection);
  }

  // Sending.

  void flush(outbox &Box) {
    if (Box.flush())
      return;
    if (std::exchange(DrainScheduled, true))
      return;
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
    Timer->expires_after(DrainPeriod);
    Timer->async_wait([this, Timer](asio_error) {
      DrainScheduled = false;
      Outboxes.forEach([this](outbox &Waiting) { flush(Waiting); });
    });
  }

  // Supervision.

  void scheduleTick() {
    TickTimer.expires_after(TickPeriod);
    TickTimer.async_wait([this](asio_error Error) {
      if (Error || Stopping)
        return;
      tick(clock_type::now());
      scheduleTick();
    });
  }

  void tick(clock_type::time_point Now) {
    bool Stalled = Now - std::exchange(LastTick, Now) > StallLimit;
    // Ending a connection changes the table.
    std::vector<websocketpp::connection_hdl> Handles;
    for (auto Entry = Connections.begin(); Entry != Connections.end();) {
      if (Entry->first.expired()) {
        Entry = Connections.erase(Entry);
        continue;
      }
      if (Stalled)
        Entry->second.LastReceived = Entry->second.Started = Now;
      Handles.push_back(Entry->first);
      ++Entry;
    }
    for (const auto &Handle : Handles)
      if (auto *State = find(Handle); State && !State->Ended)
        if (auto Connection = lock(Handle))
          supervise(Connection, *State, Now);
  }

  void supervise(const websocket_pointer &Connection, connection_state &State,
                 clock_type::time_point Now) {
    if (!State.Up) {
      if (Now - State.Started > 2 * HelloLimit)
        cut(Connection, State, "no hello in time");
      return;
    }
    if (Now - State.LastReceived > SilenceLimit) {
      cut(Connection, State, "the peer is silent");
      return;
    }
    if (Now - State.LastPing < PingPeriod)
      return;
    State.LastPing = Now;
    websocketpp::lib::error_code Ignored;
    Connection->ping("", Ignored);
  }

  void beginStop() {
    Stopping = true;
    websocketpp::lib::error_code Ignored;
    Server.stop_listening(Ignored);
    TickTimer.cancel();
    std::vector<websocket_pointer> Open;
    for (const auto &[Handle, State] : Connections)
      if (auto Connection = lock(Handle))
        Open.push_back(std::move(Connection));
    Outboxes.forEach([](outbox &Box) { Box.flush(); });
    for (auto &[Name, Peer] : Peers) {
      Peer.DialTimer.cancel();
      Peer.Attempt.reset();
      if (std::exchange(Peer.Link, nullptr)) {
        Outboxes.erase(Name);
        notify(Name, false);
      }
    }
    for (const auto &Connection : Open) {
      if (auto *State = find(Connection))
        State->Ended = true;
      closeSocket(Connection, "the process stops",
                  websocketpp::close::status::going_away);
    }
    if (Connections.empty()) {
      Context.stop();
      return;
    }
    StopTimer.expires_after(StopLimit);
    StopTimer.async_wait([this](asio_error) { Context.stop(); });
  }

  void notify(const std::string &Peer, bool IsUp) {
    if (Handlers.OnPeerChange)
      Handlers.OnPeerChange(Peer, IsUp);
  }

  void reportError(const std::string &Peer, const std::string &Reason) {
    if (Handlers.OnError)
      Handlers.OnError(Peer, Reason);
  }

  link_settings Settings;
  link_handlers Handlers;
  boost::asio::io_context Context{1};
  websocket_server Server;
  websocket_client Client;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer StopTimer;
  std::map<websocketpp::connection_hdl, connection_state,
           std::owner_less<websocketpp::connection_hdl>>
      Connections;
  std::map<std::string, peer_state> Peers;
  link_table Outboxes; ///< Locked inside.
  clock_type::time_point LastTick;
  std::uint64_t LastStamp = 0;
  std::mt19937 Random;
  bool DrainScheduled = false;
  bool Stopping = false;
  std::thread Thread;
};

link_hub::link_hub(link_settings Settings, link_handlers Handlers)
    : Impl(std::make_unique<implementation>(std::move(Settings),
                                            std::move(Handlers))) {}

link_hub::~link_hub() = default;

std::string link_hub::start() { return Impl->start(); }

void link_hub::stop() { Impl->stop(); }

bool link_hub::send(const std::string &Peer, std::string Bytes) {
  return Impl->send(Peer, std::move(Bytes));
}

void link_hub::addPeer(link_peer Peer) { Impl->addPeer(std::move(Peer)); }

void link_hub::removePeer(const std::string &Name) { Impl->removePeer(Name); }

} // namespace lycheetrestle::transport
