// Load generator for tests, the demo and measurements: sends a bounded load to
// entries and verifies that each response is complete and belongs to its
// request. Prints a JSON summary; the exit code is 1 after a wrong response and
// 2 after a usage error or when the report file cannot be opened.
#include "standin/load_report.h"
#include "standin/payload.h"

#include <curl/curl.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <strings.h>

DEFINE_string(entries, "", "ip:port of entries, separated by commas");
DEFINE_bool(direct, false,
            "--entries names endpoints, which are called directly for "
            "comparison");
DEFINE_string(service, "plots", "service that is called");
DEFINE_uint32(seconds, 5, "time after which no new request starts");
DEFINE_uint32(requests, 10000, "maximum number of requests");
DEFINE_uint32(rate, 0, "requests a second; 0 keeps `concurrency` in flight");
DEFINE_uint32(concurrency, 8, "maximum number of requests in flight");
DEFINE_uint32(keyed_percent, 0,
              "percentage of POST requests with an idempotency key");
DEFINE_uint32(post_percent, 0, "percentage of POST requests without a key");
DEFINE_uint32(body_bytes, 100, "body of a POST in bytes");
DEFINE_string(request_class, "", "urgent, normal, batch or empty");
DEFINE_uint32(deadline_ms, 5000, "deadline of a request in ms");
DEFINE_uint32(timeout_margin_ms, 1000,
              "time to wait for a response after the deadline, in ms");
DEFINE_uint32(resends, 4, "maximum number of resends of a request");
DEFINE_uint32(resend_wait_ms, 200, "delay before a resend in ms");
DEFINE_bool(resend_not_run, false,
            "also resend a request that was refused as not run");
DEFINE_uint32(seed, 1, "seed of ids and of the mix of requests");
DEFINE_string(report_file, "", "file that gets a line for each request");

