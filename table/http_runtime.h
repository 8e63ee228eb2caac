#ifndef TABLE_HTTP_RUNTIME_H_
#define TABLE_HTTP_RUNTIME_H_

// The runtime of a worker over HTTP, on the loopback interface of its VM.
//
//   HttpRuntime runtime("http://127.0.0.1:9000/worker/w1");
//   Result<RuntimeState> state = runtime.List();
//
// A command that was not sent is kUnavailable; one that was sent and has no
// usable answer is kUnknownOutcome. An object belongs to one thread.

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/http_client.h"
#include "table/runtime.h"

namespace cuminjunction {

class HttpRuntime {
 public:
  // `url` is the runtime's prefix without a slash at the end. Each call gives
  // up after `timeout_ms` milliseconds.
  explicit HttpRuntime(std::string url, int64_t timeout_ms = 5000);

  Status Start(const TaskStart& start);
  Status Stop(const std::string& task, uint32_t attempt);
  Result<std::string> Checkpoint(const std::string& task, uint32_t attempt);
  Status Throttle(const std::string& task, uint32_t attempt, double share);
  Status Extend(absl::Time deadline);
  Result<RuntimeState> List();
  Status Forget(const std::string& task, uint32_t attempt);

 private:
  Result<std::string> Command(const std::string& name,
                              const nlohmann::json& body);

  std::string url;
  int64_t timeout_ms;
  HttpClient client;
};

}  // namespace cuminjunction

#endif  // TABLE_HTTP_RUNTIME_H_
