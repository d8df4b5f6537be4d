#include "http/tracked_socket.h"

#include "core/event_log.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

namespace lycheetrestle::http {

namespace {

// Bounds the wait for a peer that does not close its connection.
constexpr auto PeerCloseTimeout = std::chrono::seconds(1);
// Further connections are closed at once, so that peers that never close theirs
// cannot use up the file descriptors. Used where no limits are set.
constexpr std::size_t MaxClosing = 256;
constexpr auto CheckInterval = std::chrono::milliseconds(250);
// Longest wait of a request for room in the budget, in all.
constexpr auto RoomTimeout = std::chrono::seconds(2);
// A request of which nothing arrives for this time is given up. Clients must
// send a head within 3 s.
constexpr auto StallTimeout = std::chrono::seconds(5);
// The same while other connections wait for room.
constexpr auto CrowdedStallTimeout = std::chrono::seconds(1);
// While other connections wait for room, a request that holds some must arrive
// at this rate in each period. A tenth of a gateway's 2 Mbit/s is 25,000 bytes.
constexpr auto CrowdedRatePeriod = std::chrono::seconds(1);
constexpr std::size_t CrowdedBytesPerPeriod = 16'384;
// One of so many waiting connections is closed in a check.
constexpr std::size_t WaitingParts = 8;
constexpr auto LogInterval = std::chrono::seconds(1);
// A request that takes longer than the grace time must arrive at this rate.
// Clients wait 3 s at most for a response.
constexpr auto RateGrace = std::chrono::seconds(5);
constexpr std::size_t MinBytesPerSecond = 1024;
// Time without progress after which a response counts as not received.
constexpr auto WriteStallTimeout = std::chrono::seconds(1);
// Of the descriptors, one of so many is for connections that wait for their
// peer to close them.
constexpr std::size_t ClosingParts = 8;

bool isTooSlow(core::duration Elapsed, std::size_t Bytes) {
  auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Elapsed);
  return Elapsed >= RateGrace &&
         Bytes / MinBytesPerSecond < static_cast<std::size_t>(Seconds.count());
}

} // namespace

connection_limits limitConnections(const process_limits &Process,
                                   std::size_t MaxBodyBytes,
                                   core::duration RequestTimeout) {
  connection_limits Result;
  Result.MaxRequestBytes = MaxHeadBytes + MaxBodyBytes;
  Result.Budget = limitsFor(Process, Result.MaxRequestBytes);
  Result.Closing = Process.Descriptors / ClosingParts;
  Result.RequestTimeout = RequestTimeout;
  return Result;
}

/// A connection whose response was sent. It discards what its peer still sends,
/// until the peer closes the connection or the time-out ends.
class closing_connection
    : public std::enable_shared_from_this<closing_connection> {
public:
  closing_connection(asio::ip::tcp::socket &&NewSocket,
                     connection_registry &Registry)
      : Socket(std::move(NewSocket)), Timer(Socket.get_executor()),
        Registry(Registry) {}

  void start() {
    Timer.expires_after(PeerCloseTimeout);
    Timer.async_wait([Self = shared_from_this()](asio::error_code Error) {
      if (!Error)
        Self->close();
    });
    discardInput();
  }

  void close() {
    asio::error_code Ignored;
    Socket.close(Ignored);
    Timer.cancel();
    Registry.Closing.erase(shared_from_this());
  }

private:
  void discardInput() {
    Socket.async_read_some(
        asio::buffer(Discarded),
        [Self = shared_from_this()](asio::error_code Error, std::size_t) {
          if (Error)
            return Self->close();
          Self->discardInput();
        });
  }

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  connection_registry &Registry;
  std::array<char, 4096> Discarded{};
};

void connection_registry::limit(asio::io_context &Context,
                                connection_limits NewLimits) {
  Budget.emplace(NewLimits.Budget);
  Limits = std::move(NewLimits);
  Timer.emplace(Context);
  checkPeriodically();
}

void connection_registry::shutdown() {
  Timer.reset();
  Closing.clear();
  // Each of them owns its connection.
  std::vector<std::function<void(asio::error_code)>> Resumes;
  for (auto *Socket : Waiting)
    Resumes.push_back(std::exchange(Socket->Resume, {}));
  Waiting.clear();
}

