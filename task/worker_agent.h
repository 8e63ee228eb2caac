#ifndef TASK_WORKER_AGENT_H_
#define TASK_WORKER_AGENT_H_

// The agent of a worker: makes the worker's runtime match the assignments in
// the worker row.
//
//   WorkerAgent agent(options, &charts, &table, &runtime, &steady, &wall);
//   for (;;) {
//     agent.Tick();
//     sleep for options.list_interval, or until a message says that the
//     worker row has changed:
//     agent.NotifyRowChanged();
//   }
//
// A tick makes blocking calls, so the agent has a thread of its own. Each tick
// performs the steps that are due: it registers the worker, renews the lease,
// reads the worker row, and reconciles the runtime with it. Correctness depends
// on three orderings:
//   - The stop deadline is computed from the time of the read that precedes the
//     renewal, so that it also holds when another process of this worker made
//     the commit. It is passed to the runtime only after the renewal is known
//     to be committed.
//   - Before it registers under a new epoch, the agent makes sure that no
//     attempt of an older epoch runs on the VM.
//   - An ended attempt is reported, task row and worker row in one transaction,
//     before the agent has the runtime forget it.
//
// The agent has no durable state: after a restart it recovers from the worker
// row and from the runtime's list of attempts.

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/strings.h"
#include "base/time.h"
#include "table/runtime.h"
#include "table/table.h"
#include "task/lease.h"
#include "task/transitions.h"
#include "task/worker_agent_internal.h"
#include "task/worker_agent_options.h"

namespace cuminjunction {

template <Table T, Runtime R, Clock Steady, Clock Wall>
class WorkerAgent {
 public:
  // The pointers must outlive the agent; `log` may be null.
  WorkerAgent(WorkerAgentOptions options,
              const TaskCharts* charts,
              T* table,
              R* runtime,
              const Steady* steady,
              const Wall* wall,
              Log* log = nullptr)
      : options(std::move(options)),
        charts(charts),
        table(table),
        runtime(runtime),
        steady(steady),
        wall(wall),
        log(log),
        holder(this->options.lease) {}

  // Performs the steps that are due. Returns early when a call of the table or
  // the runtime fails, and repeats the step after `retry_after`.
  void Tick() {
    const absl::Time now = this->steady->Now();
    if (now < this->retry_at)
      return;
    const Result<RuntimeState> state = this->runtime->List();
    if (!state) {
      this->ScheduleRetry(now);
      return;
    }
    if (this->boot_id != state.value().boot_id)
      this->ResetForBoot(state.value().boot_id);
    const bool renewal_due =
        !this->registered || this->holder.IsRenewalDue(now);
    if (!this->read_requested && !renewal_due && now < this->next_poll &&
        !this->HasEndedWork(state.value()))
      return;
    if (!this->ReadWorker()) {
      this->ScheduleRetry(now);
      return;
    }
    this->read_requested = false;
    this->next_poll = now + this->options.poll_interval;
    if (!this->EnsureRegistered(state.value()) || !this->RenewIfDue() ||
        !this->Reconcile(state.value()))
      this->ScheduleRetry(now);
  }

  // Has the next tick read the worker row, which may have changed.
  void NotifyRowChanged() { this->read_requested = true; }

  bool IsRegistered() const { return this->registered; }
  const WorkerEntry& Worker() const { return this->worker; }

 private:
  void ScheduleRetry(absl::Time now) {
    this->read_requested = true;
    this->retry_at = now + this->options.retry_after;
  }

  // Discards the state of an earlier boot. Called after a reboot of the VM and
  // on the first tick of this process.
  void ResetForBoot(const std::string& new_boot_id) {
    this->boot_id = new_boot_id;
    this->registered = false;
    this->holder.Reset();
    this->checkpoints.clear();
    this->checkpoint_failures.clear();
  }

  // True when an ended attempt or an evicted one may have to be reported.
  bool HasEndedWork(const RuntimeState& state) const {
    return !state.ended.empty() || !this->checkpoints.empty();
  }

  std::string NextId() {
    return StrCat("worker-", this->options.declared.id, "-",
                  this->options.process, "/", ++this->transaction_count);
  }

  Batch NewBatch() { return {this->charts, this->NextId()}; }

