#ifndef TASK_BLAME_H_
#define TASK_BLAME_H_

// Tells whether a job or a worker is at fault when attempts fail.
//
//   Blame blame((BlameOptions()));
//   blame.Ended(outcome, now);                 // every attempt that ended
//   WorkerVerdict verdict = blame.Judge(worker, now);
//
// A worker is suspect when several jobs have failed on it since an attempt last
// succeeded there. A job that has also failed on other workers that are not
// suspect is itself at fault and no evidence against a worker; its retries and
// its parking are up to the task's row (see RetryPolicy in
// task/transitions.h). A suspect worker gets single probes, is ready again when
// these succeed, and is ready at once when the evidence turns out to be jobs at
// fault.
//
// Nothing here is stored. A new planner probes the suspect workers anew.

#include <map>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "task/row.h"
#include "task/scorer.h"

namespace cuminjunction {

struct BlameOptions {
  // Jobs without a fault of their own that must fail on a worker, one more on a
  // worker on which some attempt succeeded within the memory.
  size_t jobs_against_worker = 2;
  // Jobs that must fail on a worker whether or not they are at fault: when
  // several workers fail everything, each job fails on more than one of them.
  size_t any_jobs_against_worker = 6;
  // Workers on which a job must fail to be at fault.
  size_t workers_against_job = 2;
  // Successes in a row that make a suspect worker ready.
  int probes_to_readmit = 2;
  absl::Duration first_probe = absl::Seconds(20);
  absl::Duration longest_probe = absl::Minutes(10);
  // A probe that could not be placed is asked for again.
  absl::Duration probe_retry = absl::Seconds(5);
  // A suspect worker without any probe, since no task waited that it can hold,
  // is ready again after this time; the first failure makes it suspect again.
  absl::Duration readmit_unprobed = absl::Minutes(15);
  // How long failures and successes count.
  absl::Duration memory = absl::Minutes(30);
};

class Blame {
 public:
  explicit Blame(const BlameOptions& options) : options(options) {}

  void Ended(const AttemptOutcome& outcome, absl::Time now);

  // What to do about the worker. A verdict that is not carried out is given
  // again.
  WorkerVerdict Judge(const WorkerRow& worker, absl::Time now);

  // True when the job has failed on several workers without a fault.
  bool IsJobAtFault(const std::string& owner) const;

  // True when a job that is not at fault has failed on the worker since an
  // attempt last succeeded there.
  bool IsDoubtful(const std::string& worker) const;

 private:
  struct WorkerRecord {
    // Jobs that failed since the last success, with the time of the failure.
    std::map<std::string, absl::Time> failed;
    absl::Time last_success = absl::InfinitePast();
    bool suspect = false;
    // Made ready again a while ago: the first failure counts.
    bool on_trial = false;
    // The row was seen as suspect before any evidence was known here.
    bool inherited = false;
    int good_probes = 0;
    absl::Time next_probe = absl::InfinitePast();
    absl::Time unprobed_until = absl::InfiniteFuture();
    // Failed probes in a row; the wait doubles with each.
    int failed_probes = 0;
  };
  struct JobRecord {
    // Workers that it failed on since its last success.
    std::map<std::string, absl::Time> failed;
  };

  size_t Against(const WorkerRecord& record, const std::string& worker) const;
  bool IsSuspicious(const WorkerRecord& record,
                    const std::string& worker,
                    absl::Time now) const;
  bool FailedElsewhere(const std::string& owner,
                       const std::string& worker) const;
  bool IsSuspect(const std::string& worker) const;
  absl::Duration ProbeWait(int failed_probes) const;
  void Failed(const AttemptOutcome& outcome, absl::Time now);
  void Succeeded(const AttemptOutcome& outcome, absl::Time now);
  WorkerVerdict JudgeSuspect(const WorkerRow& worker,
                             absl::Time now,
                             WorkerRecord* record);
  void Forget(absl::Time now);

  BlameOptions options;
  std::map<std::string, WorkerRecord> workers;
  std::map<std::string, JobRecord> jobs;
  absl::Time next_forget = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // TASK_BLAME_H_
