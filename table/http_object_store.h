#ifndef TABLE_HTTP_OBJECT_STORE_H_
#define TABLE_HTTP_OBJECT_STORE_H_

// The platform's object store over HTTP.
//
//   HttpObjectStore store("http://127.0.0.1:9000");
//   Status stored = store.Put("checkpoint/packing-plan-1/2", bytes);
//
// Errors are as for HttpTable. An object belongs to one thread.

#include <cstdint>
#include <string>

#include "base/http_client.h"
#include "table/object_store.h"

namespace cuminjunction {

class HttpObjectStore {
 public:
  // As for HttpTable.
  explicit HttpObjectStore(std::string url, int64_t timeout_ms = 5000);

  Status Put(const std::string& name, const std::string& bytes);
  Result<std::string> Get(const std::string& name);

 private:
  Result<HttpResponse> Send(const HttpRequest& request);

  std::string url;
  int64_t timeout_ms;
  HttpClient client;
};

}  // namespace cuminjunction

#endif  // TABLE_HTTP_OBJECT_STORE_H_