  // Reads the worker's row into `worker`; an absent row has version 0. The read
  // also determines whether a renewal with an unknown outcome was committed.
  bool ReadWorker() {
    const std::string& id = this->options.declared.id;
    this->read_at = this->steady->Now();
    const Result<Row> row = this->table->Read(WorkerKey(id));
    if (!row && row.error() == TableError::kNotFound) {
      this->worker = {this->options.declared, 0};
      return true;
    }
    if (!row)
      return false;
    const Result<WorkerRow> parsed = ParseWorker(row.value());
    if (!parsed) {
      this->LogError("bad-worker-row", parsed.error());
      return false;
    }
    this->worker = {parsed.value(), row.value().version};
    if (this->registered && this->worker.row.epoch == this->epoch)
      this->ExtendAfterCommit(this->worker.row.sequence);
    return true;
  }

  // Commits a batch. Returns true when it is known to be committed; `worker`
  // then has the committed row and its version. After an unknown outcome the
  // next read of the row shows whether the batch was committed.
  bool Commit(const Batch& batch) {
    const Result<uint64_t> version = this->table->Commit(batch.ToTransaction());
    if (!version)
      return false;
    const auto found = batch.Workers().find(this->options.declared.id);
    if (found != batch.Workers().end())
      this->worker = {found->second.row, version.value()};
    return true;
  }

  // Extends the runtime's stop deadline by the renewal with this sequence
  // number, which was read or committed under this agent's epoch.
  void ExtendAfterCommit(uint64_t sequence) {
    const std::optional<absl::Time> deadline =
        this->holder.ConfirmRenewal(sequence);
    if (deadline)
      this->unconfirmed_deadline = deadline;
    this->SendStopDeadline();
  }

  void SendStopDeadline() {
    if (this->unconfirmed_deadline &&
        this->runtime->Extend(*this->unconfirmed_deadline))
      this->unconfirmed_deadline.reset();
  }

  // Continues the epoch of the worker row if the row belongs to this boot and
  // is not fenced; registers under a new epoch otherwise.
  bool EnsureRegistered(const RuntimeState& state) {
    const WorkerRow& row = this->worker.row;
    const bool is_current_registration = this->worker.version != 0 &&
                                         row.boot_id == this->boot_id &&
                                         row.state != WorkerState::kFenced;
    if (is_current_registration) {
      if (!this->registered || this->epoch != row.epoch)
        this->BeginEpoch(row.epoch);
      return true;
    }
    this->registered = false;
    if (!this->StopAll(state))
      return false;
    WorkerRow declared = this->options.declared;
    declared.boot_id = this->boot_id;
    Batch batch = this->NewBatch();
    const Status registered =
        Register(this->worker, declared, this->LeaseDeadline(), &batch);
    if (!registered) {
      this->LogError("register-refused", registered.error());
      return false;
    }
    if (!this->Commit(batch))
      return false;
    this->BeginEpoch(this->worker.row.epoch);
    this->holder.RecordSend(this->worker.row.sequence, this->read_at);
    this->ExtendAfterCommit(this->worker.row.sequence);
    return true;
  }

  // Starts to act under an epoch, with no renewal in flight.
  void BeginEpoch(uint64_t new_epoch) {
    this->holder.Reset();
    this->unconfirmed_deadline.reset();
    this->epoch = new_epoch;
    this->registered = true;
    this->LogEvent("worker-registered");
  }

  // Stops all attempts on the VM. Returns true once none runs, which may take
  // more than one tick.
  bool StopAll(const RuntimeState& state) {
    for (const RunningTask& task : state.running)
      (void)this->runtime->Stop(task.task, task.attempt);
    const Result<RuntimeState> after = this->runtime->List();
    return after && after.value().boot_id == this->boot_id &&
           after.value().running.empty();
  }

  absl::Time LeaseDeadline() const {
    return this->wall->Now() + this->options.lease.length;
  }

  bool RenewIfDue() {
    this->SendStopDeadline();
    if (!this->holder.IsRenewalDue(this->steady->Now()))
      return true;
    Batch batch = this->NewBatch();
    if (!Renew(this->worker, this->epoch, this->LeaseDeadline(), &batch))
      return false;
    const uint64_t sequence = this->worker.row.sequence + 1;
    this->holder.RecordSend(sequence, this->read_at);
    if (!this->Commit(batch))
      return false;
    this->ExtendAfterCommit(sequence);
    return true;
  }

  // Reconciles the runtime with the assignments of the current epoch. Returns
  // false when a step failed or has not completed, so that the tick must be
  // repeated.
  bool Reconcile(const RuntimeState& state) {
    std::map<std::string, const RunningTask*> running;
    for (const RunningTask& task : state.running)
      running[task.task] = &task;
    bool done = this->StopUnassignedAttempts(state);
    done = this->ReportEndedAttempts(state) && done;
    const std::vector<Assignment> assignments = this->worker.row.assignments;
    for (const Assignment& assignment : assignments) {
      if (assignment.epoch != this->epoch ||
          worker_agent_internal::HasEnded(state, assignment))
        continue;
      const auto found = running.find(assignment.task);
      const RunningTask* task =
          found == running.end() ? nullptr : found->second;
      if (task != nullptr && task->attempt != assignment.attempt)
        task = nullptr;
      done = this->Reconcile(assignment, task) && done;
    }
    return done;
  }

