#include "base/frame.h"

#include <boost/crc.hpp>

namespace cuminjunction {

namespace {

constexpr size_t kHeaderBytes = 8;
constexpr size_t kKeptCapacity = 64 * 1024;

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

}  // namespace

std::string_view ErrorTraits<FrameError>::Message(FrameError error) {
  switch (error) {
    case FrameError::kTooLong:
      return "frame is longer than the limit";
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

void AppendFrame(std::string_view payload, std::string* wire) {
  AppendUint32(static_cast<uint32_t>(payload.size()), wire);
  AppendUint32(Crc32(payload), wire);
  wire->append(payload);
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
  const std::string_view left =
      std::string_view(this->buffer).substr(this->offset);
  if (left.size() < kHeaderBytes)
    return std::optional<std::string_view>();
  const uint32_t size = ReadUint32(left);
  if (size > kMaxFramePayload)
    return FrameError::kTooLong;
  if (left.size() < kHeaderBytes + size)
    return std::optional<std::string_view>();
  const std::string_view payload = left.substr(kHeaderBytes, size);
  if (Crc32(payload) != ReadUint32(left.substr(4)))
    return FrameError::kChecksum;
  this->offset += kHeaderBytes + size;
  return std::optional<std::string_view>(payload);
}

}  // namespace cuminjunction
