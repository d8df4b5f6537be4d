#include "transport/hub_core.h"

#include "transport/hello.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::transport {

namespace {
using std::chrono::milliseconds;

// A control frame has at most 125 bytes, two of them for the code.
constexpr std::size_t MaxCloseReasonBytes = 123;
} // namespace

void link_hub::implementation::sendHello(const websocket_pointer &Connection,
                                         connection_state &State) {
  // The wall clock keeps the stamps increasing across restarts of the process.
  LastStamp = std::max<std::uint64_t>(
      LastStamp + 1, std::chrono::duration_cast<std::chrono::microseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count());
  State.HelloSent = true;
  Connection->send(encodeHello({Settings.SelfName, LastStamp}),
                   websocketpp::frame::opcode::binary);
}

// A connection is up once both hellos are exchanged; the dialling side sends
// first. When both sides dial concurrently, the side with the smaller name
// rejects the other's connection if it has already sent its own hello, and
// abandons its own attempt otherwise; the other side accepts. Only whether the
// smaller side has sent its hello decides, so the sides cannot choose different
// connections. An established link is replaced only by a connection with a
// newer stamp.
void link_hub::implementation::acceptHello(const websocket_pointer &Connection,
                                           connection_state &State,
                                           const std::string &Bytes) {
  auto Hello = decodeHello(Bytes);
  if (!Hello) {
    closeConnection(Connection, State,
                    "the first message is not a valid hello");
    return;
  }
  if (Hello->Name == Settings.SelfName) {
    closeConnection(Connection, State, "the peer has this process's own name");
    return;
  }
  if (State.Dialled && Hello->Name != State.Peer) {
    closeConnection(Connection, State, "the peer names itself " + Hello->Name);
    return;
  }
  State.Peer = Hello->Name;
  State.Stamp = Hello->Stamp;
  auto &Peer = peer(State.Peer);
  if (Peer.Link) {
    auto *Existing = find(Peer.Link);
    if (Existing && Existing->Stamp >= State.Stamp) {
      closeConnection(Connection, State, "a newer link exists");
      return;
    }
    if (Existing)
      closeConnection(websocket_pointer(Peer.Link), *Existing,
                      "a newer connection replaces the link");
  }
  if (Peer.Attempt && Peer.Attempt != Connection) {
    auto *Own = find(Peer.Attempt);
    if (Own && Own->HelloSent && Settings.SelfName < State.Peer) {
      State.Ended = true;
      closeSocket(Connection, "both sides dial", DuplicateDial);
      return;
    }
    abandonAttempt(Peer);
  }
  activateLink(Connection, State, Peer);
}

void link_hub::implementation::activateLink(const websocket_pointer &Connection,
                                            connection_state &State,
                                            peer_state &Peer) {
  if (!State.Dialled)
    sendHello(Connection, State);
  Connection->set_max_message_size(Settings.MaxMessageBytes);
  State.Up = true;
  State.LastReceived = State.LastPing = clock_type::now();
  Peer.Attempt.reset();
  Peer.Link = Connection;
  Peer.DialTimer.cancel();
  Peer.Backoff = InitialBackoff;
  Peer.LastError.clear();
  Outboxes.insert(State.Peer, std::make_shared<outbox>(Connection));
  notify(State.Peer, true);
}

void link_hub::implementation::abandonAttempt(peer_state &Peer) {
  auto Attempt = std::exchange(Peer.Attempt, nullptr);
  if (auto *Own = find(Attempt))
    Own->Ended = true;
  terminate(Attempt);
  releaseSocket(Attempt); // Cancels a pending connect.
}

void link_hub::implementation::closeConnection(
    const websocket_pointer &Connection, connection_state &State,
    const std::string &Reason, websocketpp::close::status::value Code) {
  // Closing the socket may remove State immediately, so the end is reported
  // first.
  endConnection(Connection, State, Reason);
  closeSocket(Connection, Reason, Code);
}

