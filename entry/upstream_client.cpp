#include "entry/upstream_client.h"

#include "core/event_log.h"
#include "core/network_address.h"
#include "entry/ring_sender.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <strings.h>
#include <thread>
#include <unordered_map>
#include <vector>

namespace lycheetrestle::entry {

namespace {

using core::boot_clock;
using core::time_point;

// Below the keep-alive timeout of common servers, so that a request is rarely
// sent on a connection that the server is closing.
constexpr long MaxIdleSeconds = 10;
constexpr long MaxCachedConnections = 1024;
constexpr std::size_t MaxIdleHandles = 256;
constexpr int PollIntervalMs = 1000;
// Poll timeout while results that did not fit into the ring are queued.
constexpr int FlushRetryMs = 1;

void initializeLibrary() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string_view trim(std::string_view Text) {
  auto First = Text.find_first_not_of(" \t\r\n");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t\r\n") - First + 1);
}

long millisecondsUntil(time_point Deadline, time_point Now) {
  auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Deadline - Now);
  return std::max<long>(0, Left.count());
}

// The status line and headers of the final response.
struct response_head {
  unsigned Status = 0;
  bool IsFinished = false;
  bool HasId = false;      ///< Whether it has the id of the request.
  bool HasOtherId = false; ///< Whether it has a different id.
  bool IsFramed = false;   ///< Whether a length or chunks delimit the body.
  bool ReportedNotRun = false;
  std::string ContentType;
};

// An attempt from its order to its result.
struct transfer {
  routing::upstream_request Request;
  time_point Deadline;
  std::size_t MaxResponseBytes = 0;
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  unsigned SendCount = 0; ///< Times that libcurl started to send the request.
  response_head Head;
  std::string Body;
  const char *AbortReason = nullptr;
};

// Called before the request is written to a connection. Until a call has
// returned OK, no byte of the request was sent. libcurl resends a request on a
// new connection when a reused one is lost before the response; the endpoint
// may have run it by then, so the second call aborts the transfer.
int onBeforeRequest(void *Context, char *, char *, int, int) {
  auto &Transfer = *static_cast<transfer *>(Context);
  if (Transfer.SendCount > 0) {
    Transfer.AbortReason = "connection-lost";
    return CURL_PREREQFUNC_ABORT;
  }
  if (boot_clock::now() >= Transfer.Deadline) {
    Transfer.AbortReason = "deadline";
    return CURL_PREREQFUNC_ABORT;
  }
  ++Transfer.SendCount;
  return CURL_PREREQFUNC_OK;
}

void readStatusLine(transfer &Transfer, std::string_view Line) {
  Transfer.Head = response_head();
  auto Space = Line.find(' ');
  if (Space != std::string_view::npos)
    std::from_chars(Line.data() + Space + 1, Line.data() + Line.size(),
                    Transfer.Head.Status);
}

void readHeader(transfer &Transfer, std::string_view Line) {
  auto Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  auto Name = Line.substr(0, Colon);
  auto Value = trim(Line.substr(Colon + 1));
  auto &Head = Transfer.Head;
  if (equalsIgnoringCase(Name, "X-Request-Id")) {
    bool IsOwn = Value == Transfer.Request.CorrelationId;
    Head.HasId = Head.HasId || IsOwn;
    Head.HasOtherId = Head.HasOtherId || !IsOwn;
  } else if (equalsIgnoringCase(Name, "X-Verdict")) {
    Head.ReportedNotRun = Value == "not-run";
  } else if (equalsIgnoringCase(Name, "Content-Type")) {
    Head.ContentType = Value;
  } else if (equalsIgnoringCase(Name, "Content-Length")) {
    Head.IsFramed = true;
    std::uint64_t Length = 0;
    auto Parsed =
        std::from_chars(Value.data(), Value.data() + Value.size(), Length);
    if (Parsed.ec != std::errc() || Length > Transfer.MaxResponseBytes)
      Transfer.AbortReason = "too-large";
  } else if (equalsIgnoringCase(Name, "Transfer-Encoding")) {
    Head.IsFramed = Head.IsFramed || equalsIgnoringCase(Value, "chunked");
  }
}

// Aborts the transfer as soon as the headers show that the response is
// unusable. This also closes the connection: after a response with a wrong id,
// further responses on it could belong to other requests too.
bool validateHead(transfer &Transfer) {
  auto &Head = Transfer.Head;
  if (Head.Status < 200)
    return true;
  Head.IsFinished = true;
  bool HasNoBody = Head.Status == 204 || Head.Status == 304 ||
                   Transfer.Request.Method == "HEAD";
  if (!Head.HasId || Head.HasOtherId)
    Transfer.AbortReason = Head.HasOtherId ? "other-id" : "no-id";
  else if (!Head.IsFramed && !HasNoBody)
    Transfer.AbortReason = "no-length";
  return !Transfer.AbortReason;
}

std::size_t onHeader(char *Data, std::size_t, std::size_t Size, void *Context) {
  auto &Transfer = *static_cast<transfer *>(Context);
  std::string_view Line(Data, Size);
  // Trailers must not change the result.
  if (Transfer.Head.IsFinished)
    return Size;
  if (Line.substr(0, 5) == "HTTP/")
    readStatusLine(Transfer, Line);
  else if (!trim(Line).empty())
    readHeader(Transfer, Line);
  else if (!validateHead(Transfer))
    return 0;
  return Size;
}

std::size_t onBody(char *Data, std::size_t, std::size_t Size, void *Context) {
  auto &Transfer = *static_cast<transfer *>(Context);
  if (Transfer.Body.size() + Size > Transfer.MaxResponseBytes) {
    Transfer.AbortReason = "too-large";
    return 0;
  }
  Transfer.Body.append(Data, Size);
  return Size;
}

void addHeader(transfer &Transfer, const std::string &Line) {
  Transfer.Headers = curl_slist_append(Transfer.Headers, Line.c_str());
}

void setHeaders(transfer &Transfer, time_point Now) {
  const auto &Request = Transfer.Request;
  addHeader(Transfer, "X-Request-Id: " + Request.CorrelationId);
  addHeader(Transfer,
            "X-Request-Class: " + std::string(fleet::toString(Request.Class)));
  addHeader(Transfer, "X-Deadline-Ms: " + std::to_string(millisecondsUntil(
                                              Transfer.Deadline, Now)));
  // A line without a value removes the header that libcurl would add.
  addHeader(Transfer, "Content-Type:" + (Request.ContentType.empty()
                                             ? std::string()
                                             : " " + Request.ContentType));
  // Suppresses "Expect: 100-continue": with an endpoint that does not answer
  // it, libcurl waits up to one second before it sends the body.
  addHeader(Transfer, "Expect:");
  curl_easy_setopt(Transfer.Easy, CURLOPT_HTTPHEADER, Transfer.Headers);
}

void setMethod(transfer &Transfer) {
  const auto &Request = Transfer.Request;
  CURL *Easy = Transfer.Easy;
  bool TakesBody = Request.Method == "POST" || Request.Method == "PUT" ||
                   Request.Method == "PATCH";
  if (Request.Method == "HEAD") {
    curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (TakesBody || !Request.Body.empty()) {
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Request.Body.data());
  }
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
}

} // namespace

