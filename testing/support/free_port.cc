#include "testing/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <set>

namespace cuminjunction {

uint16_t FreePort() {
  static std::set<uint16_t> given;
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<uint16_t> ports(15000, 32000);
  for (;;) {
    const uint16_t port = ports(random);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free && given.insert(port).second)
      return port;
  }
}

}  // namespace cuminjunction
