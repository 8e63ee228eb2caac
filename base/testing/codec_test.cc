#include "base/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/frame.h"

namespace cuminjunction {
namespace {

struct Sample {
  int64_t number = 0;
  uint32_t small = 0;
  std::string text;
  std::vector<std::string> list;
  std::map<std::string, int32_t> table;
  bool flag = false;

  bool operator==(const Sample&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->small, this->text, this->list, this->table,
            this->flag);
  }
};

const Sample kSample = {-77, 300, "abc", {"x", "yy"}, {{"k", -1}}, true};

TEST(CodecTest, ReadsBackWhatItWrote) {
  const Result<Sample> decoded = Decode<Sample>(Encode(kSample));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value(), kSample);
}

// Guards against reading past the end of a message that was cut short.
TEST(CodecTest, EveryTruncationIsAnError) {
  const std::string bytes = Encode(kSample);
  for (size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(Decode<Sample>(std::string_view(bytes).substr(0, size)));
}

// Guards against a length field of a damaged message causing an allocation of
// gigabytes.
TEST(CodecTest, HugeLengthIsRefusedBeforeAllocation) {
  const std::string bytes = "\xff\xff\xff\xff\xff\x7f";
  EXPECT_EQ(Decode<std::string>(bytes).error(), CodecError::kTruncated);
}

// Guards against any bytes ending the process or being read without limit.
RC_GTEST_PROP(CodecTest, ArbitraryBytesNeverThrow, (const std::string& bytes)) {
  const Result<Sample> decoded = Decode<Sample>(bytes);
  if (decoded)
    RC_ASSERT(Decode<Sample>(Encode(decoded.value())).value() ==
              decoded.value());
}

constexpr size_t kReadBytes = 16384;

// Returns the messages of a stream that arrives in parts of this size, up to an
// error.
std::vector<std::string> ReadMessages(std::string_view wire,
                                      size_t part_bytes) {
  FrameReader reader;
  std::vector<std::string> messages;
  for (size_t begin = 0; begin < wire.size(); begin += part_bytes) {
    reader.Append(wire.substr(begin, part_bytes));
    for (;;) {
      const auto next = reader.Next();
      EXPECT_TRUE(next);
      if (!next)
        return messages;
      if (!next.value())
        break;
      messages.emplace_back(*next.value());
    }
  }
  return messages;
}

TEST(FrameTest, CutsAStreamThatArrivesByteByByte) {
  std::string wire;
  AppendMessageFrames("first", &wire);
  AppendMessageFrames("", &wire);
  AppendMessageFrames("third", &wire);
  EXPECT_EQ(ReadMessages(wire, 1),
            (std::vector<std::string>{"first", "", "third"}));
}

// Guards against a flipped byte being taken for a message.
TEST(FrameTest, FlippedPayloadByteIsAnError) {
  std::string wire;
  AppendMessageFrames("payload", &wire);
  wire.back() ^= 1;
  FrameReader reader;
  reader.Append(wire);
  EXPECT_EQ(reader.Next().error(), FrameError::kChecksum);
}

// Guards against a damaged length making the reader buffer without limit.
TEST(FrameTest, LengthAboveTheLimitIsAnError) {
  FrameReader reader;
  reader.Append(std::string("\xff\xff\xff\x7f\0\0\0\0", 8));
  EXPECT_EQ(reader.Next().error(), FrameError::kTooLong);
}

// Guards against a message of endless parts making the reader buffer without
// limit.
TEST(FrameTest, AMessageAboveTheLimitIsAnError) {
  std::string wire;
  AppendMessageFrames(std::string(kMaxMessageBytes + 1, 'x'), &wire);
  FrameReader reader;
  reader.Append(wire);
  EXPECT_EQ(reader.Next().error(), FrameError::kTooLong);
}

// Guards against a peer that closes the connection at a message longer than a
// frame (review/11).
TEST(FrameTest, AMessageLongerThanAFrameIsReadWhole) {
  for (const size_t size :
       {kMaxFramePayload, kMaxFramePayload + 1, 5 * kMaxFramePayload}) {
    std::string message(size, 'x');
    message.back() = 'y';
    std::string wire;
    AppendMessageFrames(message, &wire);
    AppendMessageFrames("next", &wire);
    EXPECT_TRUE(ReadMessages(wire, kReadBytes) ==
                (std::vector<std::string>{message, "next"}))
        << size;
  }
}

}  // namespace
}  // namespace cuminjunction