bool connection_registry::open(tracked_socket &Socket) {
  if (!Open.insert(&Socket).second || !Limits)
    return true;
  asio::error_code Error;
  auto Peer = Socket.remote_endpoint(Error);
  if (!Error)
    Socket.Account.Address = Peer.address().to_string();
  auto Own = Socket.local_endpoint(Error);
  Socket.ReadsAhead = Limits->ReadsAhead;
  if (!Error) {
    auto Port = Limits->ReadsAhead ? std::uint16_t(0) : Own.port();
    Socket.Client = {Peer, Port};
    ByClient[Socket.Client] = &Socket;
  }
  const auto &Reserved = Limits->ReservedPorts;
  if (!Error &&
      std::find(Reserved.begin(), Reserved.end(), Own.port()) != Reserved.end())
    Socket.Account.Class = listener_class::Reserved;
  Socket.ActiveAt = core::boot_clock::now();
  Budget->open(Socket.Account);
  if (!Budget->isFull(Socket.Account.Class))
    return true;
  if (auto *Other = leastActive(Socket)) {
    evict(*Other, "connections");
    return true;
  }
  countRefusal("connections");
  return false;
}

void connection_registry::remove(tracked_socket &Socket) {
  if (Open.erase(&Socket) == 0)
    return;
  if (Budget)
    Budget->close(Socket.Account);
  auto Found = ByClient.find(Socket.Client);
  if (Found != ByClient.end() && Found->second == &Socket)
    ByClient.erase(Found);
  std::erase(Waiting, &Socket);
  // The function may own the socket.
  if (Socket.Resume)
    asio::post(Socket.get_executor(),
               [Resume = std::exchange(Socket.Resume, {})] {});
  resumeWaiting();
}

bool connection_registry::reserve(tracked_socket &Socket,
                                  std::size_t MoreBytes) {
  if (!Budget || !Socket.Account.IsOpen)
    return true;
  return Budget->reserve(Socket.Account,
                         memoryFor(std::min(Socket.RequestBytes + MoreBytes,
                                            Limits->MaxRequestBytes *
                                                (Limits->ReadsAhead ? 2 : 1))));
}

void connection_registry::release(tracked_socket &Socket) {
  Socket.ActiveAt = core::boot_clock::now();
  if (Limits && Limits->ReadsAhead) {
    Socket.IsWriting = true;
    return;
  }
  Socket.RequestBytes = 0;
  Socket.PassedBytes = 0;
  if (!Budget || Socket.Account.SharedBytes == 0)
    return;
  Budget->release(Socket.Account);
  resumeWaiting();
}

void connection_registry::passOn(const client_key &Client) {
  auto Found = ByClient.find(Client);
  if (Found == ByClient.end())
    return;
  ++Found->second->PassedOn;
  if (Limits->ReadsAhead)
    Found->second->PassedBytes = Found->second->RequestBytes;
}

void connection_registry::complete(const client_key &Client) {
  auto Found = ByClient.find(Client);
  if (Found == ByClient.end() || Found->second->PassedOn == 0)
    return;
  auto &Socket = *Found->second;
  Socket.IsWriting = false;
  if (--Socket.PassedOn > 0 || !Limits->ReadsAhead)
    return;
  Socket.RequestBytes -= std::exchange(Socket.PassedBytes, 0);
  Socket.RequestSince = core::boot_clock::now();
  Socket.WaitsSince = Socket.RequestSince;
  Socket.Waited = {};
  Socket.IsSlow = false;
  Socket.beginRatePeriod(Socket.RequestSince);
  Budget->reduce(Socket.Account, memoryFor(Socket.RequestBytes));
  resumeWaiting();
}

void connection_registry::closeStalledWriters() {
  auto Now = core::boot_clock::now();
  std::vector<tracked_socket *> Stalled;
  for (auto *Socket : Open)
    if (Socket->IsWriting && Now - Socket->ActiveAt >= WriteStallTimeout)
      Stalled.push_back(Socket);
  for (auto *Socket : Stalled)
    evict(*Socket, "response_room");
}

void connection_registry::wait(tracked_socket &Socket, std::size_t MoreBytes) {
  Socket.WaitsSince = core::boot_clock::now();
  Socket.WantedBytes = MoreBytes;
  Waiting.push_back(&Socket);
  resumeWaiting();
}

