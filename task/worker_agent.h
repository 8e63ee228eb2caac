#ifndef TASK_WORKER_AGENT_H_
#define TASK_WORKER_AGENT_H_

// The agent of a worker: carries out the worker row's assignments.
//
//   WorkerAgent agent(options, &charts, &table, &runtime, &steady, &wall);
//   for (;;) {
//     agent.Tick();
//     sleep for options.list_every, or until a message arrives:
//     agent.Nudge();   // a planner's entry says that the row has changed
//   }
//
// A tick makes blocking calls, so the agent has a thread of its own. Each tick
// does what is due: it registers the worker, renews the lease, reads the worker
// row, and makes the runtime agree with it. Order matters in three places:
//   - the lease's stop deadline is counted from before the renewal was sent (it
//     counts from the read before it, so that it also holds when another
//     process of this worker made the commit), and it is passed to the runtime
//     only after the renewal is known to be committed;
//   - before it registers under a new epoch, the agent makes sure that nothing
//     of an older epoch runs on the VM;
//   - an ended attempt is reported, task row and worker row in one transaction,
//     before the runtime may forget it.
//
// The agent keeps no state that matters: after a restart it adopts the worker
// row and what the runtime reports.

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

  // Does what is due.
  void Tick() {
    const absl::Time now = this->steady->Now();
    if (now < this->retry_at)
      return;
    const Result<RuntimeState> state = this->runtime->List();
    if (!state) {
      this->Retry(now);
      return;
    }
    if (this->boot_id != state.value().boot_id)
      this->StartOver(state.value().boot_id);
    const bool renewal_due =
        !this->registered || this->holder.IsRenewalDue(now);
    if (!this->nudged && !renewal_due && now < this->next_poll &&
        !this->HasEndedWork(state.value()))
      return;
    if (!this->ReadWorker()) {
      this->Retry(now);
      return;
    }
    this->nudged = false;
    this->next_poll = now + this->options.poll_every;
    if (!this->EnsureRegistered(state.value()) || !this->RenewIfDue() ||
        !this->CarryOut(state.value()))
      this->Retry(now);
  }

  // The worker row may have changed: the next tick reads it.
  void Nudge() { this->nudged = true; }

  bool IsRegistered() const { return this->registered; }
  const WorkerEntry& Worker() const { return this->worker; }

 private:
  void Retry(absl::Time now) {
    this->nudged = true;
    this->retry_at = now + this->options.retry_after;
  }

  // The VM has started anew, or this process has.
  void StartOver(const std::string& new_boot_id) {
    this->boot_id = new_boot_id;
    this->registered = false;
    this->holder.Reset();
    this->checkpoints.clear();
    this->checkpoint_failures.clear();
  }

  bool HasEndedWork(const RuntimeState& state) const {
    return !state.ended.empty() || !this->checkpoints.empty();
  }

  std::string NextId() {
    return StrCat("worker-", this->options.declared.id, "-",
                  this->options.process, "/", ++this->transactions);
  }

  Batch NewBatch() { return {this->charts, this->NextId()}; }

  // Reads the worker's row into `worker`; an absent one has version 0. Settles
  // renewals with an unknown outcome.
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
      this->ExtendIfCommitted(this->worker.row.sequence);
    return true;
  }

  // Commits a batch. True when it is known to be committed; the rows are then
  // at the returned version. After an unknown outcome the row tells at the next
  // read.
  bool Commit(const Batch& batch) {
    const Result<uint64_t> version = this->table->Commit(batch.ToTransaction());
    if (!version)
      return false;
    const auto found = batch.Workers().find(this->options.declared.id);
    if (found != batch.Workers().end())
      this->worker = {found->second.row, version.value()};
    return true;
  }

  // The row with this sequence number was read or committed under this agent's
  // epoch.
  void ExtendIfCommitted(uint64_t sequence) {
    const std::optional<absl::Time> deadline =
        this->holder.ConfirmRenewal(sequence);
    if (deadline)
      this->unsent_deadline = deadline;
    this->SendDeadline();
  }

  void SendDeadline() {
    if (this->unsent_deadline && this->runtime->Extend(*this->unsent_deadline))
      this->unsent_deadline.reset();
  }

  // Takes the worker row over, or registers under a new epoch.
  bool EnsureRegistered(const RuntimeState& state) {
    const WorkerRow& row = this->worker.row;
    const bool is_mine = this->worker.version != 0 &&
                         row.boot_id == this->boot_id &&
                         row.state != WorkerState::kFenced;
    if (is_mine) {
      if (!this->registered || this->epoch != row.epoch)
        this->Adopt(row.epoch);
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
    this->Adopt(this->worker.row.epoch);
    this->holder.RecordSend(this->worker.row.sequence, this->read_at);
    this->ExtendIfCommitted(this->worker.row.sequence);
    return true;
  }

  void Adopt(uint64_t new_epoch) {
    this->holder.Reset();
    this->unsent_deadline.reset();
    this->epoch = new_epoch;
    this->registered = true;
    this->LogEvent("worker-registered");
  }

  // Stops everything on the VM. True once nothing runs: stopping may take more
  // than one tick.
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
    this->SendDeadline();
    if (!this->holder.IsRenewalDue(this->steady->Now()))
      return true;
    Batch batch = this->NewBatch();
    if (!Renew(this->worker, this->epoch, this->LeaseDeadline(), &batch))
      return false;
    const uint64_t sequence = this->worker.row.sequence + 1;
    this->holder.RecordSend(sequence, this->read_at);
    if (!this->Commit(batch))
      return false;
    this->ExtendIfCommitted(sequence);
    return true;
  }

  // Makes the runtime agree with the assignments of the present epoch. False
  // when something is left to do.
  bool CarryOut(const RuntimeState& state) {
    std::map<std::string, const RunningTask*> running;
    for (const RunningTask& task : state.running)
      running[task.task] = &task;
    bool done = this->StopUnassigned(state);
    done = this->Report(state) && done;
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
      done = this->CarryOut(assignment, task) && done;
    }
    return done;
  }

  // `task` is null when the attempt does not run.
  bool CarryOut(const Assignment& assignment, const RunningTask* task) {
    switch (assignment.action) {
      case AssignmentAction::kRun:
        return task == nullptr ? this->Start(assignment)
                               : this->SetShare(assignment, *task);
      case AssignmentAction::kEvict:
        return this->GiveUp(assignment, task != nullptr);
      case AssignmentAction::kStop:
        // Also when it does not run: the runtime then refuses a start that is
        // still under way.
        return this->StopAndReport(assignment);
    }
    return false;
  }

  bool Start(const Assignment& assignment) {
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
      this->unsure_starts[{start.task, start.attempt}] = this->steady->Now();
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

  // Checkpoints and stops an evicted attempt. After some failures the work
  // since the last checkpoint is given up, since the capacity is needed.
  bool GiveUp(const Assignment& assignment, bool runs) {
    const AttemptKey key = {assignment.task, assignment.attempt};
    if (runs && !this->checkpoints.contains(key) &&
        this->checkpoint_failures[key] < this->options.checkpoint_tries) {
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

  // True while a start whose reply was lost may still take effect. Its end must
  // not be reported before.
  bool MayStartLate(const Assignment& assignment) const {
    const auto found =
        this->unsure_starts.find({assignment.task, assignment.attempt});
    return found != this->unsure_starts.end() &&
           this->steady->Now() < found->second + this->options.late_start;
  }

  // Stops an attempt and reports its end once it is gone.
  bool StopAndReport(const Assignment& assignment) {
    const Status stopped =
        this->runtime->Stop(assignment.task, assignment.attempt);
    if (!stopped && (stopped.error() != RuntimeError::kNotFound ||
                     this->MayStartLate(assignment)))
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
        return this->ReportEnd(ended);
    }
    // It never started.
    return this->ReportEnd(
        {assignment.task, assignment.attempt, AttemptEnd::kStopped, ""});
  }

  // Stops attempts that are not assigned. None is started by this agent, but a
  // start of an earlier process may have taken effect late.
  bool StopUnassigned(const RuntimeState& state) {
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

  bool Report(const RuntimeState& state) {
    bool done = true;
    for (const EndedTask& ended : state.ended)
      done = this->ReportEnd(ended) && done;
    return done;
  }

  // Reports an ended attempt and has the runtime forget it. An attempt that is
  // not assigned any more was reported before, or its worker was fenced.
  bool ReportEnd(const EndedTask& ended) {
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
    const Status reported = this->ReportTransition(*task, ended, &batch);
    if (!reported) {
      this->LogError("report-refused", reported.error());
      return false;
    }
    if (!this->Commit(batch))
      return false;
    this->ForgetEnded(ended);
    return true;
  }

  Status ReportTransition(const TaskEntry& task,
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
    this->unsure_starts.erase({ended.task, ended.attempt});
    // What the runtime still lists is forgotten at the next tick.
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
  // A stop deadline that the runtime has not confirmed.
  std::optional<absl::Time> unsent_deadline;
  bool nudged = true;
  absl::Time next_poll = absl::InfinitePast();
  absl::Time retry_at = absl::InfinitePast();
  // A time before the last read of the worker row.
  absl::Time read_at = absl::InfinitePast();
  uint64_t transactions = 0;
  // Checkpoints of evicted attempts whose end is not reported yet.
  std::map<AttemptKey, std::string> checkpoints;
  std::map<AttemptKey, int> checkpoint_failures;
  // Starts with an unknown outcome.
  std::map<AttemptKey, absl::Time> unsure_starts;
};

}  // namespace cuminjunction

#endif  // TASK_WORKER_AGENT_H_
