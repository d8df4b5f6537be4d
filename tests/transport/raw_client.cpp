#include "tests/transport/raw_client.h"

#include "tests/transport/hub_fixture.h"
#include "transport/hello.h"

#include <cerrno>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace lycheetrestle::transport::test {

raw_client::raw_client(std::uint16_t Port)
    : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0)
    throw std::runtime_error("cannot connect");
  timeval Limit{WaitTimeout.count(), 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
}

raw_client::~raw_client() { ::close(Socket); }

void raw_client::sendBytes(const std::string &Bytes) {
  // The peer may have closed already; the test detects that in waitForClose().
  (void)!::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
}

void raw_client::upgrade() {
  sendBytes("GET / HTTP/1.1\r\nHost: test\r\nUpgrade: websocket\r\n"
            "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
  std::string Response;
  char Byte = 0;
  while (Response.find("\r\n\r\n") == std::string::npos) {
    if (::recv(Socket, &Byte, 1, 0) != 1)
      throw std::runtime_error("no handshake response");
    Response += Byte;
  }
}

void raw_client::sendFrame(int Opcode, const std::string &Payload) {
  std::string Frame(1, static_cast<char>(0x80 | Opcode));
  if (Payload.size() < 126) {
    Frame += static_cast<char>(0x80 | Payload.size());
  } else {
    Frame += static_cast<char>(0x80 | 126);
    Frame += static_cast<char>(Payload.size() >> 8);
    Frame += static_cast<char>(Payload.size() & 0xff);
  }
  sendBytes(Frame + std::string(4, '\0') + Payload);
}

void raw_client::completeHandshake(const std::string &Name,
                                   std::uint64_t Stamp) {
  upgrade();
  sendFrame(2, encodeHello({Name, Stamp}));
}

bool raw_client::waitForClose() {
  char Bytes[256];
  for (;;) {
    auto Count = ::recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count == 0 || (Count < 0 && errno == ECONNRESET))
      return true;
    if (Count < 0)
      return false;
  }
}

} // namespace lycheetrestle::transport::test
