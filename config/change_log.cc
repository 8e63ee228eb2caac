#include "config/change_log.h"

#include "config/error.h"

namespace cuminjunction {

namespace {

// Events of the chart.
constexpr char kCheckPassed[] = "check_passed";
constexpr char kCheckFailed[] = "check_failed";
constexpr char kCommitted[] = "committed";
constexpr char kConflict[] = "conflict";
constexpr char kStoreUnavailable[] = "store_unavailable";
constexpr char kReplyLost[] = "reply_lost";
constexpr char kDistributed[] = "distributed";

const char* EventForOutcome(const Result<uint64_t>& outcome) {
  if (outcome)
    return kCommitted;
  if (outcome.error() == ConfigError::kConflict)
    return kConflict;
  if (outcome.error() == ConfigError::kUnknownOutcome)
    return kReplyLost;
  return kStoreUnavailable;
}

}  // namespace

TrackedChange* ChangeLog::FindMutable(const std::string& change_id) {
  for (TrackedChange& change : this->changes) {
    if (change.change_id == change_id)
      return &change;
  }
  return nullptr;
}

const TrackedChange* ChangeLog::Find(const std::string& change_id) const {
  for (const TrackedChange& change : this->changes) {
    if (change.change_id == change_id)
      return &change;
  }
  return nullptr;
}

Status ChangeLog::ApplyEvent(TrackedChange* change, const std::string& event) {
  BOOST_OUTCOME_TRY(next, this->chart.Next(change->state, event));
  change->state = next;
  return Ok();
}

void ChangeLog::Submit(const std::string& change_id) {
  TrackedChange* tracked = this->FindMutable(change_id);
  if (tracked != nullptr && !this->chart.IsFinal(tracked->state))
    return;
  if (tracked != nullptr) {
    *tracked = {change_id, this->chart.initial, 0};
    return;
  }
  this->changes.push_back({change_id, this->chart.initial, 0});
  if (this->changes.size() > kMaxTrackedChanges)
    this->changes.pop_front();
}

Status ChangeLog::OnCheck(const std::string& change_id, bool passed) {
  TrackedChange* change = this->FindMutable(change_id);
  // A change that is submitted again while its outcome is unknown, or after it
  // was accepted, already passed the check before its first commit.
  if (change == nullptr || change->state != this->chart.initial)
    return Ok();
  return this->ApplyEvent(change, passed ? kCheckPassed : kCheckFailed);
}

Status ChangeLog::OnCommit(const std::string& change_id,
                           const Result<uint64_t>& outcome) {
  TrackedChange* change = this->FindMutable(change_id);
  if (change == nullptr || change->version != 0)
    return Ok();
  const std::string event = EventForOutcome(outcome);
  const bool is_outcome_unknown = change->state == "open";
  // Neither another lost reply nor an outage determines the outcome of the
  // earlier commit.
  if (is_outcome_unknown && (event == kReplyLost || event == kStoreUnavailable))
    return Ok();
  BOOST_OUTCOME_TRYV(this->ApplyEvent(change, event));
  if (outcome)
    change->version = outcome.value();
  return Ok();
}

void ChangeLog::OnMinimumVersion(uint64_t version) {
  for (TrackedChange& change : this->changes) {
    if (change.version == 0 || change.version > version ||
        this->chart.IsFinal(change.state))
      continue;
    (void)this->ApplyEvent(&change, kDistributed);
  }
}

}  // namespace cuminjunction