class upstream_client::implementation {
public:
  implementation(upstream_settings Settings, upstream_rings Rings)
      : Settings(Settings), Rings(Rings), Results(Rings.Results) {
    initializeLibrary();
    Multi = curl_multi_init();
    // Without HTTP/2 and pipelining: one request at a time per connection.
    curl_multi_setopt(Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
  }

  ~implementation() {
    stop();
    while (!Transfers.empty())
      release(Transfers.begin()->first);
    for (CURL *Easy : IdleHandles)
      curl_easy_cleanup(Easy);
    curl_multi_cleanup(Multi);
  }

  void start() {
    Rings.OrdersSignal.setForward([this] { curl_multi_wakeup(Multi); });
    Thread = std::thread([this] { run(); });
  }

  void stop() {
    if (!Thread.joinable())
      return;
    IsStopping = true;
    curl_multi_wakeup(Multi);
    Thread.join();
    Rings.OrdersSignal.setForward({});
  }

private:
  void run() {
    while (!IsStopping) {
      Rings.Orders.drain([this](upstream_order &&Order) {
        if (auto *Dispatch = std::get_if<dispatch_order>(&Order))
          begin(std::move(*Dispatch));
        else
          release(std::get<cancel_order>(Order).Attempt);
      });
      int Running = 0;
      curl_multi_perform(Multi, &Running);
      finishTransfers();
      int TimeoutMs = Results.flush() ? PollIntervalMs : FlushRetryMs;
      curl_multi_poll(Multi, nullptr, 0, TimeoutMs, nullptr);
    }
  }

  void refuse(std::uint64_t Attempt, std::string Reason) {
    routing::upstream_result Result;
    Result.Attempt = Attempt;
    Result.Status = routing::upstream_status::NotSent;
    Result.Reason = std::move(Reason);
    Results.send(std::move(Result));
  }

  void begin(dispatch_order Order) {
    auto &Request = Order.Request;
    auto Now = boot_clock::now();
    auto Deadline =
        Order.Issued + std::chrono::milliseconds(Request.DeadlineMs);
    if (Now - Order.Issued > Settings.MaxOrderAge)
      return refuse(Request.Attempt, "order-too-old");
    if (Now >= Deadline)
      return refuse(Request.Attempt, "deadline");
    auto Address = core::network_address::parse(Request.Address);
    if (!Address || !Address->isUnicast())
      return refuse(Request.Attempt, "bad-address");
    Request.Address = Address->text();
    auto &InUse = ConnectionsInUse[Request.Endpoint];
    // libcurl reuses an idle connection before it opens another one, so this
    // also bounds the number of open connections.
    if (Request.MaxConnections > 0 && InUse >= Request.MaxConnections)
      return refuse(Request.Attempt, "connection-limit");
    auto Attempt = Request.Attempt;
    auto Transfer = std::make_unique<transfer>();
    Transfer->Request = std::move(Request);
    Transfer->Deadline = Deadline;
    Transfer->MaxResponseBytes = Settings.MaxResponseBytes;
    Transfer->Easy = acquireHandle();
    configure(*Transfer, Now);
    ++InUse;
    auto *Raw = Transfer.get();
    Transfers.emplace(Attempt, std::move(Transfer));
    if (curl_multi_add_handle(Multi, Raw->Easy) != CURLM_OK) {
      release(Attempt);
      refuse(Attempt, "library-error");
    }
  }

  void configure(transfer &Transfer, time_point Now) {
    CURL *Easy = Transfer.Easy;
    const auto &Request = Transfer.Request;
    long LeftMs = std::max(1L, millisecondsUntil(Transfer.Deadline, Now));
    auto ConnectMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                         Settings.ConnectTimeout)
                         .count();
    std::string Url = "http://" + Request.Address + "/";
    curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_REQUEST_TARGET, Request.Path.c_str());
    curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, LeftMs);
    curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                     std::min<long>(LeftMs, ConnectMs));
    curl_easy_setopt(Easy, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, onBeforeRequest);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Transfer);
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Transfer);
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Transfer);
    curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Transfer);
    setMethod(Transfer);
    setHeaders(Transfer, Now);
  }

  void finishTransfers() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      transfer *Transfer = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Transfer);
      auto Result = makeResult(*Transfer, Message->data.result);
      release(Transfer->Request.Attempt);
      Results.send(std::move(Result));
    }
  }

  routing::upstream_result makeResult(transfer &Transfer, CURLcode Code) {
    routing::upstream_result Result;
    Result.Attempt = Transfer.Request.Attempt;
    if (Code != CURLE_OK || !Transfer.Head.IsFinished) {
      Result.Status = Transfer.SendCount == 0
                          ? routing::upstream_status::NotSent
                          : routing::upstream_status::Unknown;
      Result.Reason = Transfer.AbortReason ? Transfer.AbortReason
                                           : curl_easy_strerror(Code);
      return Result;
    }
    Result.Status = routing::upstream_status::Complete;
    Result.HttpStatus = Transfer.Head.Status;
    Result.ReportedNotRun =
        Transfer.Head.Status == 503 && Transfer.Head.ReportedNotRun;
    Result.ContentType = std::move(Transfer.Head.ContentType);
    Result.Body = std::move(Transfer.Body);
    return Result;
  }

  // Removes a transfer without a result. If it is still in progress, its
  // connection is closed.
  void release(std::uint64_t Attempt) {
    auto Found = Transfers.find(Attempt);
    if (Found == Transfers.end())
      return;
    auto &Transfer = *Found->second;
    curl_multi_remove_handle(Multi, Transfer.Easy);
    curl_slist_free_all(Transfer.Headers);
    releaseHandle(Transfer.Easy);
    auto InUse = ConnectionsInUse.find(Transfer.Request.Endpoint);
    if (InUse != ConnectionsInUse.end() && --InUse->second == 0)
      ConnectionsInUse.erase(InUse);
    Transfers.erase(Found);
  }

  CURL *acquireHandle() {
    if (IdleHandles.empty())
      return curl_easy_init();
    CURL *Easy = IdleHandles.back();
    IdleHandles.pop_back();
    return Easy;
  }

  void releaseHandle(CURL *Easy) {
    if (IdleHandles.size() >= MaxIdleHandles) {
      curl_easy_cleanup(Easy);
      return;
    }
    curl_easy_reset(Easy);
    IdleHandles.push_back(Easy);
  }

  upstream_settings Settings;
  upstream_rings Rings;
  ring_sender<routing::upstream_result> Results;
  CURLM *Multi = nullptr;
  std::vector<CURL *> IdleHandles;
  std::unordered_map<std::uint64_t, std::unique_ptr<transfer>> Transfers;
  std::map<std::string, std::uint32_t> ConnectionsInUse; ///< By endpoint.
  std::atomic<bool> IsStopping{false};
  std::thread Thread;
};

upstream_client::upstream_client(upstream_settings Settings,
                                 upstream_rings Rings)
    : Impl(std::make_unique<implementation>(Settings, Rings)) {}

upstream_client::~upstream_client() = default;

void upstream_client::start() { Impl->start(); }

void upstream_client::stop() { Impl->stop(); }

} // namespace lycheetrestle::entry
