#ifndef SUBMISSION_PRIOR_STARTS_H_
#define SUBMISSION_PRIOR_STARTS_H_

// Which submissions no earlier planner can have started.
//
//   PriorStarts prior_starts(predecessor_last_commit);
//   prior_starts.OnStoreVersion(reply.version, sent);
//   if (prior_starts.RulesOut(row.version)) scheduler.Resolve(row.key);
//
// Load pattern: a planner is lost together with VMs that stay silent, and
// callers go on handing in work. After a takeover a task that an earlier
// planner may have started must wait until every silent VM has reported or lost
// its grant. That takes seconds, and new submissions need not wait with it: a
// planner adds no submission once its last successful commit is older than
// kCommitsFailingAfter. What was stored later than that was never started. The
// version counter of the store, which grows with each transaction, tells which
// rows these are.

#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace cuminjunction {

// The commits of a planner count as failing when the last successful one was
// sent longer ago than this. It then adds no submissions.
inline constexpr absl::Duration kCommitsFailingAfter = absl::Milliseconds(1300);

// Factor for the drift between the clocks of two processes. The platform states
// a drift of 2% for a runner; this is twice that.
inline constexpr double kClockDriftFactor = 1.04;

class PriorStarts {
 public:
  // `last_commit` is not before any successful commit of an earlier planner was
  // sent, by the boot clock.
  explicit PriorStarts(absl::Time last_commit)
      : quiet_at(last_commit + kCommitsFailingAfter * kClockDriftFactor) {}

  // From this time on no earlier planner adds submissions.
  absl::Time QuietAt() const { return this->quiet_at; }

  // Takes the newest version of the store from the reply to a call that was
  // sent at this time.
  void OnStoreVersion(int64_t version, absl::Time sent) {
    if (!this->last_started_version && sent >= this->quiet_at)
      this->last_started_version = version;
  }

  // True once OnStoreVersion() was called with a time after QuietAt().
  bool IsDecided() const { return this->last_started_version.has_value(); }

  // True if a submission whose row was written at this version can't have been
  // started by an earlier planner.
  bool RulesOut(int64_t row_version) const {
    return this->last_started_version &&
           row_version > *this->last_started_version;
  }

 private:
  absl::Time quiet_at;
  // Newest version of a row that an earlier planner may have acted on.
  std::optional<int64_t> last_started_version;
};

}  // namespace cuminjunction

#endif  // SUBMISSION_PRIOR_STARTS_H_
