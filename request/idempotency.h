#ifndef REQUEST_IDEMPOTENCY_H_
#define REQUEST_IDEMPOTENCY_H_

// Claims of idempotency keys. A claimed key lets only one request run among all
// those that a client account sends with the same key. An entry shard requests
// a claim from another thread:
//
//   claims->Claim(account, key, id, deadline, [](ClaimResult result) {
//     if (result == ClaimResult::kClaimed) ...   // run the request
//   });
//   claims->Release(account, key, id);             // the request has not run

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "request/types.h"

namespace cuminjunction {

enum class ClaimResult : uint8_t {
  // The request has claimed the key.
  kClaimed,
  // Another request has claimed the key.
  kTaken,
  // The result of the claim is unknown, as when the store is unavailable.
  kUnavailable,
};

class IdempotencyClaims {
 public:
  virtual ~IdempotencyClaims() = default;

  // Claims the key of a client account for a request. Does not block. `done` is
  // called at most once, on any thread, while the EventThread of the shard
  // exists.
  virtual void Claim(const std::string& account,
                     const std::string& key,
                     const RequestId& id,
                     absl::Time deadline,
                     std::function<void(ClaimResult)> done) = 0;

  // Releases the claim of a request that certainly has not run, so that the
  // caller may retry with the same key. May be called before `done`; the claim
  // is then released after it succeeds.
  virtual void Release(const std::string& account,
                       const std::string& key,
                       const RequestId& id) = 0;
};

}  // namespace cuminjunction

#endif  // REQUEST_IDEMPOTENCY_H_
