#include "request/message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/link.h"

namespace cuminjunction {
namespace {

Submit GoodSubmit() {
  Submit submit;
  submit.id = {{7, 9}, 1};
  submit.account = "growers";
  submit.service = "runner";
  submit.deadline_us = 1'000'000;
  submit.method = "POST";
  submit.path = "/order?a=1";
  submit.headers = {{"Content-Type", "text/plain"}, {"X-Empty", ""}};
  submit.body_size = 3;
  submit.bytes = "abc";
  return submit;
}

template <class T>
Result<Message> Copy(const T& message) {
  std::string payload;
  AppendMessage(message, &payload);
  return ReadMessage(payload);
}

TEST(MessageTest, ReadsBackWhatItWrote) {
  EXPECT_EQ(std::get<Submit>(Copy(GoodSubmit()).value()), GoodSubmit());
  const Refused refused = {{{7, 9}, 2}, Refusal::kLeaving, {1, 2, 3, 4, 5}};
  EXPECT_EQ(std::get<Refused>(Copy(refused).value()), refused);
  EXPECT_EQ(std::get<Leaving>(Copy(Leaving{}).value()), Leaving{});
}

// Guards against request smuggling: a request line or header from a peer that
// the upstream would parse as another request.
TEST(MessageTest, FieldsThatBreakAnHttpHeadAreRefused) {
  const auto refused = [](const std::function<void(Submit*)>& change) {
    Submit submit = GoodSubmit();
    change(&submit);
    return Copy(submit).has_error();
  };
  EXPECT_TRUE(refused([](Submit* s) { s->path = "/x HTTP/1.1\r\nA: b"; }));
  EXPECT_TRUE(refused([](Submit* s) { s->path = "x"; }));
  EXPECT_TRUE(refused([](Submit* s) { s->method = "GET /"; }));
  EXPECT_TRUE(refused([](Submit* s) { s->headers = {{"A", "b\r\nC: d"}}; }));
  EXPECT_TRUE(refused([](Submit* s) { s->headers = {{"A: b", "c"}}; }));
  EXPECT_TRUE(refused([](Submit* s) { s->id.attempt = 0; }));
  EXPECT_TRUE(refused([](Submit* s) { s->body_size = 2; }));
  EXPECT_TRUE(refused([](Submit* s) { s->body_size = kMaxBodyBytes + 1; }));
  EXPECT_TRUE(refused([](Submit* s) {
    s->headers = {{"A", std::string(kMaxHeaderBytes, 'x')}};
  }));
  EXPECT_TRUE(refused([](Submit* s) { s->urgency = static_cast<Urgency>(3); }));
}

// Guards against bytes that crash the process.
RC_GTEST_PROP(MessageTest, ArbitraryBytesNeverThrow, (std::string bytes)) {
  if (!bytes.empty())
    bytes[0] = static_cast<char>(1 + static_cast<unsigned char>(bytes[0]) % 9);
  (void)ReadMessage(bytes);
}

// Guards against decoding a damaged message into one whose fields violate the
// rules of its type.
RC_GTEST_PROP(MessageTest, DamagedSubmitIsRefusedOrValid, (uint8_t bit)) {
  std::string payload;
  AppendMessage(GoodSubmit(), &payload);
  for (size_t i = 0; i < payload.size(); ++i) {
    std::string damaged = payload;
    damaged[i] = static_cast<char>(damaged[i] ^ (1 << (bit % 8)));
    const Result<Message> message = ReadMessage(damaged);
    if (message) {
      std::string again;
      std::visit([&](const auto& read) { AppendMessage(read, &again); },
                 message.value());
      RC_ASSERT(ReadMessage(again).has_value());
    }
  }
}

TEST(MessageTest, RequestIdTextIsReadBack) {
  const RequestId id = {12, 34};
  EXPECT_EQ(ParseRequestId(ToString(id)).value(), id);
  for (const char* bad : {"", "1", "-", "1-", "-1", "1-2x", "x1-2", "1--2"})
    EXPECT_FALSE(ParseRequestId(bad)) << bad;
}

}  // namespace
}  // namespace cuminjunction
