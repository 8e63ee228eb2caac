#include "submission/scheduler.h"

#include <algorithm>
#include <utility>

namespace cuminjunction {

namespace {

// A VM gets no new tasks for a while after this many consecutive failed runs:
// by themselves, images fail at most one run in twenty.
constexpr int kFailuresToAvoid = 3;
constexpr absl::Duration kAvoidAfterFailures = absl::Seconds(3);

// Time for which a VM gets no new tasks after its runner rejected a start, so
// that its next report can correct the planner's view of its free capacity.
constexpr absl::Duration kAvoidAfterNoCapacity = absl::Milliseconds(250);
constexpr absl::Duration kAvoidAfterRefusal = absl::Milliseconds(700);

// The planner learns of an evacuation within a second. It does not learn of one
// of the agent's own failure domain if the runner reports another.
constexpr absl::Duration kAvoidAfterEvacuated = absl::Seconds(1);

// The next order carries a newer timestamp once the agent has answered a ping.
constexpr absl::Duration kAvoidAfterExpired = absl::Milliseconds(100);

// A long-running task that fails after it has run for this long is no evidence
// against its VM.
constexpr absl::Duration kLongRunIsSound = absl::Seconds(2);

bool Contains(const std::vector<uint32_t>& runs, uint32_t run) {
  return std::find(runs.begin(), runs.end(), run) != runs.end();
}

// The number of failures of the task if all runs failed that the planner of
// this run can have started before.
size_t MostFailures(const TaskSlot& slot, uint32_t run) {
  size_t failures = slot.failed_runs.size();
  for (uint32_t i = 0; i < RunsOfPlannerUpTo(run); ++i)
    failures += Contains(slot.failed_runs, run - i) ? 0 : 1;
  return failures;
}

}  // namespace

std::string_view ToString(StartOutcome outcome) {
  switch (outcome) {
    case StartOutcome::kStarted:
      return "started";
    case StartOutcome::kNoCapacity:
      return "no_capacity";
    case StartOutcome::kRefused:
      return "refused";
    case StartOutcome::kStaleRun:
      return "stale_run";
    case StartOutcome::kInvalidTicket:
      return "invalid_ticket";
    case StartOutcome::kEvacuated:
      return "evacuated";
    case StartOutcome::kExpired:
      return "expired";
  }
  return "unknown";
}

void Scheduler::SetPolicy(const FleetPolicy& policy) {
  if (policy.version <= this->policy.version)
    return;
  this->policy = policy;
  // A submission keeps the last configuration of a queue that was removed.
  for (const auto& [id, active] : this->live) {
    if (const Queue* queue = policy.FindByName(active->queue.name))
      active->queue = *queue;
  }
}

bool Scheduler::Add(const Submission& submission,
                    const std::optional<Progress>& progress,
                    PriorRuns prior_runs,
                    absl::Time now,
                    absl::Time wall) {
  if (this->submissions.contains(submission.id))
    return true;
  if (!IsWellFormed(submission))
    return false;
  const Queue* found = this->policy.FindByName(submission.queue);
  Queue queue;
  if (found != nullptr)
    queue = *found;
  else
    queue.name = submission.queue;
  auto active = std::make_unique<ActiveSubmission>(
      Activate(submission, queue, progress, prior_runs, now, wall));
  const bool final = IsFinal(active->state);
  ActiveSubmission* added = active.get();
  this->submissions[submission.id] = std::move(active);
  if (!final) {
    this->live[submission.id] = added;
    this->changes.push_back({submission.id, SubmissionState::kQueued});
  }
  if (this->early_cancellations.Remove(submission.id))
    this->Cancel(submission.id, now);
  return true;
}

void Scheduler::Resolve(const std::string& id) {
  ActiveSubmission* active = this->FindActive(id);
  if (active == nullptr)
    return;
  active->prior_runs.resolved = true;
  for (OccurrenceSlots& occurrence : active->occurrences) {
    for (StepSlots& step : occurrence.steps) {
      for (TaskSlot& slot : step.tasks)
        slot.resolved = true;
    }
  }
}

void Scheduler::AddEnded(const std::string& id,
                         const std::string& queue,
                         SubmissionState state,
                         absl::Time ended) {
  if (this->submissions.contains(id))
    return;
  auto active = std::make_unique<ActiveSubmission>();
  active->submission.id = id;
  active->submission.queue = queue;
  active->state = state;
  active->final_stored = true;
  this->submissions[id] = std::move(active);
  this->ended.emplace(ended, id);
}

ActiveSubmission* Scheduler::FindActive(const std::string& id) {
  const auto found = this->submissions.find(id);
  return found == this->submissions.end() ? nullptr : found->second.get();
}

void Scheduler::Cancel(const std::string& id, absl::Time now) {
  ActiveSubmission* active = this->FindActive(id);
  if (active == nullptr)
    this->early_cancellations.Add(id, now);
  else if (!IsFinal(active->state))
    this->EndSubmission(active, SubmissionState::kCancelled);
}

void Scheduler::EndSubmission(ActiveSubmission* active, SubmissionState state) {
  const std::string_view reason =
      state == SubmissionState::kCancelled ? "cancelled" : "failed";
  for (uint32_t occurrence_index = 0;
       occurrence_index < active->occurrences.size(); ++occurrence_index) {
    OccurrenceSlots& occurrence = active->occurrences[occurrence_index];
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const StepSlots& slots = occurrence.steps[step];
      for (uint32_t index = 0; index < slots.tasks.size(); ++index) {
        const TaskSlot& slot = slots.tasks[index];
        if (slot.phase == TaskPhase::kPlaced)
          this->unwanted.push_back(
              {slot.vm,
               {active->submission.id, occurrence_index, step, index},
               slot.run,
               reason});
      }
    }
  }
  active->occurrences.clear();
  this->permits.Forget(active->submission.id);
  active->state = state;
  this->live.erase(active->submission.id);
  this->dirty.insert(active->submission.id);
}

