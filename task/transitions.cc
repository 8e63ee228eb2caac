#include "task/transitions.h"

#include <algorithm>
#include <utility>

#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

// Workers that a task failed on and that its row names; the oldest are dropped.
constexpr size_t kMaxFailedOnWorkers = 8;

constexpr int32_t kFullSharePercent = 100;

// Keeps the shift within 32 bits; the longest back-off is reached before.
constexpr uint32_t kMaxDoublings = 16;

Status ApplyTaskEvent(const Batch& batch, TaskRow* row, const char* event) {
  BOOST_OUTCOME_TRY(next, batch.Charts().Next(row->state, event));
  row->state = next;
  return Ok();
}

Status ApplyWorkerEvent(const Batch& batch, WorkerRow* row, const char* event) {
  BOOST_OUTCOME_TRY(next, batch.Charts().Next(row->state, event));
  row->state = next;
  return Ok();
}

Assignment* FindAssignment(WorkerRow* worker, const std::string& task) {
  for (Assignment& assignment : worker->assignments) {
    if (assignment.task == task)
      return &assignment;
  }
  return nullptr;
}

void RemoveAssignment(WorkerRow* worker, const std::string& task) {
  std::erase_if(worker->assignments,
                [&](const Assignment& a) { return a.task == task; });
}

// True when the two rows agree that the worker holds the task's attempt.
bool RowsAgree(const TaskRow& task, const WorkerRow& worker) {
  const Assignment* assignment = worker.Find(task.id);
  return assignment != nullptr && task.worker == worker.id &&
         assignment->attempt == task.attempt;
}

Status CheckReport(const TaskRow& task,
                   const WorkerRow& worker,
                   const AttemptRef& ref) {
  if (worker.epoch != ref.epoch || worker.state == WorkerState::kFenced)
    return TransitionError::kFenced;
  if (!RowsAgree(task, worker) || task.attempt != ref.attempt)
    return TransitionError::kStaleAttempt;
  if (worker.Find(task.id)->epoch != ref.epoch)
    return TransitionError::kFenced;
  return Ok();
}

// Frees the capacity of the task's attempt.
void ReleaseCapacity(TaskRow* task, WorkerRow* worker) {
  RemoveAssignment(worker, task->id);
  task->worker.clear();
}

Status EndAttempt(const TaskEntry& task,
                  const WorkerEntry& worker,
                  TaskRow row,
                  Batch* batch) {
  WorkerRow worker_row = batch->Current(worker).row;
  ReleaseCapacity(&row, &worker_row);
  batch->Set(task, std::move(row));
  batch->Set(worker, std::move(worker_row));
  return Ok();
}

void RecordFailure(const std::string& worker,
                   absl::Time now,
                   const RetryPolicy& policy,
                   TaskRow* row) {
  const bool was_healthy =
      now - FromMicros(row->placed_us) >= policy.healthy_runtime;
  if (row->kind != TaskKind::kBatch && was_healthy)
    row->failures = 0;
  ++row->failures;
  row->failed_on.push_back(worker);
  if (row->failed_on.size() > kMaxFailedOnWorkers)
    row->failed_on.erase(row->failed_on.begin());
  row->not_before_us = ToMicros(now + policy.Backoff(row->failures));
}

}  // namespace

std::string_view ErrorTraits<TransitionError>::Message(TransitionError error) {
  switch (error) {
    case TransitionError::kWorkerNotReady:
      return "worker is not ready for this placement";
    case TransitionError::kNoCapacity:
      return "worker lacks the capacity";
    case TransitionError::kAlreadyPlaced:
      return "task already holds capacity";
    case TransitionError::kInBackoff:
      return "back-off of the task has not passed";
    case TransitionError::kStaleAttempt:
      return "attempt is not the current one of the task";
    case TransitionError::kFenced:
      return "lease epoch of the worker is another one";
    case TransitionError::kLeaseRenewed:
      return "lease was renewed since it was observed";
    case TransitionError::kStillRunning:
      return "attempt may still be running";
    case TransitionError::kShareOutOfRange:
      return "share is not within 1 to 100 percent";
    case TransitionError::kRowState:
      return "row is not in the state that the step needs";
  }
  return "unknown transition error";
}

