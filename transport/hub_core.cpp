#include "transport/hub_core.h"

#include "core/thread_times.h"
#include "transport/hello.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lycheetrestle::transport {

namespace {

using std::chrono::milliseconds;
using asio_error = boost::system::error_code;

constexpr milliseconds TickPeriod(250);
constexpr milliseconds PingPeriod(1000);
/// Three lost pings; the freshness bound of the entry processes is 3 s as well.
constexpr milliseconds ReceiveTimeout(3000);
/// Allows 2 s for connecting, 2 s for the handshake, and the hello.
constexpr milliseconds HelloTimeout(4500);
/// After its thread did not run for this long, the hub cannot tell whether its
/// peers sent data, so it restarts their timeouts.
constexpr milliseconds StallThreshold(1000);
/// Time for the closing handshakes when the hub stops.
constexpr milliseconds StopTimeout(500);
/// websocketpp does not report when its queue drains, so links with queued
/// bytes are polled at this interval.
constexpr milliseconds DrainPollPeriod(5);

/// websocketpp does not report why a bind failed, so this binds again to get
/// the reason.
std::string bindError(const boost::asio::ip::tcp::endpoint &Endpoint) {
  try {
    boost::asio::io_context Context;
    boost::asio::ip::tcp::acceptor Acceptor(Context, Endpoint);
  } catch (const boost::system::system_error &Exception) {
    return Exception.code().message();
  }
  return "the address was in use";
}

std::string closeReason(const websocket_connection &Connection) {
  auto Code = Connection.get_remote_close_code();
  auto Reason = Connection.get_remote_close_reason();
  std::string Prefix = "the peer closed the link: ";
  if (Code == websocketpp::close::status::blank ||
      Code == websocketpp::close::status::abnormal_close) {
    Code = Connection.get_local_close_code();
    Reason = Connection.get_local_close_reason();
    Prefix = "the link was lost: ";
  }
  if (Reason.empty())
    Reason = websocketpp::close::status::get_string(Code);
  return Prefix + Reason;
}

} // namespace

link_hub::implementation::implementation(link_settings Settings,
                                         link_handlers Handlers)
    : Settings(std::move(Settings)), Handlers(std::move(Handlers)),
      TickTimer(Context), StopTimer(Context), Random(std::random_device{}()) {}

link_hub::implementation::~implementation() { stop(); }

std::string link_hub::implementation::start() {
  try {
    return listen();
  } catch (const std::exception &Exception) {
    return Exception.what();
  }
}

void link_hub::implementation::stop() {
  if (!Thread.joinable())
    return;
  boost::asio::post(Context, [this] { beginStop(); });
  Thread.join();
  Outboxes.clear();
}

bool link_hub::implementation::send(const std::string &Peer,
                                    std::string Bytes) {
  if (Bytes.size() > Settings.MaxMessageBytes)
    return false;
  auto Outbox = Outboxes.find(Peer);
  if (!Outbox)
    return false;
  auto Size = Bytes.size();
  auto Result = Outbox->push(std::move(Bytes), Settings.MaxQueuedBytes);
  if (Result != push_result::Refused) {
    ++MessagesSent;
    BytesSent += Size;
  }
  if (Result == push_result::AcceptedFirst)
    boost::asio::post(Context, [this, Outbox] { flush(*Outbox); });
  return Result != push_result::Refused;
}

link_traffic link_hub::implementation::traffic() const {
  return {MessagesSent, BytesSent, MessagesReceived, BytesReceived};
}

void link_hub::implementation::addPeer(link_peer Peer) {
  boost::asio::post(Context,
                    [this, Peer = std::move(Peer)] { configurePeer(Peer); });
}

void link_hub::implementation::removePeer(const std::string &Name) {
  boost::asio::post(Context, [this, Name] { disconnectPeer(Name); });
}

std::string link_hub::implementation::listen() {
  if (Settings.SelfName.empty() || Settings.SelfName.size() > MaxNameBytes)
    return "the process name must have 1 to " + std::to_string(MaxNameBytes) +
           " bytes";
  boost::system::error_code AddressError;
  auto Address =
      boost::asio::ip::make_address(Settings.ListenAddress, AddressError);
  if (AddressError)
    return "listen address " + Settings.ListenAddress + ": " +
           AddressError.message();
  prepare(Server, false);
  prepare(Client, true);
  Server.set_reuse_addr(true);
  boost::asio::ip::tcp::endpoint Endpoint(Address, Settings.ListenPort);
  websocketpp::lib::error_code Error;
  Server.listen(Endpoint, Error);
  if (!Error)
    Server.start_accept(Error);
  if (Error)
    return "listening on " + Settings.ListenAddress + ":" +
           std::to_string(Settings.ListenPort) + ": " + bindError(Endpoint);
  for (const auto &Peer : Settings.Peers)
    addPeer(Peer);
  LastTick = clock_type::now();
  scheduleTick();
  Thread = std::thread([this] { run(); });
  return {};
}

