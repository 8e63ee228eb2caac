#ifndef TASK_OPERATE_H_
#define TASK_OPERATE_H_

// Operators' actions on tasks, jobs and workers.
//
//   Operator op(&charts, "entry-1", &table);
//   Status drained = op.DrainWorker("w7");
//
// Each action reads the rows, applies one transition and commits it. After a
// conflict with a planner or an agent it is retried on the new rows. Errors:
// TableError (kNotFound when there is no such row, kUnavailable,
// kUnknownOutcome), ChartError::kNoTransition when the row's state does not
// allow the action, and OperateError::kBusy after too many conflicts. Actions
// are idempotent, so they may be repeated after kUnknownOutcome.

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/strings.h"
#include "table/table.h"
#include "task/transitions.h"

namespace cuminjunction {

enum class OperateError {
  // Other changes of the rows conflicted with every attempt.
  kBusy = 1,
};

template <>
struct ErrorTraits<OperateError> {
  static constexpr const char* kCategory = "operate";
  static std::string_view Message(OperateError error);
};

template <Table T>
class Operator {
 public:
  // The pointers must outlive the operator; `process` is unique among
  // processes and restarts.
  Operator(const TaskCharts* charts, std::string process, T* table)
      : charts(charts), process(std::move(process)), table(table) {}

  // Cancels a task permanently. Succeeds when it is already cancelled.
  Status CancelTask(const std::string& id, std::string_view reason) {
    return this->CommitWithRetry([&](Batch* batch) -> Status {
      BOOST_OUTCOME_TRY(task, this->ReadTask(id));
      if (task.row.state == TaskState::kCancelled)
        return Ok();
      return this->AddCancel(task, reason, batch);
    });
  }

  // Cancels the tasks, many in a transaction. Tasks that are in a final state,
  // or that do not exist, are skipped. Returns the number cancelled.
  Result<int64_t> CancelTasks(const std::vector<std::string>& ids,
                              std::string_view reason) {
    int64_t cancelled = 0;
    for (size_t begin = 0; begin < ids.size(); begin += kTasksPerBatch) {
      const size_t end = std::min(ids.size(), begin + kTasksPerBatch);
      int64_t in_batch = 0;
      BOOST_OUTCOME_TRY(this->CommitWithRetry([&](Batch* batch) -> Status {
        in_batch = 0;
        for (size_t i = begin; i < end; ++i) {
          const Result<TaskEntry> task = this->ReadTask(ids[i]);
          if (!task && task.error() != TableError::kNotFound)
            return task.error();
          if (!task || task.value().row.IsFinal())
            continue;
          BOOST_OUTCOME_TRY(this->AddCancel(task.value(), reason, batch));
          ++in_batch;
        }
        return Ok();
      }));
      cancelled += in_batch;
    }
    return cancelled;
  }

  // Returns a parked task to the waiting tasks.
  Status RetryTask(const std::string& id) {
    return this->CommitWithRetry([&](Batch* batch) -> Status {
      BOOST_OUTCOME_TRY(task, this->ReadTask(id));
      return Retry(task, batch);
    });
  }

  // Stops a job or service, or resumes it. Planners checkpoint and park the
  // tasks of a stopped one.
  Status SetStopped(const std::string& name, bool stopped) {
    return this->CommitWithRetry([&](Batch* batch) -> Status {
      BOOST_OUTCOME_TRY(row, this->table->Read(OwnerKey(name)));
      BOOST_OUTCOME_TRY(owner, ParseOwner(row));
      const OwnerEntry entry = {owner, row.version};
      owner.stopped = stopped;
      batch->Set(entry, owner);
      return Ok();
    });
  }

  // Requests that planners move all work off a worker. It gets no new work
  // until it is readmitted.
  Status DrainWorker(const std::string& id) {
    return this->CommitWithRetry([&](Batch* batch) -> Status {
      BOOST_OUTCOME_TRY(worker, this->ReadWorker(id));
      if (worker.row.drain_requested)
        return Ok();
      return Drain(worker, batch);
    });
  }

  Status ReadmitWorker(const std::string& id) {
    return this->CommitWithRetry([&](Batch* batch) -> Status {
      BOOST_OUTCOME_TRY(worker, this->ReadWorker(id));
      if (worker.row.state == WorkerState::kReady)
        return Ok();
      return Readmit(worker, batch);
    });
  }

  // Drains all workers of a rack. Returns their number.
  Result<int64_t> DrainRack(const std::string& rack) {
    std::vector<std::string> ids;
    uint64_t cursor = 0;
    for (;;) {
      BOOST_OUTCOME_TRY(page, this->table->ScanSince(std::string(kWorkerPrefix),
                                                     cursor, kPageSize));
      for (const Row& row : page) {
        cursor = std::max(cursor, row.version);
        const Result<WorkerRow> worker = ParseWorker(row);
        if (worker && worker.value().rack == rack)
          ids.push_back(worker.value().id);
      }
      if (page.size() < static_cast<size_t>(kPageSize))
        break;
    }
    for (const std::string& id : ids) {
      BOOST_OUTCOME_TRY(this->DrainWorker(id));
    }
    return static_cast<int64_t>(ids.size());
  }

 private:
  // Cancelling a task may also write its worker's row, and a transaction is
  // limited to 100 rows.
  static constexpr size_t kTasksPerBatch = 48;
  static constexpr int kPageSize = 500;
  static constexpr int kMaxAttempts = 20;

  // Cancels the task in the batch, with its worker's row if it has a worker.
  Status AddCancel(const TaskEntry& task,
                   std::string_view reason,
                   Batch* batch) {
    if (!task.row.HoldsCapacity())
      return Cancel(task, nullptr, reason, batch);
    const auto in_batch_worker = batch->Workers().find(task.row.worker);
    if (in_batch_worker != batch->Workers().end()) {
      const WorkerEntry worker = in_batch_worker->second;
      return Cancel(task, &worker, reason, batch);
    }
    BOOST_OUTCOME_TRY(worker, this->ReadWorker(task.row.worker));
    return Cancel(task, &worker, reason, batch);
  }

  // Runs `step` on a new batch and commits it; starts over after a conflict.
  template <class F>
  Status CommitWithRetry(F step) {
    for (int i = 0; i < kMaxAttempts; ++i) {
      Batch batch(this->charts, StrCat("operator-", this->process, "/",
                                       ++this->transaction_count));
      const Status decided = step(&batch);
      // The rows were read one after another and may be of different times.
      if (!decided && decided.error() == TransitionError::kOldAttempt)
        continue;
      if (!decided)
        return decided.error();
      if (batch.size() == 0)
        return Ok();
      const Result<uint64_t> committed =
          this->table->Commit(batch.ToTransaction());
      if (committed)
        return Ok();
      if (committed.error() != TableError::kConflict)
        return committed.error();
    }
    return OperateError::kBusy;
  }

  Result<TaskEntry> ReadTask(const std::string& id) {
    BOOST_OUTCOME_TRY(row, this->table->Read(TaskKey(id)));
    BOOST_OUTCOME_TRY(task, ParseTask(row));
    return TaskEntry{std::move(task), row.version};
  }

  Result<WorkerEntry> ReadWorker(const std::string& id) {
    BOOST_OUTCOME_TRY(row, this->table->Read(WorkerKey(id)));
    BOOST_OUTCOME_TRY(worker, ParseWorker(row));
    return WorkerEntry{std::move(worker), row.version};
  }

  const TaskCharts* charts;
  std::string process;
  T* table;
  uint64_t transaction_count = 0;
};

}  // namespace cuminjunction

#endif  // TASK_OPERATE_H_
