#ifndef REQUEST_AGENT_CALLS_H_
#define REQUEST_AGENT_CALLS_H_

// Internal to the agent: the numbers of its calls and how a call is made from
// a Submit.

#include <cstdint>

#include "base/http_caller.h"
#include "request/message.h"

namespace cuminjunction {

// The number of the probe among the calls; attempts count from 1.
inline constexpr uint64_t kProbeCall = 0;

// The call to the upstream, with the body bytes that came with the Submit. The
// headers name the attempt and the deadline.
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