void Scheduler::Place(ActiveSubmission* active,
                      const TaskRef& task,
                      TaskSlot* slot,
                      Worker* worker,
                      uint32_t run,
                      absl::Time now) {
  const Step& step = active->submission.steps[task.step];
  slot->phase = TaskPhase::kPlaced;
  slot->resolved = true;
  slot->run = run;
  slot->highest_run = std::max(slot->highest_run, run);
  slot->vm = worker->vm;
  slot->placed_at = now;
  ++active->occurrences[task.occurrence].steps[task.step].placed;
  PlacedTask placed;
  placed.run = run;
  placed.size = step.size;
  placed.fills = step.fills;
  placed.serves = step.latency_objective_ms > 0;
  placed.latency_objective_ms = step.latency_objective_ms;
  placed.image = step.image;
  placed.long_running = step.long_running;
  placed.checkpointed = step.checkpointed;
  placed.placed_at = now;
  placed.works_from = now + kStartUpTime;
  Occupy(worker, task, placed);
}

void Scheduler::Release(ActiveSubmission* active,
                        const TaskRef& task,
                        TaskSlot* slot) {
  slot->phase = TaskPhase::kIdle;
  --active->occurrences[task.occurrence].steps[task.step].placed;
}

void Scheduler::OnStartResult(const std::string& vm,
                              const TaskRef& task,
                              uint32_t run,
                              StartOutcome start_outcome,
                              absl::Time now) {
  if (start_outcome == StartOutcome::kStarted)
    return;
  Worker& worker = this->GetOrAddWorker(vm);
  const auto placed = worker.placed.find(task);
  if (placed != worker.placed.end() && placed->second.run == run)
    Vacate(&worker, task);
  this->ForgetStaleRun(&worker, task, run);
  if (start_outcome == StartOutcome::kNoCapacity)
    worker.avoid_until =
        std::max(worker.avoid_until, now + kAvoidAfterNoCapacity);
  else if (start_outcome == StartOutcome::kInvalidTicket)
    this->permits.Revoke({task.submission, task.occurrence, task.step},
                         worker.info.runner);
  else if (start_outcome == StartOutcome::kRefused)
    worker.avoid_until = std::max(worker.avoid_until, now + kAvoidAfterRefusal);
  else if (start_outcome == StartOutcome::kEvacuated)
    worker.avoid_until =
        std::max(worker.avoid_until, now + kAvoidAfterEvacuated);
  else if (start_outcome == StartOutcome::kExpired)
    worker.avoid_until = std::max(worker.avoid_until, now + kAvoidAfterExpired);
  ActiveSubmission* active = this->FindActive(task.submission);
  TaskSlot* slot = active == nullptr ? nullptr : FindSlot(active, task);
  if (slot != nullptr && IsPlacedOn(*slot, vm, run)) {
    this->Release(active, task, slot);
    ++slot->refused_starts;
  }
}

