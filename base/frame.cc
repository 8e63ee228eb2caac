#include "base/frame.h"

#include <boost/crc.hpp>
#include <utility>

namespace cuminjunction {

namespace {

constexpr size_t kHeaderBytes = 8;
constexpr size_t kKeptCapacity = 64 * 1024;

// Flag in the length of a frame: the message goes on in the next one.
constexpr uint32_t kMoreFollows = uint32_t{1} << 31;

void AppendUint32(uint32_t value, std::string* out) {
  for (int shift = 0; shift < 32; shift += 8)
    out->push_back(static_cast<char>(value >> shift));
}

uint32_t ReadUint32(std::string_view bytes) {
  uint32_t value = 0;
  for (int i = 0; i < 4; ++i)
    value |= static_cast<uint32_t>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  return value;
}

void AppendFrame(std::string_view payload, uint32_t flags, std::string* wire) {
  AppendUint32(static_cast<uint32_t>(payload.size()) | flags, wire);
  AppendUint32(Crc32(payload), wire);
  wire->append(payload);
}

}  // namespace

std::string_view ErrorTraits<FrameError>::Message(FrameError error) {
  switch (error) {
    case FrameError::kTooLong:
      return "frame or message is longer than the limit";
    case FrameError::kChecksum:
      return "frame checksum does not match";
  }
  return "unknown frame error";
}

uint32_t Crc32(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void AppendMessageFrames(std::string_view message, std::string* wire) {
  while (message.size() > kMaxFramePayload) {
    AppendFrame(message.substr(0, kMaxFramePayload), kMoreFollows, wire);
    message.remove_prefix(kMaxFramePayload);
  }
  AppendFrame(message, 0, wire);
}

void FrameReader::Append(std::string_view bytes) {
  this->buffer.erase(0, this->offset);
  this->offset = 0;
  // A burst must not keep its memory for as long as the connection lives.
  if (this->buffer.empty() && this->buffer.capacity() > kKeptCapacity)
    this->buffer.shrink_to_fit();
  this->buffer.append(bytes);
}

Result<std::optional<std::string_view>> FrameReader::Next() {
  if (std::exchange(this->partial_returned, false))
    this->partial = {};
  for (;;) {
    const std::string_view left =
        std::string_view(this->buffer).substr(this->offset);
    if (left.size() < kHeaderBytes)
      return std::optional<std::string_view>();
    const uint32_t length = ReadUint32(left);
    const bool more_follows = (length & kMoreFollows) != 0;
    const size_t size = length & ~kMoreFollows;
    if (size > kMaxFramePayload ||
        this->partial.size() + size > kMaxMessageBytes)
      return FrameError::kTooLong;
    if (left.size() < kHeaderBytes + size)
      return std::optional<std::string_view>();
    const std::string_view payload = left.substr(kHeaderBytes, size);
    if (Crc32(payload) != ReadUint32(left.substr(4)))
      return FrameError::kChecksum;
    this->offset += kHeaderBytes + size;
    if (!more_follows && this->partial.empty())
      return std::optional<std::string_view>(payload);
    this->partial.append(payload);
    if (more_follows)
      continue;
    this->partial_returned = true;
    return std::optional<std::string_view>(this->partial);
  }
}

}  // namespace cuminjunction
