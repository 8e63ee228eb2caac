#ifndef BASE_CODEC_H_
#define BASE_CODEC_H_

// Encoding of messages.
//
// A message is an aggregate with a cereal serialize() function:
//
//   struct Ping {
//     uint64_t id = 0;
//     std::string text;
//     template <class Archive>
//     void serialize(Archive& archive) { archive(this->id, this->text); }
//   };
//
//   std::string bytes = Encode(Ping{1, "x"});
//   Result<Ping> ping = Decode<Ping>(bytes);
//
// Integers are stored as variable-length integers, since most are small and a
// heartbeat has a budget of bytes. The reader checks each length against the
// bytes that are left before it allocates, so that damaged bytes give an error
// and never a large allocation.

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include "base/error.h"

namespace cuminjunction {

enum class CodecError { kTruncated = 1, kBadValue, kTrailingBytes };

template <>
struct ErrorTraits<CodecError> {
  static constexpr const char* kCategory = "codec";
  static std::string_view Message(CodecError error);
};

// cereal output archive that appends to a string.
class ByteWriter : public cereal::OutputArchive<ByteWriter> {
 public:
  explicit ByteWriter(std::string* out)
      : cereal::OutputArchive<ByteWriter>(this), out(out) {}

  void Bytes(const void* data, size_t size) {
    this->out->append(static_cast<const char*>(data), size);
  }

  void Varint(uint64_t value) {
    while (value >= 0x80) {
      this->out->push_back(static_cast<char>(value | 0x80));
      value >>= 7;
    }
    this->out->push_back(static_cast<char>(value));
  }

 private:
  std::string* out;
};

// cereal input archive over a byte range. Throws cereal::Exception on damaged
// input; Decode() turns that into a CodecError.
class ByteReader : public cereal::InputArchive<ByteReader> {
 public:
  explicit ByteReader(std::string_view in)
      : cereal::InputArchive<ByteReader>(this), in(in) {}

  void Bytes(void* data, size_t size) {
    if (size > this->in.size())
      throw cereal::Exception("truncated");
    if (size > 0)
      std::memcpy(data, this->in.data(), size);
    this->in.remove_prefix(size);
  }

  uint64_t Varint() {
    uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      uint8_t byte = 0;
      this->Bytes(&byte, 1);
      value |= static_cast<uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) == 0)
        return value;
    }
    throw cereal::Exception("varint too long");
  }

  size_t Left() const { return this->in.size(); }

 private:
  std::string_view in;
};

namespace codec_internal {

template <class T>
uint64_t ZigZag(T value) {
  if constexpr (std::is_signed_v<T>) {
    const auto wide = static_cast<int64_t>(value);
    return (static_cast<uint64_t>(wide) << 1) ^
           static_cast<uint64_t>(wide >> 63);
  } else {
    return static_cast<uint64_t>(value);
  }
}

template <class T>
T UnZigZag(uint64_t value) {
  if constexpr (std::is_signed_v<T>) {
    return static_cast<T>((value >> 1) ^ (~(value & 1) + 1));
  } else {
    return static_cast<T>(value);
  }
}

}  // namespace codec_internal

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(
    ByteWriter& writer,
    const T& value) {
  if constexpr (std::is_floating_point_v<T> || sizeof(T) == 1)
    writer.Bytes(&value, sizeof(T));
  else
    writer.Varint(codec_internal::ZigZag(value));
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    ByteReader& reader,
    T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t byte = 0;
    reader.Bytes(&byte, 1);
    if (byte > 1)
      throw cereal::Exception("bad bool");
    value = byte == 1;
  } else if constexpr (std::is_floating_point_v<T> || sizeof(T) == 1) {
    reader.Bytes(&value, sizeof(T));
  } else {
    value = codec_internal::UnZigZag<T>(reader.Varint());
  }
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(ByteWriter& writer,
                               const cereal::BinaryData<T>& data) {
  writer.Bytes(data.data, static_cast<size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(ByteReader& reader,
                               cereal::BinaryData<T>& data) {
  reader.Bytes(data.data, static_cast<size_t>(data.size));
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(ByteWriter& writer,
                               const cereal::SizeTag<T>& tag) {
  writer.Varint(tag.size);
}

// An element takes at least one byte, so a size above the bytes left is
// damage; it is refused before the container allocates.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(ByteReader& reader, cereal::SizeTag<T>& tag) {
  const uint64_t size = reader.Varint();
  if (size > reader.Left())
    throw cereal::Exception("size above the bytes left");
  tag.size = static_cast<std::decay_t<T>>(size);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(ByteWriter& writer,
                               const cereal::NameValuePair<T>& pair) {
  writer(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(ByteReader& reader,
                               cereal::NameValuePair<T>& pair) {
  reader(pair.value);
}

// The bytes of a message.
template <class T>
std::string Encode(const T& message) {
  std::string out;
  ByteWriter writer(&out);
  writer(message);
  return out;
}

// Reads a message that takes up all of `bytes`. Fails with kTruncated or
// kBadValue on damaged bytes and with kTrailingBytes if some are left.
template <class T>
Result<T> Decode(std::string_view bytes) {
  T message;
  try {
    ByteReader reader(bytes);
    reader(message);
    if (reader.Left() > 0)
      return CodecError::kTrailingBytes;
  } catch (const cereal::Exception&) {
    return CodecError::kTruncated;
  } catch (const std::exception&) {
    return CodecError::kBadValue;
  }
  return message;
}

}  // namespace cuminjunction

CEREAL_REGISTER_ARCHIVE(cuminjunction::ByteWriter)
CEREAL_REGISTER_ARCHIVE(cuminjunction::ByteReader)
CEREAL_SETUP_ARCHIVE_TRAITS(cuminjunction::ByteReader,
                            cuminjunction::ByteWriter)

#endif  // BASE_CODEC_H_
