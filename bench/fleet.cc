#include "bench/fleet.h"

#include <algorithm>
#include <ctime>

#include "base/strings.h"

namespace cuminjunction {

namespace {

constexpr double kStoreRowsPerSecond = 300;
constexpr double kRenewEverySeconds = 20;
constexpr double kBatchSeconds = 290;
constexpr double kUrgentSeconds = 60;
// From the nudge of an agent until the task has started, and a checkpoint.
constexpr absl::Duration kStartDelay = absl::Milliseconds(200);
constexpr absl::Duration kCheckpointTime = absl::Seconds(1);
constexpr size_t kRowsPerFill = 500;

}  // namespace

double ThreadSeconds() {
  timespec time = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

Result<Row> PacedTable::Read(const std::string& key) {
  const double begin = ThreadSeconds();
  Result<Row> row = this->table->Read(key);
  this->store_seconds += ThreadSeconds() - begin;
  return row;
}

Result<std::vector<Row>> PacedTable::ScanSince(const std::string& prefix,
                                               uint64_t version,
                                               int limit) {
  const double begin = ThreadSeconds();
  Result<std::vector<Row>> page =
      this->table->ScanSince(prefix, version, limit);
  this->store_seconds += ThreadSeconds() - begin;
  return page;
}

Result<uint64_t> PacedTable::Commit(const Transaction& transaction) {
  const double begin = ThreadSeconds();
  Result<uint64_t> version = this->table->Commit(transaction);
  const auto written = static_cast<double>(transaction.writes.size());
  this->done_at = std::max(this->done_at, this->clock->Now()) +
                  absl::Seconds(written / kStoreRowsPerSecond);
  this->rows_written += static_cast<int64_t>(transaction.writes.size());
  this->store_seconds += ThreadSeconds() - begin;
  return version;
}

Fleet::Fleet(const FleetOptions& options,
             const TaskCharts* charts,
             MemoryTable* rows,
             PacedTable* table,
             const ManualClock* clock)
    : options(options),
      charts(charts),
      rows(rows),
      table(table),
      clock(clock),
      random(options.seed) {}

Batch Fleet::NewBatch() {
  return {this->charts, StrCat("fleet/", ++this->transactions)};
}

bool Fleet::Commit(const Batch& batch) {
  return static_cast<bool>(this->table->Commit(batch.ToTransaction()));
}

TaskRow Fleet::MakeTask(Urgency urgency) {
  TaskRow task;
  task.id = StrCat("job", this->next_task % 997, ".1.", this->next_task);
  task.owner = StrCat("job", this->next_task % 997);
  ++this->next_task;
  task.account = StrCat("team", this->random() % this->options.accounts);
  task.urgency = urgency;
  task.kind = TaskKind::kBatch;
  task.size.millicores = 500 + static_cast<int64_t>(this->random() % 9) * 250;
  task.size.memory_mib = 1024 + static_cast<int64_t>(this->random() % 8) * 512;
  if (urgency == Urgency::kBatch && this->random() % 10 == 0)
    task.size.accelerators = 1;
  task.command = "run --input objects/0123456789abcdef";
  task.created_us = ToMicros(this->clock->Now());
  task.state = TaskState::kPending;
  return task;
}

void Fleet::Fill() {
  this->FillWorkers();
  this->FillTasks(this->options.services, TaskKind::kReplica, Urgency::kUrgent);
  this->FillTasks(this->options.batch, TaskKind::kBatch, Urgency::kBatch);
  Transaction transaction;
  for (const WorkerRow& worker : this->initial)
    transaction.writes.push_back({WorkerKey(worker.id), ToText(worker)});
  this->rows->Commit(transaction).value();
  this->cursor = this->rows->Commit({"mark", {}, {{"mark", "1"}}}).value();
}

void Fleet::FillWorkers() {
  for (int i = 0; i < this->options.workers; ++i) {
    WorkerRow worker;
    worker.id = StrCat("w", i);
    const bool large = i % 2 == 0;
    worker.capacity = large ? Size{52000, 256000, 0} : Size{16000, 61440, 0};
    // A quarter of the workers has accelerators.
    if (i % 4 == 0) {
      worker.capacity.accelerators =
          this->options.accelerators / (this->options.workers / 4);
    }
    worker.rack = StrCat("rack", i / 3);
    worker.failure_domain = StrCat("domain", i % 7);
    worker.region = StrCat("region", i % 7 % 3);
    worker.boot_id = StrCat("boot", i);
    worker.epoch = 1;
    worker.sequence = 1;
    this->initial.push_back(worker);
  }
}

void Fleet::FillTasks(int count, TaskKind kind, Urgency urgency) {
  std::exponential_distribution<double> seconds(1 / kBatchSeconds);
  for (int i = 0; i < count; ++i) {
    TaskRow task = this->MakeTask(urgency);
    task.kind = kind;
    WorkerRow* worker = nullptr;
    for (int tries = 0; tries < 200 && worker == nullptr; ++tries) {
      WorkerRow& one = this->initial[this->random() % this->initial.size()];
      if (Fits(task.size, one.Free()))
        worker = &one;
    }
    if (worker == nullptr)
      continue;
    task.state = TaskState::kStarting;
    task.attempt = 1;
    task.worker = worker->id;
    task.placed_us = task.created_us;
    worker->assignments.push_back({task.id, 1, task.size, 1});
    this->started[task.id] = 1;
    if (kind == TaskKind::kBatch) {
      const absl::Duration left = absl::Seconds(seconds(this->random));
      this->events.push({this->clock->Now() + left, task.id, 1});
    }
    // One commit a task, as when the tasks were placed.
    this->rows->Commit({"fill", {}, {{TaskKey(task.id), ToText(task)}}})
        .value();
  }
}

void Fleet::Flood(int tasks) {
  Transaction transaction;
  for (int i = 0; i < tasks; ++i) {
    const TaskRow task = this->MakeTask(Urgency::kBatch);
    transaction.writes.push_back({TaskKey(task.id), ToText(task)});
    if (transaction.writes.size() == kRowsPerFill || i + 1 == tasks) {
      this->rows->Commit(transaction).value();
      transaction.writes.clear();
    }
  }
}

void Fleet::Step(absl::Duration step) {
  this->Renew(step);
  this->TakeAssignments();
  this->EndDue();
  this->Arrive(step);
}

void Fleet::ForgetStarts() {
  this->urgent_starts.clear();
  this->starts = 0;
  this->evictions = 0;
}

void Fleet::Arrive(absl::Duration step) {
  const double seconds = absl::ToDoubleSeconds(step);
  this->urgent_arrivals += seconds * this->options.urgent_per_second;
  this->arrivals += seconds * (this->options.starts_per_second -
                               this->options.urgent_per_second);
  Batch batch = this->NewBatch();
  for (; this->urgent_arrivals >= 1; --this->urgent_arrivals)
    (void)CreateTask(this->MakeTask(Urgency::kUrgent), &batch);
  for (; this->arrivals >= 1; --this->arrivals)
    (void)CreateTask(this->MakeTask(Urgency::kBatch), &batch);
  if (batch.size() > 0)
    this->Commit(batch);
}

void Fleet::Renew(absl::Duration step) {
  this->renewals += absl::ToDoubleSeconds(step) *
                    static_cast<double>(this->initial.size()) /
                    kRenewEverySeconds;
  for (; this->renewals >= 1; --this->renewals) {
    const std::string& id = this->initial[this->next_renewal].id;
    this->next_renewal = (this->next_renewal + 1) % this->initial.size();
    const Row row = this->table->Read(WorkerKey(id)).value();
    const WorkerEntry worker = {ParseWorker(row).value(), row.version};
    Batch batch = this->NewBatch();
    if (cuminjunction::Renew(worker, worker.row.epoch, this->clock->Now(),
                             &batch))
      this->Commit(batch);
  }
}

void Fleet::TakeAssignments() {
  const std::vector<Row> changed =
      this->rows->ScanSince(std::string(kTaskPrefix), this->cursor, 100000)
          .value();
  for (const Row& row : changed) {
    this->cursor = std::max(this->cursor, row.version);
    if (!row.deleted)
      this->TakeTask(ParseTask(row).value());
  }
}

void Fleet::TakeTask(const TaskRow& task) {
  if (task.state == TaskState::kCheckpointing) {
    ++this->evictions;
    this->events.push(
        {this->clock->Now() + kCheckpointTime, task.id, task.attempt, true});
    return;
  }
  uint32_t& attempt = this->started[task.id];
  if (!task.IsPlaced() || attempt == task.attempt)
    return;
  attempt = task.attempt;
  ++this->starts;
  const absl::Time start =
      std::max(this->clock->Now(), this->table->DoneAt()) + kStartDelay;
  const bool urgent = task.urgency == Urgency::kUrgent;
  if (urgent) {
    this->urgent_starts.push_back(
        absl::ToDoubleSeconds(start - FromMicros(task.created_us)));
  }
  std::exponential_distribution<double> seconds(
      1 / (urgent ? kUrgentSeconds : kBatchSeconds));
  this->events.push(
      {start + absl::Seconds(seconds(this->random)), task.id, task.attempt});
}

void Fleet::EndDue() {
  while (!this->events.empty() &&
         this->events.top().time <= this->clock->Now()) {
    const Event event = this->events.top();
    this->events.pop();
    this->End(event);
  }
}

void Fleet::End(const Event& event) {
  const Row task_row = this->table->Read(TaskKey(event.task)).value();
  const TaskEntry task = {ParseTask(task_row).value(), task_row.version};
  if (task.row.attempt != event.attempt || !task.row.HoldsCapacity())
    return;
  const Row worker_row = this->table->Read(WorkerKey(task.row.worker)).value();
  const WorkerEntry worker = {ParseWorker(worker_row).value(),
                              worker_row.version};
  const AttemptRef ref = {event.attempt, worker.row.epoch};
  Batch batch = this->NewBatch();
  const Status reported =
      event.checkpointed
          ? ReportStopped(task, worker, ref, StrCat("checkpoint/", event.task),
                          &batch)
          : ReportFinished(task, worker, ref, "output", this->clock->Now(),
                           RetryPolicy(), &batch);
  if (reported)
    this->Commit(batch);
}

}  // namespace cuminjunction
