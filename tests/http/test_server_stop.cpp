#include "http/server.h"
#include "tests/http/caller_connection.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <random>
#include <set>
#include <thread>

using namespace lycheetrestle;
using namespace lycheetrestle::http;
using namespace std::chrono_literals;

namespace {

using core::boot_clock;

/// A server whose application thread is the thread of the test.
class stopping_server {
public:
  stopping_server()
      : Requests(256, Signal),
        Server({{{"127.0.0.1", Port}}, {}, 1u << 20, 4096}, {}, Requests) {
    REQUIRE(Server.start().empty());
  }

  server_request awaitRequest() {
    server_request Request;
    for (int Poll = 0; Poll != 500; ++Poll) {
      if (Requests.pop(Request))
        return Request;
      Signal.waitFor(10ms);
    }
    FAIL("no request arrived within 5 s");
    return Request;
  }

  std::uint16_t Port = freeLoopbackPort();
  core::ring_signal Signal;
  core::bounded_ring<server_request> Requests;
  server Server;
};

/// What the callers of one round saw.
struct round_counts {
  std::atomic<int> Answered = 0;
  std::atomic<int> Refused = 0;
  std::atomic<int> Unread = 0;
  std::atomic<int> Lost = 0;
  std::atomic<int> WrongAnswers = 0;
};

/// Bodies of the requests that the application thread has received.
class received_bodies {
public:
  void insert(const std::string &Body) {
    std::scoped_lock Lock(Mutex);
    Bodies.insert(Body);
  }
  bool contains(const std::string &Body) {
    std::scoped_lock Lock(Mutex);
    return Bodies.count(Body) != 0;
  }

private:
  std::mutex Mutex;
  std::set<std::string> Bodies;
};

/// Sends requests, reconnecting after each response that closes its connection,
/// until the server accepts no more connections.
void sendUntilStopped(std::uint16_t Port, int Caller, std::uint64_t Seed,
                      received_bodies &Received, round_counts &Counts) {
  std::mt19937_64 Random(Seed);
  auto Pause = [&](int MaxUs) {
    std::this_thread::sleep_for(
        std::chrono::microseconds(Random() % static_cast<unsigned>(MaxUs)));
  };
  int Number = 0;
  while (true) {
    caller_connection Connection(Port);
    if (!Connection.isConnected())
      return;
    bool IsOpen = true;
    while (IsOpen) {
      // A third of the callers hardly pauses, a third leaves its connection
      // idle, and a third sends its requests in two parts. The server ends only
      // at a moment without an open request, so the pauses must leave some.
      Pause(Caller % 3 == 1 ? 30'000 : 2'000);
      if (Connection.isEnded())
        break;
      auto Body = std::to_string(Caller) + "-" + std::to_string(++Number);
      auto Request = postRequest("/", Body);
      auto Half = Caller % 3 == 2 ? Request.size() / 2 : Request.size();
      bool IsSent = Connection.send(Request.substr(0, Half));
      if (IsSent && Half != Request.size()) {
        Pause(5'000);
        IsSent = Connection.send(Request.substr(Half));
      }
      if (!IsSent) {
        ++Counts.Unread;
        break;
      }
      auto Result = Connection.receive();
      IsOpen = Result.End == exchange_end::Answered && !Result.IsClosing;
      if (Result.End == exchange_end::Unread)
        ++Counts.Unread;
      else if (Result.End == exchange_end::Lost)
        ++Counts.Lost;
      else if (Result.Status == 200)
        ++(Result.Body == Body ? Counts.Answered : Counts.WrongAnswers);
      else
        ++(Result.Status == 503 && Result.HasRetryAfter &&
                   !Received.contains(Body)
               ? Counts.Refused
               : Counts.WrongAnswers);
    }
  }
}

/// Serves for a while, then stops as soon as no request is open, as a gateway
/// does.
void serveAndStop(stopping_server &Process, std::uint64_t Seed,
                  received_bodies &Received) {
  struct due_response {
    core::time_point At;
    server_response Response;
  };
  std::mt19937_64 Random(Seed);
  std::deque<due_response> Due;
  auto StopAt =
      boot_clock::now() + std::chrono::microseconds(Random() % 20'000);
  bool IsStopping = false;
  while (true) {
    auto Now = boot_clock::now();
    Process.Requests.drain([&](server_request &&Request) {
      Received.insert(Request.Request.Body);
      Due.push_back({Now + std::chrono::microseconds(Random() % 3'000),
                     {Request.Id, {200, {}, Request.Request.Body}}});
    });
    while (!Due.empty() && Due.front().At <= Now &&
           Process.Server.deliver(std::move(Due.front().Response)))
      Due.pop_front();
    if (!IsStopping && Now >= StopAt) {
      IsStopping = true;
      Process.Server.closeAfterResponses();
    }
    if (IsStopping && Due.empty() && Process.Server.pendingRequests() == 0)
      break;
    Process.Signal.waitFor(500us);
  }
  Process.Server.stop();
}

} // namespace

// Guards against a request that is read between the last check for open
// requests and the end of the server, and that ends without an answer.
TEST_CASE("no request that a stopping server has read is lost") {
  constexpr int Rounds = 60;
  constexpr int Callers = 15;
  round_counts Counts;
  for (int Round = 0; Round != Rounds; ++Round) {
    received_bodies Received;
    std::vector<std::thread> Threads;
    {
      stopping_server Process;
      for (int Caller = 0; Caller != Callers; ++Caller)
        Threads.emplace_back([&, Caller, Port = Process.Port] {
          sendUntilStopped(Port, Caller,
                           static_cast<std::uint64_t>(Round * Callers + Caller),
                           Received, Counts);
        });
      serveAndStop(Process, static_cast<std::uint64_t>(Round), Received);
    }
    for (auto &Thread : Threads)
      Thread.join();
  }
  std::string Text = "answered " + std::to_string(Counts.Answered) +
                     ", refused " + std::to_string(Counts.Refused) +
                     ", unread " + std::to_string(Counts.Unread) + ", lost " +
                     std::to_string(Counts.Lost) + ", wrong " +
                     std::to_string(Counts.WrongAnswers);
  WARN(Text);
  CHECK(Counts.Lost == 0);
  CHECK(Counts.WrongAnswers == 0);
  CHECK(Counts.Answered > 0);
}

// The application thread took the request and gave no response, so only it
// could have known the outcome.
TEST_CASE("a request without a response at the stop is reported as unknown") {
  stopping_server Process;
  caller_connection Caller(Process.Port);
  REQUIRE(Caller.send(postRequest("/", "x")));
  Process.awaitRequest();
  Process.Server.stop();
  auto Result = Caller.receive();
  REQUIRE(Result.End == exchange_end::Answered);
  CHECK(Result.Status == 504);
  CHECK(Result.IsClosing);
}

TEST_CASE("a request that the application has not taken at the stop is "
          "refused as not run") {
  stopping_server Process;
  caller_connection Caller(Process.Port);
  REQUIRE(Caller.send(postRequest("/", "x")));
  for (int Poll = 0; Poll != 500 && Process.Server.pendingRequests() == 0;
       ++Poll)
    std::this_thread::sleep_for(10ms);
  Process.Server.stop();
  auto Result = Caller.receive();
  REQUIRE(Result.End == exchange_end::Answered);
  CHECK(Result.Status == 503);
  CHECK(Result.HasRetryAfter);
  CHECK(Result.IsClosing);
  server_request Request;
  CHECK(!Process.Requests.pop(Request));
}

TEST_CASE("a request whose second part arrives during the stop is refused") {
  stopping_server Process;
  caller_connection Caller(Process.Port);
  auto Request = postRequest("/", std::string(200, 'x'));
  REQUIRE(Caller.send(Request.substr(0, 150)));
  std::this_thread::sleep_for(50ms);
  std::thread Sender([&] {
    std::this_thread::sleep_for(50ms);
    Caller.send(Request.substr(150));
  });
  Process.Server.stop();
  Sender.join();
  auto Result = Caller.receive();
  REQUIRE(Result.End == exchange_end::Answered);
  CHECK(Result.Status == 503);
  CHECK(Result.HasRetryAfter);
}

// Guards against a close that resets the connection, because unread bytes are
// left, and thereby destroys the part of the response that was not yet sent.
TEST_CASE("a response reaches a caller that has sent more than the request") {
  constexpr std::size_t BodyBytes = 2u << 20;
  stopping_server Process;
  Process.Server.closeAfterResponses();
  caller_connection Caller(Process.Port, 8192);
  REQUIRE(Caller.send(postRequest("/", "x") + std::string(30'000, '\n')));
  auto Request = Process.awaitRequest();
  Process.Server.deliver({Request.Id, {200, {}, std::string(BodyBytes, 'y')}});
  std::this_thread::sleep_for(100ms);
  auto Result = Caller.receive();
  REQUIRE(Result.End == exchange_end::Answered);
  CHECK(Result.Body.size() == BodyBytes);
}

TEST_CASE("an idle connection does not delay the stop") {
  stopping_server Process;
  caller_connection Caller(Process.Port);
  std::this_thread::sleep_for(50ms);
  auto Start = boot_clock::now();
  Process.Server.stop();
  CHECK(boot_clock::now() - Start < 150ms);
  CHECK(Caller.isEnded());
}
