#include "http/client.h"

#include "core/thread_times.h"
#include "http/transfer_loop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheetrestle::http {

namespace {

using core::boot_clock;

// Below the keep-alive timeout of common servers, so that a request is rarely
// sent on a connection that the server is closing.
constexpr long MaxIdleSeconds = 50;
constexpr long MaxCachedConnections = 2048;
// One connection may be held by a long poll, and short calls share the others.
// Opening a connection for each call of a burst costs more than queueing.
constexpr long MaxHostConnections = 3;
constexpr std::size_t MaxIdleHandles = 1024;
// Delay before results that did not fit into the ring are pushed again.
constexpr core::duration FlushRetryInterval = std::chrono::milliseconds(1);
// A connection is closed when sent data stays unacknowledged for this time.
// Above two retransmissions and below the shortest lease.
constexpr unsigned UserTimeoutMs = 2000;

/// Initialises libcurl before the first handle is created.
struct library_guard {
  library_guard() {
    static std::once_flag Once;
    std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  }
};

struct transfer {
  client_call Call;
  std::size_t MaxResponseBytes = 0;
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  unsigned SendCount = 0; ///< Times that libcurl started to send the request.
  response Response;
  const char *AbortReason = nullptr;
};

// libcurl resends a request on a new connection when a reused one is lost
// before the response. The server may have executed the first copy by then, so
// the second call aborts the transfer and the application thread decides
// whether to retry.
int onBeforeRequest(void *Context, char *, char *, int, int) {
  auto &Transfer = *static_cast<transfer *>(Context);
  if (Transfer.SendCount > 0) {
    Transfer.AbortReason = "connection lost";
    return CURL_PREREQFUNC_ABORT;
  }
  ++Transfer.SendCount;
  return CURL_PREREQFUNC_OK;
}

int onSocket(void *, curl_socket_t Socket, curlsocktype) {
  // The system's default timeout is longer.
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs,
             sizeof UserTimeoutMs);
  return CURL_SOCKOPT_OK;
}

std::size_t onHeader(char *Data, std::size_t, std::size_t Size, void *Context) {
  auto &Transfer = *static_cast<transfer *>(Context);
  std::string_view Line(Data, Size);
  auto Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size;
  auto First = Line.find_first_not_of(" \t", Colon + 1);
  auto Last = Line.find_last_not_of(" \t\r\n");
  if (First != std::string_view::npos && Last >= First)
    Transfer.Response.Headers.push_back(
        {std::string(Line.substr(0, Colon)),
         std::string(Line.substr(First, Last - First + 1))});
  return Size;
}

std::size_t onBody(char *Data, std::size_t, std::size_t Size, void *Context) {
  auto &Transfer = *static_cast<transfer *>(Context);
  auto &Body = Transfer.Response.Body;
  if (Body.size() + Size > Transfer.MaxResponseBytes) {
    Transfer.AbortReason = "response too large";
    return 0;
  }
  Body.append(Data, Size);
  return Size;
}

long toMilliseconds(core::duration Duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Duration)
      .count();
}

} // namespace

class client::implementation {
public:
  implementation(client_settings Settings,
                 core::bounded_ring<client_call> &Calls,
                 core::ring_signal &CallsSignal,
                 core::bounded_ring<client_result> &Results)
      : Settings(Settings), Calls(Calls), CallsSignal(CallsSignal),
        Results(Results), Work(asio::make_work_guard(Loop)), FlushTimer(Loop),
        Transport(Loop,
                  [this](CURL *Easy, CURLcode Code) { finish(Easy, Code); }) {
    auto *Multi = Transport.handle();
    curl_multi_setopt(Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
    curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS, MaxHostConnections);
  }

  ~implementation() {
    stop();
    while (!Transfers.empty())
      release(Transfers.begin()->first);
    for (CURL *Easy : IdleHandles)
      curl_easy_cleanup(Easy);
  }

  void start() {
    CallsSignal.setForward([this] {
      if (!IsDrainPosted.exchange(true))
        asio::post(Loop, [this] { drainCalls(); });
    });
    Thread = std::thread([this] {
      core::thread_times::registration Name("http_client");
      Loop.run();
    });
  }

  void stop() {
    if (!Thread.joinable())
      return;
    CallsSignal.setForward({});
    Loop.stop();
    Thread.join();
  }

private:
  void drainCalls() {
    core::thread_times::record();
    IsDrainPosted = false;
    Calls.drain([this](client_call &&Call) { begin(std::move(Call)); });
    Transport.begin();
    flush();
  }

  void flush() {
    while (!PendingResults.empty() &&
           Results.push(std::move(PendingResults.front())))
      PendingResults.pop_front();
    if (PendingResults.empty() || std::exchange(IsFlushDue, true))
      return;
    FlushTimer.expires_after(FlushRetryInterval);
    FlushTimer.async_wait([this](const asio::error_code &) {
      IsFlushDue = false;
      flush();
    });
  }