void connection_registry::sortWaiting() {
  // The next request of a connection that waits for a response may take long.
  std::stable_sort(Waiting.begin(), Waiting.end(), [](auto *Left, auto *Right) {
    return std::pair(Left->isPending(), Left->RequestSince) <
           std::pair(Right->isPending(), Right->RequestSince);
  });
}

void connection_registry::resumeWaiting() {
  if (Waiting.empty() || IsResumePosted || !Timer)
    return;
  IsResumePosted = true;
  asio::post(Timer->get_executor(), [this] {
    IsResumePosted = false;
    std::vector<std::function<void(asio::error_code)>> Ready;
    auto MayResume = [&](tracked_socket *Socket) {
      if (!reserve(*Socket, Socket->WantedBytes))
        return false;
      auto Wait = core::boot_clock::now() - Socket->WaitsSince;
      Socket->Waited += Wait;
      Socket->RateSince += Wait;
      Ready.push_back(std::exchange(Socket->Resume, {}));
      return true;
    };
    // Otherwise many requests would share the room, and none would end in time.
    sortWaiting();
    std::erase_if(Waiting, MayResume);
    // If all room is held by requests that wait, none of them would ever end.
    auto Oldest = Waiting.begin();
    if (Oldest != Waiting.end() && !(*Oldest)->isPending() &&
        Budget->beginCompletion((*Oldest)->Account) && MayResume(*Oldest))
      Waiting.erase(Oldest);
    for (auto &Resume : Ready)
      Resume({});
  });
}

void connection_registry::checkPeriodically() {
  Timer->expires_after(CheckInterval);
  Timer->async_wait([this](asio::error_code Error) {
    if (Error)
      return;
    checkPeriodically();
    checkAll();
  });
}

void connection_registry::checkAll() {
  auto Now = core::boot_clock::now();
  std::vector<tracked_socket *> Stalled;
  for (auto *Socket : Open)
    if (Socket->isReadingRequest() &&
        ((!Socket->Resume &&
          (Now - Socket->ActiveAt >= StallTimeout ||
           isTooSlow(Now - Socket->RequestSince, Socket->RequestBytes))) ||
         Now - Socket->RequestSince >= Limits->RequestTimeout))
      Stalled.push_back(Socket);
  for (auto *Socket : Stalled)
    evict(*Socket, "request_time");
  // A connection that waits is not read, so that a reset would go unnoticed.
  std::vector<tracked_socket *> Gone;
  for (auto *Socket : Waiting)
    if (!Socket->isPending() && Socket->isReset())
      Gone.push_back(Socket);
  for (auto *Socket : Gone)
    evict(*Socket, "client_gone");
  evictStalled(Now);
  // Only a part, so that the others can use the room that this makes. The first
  // of several has the next room.
  auto Count = (Waiting.size() + WaitingParts - 1) / WaitingParts;
  std::vector<tracked_socket *> Expired;
  sortWaiting();
  for (auto *Socket : Waiting)
    if (Expired.size() < Count && !Socket->isPending() &&
        (Waiting.size() == 1 || Socket != Waiting.front()) &&
        Socket->Waited + (Now - Socket->WaitsSince) >= RoomTimeout)
      Expired.push_back(Socket);
  for (auto *Socket : Expired)
    evict(*Socket, "no_room");
  publish();
}

void connection_registry::evictStalled(core::time_point Now) {
  std::vector<tracked_socket *> Stalled;
  for (auto *Socket : Open) {
    if (!Socket->isReadingRequest() || Socket->Resume)
      continue;
    if (Now - Socket->RateSince >= CrowdedRatePeriod) {
      Socket->IsSlow =
          Socket->RequestBytes - Socket->RateBytes < CrowdedBytesPerPeriod;
      Socket->beginRatePeriod(Now);
    }
    if (Socket->Account.SharedBytes > 0 &&
        (Socket->IsSlow || Now - Socket->ActiveAt >= CrowdedStallTimeout))
      Stalled.push_back(Socket);
  }
  std::sort(Stalled.begin(), Stalled.end(), [](auto *Left, auto *Right) {
    return Left->ActiveAt < Right->ActiveAt;
  });
  if (Stalled.size() > Waiting.size())
    Stalled.resize(Waiting.size());
  for (auto *Socket : Stalled)
    evict(*Socket, "stalled");
}

