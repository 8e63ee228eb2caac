#ifndef BASE_HTTP_SERVER_H_
#define BASE_HTTP_SERVER_H_

// A small HTTP server for administration and for stand-ins.
//
// The handler gets the whole request and returns the whole response. Requests
// run in parallel on a pool of threads, so the handler must be thread-safe.
//
//   HttpServerOptions options;
//   options.host = "127.0.0.1";
//   Result<std::unique_ptr<HttpServer>> server =
//       HttpServer::Start(options, [](const HttpRequest& request) {
//         return HttpResponse{200, "text/plain", "hello\n"};
//       });
//
// Requests above a limit are answered with 413 or 431 and never reach the
// handler.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/error.h"

namespace cuminjunction {

enum class HttpError {
  kCannotListen = 1,
  kBadAddress,
  // No connection was made: the request was not sent.
  kNotSent,
  // The request was sent, but the answer is missing or broken.
  kNoAnswer,
};

template <>
struct ErrorTraits<HttpError> {
  static constexpr const char* kCategory = "http";
  static std::string_view Message(HttpError error);
};

struct HttpRequest {
  std::string method;
  // Path without the query, not decoded.
  std::string path;
  std::map<std::string, std::string> query;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  bool operator==(const HttpRequest&) const = default;
};

struct HttpResponse {
  // 0 closes the connection without an answer, which stand-ins use for lost
  // replies.
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::map<std::string, std::string> headers;

  bool operator==(const HttpResponse&) const = default;
};

struct HttpServerOptions {
  std::string host = "127.0.0.1";
  // 0 lets the system choose.
  uint16_t port = 0;
  // Size of the pool; 0 gives each connection a thread of its own, for handlers
  // that wait.
  int threads = 2;
  size_t max_body_bytes = 4 * 1024 * 1024;
  size_t max_header_bytes = 32 * 1024;
  int max_connections = 256;
};

class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  // Starts to listen. Fails with HttpError.
  static Result<std::unique_ptr<HttpServer>> Start(
      const HttpServerOptions& options,
      Handler handler);
  // Stops listening; requests being handled are answered first.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t Port() const;

 private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace cuminjunction

#endif  // BASE_HTTP_SERVER_H_