absl::Duration RetryPolicy::Backoff(uint32_t failures) const {
  const uint32_t doublings =
      std::min(failures == 0 ? 0 : failures - 1, kMaxDoublings);
  return std::min(this->max_backoff,
                  this->initial_backoff * static_cast<double>(1U << doublings));
}

Status CreateTask(TaskRow task, Batch* batch) {
  task.state = TaskState::kBlocked;
  if (task.depends_on.empty()) {
    BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &task, "unblock"));
  }
  const TaskEntry absent = {task, 0};
  batch->Set(absent, std::move(task));
  return Ok();
}

Status Redeclare(const TaskEntry& task, const TaskRow& declared, Batch* batch) {
  TaskRow row = batch->Current(task).row;
  if (row.HoldsCapacity())
    return TransitionError::kAlreadyPlaced;
  if (row.IsFinal())
    return TransitionError::kRowState;
  row.account = declared.account;
  row.urgency = declared.urgency;
  row.size = declared.size;
  row.command = declared.command;
  row.depends_on = declared.depends_on;
  row.config_version = declared.config_version;
  if (row.state == TaskState::kBlocked && row.depends_on.empty()) {
    BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &row, "unblock"));
  }
  batch->Set(task, std::move(row));
  return Ok();
}

Status DeleteTask(const TaskEntry& task, Batch* batch) {
  const TaskRow& row = batch->Current(task).row;
  if (!row.IsFinal() || row.HoldsCapacity() || task.version == 0)
    return TransitionError::kRowState;
  batch->Delete(task);
  return Ok();
}

Status Place(const TaskEntry& task,
             const WorkerEntry& worker,
             absl::Time now,
             PlaceMode mode,
             Batch* batch) {
  TaskRow row = batch->Current(task).row;
  WorkerRow target = batch->Current(worker).row;
  if (row.HoldsCapacity())
    return TransitionError::kAlreadyPlaced;
  if (FromMicros(row.not_before_us) > now)
    return TransitionError::kInBackoff;
  const WorkerState needed =
      mode == PlaceMode::kProbe ? WorkerState::kSuspect : WorkerState::kReady;
  if (target.state != needed)
    return TransitionError::kWorkerNotReady;
  if (mode == PlaceMode::kProbe && !target.assignments.empty())
    return TransitionError::kWorkerNotReady;
  if (!Fits(row.size, target.Free()))
    return TransitionError::kNoCapacity;
  BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &row, "place"));
  ++row.attempt;
  row.worker = target.id;
  row.placed_us = ToMicros(now);
  row.reason.clear();
  target.assignments.push_back(
      {row.id, row.attempt, row.size, target.epoch, AssignmentAction::kRun});
  batch->Set(task, std::move(row));
  batch->Set(worker, std::move(target));
  return Ok();
}

Status Evict(const TaskEntry& task,
             const WorkerEntry& worker,
             std::string_view reason,
             Batch* batch) {
  TaskRow row = batch->Current(task).row;
  WorkerRow target = batch->Current(worker).row;
  if (!RowsAgree(row, target))
    return TransitionError::kStaleAttempt;
  BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &row, "evict"));
  ++row.evictions;
  row.reason = std::string(reason);
  FindAssignment(&target, row.id)->action = AssignmentAction::kEvict;
  batch->Set(task, std::move(row));
  batch->Set(worker, std::move(target));
  return Ok();
}

Status Throttle(const TaskEntry& task,
                const WorkerEntry& worker,
                int32_t share_percent,
                Batch* batch) {
  const TaskRow& row = batch->Current(task).row;
  WorkerRow target = batch->Current(worker).row;
  if (share_percent < 1 || share_percent > kFullSharePercent)
    return TransitionError::kShareOutOfRange;
  if (!RowsAgree(row, target))
    return TransitionError::kStaleAttempt;
  FindAssignment(&target, row.id)->share_percent = share_percent;
  batch->Set(worker, std::move(target));
  return Ok();
}

