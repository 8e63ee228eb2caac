#ifndef BASE_FRAME_H_
#define BASE_FRAME_H_

// Messages on a byte stream. A message is sent in one or more frames: length,
// CRC-32 of the payload, payload. The highest bit of the length is set in all
// frames of a message but the last.
//
//   std::string wire;
//   AppendMessageFrames(message, &wire);
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

// The longest payload of a frame, in bytes.
inline constexpr size_t kMaxFramePayload = 128 * 1024;

// The longest message, in bytes. It bounds the memory of the receiver.
inline constexpr size_t kMaxMessageBytes = 16 * 1024 * 1024;

// CRC-32 (IEEE) of the bytes.
uint32_t Crc32(std::string_view bytes);

// Appends the frames of a message to `wire`. The message must not exceed
// kMaxMessageBytes.
void AppendMessageFrames(std::string_view message, std::string* wire);

// Cuts a byte stream into messages. Not thread-safe.
class FrameReader {
 public:
  // Adds bytes that were received.
  void Append(std::string_view bytes);

  // The next whole message, nullopt when more bytes are needed, or an error
  // after which the stream can't be read further. The view is valid until the
  // next call of a method.
  Result<std::optional<std::string_view>> Next();

 private:
  std::string buffer;
  size_t offset = 0;
  // Payloads of the frames so far of a message that takes several.
  std::string partial;
  // `partial` holds a whole message, which was returned by Next().
  bool partial_returned = false;
};

}  // namespace cuminjunction

#endif  // BASE_FRAME_H_
