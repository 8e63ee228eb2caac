#ifndef BASE_FRAME_H_
#define BASE_FRAME_H_

// Frames on a byte stream: length, CRC-32 of the payload, payload.
//
//   std::string wire;
//   AppendFrame(payload, &wire);
//
//   FrameReader reader;
//   reader.Append(received);
//   for (;;) {
//     Result<std::optional<std::string_view>> next = reader.Next();
//     if (!next) ...   // damaged: close the connection
//     if (!next.value()) break;   // wait for more bytes
//     Use(*next.value());
//   }

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace cuminjunction {

enum class FrameError { kTooLong = 1, kChecksum };

template <>
struct ErrorTraits<FrameError> {
  static constexpr const char* kCategory = "frame";
  static std::string_view Message(FrameError error);
};

// The longest payload of a frame, in bytes. Bodies travel in chunks of 64 KiB,
// so only a header block comes near this.
inline constexpr size_t kMaxFramePayload = 128 * 1024;

// CRC-32 (IEEE) of the bytes.
uint32_t Crc32(std::string_view bytes);

// Appends the frame of `payload` to `wire`. The payload must not exceed
// kMaxFramePayload.
void AppendFrame(std::string_view payload, std::string* wire);

// Cuts a byte stream into frames. Not thread-safe.
class FrameReader {
 public:
  // Adds bytes that were received.
  void Append(std::string_view bytes);

  // The payload of the next whole frame, nullopt when more bytes are needed,
  // or an error after which the stream can't be read further. The view is
  // valid until the next call of Append().
  Result<std::optional<std::string_view>> Next();

 private:
  std::string buffer;
  size_t offset = 0;
};

}  // namespace cuminjunction

#endif  // BASE_FRAME_H_
