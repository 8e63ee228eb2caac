// Datagrams of membership: anyone may send one to the port.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "membership/message.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  (void)cuminjunction::ParseMessage(bytes);
  return 0;
}
