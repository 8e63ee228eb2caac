#include "base/endpoint.h"

#include "absl/strings/numbers.h"
#include "base/strings.h"
#include "base/yaml.h"

namespace cuminjunction {

namespace {

constexpr int kMaxPort = 65535;

}  // namespace

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  int port = 0;
  if (colon == std::string::npos || colon == 0 ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 1 ||
      port > kMaxPort) {
    return YamlError::kBadValue;
  }
  return Endpoint{text.substr(0, colon), static_cast<uint16_t>(port)};
}

std::string ToString(const Endpoint& endpoint) {
  return StrCat(endpoint.host, ":", endpoint.port);
}

}  // namespace cuminjunction
