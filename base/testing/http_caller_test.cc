#include "base/http_caller.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "absl/time/clock.h"

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

// Returns whether the number is that of an open descriptor.
bool IsOpen(int descriptor) {
  return fcntl(descriptor, F_GETFD) != -1;
}

// Above the number of each descriptor that a test opens.
constexpr int kMaxDescriptor = 256;

std::vector<int> OpenDescriptors() {
  std::vector<int> open;
  for (int descriptor = 0; descriptor < kMaxDescriptor; ++descriptor) {
    if (IsOpen(descriptor))
      open.push_back(descriptor);
  }
  return open;
}

// Fixture with a call whose connection opens after the call's deadline, since
// the event loop is held up meanwhile.
class HttpCallerLateLoopTest : public testing::Test {
 protected:
  HttpCallerLateLoopTest() {
    this->acceptor.open(tcp::v4());
    this->acceptor.bind(
        tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    this->acceptor.listen();
    this->MakeCaller();
  }

  void MakeCaller() {
    this->caller = std::make_unique<HttpCaller>(
        &this->context,
        HttpCallerOptions{.port = this->acceptor.local_endpoint().port()},
        [this](uint64_t, HttpAnswer&& received) {
          this->answer = std::move(received);
        });
  }

  void EndCaller() {
    this->caller = nullptr;
    this->context.restart();
    this->context.poll();
  }

  void Start(absl::Duration timeout) {
    this->answer.reset();
    HttpCall call;
    call.method = "GET";
    call.path = "/";
    call.idempotent = true;
    call.timeout = timeout;
    this->caller->Start(1, std::move(call));
    this->context.restart();
  }

  CallResult WaitForResult() {
    while (!this->answer)
      this->context.run_one();
    return this->answer->result;
  }

  // Returns the result of a call whose deadline passes while its connection is
  // being opened.
  CallResult CallWithLateLoop() {
    const absl::Duration timeout = absl::Milliseconds(200);
    // Handlers of earlier calls, so that the next one begins this call.
    this->context.restart();
    this->context.poll();
    this->Start(timeout);
    // libcurl begins to open the connection.
    this->context.run_one();
    absl::SleepFor(timeout + absl::Milliseconds(20));
    return this->WaitForResult();
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor{this->context};
  std::optional<HttpAnswer> answer;
  std::unique_ptr<HttpCaller> caller;
};

// Guards against a caller that closes descriptors of others: libcurl closes the
// socket of a call that ends while its connection is being opened without the
// callback for it. The caller kept the number, which then belongs to whoever
// opens the next descriptor, and closed it.
TEST_F(HttpCallerLateLoopTest, DescriptorsOfOthersStayOpen) {
  EXPECT_EQ(this->CallWithLateLoop(), CallResult::kNotStarted);
  // One of them gets the number of the closed socket.
  std::vector<int> others(16);
  for (int& other : others)
    other = eventfd(0, EFD_CLOEXEC);
  this->EndCaller();
  for (const int other : others) {
    EXPECT_TRUE(IsOpen(other)) << "descriptor " << other;
    close(other);
  }
}

// Guards against a call that fails since the caller closes its socket: the
// socket has the number of an earlier one that libcurl had closed.
TEST_F(HttpCallerLateLoopTest, ALaterCallIsAnswered) {
  EXPECT_EQ(this->CallWithLateLoop(), CallResult::kNotStarted);
  this->acceptor.accept().close();
  this->Start(absl::Seconds(60));
  // Opens the socket, which gets the number of the closed one. A waiting
  // accept() would reserve that number.
  this->context.poll();
  std::thread serving([this] {
    tcp::socket socket = this->acceptor.accept();
    std::string request;
    boost::system::error_code error;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n", error);
    if (!error)
      boost::asio::write(socket, boost::asio::buffer(kOk));
  });
  EXPECT_EQ(this->WaitForResult(), CallResult::kAnswered);
  // Ends the wait of an upstream that the call has not reached.
  tcp::socket(this->context).connect(this->acceptor.local_endpoint());
  serving.join();
}

// Guards against sockets that are never closed.
TEST_F(HttpCallerLateLoopTest, EndedCallsLeaveNoDescriptorsOpen) {
  this->EndCaller();
  const std::vector<int> before = OpenDescriptors();
  this->MakeCaller();
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(this->CallWithLateLoop(), CallResult::kNotStarted);
  this->EndCaller();
  EXPECT_EQ(OpenDescriptors(), before);
}

}  // namespace
}  // namespace cuminjunction
