#ifndef BASE_ENDPOINT_H_
#define BASE_ENDPOINT_H_

// An IPv4 address and port, as settings, rows and heartbeats name them.
//
//   Result<Endpoint> endpoint = ParseEndpoint("127.0.0.1:7000");

#include <cstdint>
#include <string>
#include <tuple>

#include "base/error.h"

namespace cuminjunction {

struct Endpoint {
  std::string host;
  uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
  bool operator<(const Endpoint& other) const {
    return std::tie(this->host, this->port) < std::tie(other.host, other.port);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->port);
  }
};

// Reads "HOST:PORT". Fails with YamlError::kBadValue.
Result<Endpoint> ParseEndpoint(const std::string& text);

// "HOST:PORT".
std::string ToString(const Endpoint& endpoint);

}  // namespace cuminjunction

#endif  // BASE_ENDPOINT_H_
