#ifndef TESTING_SUPPORT_FREE_PORT_H_
#define TESTING_SUPPORT_FREE_PORT_H_

// Ports for the processes of a test.
//
//   settings.listen.peer_port = FreePort();

#include <cstdint>

namespace cuminjunction {

// Returns a port on which a process can listen on loopback now. It is below the
// range from which the kernel takes the ports of outgoing connections, so that
// no connection has it when the process starts, or starts again. Each port is
// given out once, since its process listens only later, also among the
// processes that call this at the same time. Not thread-safe.
uint16_t FreePort();

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_FREE_PORT_H_
