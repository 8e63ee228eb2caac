#ifndef TASK_TRANSITIONS_H_
#define TASK_TRANSITIONS_H_

// All state transitions of task and worker rows.
//
// A transition checks one decision against the charts and the worker's capacity
// and adds the rows it writes to a batch, with the versions they must still
// have. A refused transition adds nothing. Transitions are pure: the time is an
// argument and nothing is read from the table.
//
// Planners place, evict, fence and release; agents register, renew and report;
// operators cancel, retry, drain and readmit. Since each transition expects the
// versions that it was decided on, only one of two concurrent transitions of a
// row takes effect.
// All of them may fail with ChartError::kNoTransition besides the errors named.

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "task/batch.h"

namespace cuminjunction {

enum class TransitionError {
  // The worker's state allows no such placement.
  kWorkerNotReady = 1,
  // The worker lacks the capacity.
  kNoCapacity,
  // The task already holds capacity.
  kAlreadyPlaced,
  // The back-off of a failed task has not expired.
  kInBackoff,
  // The worker row does not list this attempt, or the task row names another.
  kStaleAttempt,
  // The worker's lease epoch differs from the caller's.
  kFenced,
  // The lease was renewed since it was observed.
  kLeaseRenewed,
  // The attempt belongs to the worker's present epoch, so it may be running.
  kStillRunning,
  // A share is not within 1 to 100 percent.
  kShareOutOfRange,
  // The row exists but must not, or is missing.
  kRowState,
};

template <>
struct ErrorTraits<TransitionError> {
  static constexpr const char* kCategory = "transition";
  static std::string_view Message(TransitionError error);
};

// Maximum number of attempts of a failing batch task, and the backoff between
// attempts. Watchers and replicas must keep running, so they are retried
// without limit.
struct RetryPolicy {
  uint32_t max_attempts = 5;
  absl::Duration initial_backoff = absl::Seconds(5);
  absl::Duration max_backoff = absl::Minutes(10);
  // A watcher's or replica's attempt that ran this long resets its failure
  // count.
  absl::Duration healthy_runtime = absl::Minutes(10);

  // The backoff after the given number of consecutive failures, at least 1.
  absl::Duration Backoff(uint32_t failures) const;
};

// Creates a task row: pending, or blocked when it has dependencies.
Status CreateTask(TaskRow task, Batch* batch);

// Replaces the declaration of a task that holds no capacity: size, urgency,
// command, dependencies and configuration version are taken from `declared`.
Status Redeclare(const TaskEntry& task, const TaskRow& declared, Batch* batch);

// Deletes a final task's row that holds no capacity. Fails with kRowState.
Status DeleteTask(const TaskEntry& task, Batch* batch);

// A normal placement needs a ready worker; a probe is a single attempt on a
// suspect worker that has nothing else assigned.
enum class PlaceMode { kNormal, kProbe };

// Starts the next attempt of a waiting task on a worker.
Status Place(const TaskEntry& task,
             const WorkerEntry& worker,
             absl::Time now,
             PlaceMode mode,
             Batch* batch);

// Asks the worker to checkpoint and stop the task.
Status Evict(const TaskEntry& task,
             const WorkerEntry& worker,
             std::string_view reason,
             Batch* batch);

// Limits a placed task to a share of its processors, 1 to 100 percent. Only the
// worker row changes.
Status Throttle(const TaskEntry& task,
                const WorkerEntry& worker,
                int32_t share_percent,
                Batch* batch);

// Cancels a task for good. A placed one keeps its capacity until the worker
// reports that it has stopped; `worker` is the row of the task's worker, null
// when it has none.
Status Cancel(const TaskEntry& task,
              const WorkerEntry* worker,
              std::string_view reason,
              Batch* batch);

// Parks a task that holds no capacity, so that it is not placed until a
// retry.
Status Park(const TaskEntry& task,
            ParkReason park_reason,
            std::string_view reason,
            Batch* batch);

// Returns a parked task to the waiting tasks and clears its failures.
Status Retry(const TaskEntry& task, Batch* batch);

// Makes a blocked task pending once its dependencies are met.
Status Unblock(const TaskEntry& task, Batch* batch);

// Reports of a worker's agent about the attempt that `worker` lists for the
// task, under the agent's epoch. Each ends the attempt and frees its capacity;
// a cancelled task stays cancelled. Fail with kFenced and kStaleAttempt.
struct AttemptRef {
  uint32_t attempt = 0;
  uint64_t epoch = 0;
};

// The attempt succeeded. Watchers and replicas must keep running, so any exit
// of theirs counts as a failure.
Status ReportFinished(const TaskEntry& task,
                      const WorkerEntry& worker,
                      const AttemptRef& ref,
                      std::string_view output_object,
                      absl::Time now,
                      const RetryPolicy& policy,
                      Batch* batch);

// The attempt failed. Batch tasks are parked after `max_attempts`.
Status ReportFailed(const TaskEntry& task,
                    const WorkerEntry& worker,
                    const AttemptRef& ref,
                    std::string_view reason,
                    absl::Time now,
                    const RetryPolicy& policy,
                    Batch* batch);

// The attempt was stopped. An empty `resume_object` keeps the earlier one.
Status ReportStopped(const TaskEntry& task,
                     const WorkerEntry& worker,
                     const AttemptRef& ref,
                     std::string_view resume_object,
                     Batch* batch);

// An assignment whose task row does not belong to it any more is dropped from
// the worker row. Fails with kStillRunning when the task row does.
Status DropAssignment(const TaskEntry* task,
                      const WorkerEntry& worker,
                      const std::string& task_id,
                      Batch* batch);

// Ends an attempt whose epoch is older than the worker's, which proves that it
// does not run any more. Exclusive tasks wait again; replicas are cancelled,
// since a replica is replaced under a new id.
Status ReleaseLost(const TaskEntry& task,
                   const WorkerEntry& worker,
                   Batch* batch);

// Registers a worker (version 0 in `worker` when it has no row) under a new
// epoch and a new lease. The agent has made sure that nothing of an older epoch
// runs on the VM.
Status Register(const WorkerEntry& worker,
                const WorkerRow& declared,
                absl::Time lease_deadline,
                Batch* batch);

// Renews the lease. Fails with kFenced when the epoch is another one.
Status Renew(const WorkerEntry& worker,
             uint64_t epoch,
             absl::Time lease_deadline,
             Batch* batch);

// Ends the worker's lease after an observer has seen `sequence` unchanged for a
// whole period. Fails with kLeaseRenewed.
Status Fence(const WorkerEntry& worker, uint64_t sequence, Batch* batch);

// Operators' and planners' decisions about a worker.
Status Drain(const WorkerEntry& worker, Batch* batch);
Status Suspect(const WorkerEntry& worker, Batch* batch);
Status Readmit(const WorkerEntry& worker, Batch* batch);

}  // namespace cuminjunction

#endif  // TASK_TRANSITIONS_H_
