#include "base/http_front.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

namespace cuminjunction {
namespace {

using boost::asio::ip::tcp;

// Guards against a process that aborts when it stops, since libmicrohttpd does
// not allow suspended connections then, and against a caller without an answer.
TEST(HttpFrontTest, AStopAnswersRequestsThatAreNotAnswered) {
  boost::asio::io_context context;
  bool handed_over = false;
  auto front = std::make_unique<HttpFront>(
      &context, HttpFrontOptions{},
      [&](HttpExchange* /*exchange*/) { handed_over = true; });
  const auto port = front->Start();
  ASSERT_TRUE(port);
  tcp::socket caller(context);
  caller.connect({boost::asio::ip::address_v4::loopback(), port.value()});
  boost::asio::write(
      caller,
      boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: shop\r\n\r\n")));
  while (!handed_over)
    context.run_one();
  front = nullptr;
  std::string answer;
  boost::system::error_code error;
  boost::asio::read(caller, boost::asio::dynamic_buffer(answer), error);
  EXPECT_EQ(error, boost::asio::error::eof);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 504 ")) << answer;
}

}  // namespace
}  // namespace cuminjunction