namespace lycheetrestle::standin {

namespace {

using clock = std::chrono::steady_clock;

constexpr int PollMs = 1;

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

// A request with the state of its current attempt.
struct pending_request {
  finished_request Request;
  std::string Target, Body;
  std::size_t Entry = 0;
  clock::time_point Started;
  clock::time_point NotBefore;
  attempt_result Result;
  unsigned SendCount = 0;
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
};

// libcurl resends a request when a reused connection is lost. That would hide a
// lost response and run a POST twice, so the second call aborts the request.
int onBeforeRequest(void *Context, char *, char *, int, int) {
  auto &Pending = *static_cast<pending_request *>(Context);
  return Pending.SendCount++ == 0 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

std::size_t onHeader(char *Data, std::size_t, std::size_t Size, void *Context) {
  auto &Result = static_cast<pending_request *>(Context)->Result;
  std::string_view Line(Data, Size);
  auto Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size;
  auto Value = Line.substr(Colon + 1);
  auto First = Value.find_first_not_of(' ');
  auto Last = Value.find_last_not_of(" \r\n");
  Value = First == std::string_view::npos
              ? std::string_view()
              : Value.substr(First, Last - First + 1);
  std::string Name(Line.substr(0, Colon));
  if (strcasecmp(Name.c_str(), "X-Request-Id") == 0)
    Result.EchoedId = Value;
  else if (strcasecmp(Name.c_str(), "X-Verdict") == 0)
    Result.Verdict = Value;
  else if (strcasecmp(Name.c_str(), "X-Refusal") == 0)
    Result.Refusal = Value;
  return Size;
}

std::size_t onBody(char *Data, std::size_t, std::size_t Size, void *Context) {
  static_cast<pending_request *>(Context)->Result.Body.append(Data, Size);
  return Size;
}

volatile std::sig_atomic_t StopRequested = 0;

// Stops starting requests; requests in flight are finished.
void requestStop(int) { StopRequested = 1; }

class load_client {
public:
  load_client()
      : Entries(splitList(FLAGS_entries)), Random(FLAGS_seed),
        Multi(curl_multi_init()) {
    curl_multi_setopt(Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, 4096L);
    Tag = std::to_string(FLAGS_seed) + "-" +
          std::to_string(std::random_device()());
  }

  ~load_client() {
    for (CURL *Easy : IdleHandles)
      curl_easy_cleanup(Easy);
    curl_multi_cleanup(Multi);
  }

  int run() {
    if (Entries.empty()) {
      std::cerr << "--entries is required: expected ip:port,...\n";
      return 2;
    }
    if (!Report.open(FLAGS_report_file)) {
      std::cerr << "cannot open " << FLAGS_report_file << " for writing\n";
      return 2;
    }
    Begun = clock::now();
    auto End = Begun + std::chrono::seconds(FLAGS_seconds);
    for (;;) {
      auto Now = clock::now();
      if (StopRequested)
        End = std::min(End, Now);
      if (Now < End)
        startRequests(Now);
      resendDue(Now);
      if (Active == 0 && AwaitingResend.empty() &&
          (Now >= End || Created >= FLAGS_requests))
        break;
      int Running = 0;
      curl_multi_perform(Multi, &Running);
      finishAttempts();
      curl_multi_poll(Multi, nullptr, 0, PollMs, nullptr);
    }
    std::chrono::duration<double> Elapsed = clock::now() - Begun;
    std::cout << Report.json(Elapsed.count()) << std::endl;
    return Report.wrong() == 0 ? 0 : 1;
  }

private:
  void startRequests(clock::time_point Now) {
    auto MayStart = [&] {
      if (Created >= FLAGS_requests ||
          Active + AwaitingResend.size() >= FLAGS_concurrency)
        return false;
      if (FLAGS_rate == 0)
        return true;
      std::chrono::duration<double> SinceStart = Now - Begun;
      return static_cast<double>(Created) < SinceStart.count() * FLAGS_rate;
    };
    while (MayStart())
      startAttempt(makeRequest(Now));
  }

  std::unique_ptr<pending_request> makeRequest(clock::time_point Now) {
    auto Pending = std::make_unique<pending_request>();
    auto Number = std::to_string(Created);
    auto Draw = Random() % 100;
    Pending->Request.Id = "load-" + Tag + "-" + Number;
    Pending->Request.Method = "GET";
    Pending->Target = "/services/" + FLAGS_service + "/item/" + Number;
    if (Draw < FLAGS_keyed_percent) {
      Pending->Request.Method = "POST";
      Pending->Request.Key = "key-" + Tag + "-" + Number;
      // Entries do not forward the Idempotency-Key header; the endpoint counts
      // executions by this parameter.
      Pending->Target += "?key=" + Pending->Request.Key;
    } else if (Draw < FLAGS_keyed_percent + FLAGS_post_percent) {
      Pending->Request.Method = "POST";
    }
    if (Pending->Request.Method == "POST")
      Pending->Body = std::string(FLAGS_body_bytes, 'b');
    Pending->Entry = Created % Entries.size();
    // With --rate, latency counts from the scheduled start, so that a delayed
    // start is part of it.
    Pending->Started = Now;
    if (FLAGS_rate > 0)
      Pending->Started =
          Begun + std::chrono::duration_cast<clock::duration>(
                      std::chrono::duration<double>(
                          static_cast<double>(Created) / FLAGS_rate));
    ++Created;
    return Pending;
  }

  void startAttempt(std::unique_ptr<pending_request> Owner) {
    auto &Pending = *Owner;
    Pending.Result = attempt_result();
    Pending.SendCount = 0;
    Pending.Easy = acquireHandle();
    auto Url =
        "http://" + Entries[Pending.Entry % Entries.size()] + Pending.Target;
    setHeaders(Pending);
    curl_easy_setopt(Pending.Easy, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Pending.Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(Pending.Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Pending.Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(
        Pending.Easy, CURLOPT_TIMEOUT_MS,
        static_cast<long>(FLAGS_deadline_ms + FLAGS_timeout_margin_ms));
    curl_easy_setopt(Pending.Easy, CURLOPT_PREREQFUNCTION, onBeforeRequest);
    curl_easy_setopt(Pending.Easy, CURLOPT_PREREQDATA, &Pending);
    curl_easy_setopt(Pending.Easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(Pending.Easy, CURLOPT_HEADERDATA, &Pending);
    curl_easy_setopt(Pending.Easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(Pending.Easy, CURLOPT_WRITEDATA, &Pending);
    curl_easy_setopt(Pending.Easy, CURLOPT_PRIVATE, &Pending);
    if (Pending.Request.Method == "POST") {
      curl_easy_setopt(Pending.Easy, CURLOPT_POST, 1L);
      curl_easy_setopt(Pending.Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(Pending.Body.size()));
      curl_easy_setopt(Pending.Easy, CURLOPT_POSTFIELDS, Pending.Body.data());
    }
    curl_multi_add_handle(Multi, Pending.Easy);
    Owner.release(); // Owned by the handle's private pointer until it is done.
    ++Active;
  }

  void setHeaders(pending_request &Pending) {
    auto Add = [&Pending](const std::string &Line) {
      Pending.Headers = curl_slist_append(Pending.Headers, Line.c_str());
    };
    Add("X-Request-Id: " + Pending.Request.Id);
    Add("X-Deadline-Ms: " + std::to_string(FLAGS_deadline_ms));
    Add("Expect:");
    if (!Pending.Request.Key.empty())
      Add("Idempotency-Key: " + Pending.Request.Key);
    if (!FLAGS_request_class.empty())
      Add("X-Request-Class: " + FLAGS_request_class);
    curl_easy_setopt(Pending.Easy, CURLOPT_HTTPHEADER, Pending.Headers);
  }

  void finishAttempts() {
    int MessagesLeft = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi, &MessagesLeft)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      pending_request *Raw = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Raw);
      std::unique_ptr<pending_request> Pending(Raw);
      auto Code = Message->data.result;
      long Status = 0;
      curl_easy_getinfo(Pending->Easy, CURLINFO_RESPONSE_CODE, &Status);
      Pending->Result.IsSent = Pending->SendCount > 0;
      Pending->Result.IsTimeout = Code == CURLE_OPERATION_TIMEDOUT;
      Pending->Result.IsComplete = Code == CURLE_OK;
      Pending->Result.Status = static_cast<unsigned>(Status);
      curl_multi_remove_handle(Multi, Pending->Easy);
      curl_slist_free_all(Pending->Headers);
      Pending->Headers = nullptr;
      curl_easy_reset(Pending->Easy);
      IdleHandles.push_back(Pending->Easy);
      --Active;
      finishAttempt(std::move(Pending));
    }
  }

  void finishAttempt(std::unique_ptr<pending_request> Pending) {
    auto Kind = classify(Pending->Result, Pending->Request.Id, FLAGS_direct);
    auto &Request = Pending->Request;
    Request.Attempts.push_back(Kind);
    if (!Pending->Result.Refusal.empty())
      Request.Refusals.push_back(Pending->Result.Refusal);
    bool MayResend = Request.Attempts.size() <= FLAGS_resends;
    if (MayResend && shouldResend(*Pending, Kind)) {
      ++Pending->Entry;
      Pending->NotBefore =
          clock::now() + std::chrono::milliseconds(FLAGS_resend_wait_ms);
      AwaitingResend.push_back(std::move(Pending));
      return;
    }
    std::chrono::duration<double, std::milli> Elapsed =
        clock::now() - Pending->Started;
    Request.LatencyMs = Elapsed.count();
    Report.add(Request);
  }

  // A POST without a key must not be resent once it may have run.
  bool shouldResend(const pending_request &Pending, attempt_kind Kind) const {
    bool IsRepeatable =
        Pending.Request.Method == "GET" || !Pending.Request.Key.empty();
    switch (Kind) {
    case attempt_kind::NotRun:
      return !Pending.Result.IsSent || FLAGS_resend_not_run;
    case attempt_kind::MayHaveRun:
    case attempt_kind::Lost:
    case attempt_kind::Timeout:
      return IsRepeatable;
    default:
      return false;
    }
  }

  void resendDue(clock::time_point Now) {
    std::vector<std::unique_ptr<pending_request>> Due;
    for (auto &Pending : AwaitingResend)
      if (Pending->NotBefore <= Now)
        Due.push_back(std::move(Pending));
    AwaitingResend.erase(
        std::remove(AwaitingResend.begin(), AwaitingResend.end(), nullptr),
        AwaitingResend.end());
    for (auto &Pending : Due)
      startAttempt(std::move(Pending));
  }

  CURL *acquireHandle() {
    if (IdleHandles.empty())
      return curl_easy_init();
    CURL *Easy = IdleHandles.back();
    IdleHandles.pop_back();
    return Easy;
  }

  std::vector<std::string> Entries;
  std::mt19937 Random;
  CURLM *Multi;
  std::string Tag;
  std::vector<CURL *> IdleHandles;
  std::vector<std::unique_ptr<pending_request>> AwaitingResend;
  load_report Report;
  clock::time_point Begun;
  std::size_t Active = 0;
  std::uint64_t Created = 0;
};

} // namespace

} // namespace lycheetrestle::standin

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  std::signal(SIGTERM, lycheetrestle::standin::requestStop);
  return lycheetrestle::standin::load_client().run();
}