  // Reconciles one assignment. `task` is null when the attempt does not run.
  bool Reconcile(const Assignment& assignment, const RunningTask* task) {
    switch (assignment.action) {
      case AssignmentAction::kRun:
        return task == nullptr ? this->StartAttempt(assignment)
                               : this->SetShare(assignment, *task);
      case AssignmentAction::kEvict:
        return this->CheckpointAndStop(assignment, task != nullptr);
      case AssignmentAction::kStop:
        // Sent even when the attempt does not run, so that the runtime refuses
        // a start of it that is still in flight.
        return this->StopAndReport(assignment);
    }
    return false;
  }

  bool StartAttempt(const Assignment& assignment) {
    const std::optional<TaskEntry> task = this->ReadTask(assignment.task);
    if (!task || task->row.attempt != assignment.attempt)
      return false;
    TaskStart start;
    start.task = assignment.task;
    start.attempt = assignment.attempt;
    start.job = task->row.owner;
    start.command = task->row.command;
    start.size = assignment.size;
    start.exclusive = task->row.IsExclusive();
    start.resume_object = task->row.resume_object;
    const Status started = this->runtime->Start(start);
    if (!started)
      this->LogError("start-failed", started.error());
    if (!started && started.error() == RuntimeError::kUnknownOutcome)
      this->unresolved_starts[{start.task, start.attempt}] =
          this->steady->Now();
    return static_cast<bool>(started);
  }

  bool SetShare(const Assignment& assignment, const RunningTask& task) {
    const double share = assignment.share_percent / 100.0;
    if (std::abs(task.throttle - share) <
        worker_agent_internal::kShareTolerance)
      return true;
    return static_cast<bool>(
        this->runtime->Throttle(task.task, task.attempt, share));
  }

  // Checkpoints and stops an evicted attempt. After `max_checkpoint_attempts`
  // failures it stops the attempt without a checkpoint, because the capacity is
  // needed; the work since the last checkpoint is then lost.
  bool CheckpointAndStop(const Assignment& assignment, bool runs) {
    const AttemptKey key = {assignment.task, assignment.attempt};
    if (runs && !this->checkpoints.contains(key) &&
        this->checkpoint_failures[key] <
            this->options.max_checkpoint_attempts) {
      const Result<std::string> object =
          this->runtime->Checkpoint(assignment.task, assignment.attempt);
      if (!object) {
        ++this->checkpoint_failures[key];
        return false;
      }
      this->checkpoints[key] = object.value();
    }
    return this->StopAndReport(assignment);
  }

  // True while a start whose reply was lost may still take effect. The end of
  // the attempt must not be reported during that time.
  bool MayStillStart(const Assignment& assignment) const {
    const auto found =
        this->unresolved_starts.find({assignment.task, assignment.attempt});
    return found != this->unresolved_starts.end() &&
           this->steady->Now() <
               found->second + this->options.unresolved_start_timeout;
  }

  // Stops an attempt and reports its end once it no longer runs.
  bool StopAndReport(const Assignment& assignment) {
    const Status stopped =
        this->runtime->Stop(assignment.task, assignment.attempt);
    if (!stopped && (stopped.error() != RuntimeError::kNotFound ||
                     this->MayStillStart(assignment)))
      return false;
    const Result<RuntimeState> state = this->runtime->List();
    if (!state || state.value().boot_id != this->boot_id)
      return false;
    for (const RunningTask& task : state.value().running) {
      if (task.task == assignment.task)
        return false;
    }
    for (const EndedTask& ended : state.value().ended) {
      if (ended.task == assignment.task && ended.attempt == assignment.attempt)
        return this->ReportEndedAttempt(ended);
    }
    // The attempt never started.
    return this->ReportEndedAttempt(
        {assignment.task, assignment.attempt, AttemptEnd::kStopped, ""});
  }

  // Stops attempts that are not assigned. This process starts none, but a start
  // that an earlier process sent may take effect late.
  bool StopUnassignedAttempts(const RuntimeState& state) {
    bool done = true;
    for (const RunningTask& task : state.running) {
      const Assignment* assignment = this->worker.row.Find(task.task);
      if (assignment != nullptr && assignment->attempt == task.attempt &&
          assignment->epoch == this->epoch)
        continue;
      done = false;
      (void)this->runtime->Stop(task.task, task.attempt);
    }
    return done;
  }

