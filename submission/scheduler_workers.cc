// The scheduler's view of the workers: their reports, their grants, and which
// of them may still hold runs of an earlier planner.

#include <algorithm>
#include <utility>

#include "submission/scheduler.h"

namespace cuminjunction {

Worker& Scheduler::GetOrAddWorker(const std::string& vm) {
  std::unique_ptr<Worker>& worker = this->workers[vm];
  if (!worker) {
    worker = std::make_unique<Worker>();
    worker->vm = vm;
  }
  return *worker;
}

const Worker* Scheduler::FindWorker(const std::string& vm) const {
  const auto found = this->workers.find(vm);
  return found == this->workers.end() ? nullptr : found->second.get();
}

void Scheduler::ExpectWorker(const std::string& vm,
                             absl::Time inherited_grant_deadline) {
  Worker& worker = this->GetOrAddWorker(vm);
  if (worker.synced)
    return;
  worker.inherited_grant_deadline =
      std::max(worker.inherited_grant_deadline, inherited_grant_deadline);
  this->unresolved.insert(vm);
}

void Scheduler::LimitInheritedGrants(absl::Time deadline) {
  for (auto& [vm, worker] : this->workers)
    worker->inherited_grant_deadline =
        std::min(worker->inherited_grant_deadline, deadline);
}

bool Scheduler::HasSubmissionsOf(const std::vector<ActiveRun>& running,
                                 const std::vector<EndedRun>& ended) const {
  return std::all_of(running.begin(), running.end(),
                     [this](const ActiveRun& run) {
                       return this->HasSubmission(run.task.submission);
                     }) &&
         std::all_of(ended.begin(), ended.end(),
                     [this](const EndedRun& ended_run) {
                       return this->HasSubmission(ended_run.task.submission);
                     });
}

void Scheduler::SetEvacuations(const EvacuatedDomains& domains,
                               absl::Time now) {
  this->domain_returns =
      this->domain_returns.After(this->evacuated_domains, domains, now);
  this->evacuated_domains = domains;
  this->had_evacuations = this->had_evacuations || !domains.names.empty();
  for (auto& [vm, worker] : this->workers)
    this->ApplyEvacuations(worker.get());
}

void Scheduler::ApplyEvacuations(Worker* worker) {
  const std::string& domain = worker->info.failure_domain;
  worker->evacuated = this->evacuated_domains.Contains(domain);
  worker->full_capacity_at = this->domain_returns.FullCapacityAt(domain);
}

void Scheduler::SetInfo(Worker* worker, const RunnerInfo& info) {
  worker->info = info;
  this->ApplyEvacuations(worker);
}

void Scheduler::MergeReport(const WorkerReport& report, absl::Time now) {
  Worker& worker = this->GetOrAddWorker(report.vm);
  if (worker.info.born_ms != report.info.born_ms) {
    worker.consecutive_failures = 0;
    worker.avoid_until = absl::InfinitePast();
    worker.isolated_until = absl::InfinitePast();
  }
  this->SetInfo(&worker, report.info);
  worker.usable = report.alive;
  worker.synced = true;
  worker.was_silent = worker.was_silent || !report.alive;
  if (!report.more_ends)
    this->ForgetStaleRuns(&worker);
  for (const EndedRun& ended_run : report.ended)
    this->OnEnded(report.vm, ended_run, now);
  std::set<TaskRef> reported;
  for (const ActiveRun& running : report.running) {
    const TaskRef& task = running.task;
    reported.insert(task);
    ActiveSubmission* active = this->FindActive(task.submission);
    if (active != nullptr)
      AddStartedOccurrences(active, task.occurrence);
    TaskSlot* slot = active == nullptr ? nullptr : FindSlot(active, task);
    if (active != nullptr && !running.starting)
      active->started = true;
    if (slot != nullptr && IsPlacedOn(*slot, report.vm, running.run)) {
      PlacedTask& placed = worker.placed.at(task);
      // A stop that was sent may have been lost with the connection.
      placed.stopping = false;
      if (running.starting)
        placed.works_from = now + kStartUpTime;
      continue;
    }
    // A run with a lower number than one that this planner has ordered is
    // stale.
    const bool is_stale =
        slot != nullptr && slot->resolved && running.run < slot->highest_run;
    if (slot == nullptr || slot->phase != TaskPhase::kIdle || is_stale) {
      this->unwanted.push_back({report.vm, task, running.run,
                                active == nullptr ? std::string_view("unknown")
                                                  : ToString(active->state)});
      this->NoteStaleRun(&worker, task, running.run);
      continue;
    }
    this->Place(active, task, slot, &worker, running.run, now);
    worker.placed.at(task).works_from = now + kReportedRunSettles;
    if (active->state == SubmissionState::kQueued) {
      active->state = SubmissionState::kRunning;
      this->changes.push_back({task.submission, active->state});
    }
  }
  if (!report.more_ends) {
    this->DropRunsExcept(&worker, reported, now);
    this->unresolved.erase(report.vm);
  }
  for (const RunnerCrash& crash : report.crashes)
    this->RecordCrash(report.vm, crash, now);
}

void Scheduler::UpdateInfo(const std::string& vm,
                           const RunnerInfo& info,
                           bool alive) {
  Worker& worker = this->GetOrAddWorker(vm);
  this->SetInfo(&worker, info);
  worker.usable = alive;
  worker.was_silent = worker.was_silent || !alive;
}

void Scheduler::OnDisconnected(const std::string& vm) {
  Worker& worker = this->GetOrAddWorker(vm);
  worker.synced = false;
  worker.usable = false;
  worker.was_silent = true;
}

bool Scheduler::MayGrant(const std::string& vm) const {
  const Worker* worker = this->FindWorker(vm);
  return worker != nullptr && worker->synced;
}

void Scheduler::ExtendGrant(const std::string& vm, absl::Time deadline) {
  Worker& worker = this->GetOrAddWorker(vm);
  worker.grant_deadline = std::max(worker.grant_deadline, deadline);
}

std::vector<std::string> Scheduler::ExpireGrants(absl::Time now) {
  std::vector<std::string> expired;
  for (auto& [vm, worker] : this->workers) {
    const absl::Time deadline =
        std::max(worker->grant_deadline, worker->inherited_grant_deadline);
    if (worker->synced || deadline >= now)
      continue;
    this->DropRunsExcept(worker.get(), {}, now);
    this->ForgetStaleRuns(worker.get());
    this->unresolved.erase(vm);
    worker->grant_deadline = absl::InfinitePast();
    worker->inherited_grant_deadline = absl::InfinitePast();
    if (deadline != absl::InfinitePast())
      expired.push_back(vm);
  }
  return expired;
}

std::vector<std::string> Scheduler::IdleLeavingWorkers(absl::Time now) const {
  std::vector<std::string> idle;
  for (const auto& [vm, worker] : this->workers) {
    if (worker->synced && worker->placed.empty() &&
        worker->stale_runs.empty() && !this->unresolved.contains(vm) &&
        (worker->info.draining || !worker->usable) &&
        worker->inherited_grant_deadline < now)
      idle.push_back(vm);
  }
  return idle;
}

bool Scheduler::OnVacated(const std::string& vm, absl::Time now) {
  this->OnDisconnected(vm);
  Worker& worker = this->GetOrAddWorker(vm);
  worker.grant_deadline = absl::InfinitePast();
  if (worker.inherited_grant_deadline >= now)
    return false;
  worker.inherited_grant_deadline = absl::InfinitePast();
  this->DropRunsExcept(&worker, {}, now);
  this->ForgetStaleRuns(&worker);
  this->unresolved.erase(vm);
  return true;
}

void Scheduler::NoteStaleRun(Worker* worker,
                             const TaskRef& task,
                             uint32_t run) {
  ActiveSubmission* active = this->FindActive(task.submission);
  TaskSlot* slot = active == nullptr ? nullptr : FindSlot(active, task);
  if (slot != nullptr && worker->stale_runs.emplace(task, run).second)
    ++slot->stale_runs;
}

void Scheduler::ForgetStaleRun(Worker* worker,
                               const TaskRef& task,
                               uint32_t run) {
  if (worker->stale_runs.erase({task, run}) == 0)
    return;
  ActiveSubmission* active = this->FindActive(task.submission);
  TaskSlot* slot = active == nullptr ? nullptr : FindSlot(active, task);
  if (slot != nullptr)
    --slot->stale_runs;
}

void Scheduler::ForgetStaleRuns(Worker* worker) {
  const auto stale_runs = worker->stale_runs;
  for (const auto& [task, run] : stale_runs)
    this->ForgetStaleRun(worker, task, run);
}

void Scheduler::DropRunsExcept(Worker* worker,
                               const std::set<TaskRef>& reported,
                               absl::Time now) {
  std::vector<TaskRef> lost;
  for (const auto& [task, placed] : worker->placed) {
    if (!reported.contains(task))
      lost.push_back(task);
  }
  for (const TaskRef& task : lost) {
    const uint32_t run = worker->placed.at(task).run;
    Vacate(worker, task);
    ActiveSubmission* active = this->FindActive(task.submission);
    TaskSlot* slot = active == nullptr ? nullptr : FindSlot(active, task);
    if (slot != nullptr && IsPlacedOn(*slot, worker->vm, run)) {
      this->Release(active, task, slot);
      NoteRunEnded(slot, now);
    }
  }
}

}  // namespace cuminjunction
