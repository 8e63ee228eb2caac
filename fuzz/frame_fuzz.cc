// Damaged and foreign bytes on the connection between an entry and an agent:
// they give typed errors, never a crash or an unbounded allocation.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/frame.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  // The first byte cuts the stream in two.
  const size_t cut = size == 0 ? 0 : data[0] % size;
  cuminjunction::FrameReader reader;
  for (const std::string_view part :
       {bytes.substr(0, cut), bytes.substr(cut)}) {
    reader.Append(part);
    for (;;) {
      const auto next = reader.Next();
      if (!next || !next.value())
        break;
    }
  }
  // A frame of any payload is read back as it was written.
  const std::string_view sent =
      bytes.substr(0, cuminjunction::kMaxFramePayload);
  std::string wire;
  cuminjunction::AppendMessageFrames(sent, &wire);
  cuminjunction::FrameReader second;
  second.Append(wire);
  const auto payload = second.Next();
  if (!payload || !payload.value() || *payload.value() != sent)
    __builtin_trap();
  return 0;
}
