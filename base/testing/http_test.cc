#include <gtest/gtest.h>

#include <atomic>

#include "absl/time/clock.h"
#include "base/http_client.h"
#include "base/http_server.h"

namespace cuminjunction {
namespace {

class HttpTest : public testing::Test {
 protected:
  void SetUp() override {
    HttpServerOptions options;
    options.max_body_bytes = 1000;
    options.max_header_bytes = 2000;
    auto started =
        HttpServer::Start(options, [this](const HttpRequest& request) {
          ++this->requests;
          if (request.path == "/drop")
            return HttpResponse{0, "", "", {}};
          const auto found = request.query.find("q");
          return HttpResponse{
              201,
              "text/plain",
              request.method + request.path + request.body +
                  (found == request.query.end() ? "" : found->second),
              {}};
        });
    ASSERT_TRUE(started);
    this->server = std::move(started.value());
    this->url = "http://127.0.0.1:" + std::to_string(this->server->Port());
  }

  Result<HttpResponse> Send(const HttpRequest& request) {
    return this->client.Send(this->url, request,
                             absl::Now() + absl::Seconds(20));
  }

  std::unique_ptr<HttpServer> server;
  HttpClient client;
  std::string url;
  std::atomic<int> requests = 0;
};

TEST_F(HttpTest, CarriesMethodPathQueryAndBody) {
  const auto answer = this->Send({"PUT", "/a", {{"q", "x y&z"}}, {}, "body"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.value().status, 201);
  EXPECT_EQ(answer.value().body, "PUT/abodyx y&z");
}

// Guards against a caller filling the memory of the process.
TEST_F(HttpTest, OversizedRequestsHaveStatusesOfTheirOwn) {
  EXPECT_EQ(
      this->Send({"POST", "/", {}, {}, std::string(5000, 'x')}).value().status,
      413);
  EXPECT_EQ(this->Send({"GET", "/", {}, {{"x", std::string(2500, 'x')}}, ""})
                .value()
                .status,
            431);
  EXPECT_EQ(this->Send({"GET", "/", {}, {}, ""}).value().status, 201);
}

// Guards against a request that runs twice: libcurl repeats it when the kept
// connection of the GET before closes without an answer.
TEST_F(HttpTest, UnansweredWriteIsSentOnce) {
  ASSERT_TRUE(this->Send({"GET", "/", {}, {}, ""}));
  EXPECT_EQ(this->Send({"POST", "/drop", {}, {}, "body"}).error(),
            HttpError::kNoAnswer);
  EXPECT_EQ(this->requests, 2);
}

// Guards against calling a request sent that never was.
TEST_F(HttpTest, RefusedConnectionIsNotSent) {
  const uint16_t port = this->server->Port();
  this->server.reset();
  HttpClient fresh;
  EXPECT_EQ(fresh
                .Send("http://127.0.0.1:" + std::to_string(port),
                      {"GET", "/", {}, {}, ""}, absl::Now() + absl::Seconds(20))
                .error(),
            HttpError::kNotSent);
}

}  // namespace
}  // namespace cuminjunction
