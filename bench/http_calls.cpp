// Sends short calls to many addresses over persistent connections while a long
// poll is open at each address. Prints the CPU time of all threads, client and
// server, for each short call.

#include "http/client.h"
#include "http/server.h"

#include <gflags/gflags.h>
#include <pthread.h>

#include <cstdio>
#include <ctime>
#include <map>
#include <string>

DEFINE_int32(addresses, 100, "number of loopback addresses");
DEFINE_int32(calls, 20'000, "total number of short calls");
DEFINE_int32(at_once, 40, "maximum number of short calls in flight");

using namespace lycheetrestle;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t Port = 18'431;
constexpr std::size_t RingSize = 4096;

double processCpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  core::ring_signal Signal;
  core::ring_signal CallsSignal;
  core::bounded_ring<http::server_request> Requests(RingSize, Signal);
  core::bounded_ring<http::client_call> Calls(RingSize, CallsSignal);
  core::bounded_ring<http::client_result> Results(RingSize, Signal);
  http::server_settings Settings;
  for (int Index = 1; Index <= FLAGS_addresses; ++Index)
    Settings.Listen.push_back({"127.0.1." + std::to_string(Index), Port});
  http::server Server(
      Settings,
      [](const http::request &Request) -> std::optional<http::response> {
        if (Request.Target != "/short")
          return std::nullopt;
        return http::response{200, {}, R"({"clockMs":482113})"};
      },
      Requests);
  if (auto Reason = Server.start(); !Reason.empty()) {
    std::fprintf(stderr, "cannot start the server: %s\n", Reason.c_str());
    return 1;
  }
  http::client Client({}, Calls, CallsSignal, Results);
  Client.start();
  std::uint64_t Id = 0;
  auto Send = [&](int Index, const char *Target, core::duration Timeout) {
    http::client_call Call;
    Call.Id = ++Id;
    Call.Address = core::network_address::parse(
        "127.0.1." + std::to_string(1 + Index) + ":" + std::to_string(Port));
    Call.Request.Method = "POST";
    Call.Request.Target = Target;
    Call.Request.Headers = {{"Content-Type", "application/json"},
                            {"Expect-Instance", "i-7f3a91c2"}};
    Call.Request.Body = std::string(250, 'x');
    Call.Timeout = Timeout;
    Call.Issued = core::boot_clock::now();
    Calls.push(std::move(Call));
  };
  for (int Index = 0; Index != FLAGS_addresses; ++Index)
    Send(Index, "/long", 600s);
  int Sent = 0;
  int Done = 0;
  double Begin = 0;
  int DoneAtBegin = 0;
  while (Done < FLAGS_calls) {
    while (Sent < FLAGS_calls && Sent - Done < FLAGS_at_once)
      Send(Sent++ % FLAGS_addresses, "/short", 2s);
    Signal.waitFor(10ms);
    Results.drain([&](http::client_result &&Result) {
      Done += Result.IsComplete;
      if (!Result.IsComplete)
        std::fprintf(stderr, "call failed: %s\n", Result.Reason.c_str());
    });
    // The first quarter of the calls, which opens connections, is not measured.
    if (Begin == 0 && Done > FLAGS_calls / 4) {
      Begin = processCpuSeconds();
      DoneAtBegin = Done;
    }
  }
  std::printf("addresses %d  us of all threads a call %.1f\n", FLAGS_addresses,
              (processCpuSeconds() - Begin) / (Done - DoneAtBegin) * 1e6);
  Client.stop();
  Server.stop();
}
