#include "testing/support/faulty_store.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// Queues `units` behind the calls admitted before and returns when they are
// through.
absl::Time Admit(int64_t units,
                 int64_t per_second,
                 absl::Time now,
                 absl::Time* busy_until) {
  if (per_second <= 0)
    return now;
  // A burst of a quarter second passes without delay, so that the limit acts on
  // the rate and not on the size of one call.
  const absl::Time start = std::max(*busy_until, now);
  *busy_until = start + absl::Seconds(1) * units / per_second;
  return std::max(now, *busy_until - absl::Milliseconds(250));
}

}  // namespace

double StoreFaultPlan::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

CallDecision StoreFaultPlan::Read(int64_t rows, absl::Time now) {
  const absl::Time when =
      Admit(std::max<int64_t>(rows, 1), this->faults.reads_per_second, now,
            &this->reads_busy_until) +
      absl::Milliseconds(this->faults.delay_ms);
  if (this->faults.down)
    return {CallFate::kRefused, now};
  return {CallFate::kNormal, when};
}

CallDecision StoreFaultPlan::Write(int64_t rows, absl::Time now) {
  if (this->faults.down)
    return {CallFate::kRefused, now};
  const absl::Time when =
      Admit(std::max<int64_t>(rows, 1), this->faults.writes_per_second, now,
            &this->writes_busy_until) +
      absl::Milliseconds(this->faults.delay_ms);
  const double draw = this->Draw();
  if (draw < this->faults.lost_reply_share)
    return {CallFate::kReplyLost, when};
  if (draw < this->faults.lost_reply_share + this->faults.late_write_share)
    return {CallFate::kLate, when};
  return {CallFate::kNormal, when};
}

void FaultyTable::SetNow(absl::Time now) {
  this->now = now;
  while (!this->late.empty() && this->late.begin()->first <= now) {
    // A conflict is possible and means that the late write has no effect.
    (void)this->table.Commit(this->late.begin()->second);
    this->late.erase(this->late.begin());
  }
}

Result<Row> FaultyTable::Read(const std::string& key) {
  const CallDecision decision = this->plan.Read(1, this->now);
  this->reply_at = decision.when;
  if (decision.fate == CallFate::kRefused)
    return TableError::kUnavailable;
  return this->table.Read(key);
}

Result<std::vector<Row>> FaultyTable::ScanSince(const std::string& prefix,
                                                uint64_t version,
                                                int limit) {
  Result<std::vector<Row>> rows = this->table.ScanSince(prefix, version, limit);
  const auto count = static_cast<int64_t>(rows.value().size());
  const CallDecision decision = this->plan.Read(count, this->now);
  this->reply_at = decision.when;
  if (decision.fate == CallFate::kRefused)
    return TableError::kUnavailable;
  return rows;
}

Result<uint64_t> FaultyTable::Commit(const Transaction& transaction) {
  const auto count = static_cast<int64_t>(transaction.writes.size());
  const CallDecision decision = this->plan.Write(count, this->now);
  this->reply_at = decision.when;
  switch (decision.fate) {
    case CallFate::kNormal:
      return this->table.Commit(transaction);
    case CallFate::kRefused:
      return TableError::kUnavailable;
    case CallFate::kReplyLost:
      (void)this->table.Commit(transaction);
      return TableError::kUnknownOutcome;
    case CallFate::kLate:
      this->late.emplace(
          decision.when + absl::Milliseconds(this->Faults().late_write_ms),
          transaction);
      return TableError::kUnknownOutcome;
  }
  return TableError::kUnknownOutcome;
}

}  // namespace cuminjunction
