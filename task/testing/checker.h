#ifndef TASK_TESTING_CHECKER_H_
#define TASK_TESTING_CHECKER_H_

// Checks the invariants of the task core against the attempts that the runtimes
// execute and against every change of the rows.
//
//   P1  The tasks that a VM runs, and those that its worker row assigns, fit in
//       the capacity of the VM.
//   P2  No task runs in two places at the same time.
//   P3  No attempt is executed twice. Finished and cancelled tasks keep their
//       state, and a finished task has the output of its newest attempt.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/strings.h"
#include "table/memory_table.h"
#include "task/row.h"
#include "task/testing/fake_runtime.h"

namespace cuminjunction {

class InvariantChecker {
 public:
  explicit InvariantChecker(MemoryTable* table) : table(table) {}

  // Checks the runtimes, keyed by worker, and the rows that have changed since
  // the last call.
  void Check(const std::map<std::string, const FakeRuntime*>& runtimes,
             const Size& capacity) {
    this->CheckRuntimes(runtimes, capacity);
    this->CheckExecutions(runtimes);
    this->CheckRows();
  }

  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  const std::map<std::string, TaskRow>& Tasks() const { return this->tasks; }
  const std::map<std::string, WorkerRow>& Workers() const {
    return this->workers;
  }

  void AddViolation(const std::string& violation) {
    if (this->violations.size() < kMaxViolations)
      this->violations.push_back(violation);
  }

 private:
  static constexpr size_t kMaxViolations = 5;

  void CheckRuntimes(const std::map<std::string, const FakeRuntime*>& runtimes,
                     const Size& capacity) {
    std::set<std::string> running;
    for (const auto& [worker, runtime] : runtimes) {
      Size sum;
      for (const TaskStart& start : runtime->Running()) {
        sum = sum + start.size;
        if (!running.insert(start.task).second)
          this->AddViolation(StrCat("P2: ", start.task, " runs in two places"));
      }
      if (!Fits(sum, capacity))
        this->AddViolation(
            StrCat("P1: ", worker, " runs tasks beyond its capacity"));
    }
  }

  void CheckExecutions(
      const std::map<std::string, const FakeRuntime*>& runtimes) {
    for (const auto& [worker, runtime] : runtimes) {
      const auto& executions = runtime->Executions();
      size_t& seen = this->seen_executions[worker];
      for (; seen < executions.size(); ++seen) {
        const Execution& one = executions[seen];
        if (!this->executed.insert({one.task, one.attempt}).second)
          this->AddViolation(StrCat("P3: attempt ", one.attempt, " of ",
                                    one.task, " is executed twice"));
      }
    }
  }

  void CheckRows() {
    for (;;) {
      const std::vector<Row> rows =
          this->table->ScanSince("", this->cursor, kPage).value();
      for (const Row& row : rows) {
        this->cursor = std::max(this->cursor, row.version);
        if (row.key.starts_with(kTaskPrefix))
          this->CheckTask(row);
        else if (row.key.starts_with(kWorkerPrefix))
          this->CheckWorker(row);
      }
      if (rows.empty())
        break;
    }
    for (const auto& [id, worker] : this->workers) {
      for (const Assignment& assignment : worker.assignments)
        this->CheckRowConsistency(worker, assignment);
    }
  }

  void CheckTask(const Row& row) {
    if (row.deleted) {
      this->tasks.erase(row.key.substr(kTaskPrefix.size()));
      return;
    }
    const TaskRow task = ParseTask(row).value();
    const auto found = this->tasks.find(task.id);
    if (found != this->tasks.end())
      this->CheckTransition(found->second, task);
    this->tasks[task.id] = task;
  }

  void CheckTransition(const TaskRow& before, const TaskRow& after) {
    if (before.IsFinal() && after.state != before.state)
      this->AddViolation(StrCat("P3: ", after.id, " left the final state ",
                                ToString(before.state)));
    if (after.attempt < before.attempt)
      this->AddViolation(
          StrCat("P3: attempt number of ", after.id, " decreased"));
    if (before.HoldsCapacity() && after.HoldsCapacity() &&
        before.attempt != after.attempt)
      this->CheckReassignment(before);
    if (after.state == TaskState::kFinished &&
        after.output_object != StrCat("output/", after.id, "/", after.attempt))
      this->AddViolation(
          StrCat("P3: ", after.id, " has the output of another attempt"));
  }

  // Checks a task that held capacity and got a new attempt in one commit. This
  // is allowed only if the epoch of its worker has increased since the old
  // attempt was assigned.
  void CheckReassignment(const TaskRow& before) {
    const Row row = this->table->Read(WorkerKey(before.worker)).value();
    const WorkerRow now = ParseWorker(row).value();
    const Assignment* old = this->workers.at(before.worker).Find(before.id);
    if (old == nullptr || old->attempt != before.attempt ||
        old->epoch >= now.epoch)
      this->AddViolation(
          StrCat("P2: ", before.id, " got a new attempt while it was placed"));
  }

  void CheckWorker(const Row& row) {
    const WorkerRow worker = ParseWorker(row).value();
    if (!Fits(worker.Committed(), worker.capacity))
      this->AddViolation(
          StrCat("P1: ", worker.id, " is committed beyond its capacity"));
    this->workers[worker.id] = worker;
  }

  void CheckRowConsistency(const WorkerRow& worker,
                           const Assignment& assignment) {
    const auto found = this->tasks.find(assignment.task);
    if (found == this->tasks.end() || found->second.worker != worker.id ||
        found->second.attempt != assignment.attempt)
      this->AddViolation(StrCat("P1: task row and worker row disagree about ",
                                assignment.task));
  }

  static constexpr int kPage = 1000;

  MemoryTable* table;
  uint64_t cursor = 0;
  std::map<std::string, TaskRow> tasks;
  std::map<std::string, WorkerRow> workers;
  std::set<std::pair<std::string, uint32_t>> executed;
  std::map<std::string, size_t> seen_executions;
  std::vector<std::string> violations;
};

}  // namespace cuminjunction

#endif  // TASK_TESTING_CHECKER_H_
