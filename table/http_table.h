#ifndef TABLE_HTTP_TABLE_H_
#define TABLE_HTTP_TABLE_H_

// The platform's table over HTTP.
//
//   HttpTable table("http://127.0.0.1:9000");
//   Result<Row> row = table.Read("config/head");
//
// A commit that was not sent is kUnavailable; one that was sent and has no
// usable answer is kUnknownOutcome. A read without a usable answer is
// kUnavailable, since it has no effect. An object belongs to one thread.

#include <cstdint>
#include <string>
#include <vector>

#include "base/http_client.h"
#include "table/table.h"

namespace cuminjunction {

class HttpTable {
 public:
  // `url` is the platform's base URL without a slash at the end. Each call
  // gives up after `timeout_ms` milliseconds.
  explicit HttpTable(std::string url, int64_t timeout_ms = 5000);

  Result<Row> Read(const std::string& key);
  Result<std::vector<Row>> ScanSince(const std::string& prefix,
                                     uint64_t version,
                                     int limit);
  Result<uint64_t> Commit(const Transaction& transaction);

 private:
  Result<HttpResponse> Send(const HttpRequest& request);

  std::string url;
  int64_t timeout_ms;
  HttpClient client;
};

}  // namespace cuminjunction

#endif  // TABLE_HTTP_TABLE_H_