  void begin(client_call Call) {
    auto Now = boot_clock::now();
    if (Now - Call.Issued > Settings.MaxCallAge) {
      PendingResults.push_back(
          {Call.Id, false, false, {}, "call too old", true});
      return;
    }
    if (!Call.Address) {
      PendingResults.push_back(
          {Call.Id, false, false, {}, "invalid address", true});
      return;
    }
    auto Transfer = std::make_unique<transfer>();
    Transfer->Call = std::move(Call);
    Transfer->MaxResponseBytes = Settings.MaxResponseBytes;
    Transfer->Easy = acquireHandle();
    configure(*Transfer, Now);
    auto *Raw = Transfer.get();
    Transfers.emplace(Raw->Easy, std::move(Transfer));
    if (!Transport.add(Raw->Easy)) {
      PendingResults.push_back(
          {Raw->Call.Id, false, false, {}, "library error", true});
      release(Raw->Easy);
    }
  }

  void configure(transfer &Transfer, core::time_point Now) {
    CURL *Easy = Transfer.Easy;
    Transport.prepare(Easy);
    const auto &Request = Transfer.Call.Request;
    auto Left = Transfer.Call.Issued + Transfer.Call.Timeout - Now;
    long LeftMs = std::max(1L, toMilliseconds(Left));
    std::string Url =
        "http://" + Transfer.Call.Address->text() + Request.Target;
    curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    // Addresses are numeric, so caching saves nothing, and libcurl scans the
    // whole DNS cache on each call.
    curl_easy_setopt(Easy, CURLOPT_DNS_CACHE_TIMEOUT, 0L);
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, LeftMs);
    curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                     std::min(LeftMs, toMilliseconds(Settings.ConnectTimeout)));
    curl_easy_setopt(Easy, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
    curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION, onSocket);
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, onBeforeRequest);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Transfer);
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Transfer);
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Transfer);
    curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Transfer);
    if (Request.Method == "POST") {
      curl_easy_setopt(Easy, CURLOPT_POST, 1L);
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(Request.Body.size()));
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Request.Body.data());
    } else {
      curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
    }
    for (const auto &Header : Request.Headers)
      addHeader(Transfer, Header.Name + ": " + Header.Value);
    // Suppresses "Expect: 100-continue": with a server that does not answer
    // it, libcurl waits up to one second before it sends the body.
    addHeader(Transfer, "Expect:");
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Transfer.Headers);
  }

  static void addHeader(transfer &Transfer, const std::string &Line) {
    Transfer.Headers = curl_slist_append(Transfer.Headers, Line.c_str());
  }

  void finish(CURL *Easy, CURLcode Code) {
    transfer *Transfer = nullptr;
    curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Transfer);
    PendingResults.push_back(makeResult(*Transfer, Code));
    release(Easy);
    flush();
  }

  static client_result makeResult(transfer &Transfer, CURLcode Code) {
    client_result Result;
    Result.Id = Transfer.Call.Id;
    Result.WasSent = Transfer.SendCount > 0;
    if (Code != CURLE_OK) {
      Result.Reason = Transfer.AbortReason ? Transfer.AbortReason
                                           : curl_easy_strerror(Code);
      long Error = 0;
      curl_easy_getinfo(Transfer.Easy, CURLINFO_OS_ERRNO, &Error);
      Result.IsRefused = Code == CURLE_COULDNT_CONNECT && Error == ECONNREFUSED;
      return Result;
    }
    long Status = 0;
    curl_easy_getinfo(Transfer.Easy, CURLINFO_RESPONSE_CODE, &Status);
    Result.IsComplete = true;
    Result.Response = std::move(Transfer.Response);
    Result.Response.Status = static_cast<std::uint16_t>(Status);
    return Result;
  }

  // Removing a transfer that is still in progress closes its connection.
  void release(CURL *Easy) {
    auto Found = Transfers.find(Easy);
    if (Found == Transfers.end())
      return;
    Transport.remove(Easy);
    curl_slist_free_all(Found->second->Headers);
    Transfers.erase(Found);
    if (IdleHandles.size() >= MaxIdleHandles) {
      curl_easy_cleanup(Easy);
      return;
    }
    curl_easy_reset(Easy);
    IdleHandles.push_back(Easy);
  }

  CURL *acquireHandle() {
    if (IdleHandles.empty())
      return curl_easy_init();
    CURL *Easy = IdleHandles.back();
    IdleHandles.pop_back();
    return Easy;
  }

  client_settings Settings;
  core::bounded_ring<client_call> &Calls;
  core::ring_signal &CallsSignal;
  core::bounded_ring<client_result> &Results;
  asio::io_context Loop{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  asio::steady_timer FlushTimer;
  bool IsFlushDue = false;
  library_guard Library;
  transfer_loop Transport;
  std::vector<CURL *> IdleHandles;
  std::unordered_map<CURL *, std::unique_ptr<transfer>> Transfers;
  std::deque<client_result> PendingResults; ///< Not yet in the ring.
  std::atomic<bool> IsDrainPosted = false;
  std::thread Thread;
};

client::client(client_settings Settings, core::bounded_ring<client_call> &Calls,
               core::ring_signal &CallsSignal,
               core::bounded_ring<client_result> &Results)
    : Impl(std::make_unique<implementation>(Settings, Calls, CallsSignal,
                                            Results)) {}

client::~client() = default;

void client::start() { Impl->start(); }

void client::stop() { Impl->stop(); }

} // namespace lycheetrestle::http