template <typename Endpoint>
void link_hub::implementation::prepare(Endpoint &Side, bool IsClient) {
  Side.clear_access_channels(websocketpp::log::alevel::all);
  Side.clear_error_channels(websocketpp::log::elevel::all);
  Side.init_asio(&Context);
  Side.set_max_message_size(MaxHelloBytes);
  Side.set_tcp_post_init_handler(
      [this, IsClient](handle Handle) { onConnected(Handle, IsClient); });
  Side.set_open_handler([this](handle Handle) { onOpen(Handle); });
  Side.set_fail_handler([this](handle Handle) { onFail(Handle); });
  Side.set_close_handler([this](handle Handle) { onClose(Handle); });
  Side.set_message_handler([this](handle Handle, websocket_message Message) {
    onMessage(Handle, Message);
  });
  Side.set_ping_handler([this](handle Handle, std::string) {
    onReceived(Handle);
    return mayAnswerPing(Handle);
  });
  Side.set_pong_handler(
      [this](handle Handle, std::string) { onReceived(Handle); });
  Side.set_http_handler([this](handle Handle) { onHttp(Handle); });
}

void link_hub::implementation::run() {
  core::thread_times::registration Name("links");
  for (;;) {
    try {
      Context.run();
      return;
    } catch (const std::exception &Exception) {
      reportError("", std::string("a handler failed: ") + Exception.what());
    }
  }
}

void link_hub::implementation::beginStop() {
  Stopping = true;
  websocketpp::lib::error_code Ignored;
  Server.stop_listening(Ignored);
  TickTimer.cancel();
  std::vector<websocket_pointer> Open;
  for (const auto &[Handle, State] : Connections)
    if (auto Connection = lock(Handle))
      Open.push_back(std::move(Connection));
  Outboxes.forEach([](outbox &Outbox) { Outbox.flush(); });
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
  StopTimer.expires_after(StopTimeout);
  StopTimer.async_wait([this](asio_error) { Context.stop(); });
}

void link_hub::implementation::onConnected(const handle &Handle,
                                           bool IsClient) {
  auto Connection = lock(Handle);
  if (!Connection)
    return;
  asio_error Ignored;
  Connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                          Ignored);
  if (IsClient) {
    // An abandoned attempt may still connect.
    if (auto *State = find(Handle); !State || State->Ended)
      Connection->get_raw_socket().close(Ignored);
    return;
  }
  auto &State = Connections[Handle];
  State.Address = Connection->get_remote_endpoint();
  State.Started = clock_type::now();
  asio_error Unknown;
  State.Host = Connection->get_raw_socket()
                   .remote_endpoint(Unknown)
                   .address()
                   .to_string();
  limitPendingHellos();
}

void link_hub::implementation::limitPendingHellos() {
  std::map<std::string, std::size_t> ByHost;
  std::size_t Count = 0;
  auto IsPending = [](const connection_state &State) {
    return !State.Dialled && !State.Up && !State.Ended;
  };
  for (const auto &[Handle, State] : Connections)
    if (IsPending(State)) {
      ++ByHost[State.Host];
      ++Count;
    }
  if (Count <= Settings.MaxPendingHellos)
    return;
  // The oldest one of the host with the most connections, so that a crowd does
  // not keep other processes from connecting.
  handle Oldest;
  const connection_state *Found = nullptr;
  for (const auto &[Handle, State] : Connections) {
    if (!IsPending(State))
      continue;
    auto Own = ByHost[State.Host];
    auto Most = Found ? ByHost[Found->Host] : 0;
    if (Own < Most || (Own == Most && State.Started >= Found->Started))
      continue;
    Oldest = Handle;
    Found = &State;
  }
  auto *State = find(Oldest);
  if (auto Connection = lock(Oldest); Connection && State)
    dropConnection(Connection, *State, "too many connections without a hello");
}

void link_hub::implementation::onOpen(const handle &Handle) {
  auto Connection = lock(Handle);
  auto *State = find(Handle);
  if (!Connection || !State || State->Ended)
    return;
  State->LastReceived = State->LastPing = clock_type::now();
  if (State->Dialled)
    sendHello(Connection, *State);
}

void link_hub::implementation::onFail(const handle &Handle) {
  auto Connection = lock(Handle);
  if (auto *State = find(Handle); Connection && State)
    endConnection(Connection, *State, Connection->get_ec().message());
  releaseSocket(Connection);
  removeConnection(Handle);
}