  bool ReportEndedAttempts(const RuntimeState& state) {
    bool done = true;
    for (const EndedTask& ended : state.ended)
      done = this->ReportEndedAttempt(ended) && done;
    return done;
  }

  // Reports an ended attempt and has the runtime forget it. An attempt that is
  // no longer assigned is only forgotten: either it was reported before, or its
  // worker was fenced.
  bool ReportEndedAttempt(const EndedTask& ended) {
    const Assignment* assignment = this->worker.row.Find(ended.task);
    if (assignment == nullptr || assignment->attempt != ended.attempt ||
        assignment->epoch != this->epoch) {
      this->ForgetEnded(ended);
      return true;
    }
    const std::optional<TaskEntry> task = this->ReadTask(ended.task);
    if (!task)
      return false;
    Batch batch = this->NewBatch();
    const Status reported = this->AddReport(*task, ended, &batch);
    if (!reported) {
      this->LogError("report-refused", reported.error());
      return false;
    }
    if (!this->Commit(batch))
      return false;
    this->ForgetEnded(ended);
    return true;
  }

  // Adds the transition that reports the outcome of an attempt to the batch.
  Status AddReport(const TaskEntry& task,
                   const EndedTask& ended,
                   Batch* batch) {
    const AttemptRef ref = {ended.attempt, this->epoch};
    const absl::Time now = this->wall->Now();
    switch (ended.end) {
      case AttemptEnd::kSucceeded:
        return ReportFinished(task, this->worker, ref, ended.output_object, now,
                              this->options.retry, batch);
      case AttemptEnd::kFailed:
        return ReportFailed(task, this->worker, ref, "attempt failed", now,
                            this->options.retry, batch);
      case AttemptEnd::kStopped:
        break;
    }
    const auto checkpoint = this->checkpoints.find({ended.task, ended.attempt});
    return ReportStopped(
        task, this->worker, ref,
        checkpoint == this->checkpoints.end() ? "" : checkpoint->second, batch);
  }

  void ForgetEnded(const EndedTask& ended) {
    this->checkpoints.erase({ended.task, ended.attempt});
    this->checkpoint_failures.erase({ended.task, ended.attempt});
    this->unresolved_starts.erase({ended.task, ended.attempt});
    // A failed call needs no handling: the next tick sees the attempt in the
    // runtime's list and forgets it then.
    (void)this->runtime->Forget(ended.task, ended.attempt);
  }

  std::optional<TaskEntry> ReadTask(const std::string& id) {
    const Result<Row> row = this->table->Read(TaskKey(id));
    if (!row)
      return std::nullopt;
    const Result<TaskRow> task = ParseTask(row.value());
    if (!task) {
      this->LogError("bad-task-row", task.error());
      return std::nullopt;
    }
    return TaskEntry{task.value(), row.value().version};
  }

  void LogEvent(std::string_view event) {
    if (this->log != nullptr) {
      this->log->Write(LogLine(event)
                           .Add("worker", this->options.declared.id)
                           .Add("epoch", this->epoch));
    }
  }

  void LogError(std::string_view event, std::error_code error) {
    if (this->log != nullptr) {
      this->log->Write(LogLine(event, LogLevel::kWarning)
                           .Add("worker", this->options.declared.id)
                           .Add("error", error));
    }
  }

  using AttemptKey = std::pair<std::string, uint32_t>;

  WorkerAgentOptions options;
  const TaskCharts* charts;
  T* table;
  R* runtime;
  const Steady* steady;
  const Wall* wall;
  Log* log;
  LeaseHolder holder;
  std::string boot_id;
  bool registered = false;
  uint64_t epoch = 0;
  WorkerEntry worker;
  // A stop deadline that the runtime has not acknowledged.
  std::optional<absl::Time> unconfirmed_deadline;
  bool read_requested = true;
  absl::Time next_poll = absl::InfinitePast();
  absl::Time retry_at = absl::InfinitePast();
  // Time just before the last read of the worker row was sent.
  absl::Time read_at = absl::InfinitePast();
  uint64_t transaction_count = 0;
  // Checkpoint objects of evicted attempts whose end is not yet reported.
  std::map<AttemptKey, std::string> checkpoints;
  std::map<AttemptKey, int> checkpoint_failures;
  // Starts with an unknown outcome and the time of the call's return.
  std::map<AttemptKey, absl::Time> unresolved_starts;
};

}  // namespace cuminjunction

#endif  // TASK_WORKER_AGENT_H_
