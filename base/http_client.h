#ifndef BASE_HTTP_CLIENT_H_
#define BASE_HTTP_CLIENT_H_

// A blocking HTTP client on libcurl.
//
//   HttpClient client;
//   Result<HttpResponse> answer =
//       client.Send("http://127.0.0.1:8080", {"GET", "/v1/status"},
//                   clock.Now() + absl::Seconds(5));
//
// Connections are kept for the next GET; every other request gets a new one and
// is sent at most once. An object belongs to one thread.

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/http_server.h"

namespace cuminjunction {

class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request to `base_url` and waits for the whole answer until
  // `deadline` of the system clock. kNotSent means that no connection could be
  // made; kNoAnswer that the request may have been carried out.
  Result<HttpResponse> Send(const std::string& base_url,
                            const HttpRequest& request,
                            absl::Time deadline);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// The text with all but unreserved characters percent-encoded, for a path
// segment or a query value.
std::string UrlEncode(const std::string& text);

// The text with percent encodings replaced. Malformed ones are kept.
std::string UrlDecode(const std::string& text);

}  // namespace cuminjunction

#endif  // BASE_HTTP_CLIENT_H_
