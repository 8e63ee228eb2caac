#ifndef REQUEST_AGENT_CALLS_H_
#define REQUEST_AGENT_CALLS_H_

// Internal to the agent: the reserved call number of the health check and the
// conversion of a Submit into an HTTP call to the upstream.

#include <cstdint>

#include "base/http_caller.h"
#include "request/message.h"

namespace cuminjunction {

// Call number of the health check. The calls of attempts are numbered from 1.
inline constexpr uint64_t kHealthCheckCall = 0;

// Returns the call to the upstream, with the body bytes that the Submit
// contains. Adds headers with the request id, the attempt and the deadline in
// milliseconds since the Unix epoch.
inline HttpCall MakeCall(Submit&& submit) {
  HttpCall call;
  call.method = std::move(submit.method);
  call.path = std::move(submit.path);
  call.headers = std::move(submit.headers);
  call.body = std::move(submit.bytes);
  call.body.reserve(submit.body_size);
  call.idempotent = submit.idempotent;
  call.headers.emplace_back("Cuminjunction-Request",
                            ToString(submit.id.request));
  call.headers.emplace_back("Cuminjunction-Attempt",
                            std::to_string(submit.id.attempt));
  call.headers.emplace_back("Cuminjunction-Deadline",
                            std::to_string(submit.deadline_us / 1000));
  return call;
}

}  // namespace cuminjunction

#endif  // REQUEST_AGENT_CALLS_H_
