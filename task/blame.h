#ifndef TASK_BLAME_H_
#define TASK_BLAME_H_

// Attributes failed attempts to a faulty job or to a faulty worker.
//
//   FaultAttribution attribution((FaultAttributionOptions()));
//   attribution.RecordOutcome(outcome, now);     // each attempt that ended
//   WorkerVerdict verdict = attribution.Judge(worker, now);
//
// A worker becomes suspect when several jobs have failed on it since an attempt
// last succeeded there. A job that has also failed on other workers which are
// not suspect is itself at fault and is no evidence against a worker. Retrying
// and parking its tasks depends on the task's row (see RetryPolicy in
// task/transitions.h). A suspect worker gets one probe task at a time and is
// readmitted when enough probes succeed. It is readmitted at once when the jobs
// that failed on it turn out to be at fault.
//
// Nothing is stored. A new planner starts probing the suspect workers again.

#include <map>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "task/row.h"
#include "task/scorer.h"

namespace cuminjunction {

struct FaultAttributionOptions {
  // Number of jobs that are not at fault which must fail on a worker to make it
  // suspect. One more is needed on a worker where an attempt succeeded within
  // the retention.
  size_t good_jobs_to_suspect = 2;
  // Number of jobs, at fault or not, which must fail on a worker to make it
  // suspect. Needed when several workers fail everything: each job then fails
  // on more than one of them and seems to be at fault.
  size_t any_jobs_to_suspect = 6;
  // Number of workers, none of them suspect, on which a job must fail to be at
  // fault.
  size_t workers_to_fault_job = 2;
  // Successful probes in a row that readmit a suspect worker.
  int probes_to_readmit = 2;
  absl::Duration first_probe_delay = absl::Seconds(20);
  absl::Duration max_probe_delay = absl::Minutes(10);
  // Delay until another probe is requested when one could not be placed.
  absl::Duration probe_retry_delay = absl::Seconds(5);
  // A suspect worker that got no probe, because no task that fits it was
  // waiting, is readmitted after this time. The first failure makes it suspect
  // again.
  absl::Duration unprobed_readmit_delay = absl::Minutes(15);
  // How long failures and successes count as evidence.
  absl::Duration retention = absl::Minutes(30);
};

class FaultAttribution {
 public:
  explicit FaultAttribution(const FaultAttributionOptions& options)
      : options(options) {}

  void RecordOutcome(const AttemptOutcome& outcome, absl::Time now);

  // Returns what to do about the worker. A verdict that is not carried out is
  // returned again by a later call.
  WorkerVerdict Judge(const WorkerRow& worker, absl::Time now);

  // True when the job has failed on several workers that are not suspect.
  bool IsJobAtFault(const std::string& owner) const;

  // True when a job that is not at fault has failed on the worker since an
  // attempt last succeeded there.
  bool HasEvidenceAgainst(const std::string& worker) const;

 private:
  struct WorkerRecord {
    // Jobs that failed on the worker since the last success there, with the
    // time of the newest failure.
    std::map<std::string, absl::Time> failed;
    absl::Time last_success = absl::InfinitePast();
    bool suspect = false;
    // Readmitted without a success since: the first failure makes it suspect.
    bool on_probation = false;
    // The row was suspect already while this planner had no evidence for it.
    bool suspected_by_predecessor = false;
    int passed_probes = 0;
    absl::Time next_probe = absl::InfinitePast();
    absl::Time unprobed_deadline = absl::InfiniteFuture();
    // Failed probes in a row. The delay before the next probe doubles with
    // each.
    int failed_probes = 0;
  };
  struct JobRecord {
    // Workers that the job failed on since its last success, with the time of
    // the newest failure.
    std::map<std::string, absl::Time> failed;
  };

  size_t CountEvidenceAgainst(const WorkerRecord& record,
                              const std::string& worker) const;
  bool ShouldSuspect(const WorkerRecord& record,
                     const std::string& worker,
                     absl::Time now) const;
  bool HasFailedElsewhere(const std::string& owner,
                          const std::string& worker) const;
  bool IsSuspect(const std::string& worker) const;
  absl::Duration ProbeDelay(int failed_probes) const;
  void RecordFailure(const AttemptOutcome& outcome, absl::Time now);
  void RecordSuccess(const AttemptOutcome& outcome, absl::Time now);
  WorkerVerdict JudgeSuspect(const WorkerRow& worker,
                             absl::Time now,
                             WorkerRecord* record);
  void DropOldEvidence(absl::Time now);

  FaultAttributionOptions options;
  std::map<std::string, WorkerRecord> workers;
  std::map<std::string, JobRecord> jobs;
  absl::Time next_sweep = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // TASK_BLAME_H_
