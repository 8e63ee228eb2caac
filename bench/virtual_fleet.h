#ifndef BENCH_VIRTUAL_FLEET_H_
#define BENCH_VIRTUAL_FLEET_H_

// Workers in virtual time that carry out what the rows of a MemoryTable say:
// they start, throttle, checkpoint, stop and end tasks and renew leases.
//
//   VirtualFleet fleet(options, &charts, &table, &clock, behaviour);
//   fleet.AddTask(task);
//   clock.Advance(step); fleet.Step(step);
//
// How long a task takes and whether it fails is up to the bench.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "table/memory_table.h"
#include "task/transitions.h"

namespace cuminjunction {

struct VirtualFleetOptions {
  int workers = 44;
  Size capacity = {16000, 61440, 0};
};

// What happens to an attempt when it starts. A resumed attempt goes on where
// the checkpoint was written.
struct VirtualRun {
  // Work at a whole share of the task's processors.
  double seconds = 0;
  bool fails = false;
};

struct VirtualTask {
  TaskRow row;
  double seconds_left = 0;
  bool fails = false;
  double share = 1;
  AssignmentAction action = AssignmentAction::kRun;
};

class VirtualFleet {
 public:
  using Behaviour =
      std::function<VirtualRun(const TaskRow& task, const std::string& worker)>;

  VirtualFleet(const VirtualFleetOptions& options,
               const TaskCharts* charts,
               MemoryTable* table,
               const ManualClock* clock,
               Behaviour behaviour);

  // Creates a task's row.
  void AddTask(const TaskRow& task);

  // Creates a task's row that the worker with this number holds already.
  void AddPlaced(const TaskRow& task, int worker);

  // Does what is due after `step` has passed.
  void Step(absl::Duration step);

  // Running tasks by worker.
  const std::map<std::string, std::map<std::string, VirtualTask>>& Workers()
      const {
    return this->workers;
  }

  int64_t Starts() const { return this->starts; }
  int64_t Evictions() const { return this->evictions; }
  int64_t Finished() const { return this->finished; }
  // Attempts started by worker and by task.
  const std::map<std::string, int64_t>& StartsOfWorkers() const {
    return this->starts_of_workers;
  }
  const std::map<std::string, int>& StartsOfTasks() const {
    return this->starts_of_tasks;
  }
  // Processor-seconds of work done by finished tasks, at their declared size.
  double FinishedWork() const { return this->finished_work; }

 private:
  void FollowRows();
  void FollowWorker(const WorkerRow& worker);
  void StartTask(const WorkerRow& worker, const Assignment& assignment);
  void Progress(double seconds);
  void End(const std::string& worker, const VirtualTask& task);
  void Renew(absl::Duration step);
  void Commit(const Batch& batch);
  Batch NewBatch();

  VirtualFleetOptions options;
  const TaskCharts* charts;
  MemoryTable* table;
  const ManualClock* clock;
  Behaviour behaviour;
  std::map<std::string, std::map<std::string, VirtualTask>> workers;
  std::vector<std::string> ids;
  // Work that is left of tasks after their checkpoints, and all work of tasks.
  std::map<std::string, double> resume_seconds;
  std::map<std::string, double> whole_seconds;
  std::map<std::string, int64_t> starts_of_workers;
  std::map<std::string, int> starts_of_tasks;
  uint64_t cursor = 0;
  uint64_t transactions = 0;
  int64_t starts = 0;
  int64_t evictions = 0;
  int64_t finished = 0;
  double finished_work = 0;
  double renewals = 0;
  size_t next_renewal = 0;
};

}  // namespace cuminjunction

#endif  // BENCH_VIRTUAL_FLEET_H_
