// Payloads of frames: a message that is read can be written and read again.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "request/message.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto message = cuminjunction::ReadMessage(bytes);
  if (!message)
    return 0;
  std::string again;
  std::visit(
      [&again](const auto& fields) {
        cuminjunction::AppendMessage(fields, &again);
      },
      message.value());
  if (!cuminjunction::ReadMessage(again))
    __builtin_trap();
  return 0;
}