void link_hub::implementation::dropConnection(
    const websocket_pointer &Connection, connection_state &State,
    const std::string &Reason) {
  endConnection(Connection, State, Reason);
  terminate(Connection);
  releaseSocket(Connection);
}

void link_hub::implementation::endConnection(
    const websocket_pointer &Connection, connection_state &State,
    const std::string &Reason) {
  if (std::exchange(State.Ended, true))
    return;
  // When both sides dialled, the other connection is in use.
  bool IsDuplicate =
      State.Dialled && Connection->get_remote_close_code() == DuplicateDial;
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
  if (!IsDuplicate &&
      (WasUp || std::exchange(Peer.LastError, Reason) != Reason))
    reportError(Name, Reason);
  scheduleDial(Name);
}

void link_hub::implementation::closeSocket(
    const websocket_pointer &Connection, const std::string &Reason,
    websocketpp::close::status::value Code) {
  websocketpp::lib::error_code Error;
  Connection->close(Code, Reason.substr(0, MaxCloseReasonBytes), Error);
  if (Error)
    terminate(Connection);
}

void link_hub::implementation::terminate(const websocket_pointer &Connection) {
  Connection->terminate(websocketpp::error::make_error_code(
      websocketpp::error::operation_canceled));
}

void link_hub::implementation::releaseSocket(
    const websocket_pointer &Connection) {
  boost::system::error_code Ignored;
  if (Connection)
    Connection->get_raw_socket().close(Ignored);
}

link_hub::implementation::peer_state &
link_hub::implementation::peer(const std::string &Name) {
  return Peers.try_emplace(Name, Context).first->second;
}

void link_hub::implementation::configurePeer(const link_peer &Target) {
  if (Stopping || Target.Name == Settings.SelfName)
    return;
  auto &Peer = peer(Target.Name);
  bool AddressChanged =
      Peer.Target && (Peer.Target->Address != Target.Address ||
                      Peer.Target->Port != Target.Port);
  Peer.Target = Target;
  if (AddressChanged && Peer.Attempt)
    abandonAttempt(Peer);
  if (AddressChanged && Peer.Link)
    if (auto *State = find(Peer.Link); State && State->Dialled)
      closeConnection(websocket_pointer(Peer.Link), *State,
                      "the address of the peer changed");
  Peer.Backoff = InitialBackoff;
  dial(Target.Name);
}

void link_hub::implementation::disconnectPeer(const std::string &Name) {
  auto Found = Peers.find(Name);
  if (Found == Peers.end())
    return;
  auto &Peer = Found->second;
  Peer.Target.reset();
  Peer.DialTimer.cancel();
  if (Peer.Attempt)
    abandonAttempt(Peer);
  if (Peer.Link)
    if (auto *State = find(Peer.Link))
      closeConnection(websocket_pointer(Peer.Link), *State,
                      "the peer was removed",
                      websocketpp::close::status::going_away);
}

void link_hub::implementation::scheduleDial(const std::string &Name) {
  auto &Peer = peer(Name);
  if (Stopping || !Peer.Target || Peer.Link || Peer.Attempt)
    return;
  std::uniform_int_distribution<long> Jitter(Peer.Backoff.count() / 2,
                                             Peer.Backoff.count());
  Peer.DialTimer.expires_after(milliseconds(Jitter(Random)));
  Peer.Backoff = std::min(2 * Peer.Backoff, MaxBackoff);
  Peer.DialTimer.async_wait([this, Name](boost::system::error_code Error) {
    if (!Error)
      dial(Name);
  });
}

void link_hub::implementation::dial(const std::string &Name) {
  auto &Peer = peer(Name);
  if (Stopping || !Peer.Target || Peer.Link || Peer.Attempt)
    return;
  bool IsIpv6 = Peer.Target->Address.find(':') != std::string::npos;
  auto Host = IsIpv6 ? "[" + Peer.Target->Address + "]" : Peer.Target->Address;
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

} // namespace lycheetrestle::transport
