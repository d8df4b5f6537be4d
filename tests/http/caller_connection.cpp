#include "tests/http/caller_connection.h"

#include "http/messages.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

namespace lycheetrestle::http {

namespace {

// A response that takes longer counts as lost.
constexpr timeval ReceiveTimeout{10, 0};
// On loopback a reset follows its cause at once.
constexpr int ResetWaitMs = 50;

sockaddr_in loopbackAddress(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  return Address;
}

bool wasReset(int Socket) {
  pollfd Entry{Socket, 0, 0};
  return poll(&Entry, 1, ResetWaitMs) > 0 &&
         (Entry.revents & (POLLERR | POLLHUP)) != 0;
}

/// \returns the value of a header, empty if it is missing.
std::string_view headerOf(std::string_view Head, std::string_view Name) {
  auto Start = Head.find("\r\n" + std::string(Name) + ": ");
  if (Start == std::string_view::npos)
    return {};
  Start += Name.size() + 4;
  return Head.substr(Start, Head.find("\r\n", Start) - Start);
}

} // namespace

caller_connection::caller_connection(std::uint16_t Port,
                                     int ReceiveBufferBytes) {
  Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBufferBytes != 0)
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof ReceiveBufferBytes);
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &ReceiveTimeout,
             sizeof ReceiveTimeout);
  auto Address = loopbackAddress(Port);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
      0)
    return;
  close(Socket);
  Socket = -1;
}

caller_connection::~caller_connection() {
  if (Socket >= 0)
    close(Socket);
}

bool caller_connection::isEnded() const {
  char Byte = 0;
  auto Count = recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN);
}

bool caller_connection::send(std::string_view Bytes) const {
  return ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(Bytes.size());
}

exchange caller_connection::receive() const {
  exchange Result;
  std::string Bytes;
  std::array<char, 16'384> Buffer{};
  std::size_t Expected = std::string::npos;
  while (Bytes.size() < Expected) {
    auto Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0) {
      if (Bytes.empty() && wasReset(Socket))
        Result.End = exchange_end::Unread;
      return Result;
    }
    Bytes.append(Buffer.data(), static_cast<std::size_t>(Count));
    auto HeadEnd = Bytes.find("\r\n\r\n");
    if (HeadEnd == std::string::npos || Expected != std::string::npos)
      continue;
    auto Head = std::string_view(Bytes).substr(0, HeadEnd + 2);
    Result.Status = std::atoi(Bytes.substr(9, 3).c_str());
    Result.IsClosing = headerOf(Head, "Connection") == "close";
    Result.HasRetryAfter = !headerOf(Head, "Retry-After").empty();
    Expected =
        HeadEnd + 4 +
        std::strtoul(std::string(headerOf(Head, "Content-Length")).c_str(),
                     nullptr, 10);
  }
  Result.End = exchange_end::Answered;
  Result.Body = Bytes.substr(Bytes.find("\r\n\r\n") + 4);
  return Result;
}

std::string postRequest(std::string_view Target, std::string_view Body) {
  return "POST " + std::string(Target) +
         " HTTP/1.1\r\nHost: test.example\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + std::string(Body);
}

std::uint16_t freeLoopbackPort() {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Address = loopbackAddress(0);
  socklen_t Size = sizeof Address;
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) == 0)
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  close(Socket);
  return ntohs(Address.sin_port);
}

} // namespace lycheetrestle::http