void Scheduler::CountWorkerFailure(Worker* worker,
                                   const TaskSlot& slot,
                                   absl::Time now) {
  // A task that also failed on another VM is no evidence against this VM.
  if (!slot.failed_vm.empty() && slot.failed_vm != worker->vm)
    return;
  if (++worker->consecutive_failures >= kFailuresToAvoid)
    worker->avoid_until = now + kAvoidAfterFailures;
}

void Scheduler::OnStarted(const std::string& id) {
  if (ActiveSubmission* active = this->FindActive(id))
    active->started = true;
}

void Scheduler::OnEnded(const std::string& vm,
                        const EndedRun& ended_run,
                        absl::Time now) {
  Worker& worker = this->GetOrAddWorker(vm);
  const auto placed = worker.placed.find(ended_run.task);
  if (placed != worker.placed.end() && placed->second.run == ended_run.run)
    Vacate(&worker, ended_run.task);
  this->ForgetStaleRun(&worker, ended_run.task, ended_run.run);
  this->OnStarted(ended_run.task.submission);
  ActiveSubmission* active = this->FindActive(ended_run.task.submission);
  if (active != nullptr)
    AddStartedOccurrences(active, ended_run.task.occurrence);
  TaskSlot* slot =
      active == nullptr ? nullptr : FindSlot(active, ended_run.task);
  if (slot == nullptr || slot->phase == TaskPhase::kDone)
    return;
  slot->highest_run = std::max(slot->highest_run, ended_run.run);
  const Step& step = active->submission.steps[ended_run.task.step];
  const bool current = IsPlacedOn(*slot, vm, ended_run.run);
  if (current) {
    this->Release(active, ended_run.task, slot);
    NoteRunEnded(slot, now);
  }
  if (ended_run.outcome == RunOutcome::kDone && !step.long_running) {
    worker.consecutive_failures = 0;
    if (slot->phase == TaskPhase::kPlaced) {
      // A second run of a task that is done.
      this->unwanted.push_back({slot->vm, ended_run.task, slot->run, "done"});
      this->Release(active, ended_run.task, slot);
    }
    if (step.gang)
      this->CompleteGang(active, ended_run.task);
    else
      this->CompleteTask(active, ended_run.task);
    return;
  }
  if (!ended_run.checkpoint.empty() && (current || slot->checkpoint.empty())) {
    slot->checkpoint = ended_run.checkpoint;
    this->dirty.insert(active->submission.id);
  }
  // The VM had no grant, so the earlier planner may have started the next run
  // on a worker that has not reported yet.
  if (ended_run.outcome == RunOutcome::kLeaseExpired && current &&
      !active->prior_runs.resolved &&
      ended_run.run <= active->prior_runs.max_run)
    slot->resolved = false;
  if (ended_run.outcome != RunOutcome::kFailed)
    return;
  // Only tasks of a limited duration end as done.
  if (step.long_running && current && now - slot->placed_at >= kLongRunIsSound)
    worker.consecutive_failures = 0;
  else
    this->CountWorkerFailure(&worker, *slot, now);
  slot->failed_vm = vm;
  if (step.long_running)
    return;
  // Members of a gang fail together, so the failure is counted once, at the
  // first member.
  TaskRef counted = ended_run.task;
  if (step.gang)
    counted.index = 0;
  TaskSlot* counter = FindSlot(active, counted);
  if (Contains(counter->failed_runs, ended_run.run))
    return;
  counter->failed_runs.push_back(ended_run.run);
  this->dirty.insert(active->submission.id);
  if (counter->failed_runs.size() >= active->queue.max_attempts) {
    this->EndSubmission(active, SubmissionState::kFailed);
    return;
  }
  // A worker that has not reported since a takeover may hold failures of
  // earlier runs that could not be stored.
  if (!active->prior_runs.resolved &&
      MostFailures(*counter, ended_run.run) >= active->queue.max_attempts)
    slot->resolved = false;
}

void Scheduler::CompleteTask(ActiveSubmission* active, const TaskRef& task) {
  OccurrenceSlots& occurrence = active->occurrences[task.occurrence];
  StepSlots& step = occurrence.steps[task.step];
  TaskSlot& slot = step.tasks[task.index];
  slot.phase = TaskPhase::kDone;
  slot.checkpoint.clear();
  slot.crashes.clear();
  slot.failed_runs.clear();
  ++step.done;
  this->dirty.insert(active->submission.id);
  if (step.done < step.tasks.size())
    return;
  ++occurrence.steps_done;
  if (IsComplete(*active))
    this->EndSubmission(active, SubmissionState::kCompleted);
}

