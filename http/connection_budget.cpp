#include "http/connection_budget.h"

#include <algorithm>
#include <utility>

namespace lycheetrestle::http {

namespace {

constexpr std::size_t MiB = std::size_t(1) << 20u;
// The HTTP connections use at most a quarter of the memory and half of the
// descriptors. The rest is for links, calls to endpoints, files, the state of
// the process, and memory that the allocator keeps.
constexpr std::size_t MemoryParts = 4;
constexpr std::size_t DescriptorParts = 2;
// A connection of RESTinio takes about 7 KB, of which 4 KB are its read buffer;
// the rest is room for a request of up to 6 KB, as nearly all are.
constexpr std::size_t AllowanceBytes = std::size_t(32) << 10u;
// Copies of a request: the parser's buffer with its old half while it grows,
// and those of the application and of the link.
constexpr std::size_t CopiesOfRequest = 4;
// One of so many parts is for the reserved listeners.
constexpr std::size_t ReservedParts = 8;
constexpr std::size_t MinReservedConnections = 4;

} // namespace

budget_limits limitsFor(const process_limits &Process,
                        std::size_t MaxRequestBytes) {
  auto Bytes = Process.MemoryMb * MiB / MemoryParts;
  budget_limits Limits;
  Limits.AllowanceBytes = AllowanceBytes;
  // Half for the allowances of all connections, half for large requests.
  Limits.Connections = std::min(Process.Descriptors / DescriptorParts,
                                Bytes / 2 / AllowanceBytes);
  Limits.ReservedConnections =
      std::max(MinReservedConnections, Limits.Connections / ReservedParts);
  auto Largest = memoryFor(MaxRequestBytes);
  Limits.ReservedBytes = Bytes / 2 / ReservedParts;
  auto PublicBytes = std::max(Bytes / 2 - Limits.ReservedBytes, Largest);
  Limits.SharedBytes = PublicBytes + Limits.ReservedBytes;
  Limits.AddressBytes = std::max(PublicBytes / 2, Largest);
  return Limits;
}

std::size_t memoryFor(std::size_t RequestBytes) {
  return RequestBytes * CopiesOfRequest;
}

void connection_budget::open(connection_account &Account) {
  Account.IsOpen = true;
  ++Connections;
  if (Account.Class == listener_class::Public)
    ++PublicConnections;
  ++ByAddress[Account.Address].Connections;
}

void connection_budget::close(connection_account &Account) {
  if (!Account.IsOpen)
    return;
  release(Account);
  Account.IsOpen = false;
  --Connections;
  if (Account.Class == listener_class::Public)
    --PublicConnections;
  auto Found = ByAddress.find(Account.Address);
  if (--Found->second.Connections == 0)
    ByAddress.erase(Found);
}

bool connection_budget::isFull(listener_class Class) const {
  if (Connections > Limits.Connections)
    return true;
  return Class == listener_class::Public &&
         PublicConnections + Limits.ReservedConnections > Limits.Connections;
}

listener_class connection_budget::classToReduce() const {
  return PublicConnections + Limits.ReservedConnections > Limits.Connections
             ? listener_class::Public
             : listener_class::Reserved;
}

bool connection_budget::hasRoom(const connection_account &Account,
                                std::size_t More) const {
  if (SharedBytes + More > Limits.SharedBytes)
    return false;
  if (Account.Class == listener_class::Reserved)
    return true;
  return PublicBytes + More <= Limits.SharedBytes - Limits.ReservedBytes &&
         ByAddress.at(Account.Address).SharedBytes + More <=
             Limits.AddressBytes;
}

bool connection_budget::reserve(connection_account &Account,
                                std::size_t Bytes) {
  auto Wanted =
      Bytes > Limits.AllowanceBytes ? Bytes - Limits.AllowanceBytes : 0;
  if (Wanted <= Account.SharedBytes)
    return true;
  auto More = Wanted - Account.SharedBytes;
  if (!Account.IsCompleting && !hasRoom(Account, More))
    return false;
  SharedBytes += More;
  if (Account.Class == listener_class::Public)
    PublicBytes += More;
  ByAddress.at(Account.Address).SharedBytes += More;
  Account.SharedBytes = Wanted;
  return true;
}

bool connection_budget::beginCompletion(connection_account &Account) {
  if (HasCompletion)
    return false;
  HasCompletion = true;
  Account.IsCompleting = true;
  return true;
}

void connection_budget::reduce(connection_account &Account, std::size_t Bytes) {
  if (std::exchange(Account.IsCompleting, false))
    HasCompletion = false;
  auto Kept = Bytes > Limits.AllowanceBytes ? Bytes - Limits.AllowanceBytes : 0;
  if (Account.SharedBytes <= Kept)
    return;
  auto Less = Account.SharedBytes - Kept;
  SharedBytes -= Less;
  if (Account.Class == listener_class::Public)
    PublicBytes -= Less;
  ByAddress.at(Account.Address).SharedBytes -= Less;
  Account.SharedBytes = Kept;
}

std::size_t
connection_budget::connectionsFrom(const std::string &Address) const {
  auto Found = ByAddress.find(Address);
  return Found == ByAddress.end() ? 0 : Found->second.Connections;
}

} // namespace lycheetrestle::http
