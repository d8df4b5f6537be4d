#ifndef LYCHEETRESTLE_HTTP_CONNECTION_BUDGET_H
#define LYCHEETRESTLE_HTTP_CONNECTION_BUDGET_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lycheetrestle::http {

/// Documented limit of the head of a request; http_parser itself allows 80 KB.
inline constexpr std::size_t MaxHeadBytes = 16'384;

/// Resources of the machine that a process may use.
struct process_limits {
  std::size_t MemoryMb = 0; ///< In MiB.
  std::size_t Descriptors = 0;
};

/// Who uses a listener.
enum class listener_class : std::uint8_t {
  Public,   ///< Clients that nobody controls.
  Reserved, ///< The load balancer, monitoring and operators.
};

/// Limits of the connections of a process.
struct budget_limits {
  /// Connections of all listeners, and those of them that are kept for the
  /// reserved ones.
  std::size_t Connections = 0;
  std::size_t ReservedConnections = 0;
  /// Bytes that each connection may hold without a reservation.
  std::size_t AllowanceBytes = 0;
  /// Bytes that all connections together may hold beyond their allowances, and
  /// the part of them that is kept for the reserved listeners.
  std::size_t SharedBytes = 0;
  std::size_t ReservedBytes = 0;
  /// Part of SharedBytes that the connections from one address may hold.
  std::size_t AddressBytes = 0;
};

/// \param MaxRequestBytes largest request, for which there is always room.
/// \returns the limits for the connections of a process.
budget_limits limitsFor(const process_limits &Process,
                        std::size_t MaxRequestBytes);

/// \param RequestBytes bytes of a request that were read.
/// \returns the memory to reserve for them: the parser's buffer, which doubles
/// when it grows, and the copies for the application and for a link.
std::size_t memoryFor(std::size_t RequestBytes);

/// What one connection has reserved.
struct connection_account {
  listener_class Class = listener_class::Public;
  std::string Address; ///< IP address of the peer.
  bool IsOpen = false;
  bool IsCompleting = false; ///< See connection_budget::beginCompletion().
  std::size_t SharedBytes = 0;
};

/// The connections and bytes of a process, reserved by its connections. Not
/// thread-safe.
class connection_budget {
public:
  explicit connection_budget(const budget_limits &Limits) : Limits(Limits) {}

  /// Counts a connection, also beyond the limit; see isFull().
  void open(connection_account &Account);
  /// Releases all that a connection has reserved. Does nothing for one that is
  /// not open.
  void close(connection_account &Account);
  /// \returns whether there are more connections than the listeners of a class
  /// may use.
  bool isFull(listener_class Class) const;
  /// \returns the class that must close a connection when isFull(): the public
  /// one if it uses reserved connections, otherwise the reserved one, which may
  /// use all connections while the other class does not need them.
  listener_class classToReduce() const;

  /// Changes what a connection has reserved.
  /// \param Bytes all bytes that it is going to hold.
  /// \returns false, with nothing changed, if there is no room.
  bool reserve(connection_account &Account, std::size_t Bytes);
  /// Lets one connection reserve beyond the limits until it releases bytes, so
  /// that requests which together hold all room end one after the other.
  /// \returns false if another connection does so.
  bool beginCompletion(connection_account &Account);
  /// Releases the bytes that a connection has reserved.
  void release(connection_account &Account) { reduce(Account, 0); }
  /// Releases what a connection has reserved beyond the given bytes.
  void reduce(connection_account &Account, std::size_t Bytes);

  /// \returns the bytes that are reserved beyond the allowances.
  std::size_t sharedBytes() const { return SharedBytes; }
  std::size_t connections() const { return Connections; }
  /// \returns the number of connections from an address.
  std::size_t connectionsFrom(const std::string &Address) const;

private:
  struct usage {
    std::size_t Connections = 0;
    std::size_t SharedBytes = 0;
  };

  bool hasRoom(const connection_account &Account, std::size_t More) const;

  budget_limits Limits;
  std::size_t Connections = 0;
  std::size_t PublicConnections = 0;
  std::size_t SharedBytes = 0;
  std::size_t PublicBytes = 0;
  bool HasCompletion = false; ///< An account is completing.
  std::map<std::string, usage> ByAddress;
};

} // namespace lycheetrestle::http

#endif
