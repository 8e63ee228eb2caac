#include "base/http_caller.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace cuminjunction {
namespace {

using boost::asio::ip::tcp;

constexpr std::string_view kOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kUnavailable =
    "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";

// A server on loopback that serves one connection at a time.
class OneByOneServer {
 public:
  uint16_t Port() const { return this->acceptor.local_endpoint().port(); }

  void Accept() { this->acceptor.accept(this->socket); }

  void ReadRequest() {
    std::string request;
    boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n");
  }

  void Answer(std::string_view text) {
    boost::asio::write(this->socket, boost::asio::buffer(text));
  }

  void CloseConnection() { this->socket.close(); }
  void StopListening() { this->acceptor.close(); }

 private:
  boost::asio::io_context context;
  tcp::acceptor acceptor{
      this->context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  tcp::socket socket{this->context};
};

class HttpCallerTest : public testing::Test {
 protected:
  HttpCallerTest()
      : caller(&this->context,
               {.port = this->server.Port(), .connections = 1},
               [this](uint64_t, HttpAnswer&& received) {
                 this->answer = std::move(received);
               }) {}

  HttpAnswer Call() {
    this->answer.reset();
    HttpCall call;
    call.method = "POST";
    call.path = "/";
    call.idempotent = true;
    call.timeout = absl::Seconds(60);
    this->caller.Start(1, std::move(call));
    this->context.restart();
    while (!this->answer)
      this->context.run_one();
    return *std::exchange(this->answer, std::nullopt);
  }

  OneByOneServer server;
  boost::asio::io_context context;
  std::optional<HttpAnswer> answer;
  HttpCaller caller;
};

// Guards against a refusal that is taken for the outcome of the call although
// the first copy of the request was carried out: a kept connection broke before
// the answer, and libcurl sent the request again.
TEST_F(HttpCallerTest, AnAnswerToASecondCopyIsMarked) {
  std::thread serving([this] {
    this->server.Accept();
    this->server.ReadRequest();
    this->server.Answer(kOk);
    this->server.ReadRequest();
    this->server.CloseConnection();
    this->server.Accept();
    this->server.ReadRequest();
    this->server.Answer(kUnavailable);
  });
  const HttpAnswer first = this->Call();
  EXPECT_EQ(first.status, 200u);
  EXPECT_FALSE(first.resent);
  const HttpAnswer second = this->Call();
  EXPECT_EQ(second.result, CallResult::kAnswered);
  EXPECT_EQ(second.status, 503u);
  EXPECT_TRUE(second.resent);
  serving.join();
}

// Guards against a call that counts as never started although its first copy
// was sent: only the connection for the second copy could not be opened.
TEST_F(HttpCallerTest, ACallIsNotTakenForUnsentAfterItsFirstCopy) {
  std::thread serving([this] {
    this->server.Accept();
    this->server.ReadRequest();
    this->server.Answer(kOk);
    this->server.ReadRequest();
    this->server.StopListening();
    this->server.CloseConnection();
  });
  EXPECT_EQ(this->Call().status, 200u);
  EXPECT_EQ(this->Call().result, CallResult::kCutOff);
  serving.join();
}

}  // namespace
}  // namespace cuminjunction