void Scheduler::CompleteGang(ActiveSubmission* active, const TaskRef& task) {
  const auto count = static_cast<uint32_t>(
      active->occurrences[task.occurrence].steps[task.step].tasks.size());
  for (uint32_t index = 0; index < count; ++index) {
    // Completing the last member may have ended the submission.
    if (IsFinal(active->state))
      return;
    TaskRef member = task;
    member.index = index;
    TaskSlot* slot = FindSlot(active, member);
    if (slot->phase == TaskPhase::kDone)
      continue;
    if (slot->phase == TaskPhase::kPlaced) {
      Vacate(&this->GetOrAddWorker(slot->vm), member);
      this->Release(active, member, slot);
    }
    this->CompleteTask(active, member);
  }
}

std::vector<std::pair<std::string, Progress>> Scheduler::TakeDirty() {
  std::vector<std::pair<std::string, Progress>> rows;
  for (const std::string& id : this->dirty)
    rows.emplace_back(id, ToProgress(*this->FindActive(id)));
  this->dirty.clear();
  return rows;
}

SubmissionRow Scheduler::EndedRow(const std::string& id,
                                  absl::Time wall) const {
  const ActiveSubmission& active = *this->submissions.at(id);
  SubmissionRow row;
  row.submission.id = id;
  row.submission.queue = active.submission.queue;
  row.final_state = active.state;
  row.ended_ms = absl::ToUnixMillis(wall);
  return row;
}

void Scheduler::MarkStored(const std::string& id,
                           SubmissionState state,
                           absl::Time now) {
  ActiveSubmission* active = this->FindActive(id);
  if (active == nullptr || !IsFinal(state) ||
      std::exchange(active->final_stored, true))
    return;
  active->submission.text.clear();
  active->submission.steps.clear();
  this->ended.emplace(now, id);
}

std::vector<std::string> Scheduler::TakeEndedBefore(absl::Time time,
                                                    size_t max_count) {
  std::vector<std::string> ids;
  while (!this->ended.empty() && ids.size() < max_count &&
         this->ended.begin()->first < time) {
    ids.push_back(this->ended.begin()->second);
    this->ended.erase(this->ended.begin());
  }
  return ids;
}

void Scheduler::Forget(const std::string& id) {
  this->submissions.erase(id);
}

std::vector<StateChange> Scheduler::TakeChanges() {
  std::vector<StateChange> taken;
  taken.swap(this->changes);
  return taken;
}

std::vector<StateChange> Scheduler::AllStates() const {
  std::vector<StateChange> states;
  states.reserve(this->submissions.size());
  for (const auto& [id, active] : this->submissions) {
    const bool hidden = IsFinal(active->state) && !active->final_stored;
    states.push_back({id, hidden ? SubmissionState::kRunning : active->state});
  }
  return states;
}

std::vector<InterferenceEstimate> Scheduler::NextInterferenceOn(
    const std::string& vm) {
  std::vector<InterferenceEstimate> pairs;
  const auto found = this->workers.find(vm);
  if (found == this->workers.end())
    return pairs;
  Worker& worker = *found->second;
  std::vector<const std::string*> serving;
  for (const auto& [image, load] : worker.serving)
    serving.push_back(&image);
  std::vector<const std::string*> filling;
  for (const auto& [image, load] : worker.filling)
    filling.push_back(&image);
  const size_t all_pairs = serving.size() * filling.size();
  for (size_t i = 0; i < std::min(all_pairs, kMaxPairsInNotice); ++i) {
    const size_t pair = worker.next_pair++ % all_pairs;
    if (auto estimate = this->interference_model.Find(
            *serving[pair / filling.size()], *filling[pair % filling.size()]))
      pairs.push_back(std::move(*estimate));
  }
  return pairs;
}

absl::Duration Scheduler::AdviceTime(const PermitQuery& query) const {
  const auto active = this->submissions.find(query.step.submission);
  if (active == this->submissions.end())
    return absl::ZeroDuration();
  const Advice& advice = active->second->queue.advice;
  return absl::Milliseconds(advice.decide_ms +
                            advice.per_runner_ms *
                                static_cast<int64_t>(query.runners.size()));
}

std::map<std::string, uint64_t> Scheduler::WaitingCounts() const {
  std::map<std::string, uint64_t> counts;
  for (const auto& [id, active] : this->live) {
    if (!active->started)
      ++counts[active->queue.name];
  }
  return counts;
}

}  // namespace cuminjunction
