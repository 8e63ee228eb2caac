#ifndef DAEMON_CLAIMS_TASK_H_
#define DAEMON_CLAIMS_TASK_H_

// Claims of idempotency keys in the platform's table, on a thread of its own.
//
// The row idempotency/ACCOUNT/KEY names the request that holds the key. It is
// written only if it does not exist, so of any number of requests with one key,
// on any entries, at most one is sent to an upstream. A claim whose reply was
// lost is settled by reading the row.

#include <cstdint>
#include <functional>
#include <string>

#include "base/event_thread.h"
#include "base/metrics.h"
#include "request/idempotency.h"
#include "table/http_table.h"

namespace cuminjunction {

class ClaimsTask : public IdempotencyClaims {
 public:
  // `metrics` must outlive this object. A call of the table takes at most
  // `timeout_ms` milliseconds.
  ClaimsTask(const std::string& table_url,
             int64_t timeout_ms,
             Metrics* metrics);
  ~ClaimsTask() override;

  void Claim(const std::string& account,
             const std::string& key,
             const RequestId& id,
             absl::Time deadline,
             std::function<void(ClaimResult)> done) override;
  void Release(const std::string& account,
               const std::string& key,
               const RequestId& id) override;

 private:
  ClaimResult ClaimNow(const std::string& row_key,
                       const std::string& holder,
                       absl::Time deadline);
  void ReleaseNow(const std::string& row_key, const std::string& holder);

  HttpTable table;
  Counter& claimed_total;
  Counter& taken_total;
  Counter& unavailable_total;
  EventThread thread;
};

}  // namespace cuminjunction

#endif  // DAEMON_CLAIMS_TASK_H_
