#ifndef TASK_TESTING_CHECKER_H_
#define TASK_TESTING_CHECKER_H_

// Checks the promises of the task core against what the runtimes really do and
// against every change of the rows.
//
//   P1  no VM runs, and no worker row commits, more than the VM has
//   P2  no task runs in two places
//   P3  no attempt is executed twice; finished and cancelled tasks stay so, and
//       a finished task has the output of its newest attempt

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

class Checker {
 public:
  explicit Checker(MemoryTable* table) : table(table) {}

  // Looks at the runtimes, by worker, and at the rows changed since the last
  // call.
  void Check(const std::map<std::string, const FakeRuntime*>& runtimes,
             const Size& capacity) {
    this->CheckRuntimes(runtimes, capacity);
    this->CheckExecutions(runtimes);
    this->CheckRows();
  }

  const std::vector<std::string>& Broken() const { return this->broken; }
  const std::map<std::string, TaskRow>& Tasks() const { return this->tasks; }
  const std::map<std::string, WorkerRow>& Workers() const {
    return this->workers;
  }

  void Break(const std::string& what) {
    if (this->broken.size() < kMostBroken)
      this->broken.push_back(what);
  }

 private:
  static constexpr size_t kMostBroken = 5;

  void CheckRuntimes(const std::map<std::string, const FakeRuntime*>& runtimes,
                     const Size& capacity) {
    std::set<std::string> running;
    for (const auto& [worker, runtime] : runtimes) {
      Size sum;
      for (const TaskStart& start : runtime->Running()) {
        sum = sum + start.size;
        if (!running.insert(start.task).second)
          this->Break(StrCat("P2: ", start.task, " runs in two places"));
      }
      if (!Fits(sum, capacity))
        this->Break(StrCat("P1: ", worker, " runs more than it has"));
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
          this->Break(StrCat("P3: attempt ", one.attempt, " of ", one.task,
                             " is executed twice"));
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
        this->CheckAgreement(worker, assignment);
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
      this->CheckChange(found->second, task);
    this->tasks[task.id] = task;
  }

  void CheckChange(const TaskRow& before, const TaskRow& after) {
    if (before.IsFinal() && after.state != before.state)
      this->Break(StrCat("P3: ", after.id, " left ", ToString(before.state)));
    if (after.attempt < before.attempt)
      this->Break(StrCat("P3: attempts of ", after.id, " go backwards"));
    if (before.HoldsCapacity() && after.HoldsCapacity() &&
        before.attempt != after.attempt)
      this->CheckMove(before);
    if (after.state == TaskState::kFinished &&
        after.output_object != StrCat("output/", after.id, "/", after.attempt))
      this->Break(
          StrCat("P3: ", after.id, " has the output of another attempt"));
  }

  // A task that held capacity has got a new attempt in one commit. That is
  // right only if its worker's epoch has grown since the old attempt was
  // assigned.
  void CheckMove(const TaskRow& before) {
    const Row row = this->table->Read(WorkerKey(before.worker)).value();
    const WorkerRow now = ParseWorker(row).value();
    const Assignment* old = this->workers.at(before.worker).Find(before.id);
    if (old == nullptr || old->attempt != before.attempt ||
        old->epoch >= now.epoch)
      this->Break(StrCat("P2: ", before.id, " moved while it was placed"));
  }

  void CheckWorker(const Row& row) {
    const WorkerRow worker = ParseWorker(row).value();
    if (!Fits(worker.Committed(), worker.capacity))
      this->Break(
          StrCat("P1: ", worker.id, " is committed beyond its capacity"));
    this->workers[worker.id] = worker;
  }

  void CheckAgreement(const WorkerRow& worker, const Assignment& assignment) {
    const auto found = this->tasks.find(assignment.task);
    if (found == this->tasks.end() || found->second.worker != worker.id ||
        found->second.attempt != assignment.attempt)
      this->Break(StrCat("P1: rows disagree about ", assignment.task));
  }

  static constexpr int kPage = 1000;

  MemoryTable* table;
  uint64_t cursor = 0;
  std::map<std::string, TaskRow> tasks;
  std::map<std::string, WorkerRow> workers;
  std::set<std::pair<std::string, uint32_t>> executed;
  std::map<std::string, size_t> seen_executions;
  std::vector<std::string> broken;
};

}  // namespace cuminjunction

#endif  // TASK_TESTING_CHECKER_H_
