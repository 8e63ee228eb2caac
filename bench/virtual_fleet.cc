#include "bench/virtual_fleet.h"

#include <algorithm>

#include "base/strings.h"

namespace cuminjunction {

namespace {

constexpr double kRenewEverySeconds = 20;
constexpr int kMostRows = 100'000;
constexpr int kWorkersPerRack = 3;
constexpr int kFailureDomains = 3;
constexpr double kWholePercent = 100;
constexpr double kMillicoresPerCore = 1000;

}  // namespace

VirtualFleet::VirtualFleet(const VirtualFleetOptions& options,
                           const TaskCharts* charts,
                           MemoryTable* table,
                           const ManualClock* clock,
                           Behaviour behaviour)
    : options(options),
      charts(charts),
      table(table),
      clock(clock),
      behaviour(std::move(behaviour)) {
  for (int i = 0; i < options.workers; ++i) {
    WorkerRow worker;
    worker.id = StrCat("w", i);
    worker.capacity = options.capacity;
    worker.rack = StrCat("rack", i / kWorkersPerRack);
    worker.failure_domain = StrCat("domain", i % kFailureDomains);
    worker.region = "region";
    worker.boot_id = StrCat("boot", i);
    worker.epoch = 1;
    worker.sequence = 1;
    this->ids.push_back(worker.id);
    this->workers[worker.id];
    const Transaction transaction = {
        StrCat("add/", i), {}, {{WorkerKey(worker.id), ToText(worker)}}};
    this->table->Commit(transaction).value();
  }
}

Batch VirtualFleet::NewBatch() {
  return {this->charts, StrCat("fleet/", ++this->transactions)};
}

void VirtualFleet::Commit(const Batch& batch) {
  this->table->Commit(batch.ToTransaction()).value();
}

void VirtualFleet::AddTask(const TaskRow& task) {
  Batch batch = this->NewBatch();
  (void)CreateTask(task, &batch);
  this->Commit(batch);
}

void VirtualFleet::AddPlaced(const TaskRow& task, int worker) {
  this->AddTask(task);
  const std::string& id = this->ids[static_cast<size_t>(worker)];
  const Row task_row = this->table->Read(TaskKey(task.id)).value();
  const Row worker_row = this->table->Read(WorkerKey(id)).value();
  Batch batch = this->NewBatch();
  (void)Place({ParseTask(task_row).value(), task_row.version},
              {ParseWorker(worker_row).value(), worker_row.version},
              this->clock->Now(), PlaceMode::kNormal, &batch);
  this->Commit(batch);
}

void VirtualFleet::Step(absl::Duration step) {
  this->Renew(step);
  this->FollowRows();
  this->Progress(absl::ToDoubleSeconds(step));
}

void VirtualFleet::FollowRows() {
  const std::vector<Row> changed =
      this->table
          ->ScanSince(std::string(kWorkerPrefix), this->cursor, kMostRows)
          .value();
  for (const Row& row : changed) {
    this->cursor = std::max(this->cursor, row.version);
    if (!row.deleted)
      this->FollowWorker(ParseWorker(row).value());
  }
}

void VirtualFleet::FollowWorker(const WorkerRow& worker) {
  std::map<std::string, VirtualTask>& running = this->workers[worker.id];
  std::erase_if(running, [&](const auto& item) {
    return worker.Find(item.first) == nullptr;
  });
  for (const Assignment& assignment : worker.assignments) {
    const auto found = running.find(assignment.task);
    if (found == running.end() ||
        found->second.row.attempt != assignment.attempt)
      this->StartTask(worker, assignment);
    VirtualTask& task = running[assignment.task];
    task.share = assignment.share_percent / kWholePercent;
    task.action = assignment.action;
  }
}

void VirtualFleet::StartTask(const WorkerRow& worker,
                             const Assignment& assignment) {
  const Row row = this->table->Read(TaskKey(assignment.task)).value();
  VirtualTask task;
  task.row = ParseTask(row).value();
  const VirtualRun run = this->behaviour(task.row, worker.id);
  task.seconds_left = run.seconds;
  task.fails = run.fails;
  if (!run.fails) {
    const auto resumed = this->resume_seconds.find(assignment.task);
    if (resumed != this->resume_seconds.end())
      task.seconds_left = resumed->second;
    else
      this->whole_seconds[assignment.task] = run.seconds;
  }
  ++this->starts;
  ++this->starts_of_workers[worker.id];
  ++this->starts_of_tasks[assignment.task];
  this->workers[worker.id][assignment.task] = task;
}

void VirtualFleet::Progress(double seconds) {
  std::vector<std::pair<std::string, VirtualTask>> ended;
  for (auto& [worker, running] : this->workers) {
    for (auto& [id, task] : running) {
      if (task.action == AssignmentAction::kRun)
        task.seconds_left -= seconds * task.share;
      if (task.seconds_left <= 0 || task.action != AssignmentAction::kRun)
        ended.emplace_back(worker, task);
    }
  }
  for (const auto& [worker, task] : ended)
    this->End(worker, task);
}

void VirtualFleet::End(const std::string& worker, const VirtualTask& task) {
  const Row task_row = this->table->Read(TaskKey(task.row.id)).value();
  const Row worker_row = this->table->Read(WorkerKey(worker)).value();
  const TaskEntry entry = {ParseTask(task_row).value(), task_row.version};
  const WorkerEntry target = {ParseWorker(worker_row).value(),
                              worker_row.version};
  const AttemptRef ref = {task.row.attempt, target.row.epoch};
  const absl::Time now = this->clock->Now();
  Batch batch = this->NewBatch();
  if (task.action != AssignmentAction::kRun) {
    if (ReportStopped(entry, target, ref, StrCat("checkpoint/", task.row.id),
                      &batch)) {
      ++this->evictions;
      this->resume_seconds[task.row.id] = task.seconds_left;
    }
  } else if (task.fails) {
    (void)ReportFailed(entry, target, ref, "exit code 1", now, RetryPolicy(),
                       &batch);
  } else if (ReportFinished(entry, target, ref, "output", now, RetryPolicy(),
                            &batch)) {
    ++this->finished;
    this->finished_work += this->whole_seconds[task.row.id] *
                           static_cast<double>(task.row.size.millicores) /
                           kMillicoresPerCore;
  }
  this->workers[worker].erase(task.row.id);
  if (batch.size() > 0)
    this->Commit(batch);
}

void VirtualFleet::Renew(absl::Duration step) {
  this->renewals += absl::ToDoubleSeconds(step) *
                    static_cast<double>(this->ids.size()) / kRenewEverySeconds;
  for (; this->renewals >= 1; --this->renewals) {
    const std::string& id = this->ids[this->next_renewal];
    this->next_renewal = (this->next_renewal + 1) % this->ids.size();
    const Row row = this->table->Read(WorkerKey(id)).value();
    const WorkerEntry worker = {ParseWorker(row).value(), row.version};
    Batch batch = this->NewBatch();
    if (cuminjunction::Renew(worker, worker.row.epoch, this->clock->Now(),
                             &batch))
      this->Commit(batch);
  }
}

}  // namespace cuminjunction
