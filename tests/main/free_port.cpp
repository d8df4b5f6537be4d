#include "tests/main/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <stdexcept>
#include <string>

namespace lycheetrestle::test {

namespace {

constexpr int FirstPort = 10'000;
constexpr int LastPort = 32'767; // The default range begins at 32,768.
constexpr int MaxAttempts = 100;

bool isFree(std::uint16_t Port) {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  bool IsBound = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                        sizeof(Address)) == 0;
  ::close(Socket);
  return IsBound;
}

} // namespace

std::uint16_t freePort() {
  static std::mt19937 Random(std::random_device{}());
  std::uniform_int_distribution<int> Ports(FirstPort, LastPort);
  for (int Attempt = 0; Attempt != MaxAttempts; ++Attempt)
    if (auto Port = static_cast<std::uint16_t>(Ports(Random)); isFree(Port))
      return Port;
  throw std::runtime_error("no free port in " + std::to_string(MaxAttempts) +
                           " attempts");
}

} // namespace lycheetrestle::test
