#include "base/frame_link.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace cuminjunction {
namespace {

// Guards against a message that the receiver refuses and that the sender
// repeats on each connection without a word of the cause.
TEST(FrameLinkTest, AMessageAboveTheLimitClosesTheConnectionAtItsSender) {
  boost::asio::io_context context;
  std::error_code reason;
  const auto link = std::make_shared<FrameLink>(
      boost::asio::ip::tcp::socket(context),
      FrameHandlers{
          .on_open = nullptr,
          .on_message = [](std::string_view) -> Status { return Ok(); },
          .on_closed = [&](std::error_code error) { reason = error; }});
  link->Send(std::string(kMaxMessageBytes, 'x'));
  EXPECT_FALSE(link->IsClosed());
  link->Send(std::string(kMaxMessageBytes + 1, 'x'));
  EXPECT_TRUE(link->IsClosed());
  EXPECT_EQ(reason, make_error_code(FrameError::kTooLong));
}

}  // namespace
}  // namespace cuminjunction
