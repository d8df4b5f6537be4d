#ifndef LYCHEETRESTLE_TESTS_MAIN_FREE_PORT_H
#define LYCHEETRESTLE_TESTS_MAIN_FREE_PORT_H

#include <cstdint>

namespace lycheetrestle::test {

/// \returns a TCP port of the loopback address that was free when asked. It is
/// below the range from which the system chooses the ports of outgoing
/// connections: there, any connection of another test could take it, also one
/// that is dialled to this very port before something listens there.
std::uint16_t freePort();

} // namespace lycheetrestle::test

#endif
