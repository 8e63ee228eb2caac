#include "task/plan.h"

#include <utility>

#include "base/strings.h"

namespace cuminjunction {

namespace {

// The table's transactions are limited to 100 rows, and a decision adds up to
// two.
constexpr size_t kMaxRows = 98;

}  // namespace

std::string_view ErrorTraits<PlanError>::Message(PlanError error) {
  switch (error) {
    case PlanError::kBusy:
      return "rows belong to another batch of this round, or the batch is full";
    case PlanError::kUnknownTask:
      return "task is unknown";
    case PlanError::kUnknownWorker:
      return "worker is unknown";
  }
  return "unknown plan error";
}

Plan::Plan(const TaskCharts* charts,
           State* state,
           std::string name,
           uint64_t* counter)
    : charts(charts), state(state), name(std::move(name)), counter(counter) {}

size_t Plan::NewBatch() {
  this->batches.emplace_back(this->charts,
                             StrCat(this->name, "/", ++*this->counter));
  return this->batches.size() - 1;
}

Result<size_t> Plan::BatchFor(const std::string& task,
                              const std::string& worker) {
  const auto task_batch = this->task_batches.find(task);
  const auto worker_batch = this->worker_batches.find(worker);
  const bool has_task = task_batch != this->task_batches.end();
  const bool has_worker = worker_batch != this->worker_batches.end();
  size_t index = 0;
  if (has_task && (worker.empty() || has_worker)) {
    if (!worker.empty() && task_batch->second != worker_batch->second)
      return PlanError::kBusy;
    index = task_batch->second;
  } else if (has_task) {
    return PlanError::kBusy;
  } else if (has_worker) {
    index = worker_batch->second;
  } else if (worker.empty()) {
    if (!this->unassigned_batch ||
        this->batches[*this->unassigned_batch].size() >= kMaxRows)
      this->unassigned_batch = this->NewBatch();
    index = *this->unassigned_batch;
  } else {
    index = this->NewBatch();
  }
  if (this->batches[index].size() >= kMaxRows)
    return PlanError::kBusy;
  return index;
}

template <class F>
Status Plan::Decide(const std::string& task,
                    const std::string& worker,
                    F step) {
  BOOST_OUTCOME_TRY(index, this->BatchFor(task, worker));
  BOOST_OUTCOME_TRY(step(&this->batches[index]));
  if (!task.empty())
    this->task_batches[task] = index;
  if (!worker.empty())
    this->worker_batches[worker] = index;
  this->state->ApplyDecision(this->batches[index], task, worker);
  return Ok();
}

template <class F>
Status Plan::DecideTask(const std::string& task, F step) {
  const TaskEntry* entry = this->state->FindTask(task);
  if (entry == nullptr)
    return PlanError::kUnknownTask;
  return this->Decide(task, "",
                      [&](Batch* batch) { return step(*entry, batch); });
}

template <class F>
Status Plan::DecideWorker(const std::string& worker, F step) {
  const WorkerEntry* entry = this->state->FindWorker(worker);
  if (entry == nullptr)
    return PlanError::kUnknownWorker;
  return this->Decide("", worker,
                      [&](Batch* batch) { return step(*entry, batch); });
}

Status Plan::Place(const std::string& task,
                   const std::string& worker,
                   absl::Time now,
                   PlaceMode mode) {
  const TaskEntry* task_entry = this->state->FindTask(task);
  const WorkerEntry* worker_entry = this->state->FindWorker(worker);
  if (task_entry == nullptr)
    return PlanError::kUnknownTask;
  if (worker_entry == nullptr)
    return PlanError::kUnknownWorker;
  return this->Decide(task, worker, [&](Batch* batch) {
    return cuminjunction::Place(*task_entry, *worker_entry, now, mode, batch);
  });
}

Status Plan::Evict(const std::string& task, std::string_view reason) {
  const TaskEntry* task_entry = this->state->FindTask(task);
  if (task_entry == nullptr)
    return PlanError::kUnknownTask;
  const std::string worker = task_entry->row.worker;
  const WorkerEntry* worker_entry = this->state->FindWorker(worker);
  if (worker_entry == nullptr)
    return PlanError::kUnknownWorker;
  return this->Decide(task, worker, [&](Batch* batch) {
    return cuminjunction::Evict(*task_entry, *worker_entry, reason, batch);
  });
}

Status Plan::Throttle(const std::string& task, int32_t share_percent) {
  const TaskEntry* task_entry = this->state->FindTask(task);
  if (task_entry == nullptr)
    return PlanError::kUnknownTask;
  const std::string worker = task_entry->row.worker;
  return this->DecideWorker(worker, [&](const WorkerEntry& entry,
                                        Batch* batch) {
    return cuminjunction::Throttle(*task_entry, entry, share_percent, batch);
  });
}

Status Plan::Cancel(const std::string& task, std::string_view reason) {
  const TaskEntry* task_entry = this->state->FindTask(task);
  if (task_entry == nullptr)
    return PlanError::kUnknownTask;
  const std::string worker = task_entry->row.worker;
  const WorkerEntry* worker_entry = this->state->FindWorker(worker);
  if (!worker.empty() && worker_entry == nullptr)
    return PlanError::kUnknownWorker;
  return this->Decide(task, worker, [&](Batch* batch) {
    return cuminjunction::Cancel(*task_entry, worker_entry, reason, batch);
  });
}

Status Plan::Park(const std::string& task,
                  ParkReason park_reason,
                  std::string_view reason) {
  return this->DecideTask(task, [&](const TaskEntry& entry, Batch* batch) {
    return cuminjunction::Park(entry, park_reason, reason, batch);
  });
}

Status Plan::Retry(const std::string& task) {
  return this->DecideTask(task, [&](const TaskEntry& entry, Batch* batch) {
    return cuminjunction::Retry(entry, batch);
  });
}

Status Plan::Unblock(const std::string& task) {
  return this->DecideTask(task, [&](const TaskEntry& entry, Batch* batch) {
    return cuminjunction::Unblock(entry, batch);
  });
}

Status Plan::Redeclare(const std::string& task, const TaskRow& declared) {
  return this->DecideTask(task, [&](const TaskEntry& entry, Batch* batch) {
    return cuminjunction::Redeclare(entry, declared, batch);
  });
}

Status Plan::Delete(const std::string& task) {
  BOOST_OUTCOME_TRY(
      this->DecideTask(task, [&](const TaskEntry& entry, Batch* batch) {
        return DeleteTask(entry, batch);
      }));
  this->state->Remove(TaskKey(task));
  return Ok();
}

Status Plan::Fence(const std::string& worker, uint64_t sequence) {
  return this->DecideWorker(
      worker, [&](const WorkerEntry& entry, Batch* batch) {
        return cuminjunction::Fence(entry, sequence, batch);
      });
}

Status Plan::ReleaseLost(const std::string& task, const std::string& worker) {
  const WorkerEntry* worker_entry = this->state->FindWorker(worker);
  if (worker_entry == nullptr)
    return PlanError::kUnknownWorker;
  const TaskEntry* task_entry = this->state->FindTask(task);
  if (task_entry == nullptr)
    return PlanError::kUnknownTask;
  return this->Decide(task, worker, [&](Batch* batch) {
    return cuminjunction::ReleaseLost(*task_entry, *worker_entry, batch);
  });
}

Status Plan::Suspect(const std::string& worker) {
  return this->DecideWorker(worker,
                            [&](const WorkerEntry& entry, Batch* batch) {
                              return cuminjunction::Suspect(entry, batch);
                            });
}

Status Plan::Readmit(const std::string& worker) {
  return this->DecideWorker(worker,
                            [&](const WorkerEntry& entry, Batch* batch) {
                              return cuminjunction::Readmit(entry, batch);
                            });
}

Status Plan::Expand(const OwnerEntry& owner,
                    const OwnerRow& changed,
                    const std::vector<TaskRow>& created) {
  const size_t index = this->NewBatch();
  Batch& batch = this->batches[index];
  batch.Set(owner, changed);
  for (const TaskRow& task : created) {
    BOOST_OUTCOME_TRY(CreateTask(task, &batch));
    this->task_batches[task.id] = index;
  }
  this->state->Apply(batch, 0);
  return Ok();
}

size_t Plan::RowCount() const {
  size_t rows = 0;
  for (const Batch& batch : this->batches)
    rows += batch.size();
  return rows;
}

}  // namespace cuminjunction