Status Cancel(const TaskEntry& task,
              const WorkerEntry* worker,
              std::string_view reason,
              Batch* batch) {
  TaskRow row = batch->Current(task).row;
  if (row.HoldsCapacity() != (worker != nullptr))
    return TransitionError::kRowState;
  BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &row, "cancel"));
  row.reason = std::string(reason);
  if (worker != nullptr) {
    WorkerRow target = batch->Current(*worker).row;
    if (!RowsAgree(row, target))
      return TransitionError::kStaleAttempt;
    FindAssignment(&target, row.id)->action = AssignmentAction::kStop;
    batch->Set(*worker, std::move(target));
  }
  batch->Set(task, std::move(row));
  return Ok();
}

Status Park(const TaskEntry& task,
            ParkReason park_reason,
            std::string_view reason,
            Batch* batch) {
  TaskRow row = batch->Current(task).row;
  if (row.HoldsCapacity())
    return TransitionError::kAlreadyPlaced;
  BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &row, "park"));
  row.park_reason = park_reason;
  row.reason = std::string(reason);
  batch->Set(task, std::move(row));
  return Ok();
}

Status Retry(const TaskEntry& task, Batch* batch) {
  TaskRow row = batch->Current(task).row;
  BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &row, "retry"));
  row.park_reason = ParkReason::kNone;
  row.failures = 0;
  row.failed_on.clear();
  row.not_before_us = 0;
  row.reason.clear();
  batch->Set(task, std::move(row));
  return Ok();
}

Status Unblock(const TaskEntry& task, Batch* batch) {
  TaskRow row = batch->Current(task).row;
  BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &row, "unblock"));
  batch->Set(task, std::move(row));
  return Ok();
}

Status ReportFinished(const TaskEntry& task,
                      const WorkerEntry& worker,
                      const AttemptRef& ref,
                      std::string_view output_object,
                      absl::Time now,
                      const RetryPolicy& policy,
                      Batch* batch) {
  TaskRow row = batch->Current(task).row;
  BOOST_OUTCOME_TRY(CheckReport(row, batch->Current(worker).row, ref));
  if (row.state == TaskState::kCancelled)
    return EndAttempt(task, worker, std::move(row), batch);
  if (row.kind != TaskKind::kBatch) {
    return ReportFailed(task, worker, ref, "ended although it is to be kept up",
                        now, policy, batch);
  }
  BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &row, "finish"));
  row.output_object = std::string(output_object);
  row.reason.clear();
  return EndAttempt(task, worker, std::move(row), batch);
}

Status ReportFailed(const TaskEntry& task,
                    const WorkerEntry& worker,
                    const AttemptRef& ref,
                    std::string_view reason,
                    absl::Time now,
                    const RetryPolicy& policy,
                    Batch* batch) {
  TaskRow row = batch->Current(task).row;
  BOOST_OUTCOME_TRY(CheckReport(row, batch->Current(worker).row, ref));
  if (row.state == TaskState::kCancelled)
    return EndAttempt(task, worker, std::move(row), batch);
  RecordFailure(row.worker, now, policy, &row);
  row.reason = std::string(reason);
  const bool gives_up =
      row.kind == TaskKind::kBatch && row.failures >= policy.max_attempts;
  BOOST_OUTCOME_TRY(ApplyTaskEvent(*batch, &row, gives_up ? "park" : "fail"));
  if (gives_up) {
    row.park_reason = ParkReason::kFailures;
    row.reason = StrCat("failed ", row.failures, " times, last: ", reason);
  }
  return EndAttempt(task, worker, std::move(row), batch);
}

Status ReportStopped(const TaskEntry& task,
                     const WorkerEntry& worker,
                     const AttemptRef& ref,
                     std::string_view resume_object,
                     Batch* batch) {
  TaskRow row = batch->Current(task).row;
  BOOST_OUTCOME_TRY(CheckReport(row, batch->Current(worker).row, ref));
  if (row.state == TaskState::kCancelled)
    return EndAttempt(task, worker, std::move(row), batch);
  const bool was_evicted = row.state == TaskState::kCheckpointing;
  BOOST_OUTCOME_TRY(
      ApplyTaskEvent(*batch, &row, was_evicted ? "checkpoint" : "lose"));
  if (!resume_object.empty())
    row.resume_object = std::string(resume_object);
  if (!was_evicted)
    row.reason = "stopped by the worker";
  return EndAttempt(task, worker, std::move(row), batch);
}