void link_hub::implementation::onClose(const handle &Handle) {
  auto Connection = lock(Handle);
  if (auto *State = find(Handle); Connection && State)
    endConnection(Connection, *State, closeReason(*Connection));
  releaseSocket(Connection);
  removeConnection(Handle);
}

void link_hub::implementation::removeConnection(const handle &Handle) {
  Connections.erase(Handle);
  if (Stopping && Connections.empty())
    Context.stop();
}

void link_hub::implementation::onHttp(const handle &Handle) {
  auto Connection = lock(Handle);
  if (auto *State = find(Handle); Connection && State)
    endConnection(Connection, *State, "the request is not for a websocket");
  if (Connection)
    Connection->set_status(websocketpp::http::status_code::upgrade_required);
}

void link_hub::implementation::onReceived(const handle &Handle) {
  if (auto *State = find(Handle))
    State->LastReceived = clock_type::now();
}

bool link_hub::implementation::mayAnswerPing(const handle &Handle) {
  // websocketpp queues each answer without a limit. Peers count anything that
  // arrives as a sign of life, so that queued bytes do as well.
  auto *State = find(Handle);
  auto Connection = lock(Handle);
  return State && State->Up && Connection &&
         Connection->get_buffered_amount() == 0;
}

void link_hub::implementation::onMessage(const handle &Handle,
                                         const websocket_message &Message) {
  auto Connection = lock(Handle);
  auto *State = find(Handle);
  if (!Connection || !State || State->Ended || Stopping)
    return;
  State->LastReceived = clock_type::now();
  if (Message->get_opcode() != websocketpp::frame::opcode::binary) {
    closeConnection(Connection, *State, "a frame is not binary",
                    websocketpp::close::status::unsupported_data);
    return;
  }
  if (!State->Up) {
    acceptHello(Connection, *State, Message->get_payload());
    return;
  }
  ++MessagesReceived;
  BytesReceived += Message->get_payload().size();
  if (Handlers.OnMessage) {
    // The handler may close this connection, which invalidates State.
    auto Peer = State->Peer;
    Handlers.OnMessage(Peer, std::move(Message->get_raw_payload()));
  }
}

websocket_pointer link_hub::implementation::lock(const handle &Handle) {
  return std::static_pointer_cast<websocket_connection>(Handle.lock());
}

link_hub::implementation::connection_state *
link_hub::implementation::find(const handle &Handle) {
  auto Found = Connections.find(Handle);
  return Found == Connections.end() ? nullptr : &Found->second;
}

void link_hub::implementation::flush(outbox &Outbox) {
  if (Outbox.flush())
    return;
  if (std::exchange(DrainScheduled, true))
    return;
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
  Timer->expires_after(DrainPollPeriod);
  Timer->async_wait([this, Timer](asio_error) {
    DrainScheduled = false;
    Outboxes.forEach([this](outbox &Waiting) { flush(Waiting); });
  });
}

void link_hub::implementation::scheduleTick() {
  TickTimer.expires_after(TickPeriod);
  TickTimer.async_wait([this](asio_error Error) {
    if (Error || Stopping)
      return;
    tick(clock_type::now());
    core::thread_times::record();
    scheduleTick();
  });
}

void link_hub::implementation::tick(clock_type::time_point Now) {
  bool Stalled = Now - std::exchange(LastTick, Now) > StallThreshold;
  // Dropping a connection modifies Connections.
  std::vector<handle> Handles;
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
        checkLiveness(Connection, *State, Now);
}

void link_hub::implementation::checkLiveness(
    const websocket_pointer &Connection, connection_state &State,
    clock_type::time_point Now) {
  if (!State.Up) {
    if (Now - State.Started > HelloTimeout)
      dropConnection(Connection, State,
                     "no hello within " + std::to_string(HelloTimeout.count()) +
                         " ms");
    return;
  }
  if (Now - State.LastReceived > ReceiveTimeout) {
    dropConnection(Connection, State,
                   "nothing received for " +
                       std::to_string(ReceiveTimeout.count()) + " ms");
    return;
  }
  // Whatever the peer has sent lately shows as much as its answer to a ping.
  if (Now - std::max(State.LastPing, State.LastReceived) < PingPeriod)
    return;
  State.LastPing = Now;
  websocketpp::lib::error_code Ignored;
  Connection->ping("", Ignored);
}

void link_hub::implementation::notify(const std::string &Peer, bool IsUp) {
  if (Handlers.OnPeerChange)
    Handlers.OnPeerChange(Peer, IsUp);
}

void link_hub::implementation::reportError(const std::string &Peer,
                                           const std::string &Reason) {
  if (Handlers.OnError)
    Handlers.OnError(Peer, Reason);
}

} // namespace lycheetrestle::transport
