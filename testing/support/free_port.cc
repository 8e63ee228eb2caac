#include "testing/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

namespace cuminjunction {

namespace {

// Ports are reserved in blocks, of which one socket each tells the other
// processes of the machine.
constexpr uint16_t kFirstPort = 15000;
constexpr uint16_t kPortsPerBlock = 64;
constexpr uint16_t kBlocks = 265;

// Nothing listens on this loopback address. A block is reserved by a socket
// that is bound to its first port there.
constexpr char kReservationHost[] = "127.255.255.1";

// Returns a socket that is bound to the address, or -1.
int Bind(const char* host, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, host, &address.sin_addr);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
    return fd;
  close(fd);
  return -1;
}

// Returns the first port of a block that stays reserved until this process
// ends.
uint16_t ReserveBlock() {
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<uint16_t> blocks(0, kBlocks - 1);
  for (;;) {
    const uint16_t first =
        static_cast<uint16_t>(kFirstPort + blocks(random) * kPortsPerBlock);
    if (Bind(kReservationHost, first) >= 0)
      return first;
  }
}

}  // namespace

uint16_t FreePort() {
  static uint16_t next = 0;
  static uint16_t end = 0;
  for (;;) {
    if (next == end) {
      next = ReserveBlock();
      end = next + kPortsPerBlock;
    }
    const uint16_t port = next++;
    const int fd = Bind("127.0.0.1", port);
    if (fd < 0)
      continue;
    close(fd);
    return port;
  }
}

}  // namespace cuminjunction
