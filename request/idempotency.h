#ifndef REQUEST_IDEMPOTENCY_H_
#define REQUEST_IDEMPOTENCY_H_

// Claims of idempotency keys, which an entry shard asks of another thread.

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "request/types.h"

namespace cuminjunction {

enum class ClaimResult : uint8_t {
  // This request holds the key.
  kClaimed,
  // Another request has claimed it.
  kTaken,
  // It is not known whether the key could be claimed.
  kUnavailable,
};

class IdempotencyClaims {
 public:
  virtual ~IdempotencyClaims() = default;

  // Claims the key of a client account for a request. Returns at once; `done`
  // is called once at most, on any thread, while the EventThread of the shard
  // exists.
  virtual void Claim(const std::string& account,
                     const std::string& key,
                     const RequestId& id,
                     absl::Time deadline,
                     std::function<void(ClaimResult)> done) = 0;

  // Gives up the claim of a request that certainly has not run, so that the
  // caller may try again with the same key. May come before `done` was called;
  // the claim is then undone when it turns out to have been made.
  virtual void Release(const std::string& account,
                       const std::string& key,
                       const RequestId& id) = 0;
};

}  // namespace cuminjunction

#endif  // REQUEST_IDEMPOTENCY_H_
