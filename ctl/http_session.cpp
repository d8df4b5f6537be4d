#include "ctl/http_session.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace lycheetrestle::ctl {

namespace {

// The largest replies are declarations of 4 MB and host lists of 10,000 hosts.
constexpr std::size_t MaxReplyBytes = 64u << 20;

struct header_list {
  curl_slist *List = nullptr;
  ~header_list() { curl_slist_free_all(List); }
  void add(const std::string &Line) {
    curl_slist *NewList = curl_slist_append(List, Line.c_str());
    if (!NewList)
      throw std::bad_alloc();
    List = NewList;
  }
};

std::size_t writeBody(char *Data, std::size_t, std::size_t Size, void *Target) {
  auto &Body = static_cast<http_reply *>(Target)->Body;
  if (Body.size() + Size > MaxReplyBytes)
    return 0; // libcurl aborts the transfer with an error.
  Body.append(Data, Size);
  return Size;
}

std::string_view trim(std::string_view Text) {
  auto IsSpace = [](char C) { return C == ' ' || C == '\r' || C == '\n'; };
  while (!Text.empty() && IsSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && IsSpace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

std::size_t writeHeader(char *Data, std::size_t, std::size_t Size,
                        void *Target) {
  auto &Reply = *static_cast<http_reply *>(Target);
  std::string_view Line(Data, Size);
  auto Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size;
  std::string Name(Line.substr(0, Colon));
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  if (Name == "x-leader")
    Reply.Leader = trim(Line.substr(Colon + 1));
  if (Name == "x-verdict")
    Reply.Verdict = trim(Line.substr(Colon + 1));
  return Size;
}

// After a connection was made, an error leaves the outcome unknown.
delivery deliveryOf(CURL *Curl, CURLcode Code) {
  if (Code == CURLE_OK)
    return delivery::Answered;
  if (Code == CURLE_COULDNT_CONNECT || Code == CURLE_COULDNT_RESOLVE_HOST ||
      Code == CURLE_URL_MALFORMAT)
    return delivery::NotSent;
  curl_off_t ConnectUs = 0;
  curl_easy_getinfo(Curl, CURLINFO_CONNECT_TIME_T, &ConnectUs);
  return ConnectUs == 0 ? delivery::NotSent : delivery::Lost;
}

} // namespace

struct http_session::handle {
  CURL *Curl = nullptr;
  handle() {
    // NOLINTNEXTLINE: libcurl's flag macro uses a signed shift.
    curl_global_init(CURL_GLOBAL_DEFAULT);
    Curl = curl_easy_init();
    if (!Curl)
      throw std::runtime_error("libcurl could not be initialised");
  }
  ~handle() {
    curl_easy_cleanup(Curl);
    curl_global_cleanup();
  }
  handle(const handle &) = delete;
  handle &operator=(const handle &) = delete;
};

http_session::http_session() : Handle(std::make_unique<handle>()) {}
http_session::~http_session() = default;

exchange http_session::send(const std::string &Address,
                            const http_request &Request,
                            std::chrono::milliseconds Timeout) {
  CURL *Curl = Handle->Curl;
  exchange Exchange;
  header_list Headers;
  for (const auto &[Name, Value] : Request.Headers)
    Headers.add(Name + ": " + Value);
  // An `Expect: 100-continue` would cost a round trip for each declaration.
  Headers.add("Expect:");
  if (!Request.Body.empty())
    Headers.add("Content-Type: application/json");

  curl_easy_reset(Curl);
  const std::string Url = "http://" + Address + Request.Path;
  curl_easy_setopt(Curl, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Curl, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Curl, CURLOPT_HTTPHEADER, Headers.List);
  // Replicas are named by address; a proxy from the environment would not
  // reach them.
  curl_easy_setopt(Curl, CURLOPT_PROXY, "");
  curl_easy_setopt(Curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(Curl, CURLOPT_TIMEOUT_MS,
                   std::max(1L, static_cast<long>(Timeout.count())));
  if (Request.Method != "GET") {
    curl_easy_setopt(Curl, CURLOPT_POSTFIELDS, Request.Body.c_str());
    curl_easy_setopt(Curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
  }
  curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, &writeBody);
  curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Exchange.Reply);
  curl_easy_setopt(Curl, CURLOPT_HEADERFUNCTION, &writeHeader);
  curl_easy_setopt(Curl, CURLOPT_HEADERDATA, &Exchange.Reply);

  const CURLcode Code = curl_easy_perform(Curl);
  Exchange.Delivery = deliveryOf(Curl, Code);
  if (Code == CURLE_OK)
    curl_easy_getinfo(Curl, CURLINFO_RESPONSE_CODE, &Exchange.Reply.Status);
  else
    Exchange.Problem = curl_easy_strerror(Code);
  return Exchange;
}

std::string http_session::escape(std::string_view Text) const {
  char *Escaped = curl_easy_escape(Handle->Curl, Text.data(),
                                   static_cast<int>(Text.size()));
  if (!Escaped)
    throw std::bad_alloc();
  std::string Result = Escaped;
  curl_free(Escaped);
  return Result;
}

} // namespace lycheetrestle::ctl