tracked_socket *
connection_registry::leastActive(const tracked_socket &Except) const {
  tracked_socket *Best = nullptr;
  auto Class = Budget->classToReduce();
  std::size_t Most = 0;
  for (auto *Socket : Open) {
    // A request that was passed on keeps its connection, so that its response
    // can be sent.
    if (Socket == &Except || Socket->isPending() ||
        Socket->Account.Class != Class)
      continue;
    auto Count = Budget->connectionsFrom(Socket->Account.Address);
    if (Best &&
        (Count < Most || (Count == Most && Socket->ActiveAt >= Best->ActiveAt)))
      continue;
    Best = Socket;
    Most = Count;
  }
  return Best;
}

void connection_registry::evict(tracked_socket &Socket,
                                std::string_view Reason) {
  countRefusal(Reason);
  asio::error_code Ignored;
  Socket.base::close(Ignored);
  remove(Socket);
}

void connection_registry::countRefusal(std::string_view Reason) {
  if (Limits && Limits->Metrics)
    Limits->Metrics->add("http_refusals_total{reason=\"" + std::string(Reason) +
                         "\"}");
  auto &Count = Refusals[std::string(Reason)];
  ++Count.Unlogged;
  auto Now = core::boot_clock::now();
  if (Count.LoggedAt != core::time_point() &&
      Now - Count.LoggedAt < LogInterval)
    return;
  Count.LoggedAt = Now;
  core::logEvent(core::log_level::Warning, "client_refused",
                 {{"reason", Reason},
                  {"count", std::exchange(Count.Unlogged, 0)},
                  {"connections", count()},
                  {"held_bytes", Budget ? Budget->sharedBytes() : 0},
                  {"waiting", Waiting.size()}});
}

void connection_registry::publish() {
  if (!Limits->Metrics)
    return;
  Limits->Metrics->set("http_connections", static_cast<double>(count()));
  Limits->Metrics->set("http_held_bytes",
                       static_cast<double>(Budget->sharedBytes()));
  Limits->Metrics->set("http_waiting_connections",
                       static_cast<double>(Waiting.size()));
}

void connection_registry::closeIdle() {
  std::vector<tracked_socket *> Idle;
  asio::error_code Error;
  // Bytes that have arrived are read first.
  for (auto *Socket : Open)
    if (Socket->isIdle() && Socket->available(Error) == 0)
      Idle.push_back(Socket);
  for (auto *Socket : Idle) {
    Socket->base::close(Error);
    remove(*Socket);
  }
}

void connection_registry::closeAll() {
  asio::error_code Ignored;
  while (!Open.empty()) {
    auto &Socket = **Open.begin();
    Socket.base::close(Ignored);
    remove(Socket);
  }
  // close() removes the connection from Closing.
  std::vector<std::shared_ptr<closing_connection>> All(Closing.begin(),
                                                       Closing.end());
  for (const auto &Connection : All)
    Connection->close();
}

void connection_registry::closeAfterPeer(asio::ip::tcp::socket &&Socket) {
  auto Connection =
      std::make_shared<closing_connection>(std::move(Socket), *this);
  Closing.insert(Connection);
  Connection->start();
}

void tracked_socket::shutdown(shutdown_type Direction,
                              asio::error_code &Error) {
  base::shutdown(mustCloseAfterPeer() ? shutdown_send : Direction, Error);
}

bool tracked_socket::isReset() {
  // POLLHUP and POLLERR are always reported. A client that has only ended its
  // own side may still wait for a response.
  pollfd Poll{native_handle(), 0, 0};
  return ::poll(&Poll, 1, 0) == 1;
}

void tracked_socket::countRead(std::size_t Length) {
  ActiveAt = core::boot_clock::now();
  if (RequestBytes == PassedBytes) {
    RequestSince = ActiveAt;
    Waited = {};
    IsSlow = false;
    beginRatePeriod(ActiveAt);
  }
  RequestBytes += Length;
}

void tracked_socket::close() {
  Registry.remove(*this);
  auto ClosingLimit = Registry.Limits ? Registry.Limits->Closing : MaxClosing;
  if (is_open() && mustCloseAfterPeer() &&
      Registry.Closing.size() < ClosingLimit) {
    // Operations that are pending would keep the socket from moving.
    asio::error_code Ignored;
    cancel(Ignored);
    Registry.closeAfterPeer(std::move(static_cast<base &>(*this)));
    return;
  }
  base::close();
}

} // namespace lycheetrestle::http
