#include "daemon/claims_task.h"

#include "absl/time/clock.h"
#include "base/http_client.h"
#include "base/strings.h"
#include "request/message.h"

namespace cuminjunction {

namespace {

std::string RowKey(const std::string& account, const std::string& key) {
  return StrCat("idempotency/", UrlEncode(account), "/", UrlEncode(key));
}

}  // namespace

ClaimsTask::ClaimsTask(const std::string& table_url,
                       int64_t timeout_ms,
                       Metrics* metrics)
    : table(table_url, timeout_ms),
      claimed_total(metrics->GetCounter("idempotency_claims_total",
                                        "result=\"claimed\"")),
      taken_total(
          metrics->GetCounter("idempotency_claims_total", "result=\"taken\"")),
      unavailable_total(metrics->GetCounter("idempotency_claims_total",
                                            "result=\"unavailable\"")),
      thread("claims") {
  this->thread.Start();
}

ClaimsTask::~ClaimsTask() {
  this->thread.Stop();
}

void ClaimsTask::Claim(const std::string& account,
                       const std::string& key,
                       const RequestId& id,
                       absl::Time deadline,
                       std::function<void(ClaimResult)> done) {
  this->thread.Post([this, row_key = RowKey(account, key),
                     holder = ToString(id), deadline, done = std::move(done)] {
    const ClaimResult result = this->ClaimNow(row_key, holder, deadline);
    switch (result) {
      case ClaimResult::kClaimed:
        this->claimed_total.Add();
        break;
      case ClaimResult::kTaken:
        this->taken_total.Add();
        break;
      case ClaimResult::kUnavailable:
        this->unavailable_total.Add();
        break;
    }
    done(result);
  });
}

void ClaimsTask::Release(const std::string& account,
                         const std::string& key,
                         const RequestId& id) {
  this->thread.Post(
      [this, row_key = RowKey(account, key), holder = ToString(id)] {
        this->ReleaseNow(row_key, holder);
      });
}

ClaimResult ClaimsTask::ClaimNow(const std::string& row_key,
                                 const std::string& holder,
                                 absl::Time deadline) {
  // Under a flood the queue of this thread may outlast the deadline.
  if (absl::Now() >= deadline)
    return ClaimResult::kUnavailable;
  const Transaction transaction = {holder, {{row_key, 0}}, {{row_key, holder}}};
  const Result<uint64_t> committed = this->table.Commit(transaction);
  if (committed)
    return ClaimResult::kClaimed;
  if (committed.error() == TableError::kConflict)
    return ClaimResult::kTaken;
  if (committed.error() != TableError::kUnknownOutcome)
    return ClaimResult::kUnavailable;
  // A claim that takes effect after this read only keeps the key from being
  // used again, which is safe.
  const Result<Row> row = this->table.Read(row_key);
  if (row && row.value().value == holder)
    return ClaimResult::kClaimed;
  return row ? ClaimResult::kTaken : ClaimResult::kUnavailable;
}

void ClaimsTask::ReleaseNow(const std::string& row_key,
                            const std::string& holder) {
  const Result<Row> row = this->table.Read(row_key);
  if (!row || row.value().value != holder)
    return;
  // Without success the key stays taken, and the caller's repetition is refused
  // as a duplicate: the safe side.
  (void)this->table.Commit({StrCat("release-", holder),
                            {{row_key, row.value().version}},
                            {{row_key, std::nullopt}}});
}

}  // namespace cuminjunction