Status DropAssignment(const TaskEntry* task,
                      const WorkerEntry& worker,
                      const std::string& task_id,
                      Batch* batch) {
  WorkerRow target = batch->Current(worker).row;
  if (task != nullptr && RowsAgree(batch->Current(*task).row, target))
    return TransitionError::kStillRunning;
  RemoveAssignment(&target, task_id);
  batch->Set(worker, std::move(target));
  return Ok();
}

Status ReleaseLost(const TaskEntry& task,
                   const WorkerEntry& worker,
                   Batch* batch) {
  TaskRow row = batch->Current(task).row;
  const WorkerRow& source = batch->Current(worker).row;
  if (!RowsAgree(row, source))
    return TransitionError::kStaleAttempt;
  if (source.Find(row.id)->epoch >= source.epoch)
    return TransitionError::kStillRunning;
  if (row.state != TaskState::kCancelled) {
    BOOST_OUTCOME_TRY(
        ApplyTaskEvent(*batch, &row, row.IsExclusive() ? "lose" : "replace"));
    row.reason = StrCat("worker ", source.id, " was lost");
  }
  return EndAttempt(task, worker, std::move(row), batch);
}

Status Register(const WorkerEntry& worker,
                const WorkerRow& declared,
                absl::Time lease_deadline,
                Batch* batch) {
  WorkerRow row = batch->Current(worker).row;
  if (worker.version != 0) {
    const bool stays_draining =
        row.state == WorkerState::kFenced && row.drain_requested;
    BOOST_OUTCOME_TRY(ApplyWorkerEvent(
        *batch, &row, stays_draining ? "register_draining" : "register"));
  }
  row.id = declared.id;
  row.capacity = declared.capacity;
  row.failure_domain = declared.failure_domain;
  row.rack = declared.rack;
  row.region = declared.region;
  row.boot_id = declared.boot_id;
  ++row.epoch;
  ++row.sequence;
  row.lease_deadline_us = ToMicros(lease_deadline);
  batch->Set(worker, std::move(row));
  return Ok();
}

Status Renew(const WorkerEntry& worker,
             uint64_t epoch,
             absl::Time lease_deadline,
             Batch* batch) {
  WorkerRow row = batch->Current(worker).row;
  if (worker.version == 0 || row.epoch != epoch ||
      row.state == WorkerState::kFenced)
    return TransitionError::kFenced;
  ++row.sequence;
  row.lease_deadline_us = ToMicros(lease_deadline);
  batch->Set(worker, std::move(row));
  return Ok();
}

Status Fence(const WorkerEntry& worker, uint64_t sequence, Batch* batch) {
  WorkerRow row = batch->Current(worker).row;
  if (row.sequence != sequence)
    return TransitionError::kLeaseRenewed;
  BOOST_OUTCOME_TRY(ApplyWorkerEvent(*batch, &row, "fence"));
  ++row.epoch;
  batch->Set(worker, std::move(row));
  return Ok();
}

Status Drain(const WorkerEntry& worker, Batch* batch) {
  WorkerRow row = batch->Current(worker).row;
  if (worker.version == 0)
    return TransitionError::kRowState;
  // A fenced worker is drained when it registers again.
  if (row.state != WorkerState::kFenced) {
    BOOST_OUTCOME_TRY(ApplyWorkerEvent(*batch, &row, "drain"));
  }
  row.drain_requested = true;
  batch->Set(worker, std::move(row));
  return Ok();
}

Status Suspect(const WorkerEntry& worker, Batch* batch) {
  WorkerRow row = batch->Current(worker).row;
  BOOST_OUTCOME_TRY(ApplyWorkerEvent(*batch, &row, "suspect"));
  batch->Set(worker, std::move(row));
  return Ok();
}

Status Readmit(const WorkerEntry& worker, Batch* batch) {
  WorkerRow row = batch->Current(worker).row;
  BOOST_OUTCOME_TRY(ApplyWorkerEvent(*batch, &row, "readmit"));
  row.drain_requested = false;
  batch->Set(worker, std::move(row));
  return Ok();
}

}  // namespace cuminjunction
