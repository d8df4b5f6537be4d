#include "standin/announcer.h"

#include <curl/curl.h>

#include <chrono>

namespace lycheetrestle::standin {

namespace {

constexpr auto Interval = std::chrono::seconds(1);
// About a third of the interval, so that when an entry hangs, the next entry
// gets the announcement before the lease of the previous one expires.
constexpr long TimeoutMs = 300;

std::size_t discard(char *, std::size_t, std::size_t Size, void *) {
  return Size;
}

} // namespace

announcer::announcer(std::vector<std::string> Entries,
                     std::function<std::string()> MakeBody)
    : Entries(std::move(Entries)), MakeBody(std::move(MakeBody)) {}

announcer::~announcer() { stop(); }

void announcer::start() {
  Thread = std::thread([this] { run(); });
}

void announcer::announceNow() {
  std::lock_guard Lock(Mutex);
  IsUrgent = true;
  Condition.notify_one();
}

void announcer::stop() {
  if (!Thread.joinable())
    return;
  {
    std::lock_guard Lock(Mutex);
    IsStopping = true;
    Condition.notify_one();
  }
  Thread.join();
}

void announcer::run() {
  std::unique_lock Lock(Mutex);
  while (!IsStopping) {
    IsUrgent = false;
    Lock.unlock();
    announce();
    Lock.lock();
    Condition.wait_for(Lock, Interval,
                       [this] { return IsUrgent || IsStopping; });
  }
}

void announcer::announce() {
  auto Body = MakeBody();
  for (std::size_t Try = 0; Try < Entries.size(); ++Try) {
    if (post(Entries[Next % Entries.size()], Body)) {
      ++Accepted;
      return;
    }
    ++Next;
  }
  ++Failed;
}

bool announcer::post(const std::string &Entry, const std::string &Body) {
  CURL *Easy = curl_easy_init();
  auto *Headers = curl_slist_append(nullptr, "Content-Type: application/json");
  auto Url = "http://" + Entry + "/v1/announcements";
  curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, TimeoutMs);
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Body.size()));
  curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Body.data());
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, discard);
  auto Code = curl_easy_perform(Easy);
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  curl_slist_free_all(Headers);
  curl_easy_cleanup(Easy);
  return Code == CURLE_OK && Status == 200;
}

} // namespace lycheetrestle::standin
