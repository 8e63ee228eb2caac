#ifndef TASK_ROW_H_
#define TASK_ROW_H_

// Rows of the task core in the platform's table.
//
//   task/<id>       TaskRow     one task, an instance of a job or a service
//   worker/<id>     WorkerRow   one worker with what is assigned to it
//   owner/<name>    OwnerRow    expansion of one job or service into tasks
//   planner/<name>  PlannerRow  lease that keeps planners from colliding
//
// Row values are JSON objects:
//
//   Row row = table.Read(TaskKey("packing-plan.1.0")).value();
//   Result<TaskRow> task = ParseTask(row);
//   write = {row.key, ToText(task.value())};
//
// A task that holds capacity names its worker, and that worker's row lists the
// task in its assignments with the same attempt. Both rows change in one
// transaction, so the sum of the assignments is what the worker has committed.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "config/document.h"
#include "table/table.h"

namespace cuminjunction {

enum class RowError {
  // The key does not belong to this kind of row.
  kWrongKey = 1,
  kNotJson,
  kMissingField,
  kBadField,
};

template <>
struct ErrorTraits<RowError> {
  static constexpr const char* kCategory = "row";
  static std::string_view Message(RowError error);
};

// States of charts/task.yaml.
enum class TaskState : uint8_t {
  kBlocked = 0,
  kPending,
  kStarting,
  kRunning,
  kCheckpointing,
  kStopped,
  kResumed,
  kFailed,
  kParked,
  kFinished,
  kCancelled,
};

// States of charts/worker.yaml.
enum class WorkerState : uint8_t {
  kReady = 0,
  kDraining,
  kSuspect,
  kFenced,
};

enum class TaskKind : uint8_t { kReplica = 0, kWatcher = 1, kBatch = 2 };

// The names that the charts and the row values use.
const std::string& ToString(TaskState state);
const std::string& ToString(WorkerState state);
const std::string& ToString(TaskKind kind);
Result<TaskState> ParseTaskState(std::string_view text);
Result<WorkerState> ParseWorkerState(std::string_view text);

// Reason why a task is parked. It decides whether the planner may retry the
// task without an operator.
enum class ParkReason : uint8_t {
  kNone = 0,
  // The task reached its maximum number of failed attempts.
  kFailures,
  // No worker is large enough for the task, even when empty.
  kNoWorkerFits,
  // A job or service that the task depends on failed.
  kDependencyFailed,
  kOperator,
};

const std::string& ToString(ParkReason reason);

struct TaskRow {
  std::string id;
  std::string account;
  // Job or service that the task is an instance of.
  std::string owner;
  TaskKind kind = TaskKind::kBatch;
  Urgency urgency = Urgency::kBatch;
  Size size;
  std::string command;
  std::vector<std::string> depends_on;
  // Time of creation in microseconds; older tasks of an account are
  // placed first.
  int64_t created_us = 0;
  // Configuration version that the declaration comes from.
  uint64_t config_version = 0;

  TaskState state = TaskState::kBlocked;
  // Number of the newest attempt; 0 before the first one.
  uint32_t attempt = 0;
  // Worker that holds capacity for the newest attempt; empty when none does.
  std::string worker;
  // Checkpoint to resume from; empty when there is none.
  std::string resume_object;
  std::string output_object;
  // Wall-clock time of the newest placement.
  int64_t placed_us = 0;
  // Wall-clock time before which the task is not placed again.
  int64_t not_before_us = 0;
  // Workers on which attempts failed, oldest first. `failures` also counts
  // those that have been dropped from the list.
  std::vector<std::string> failed_on;
  uint32_t failures = 0;
  uint32_t evictions = 0;
  ParkReason park_reason = ParkReason::kNone;
  // Cause of the latest state change, shown to operators.
  std::string reason;
  // Id of the transaction that wrote the row.
  std::string transaction;

  bool operator==(const TaskRow&) const = default;

  // True when the task exists as one named instance, which must not run twice
  // and is stopped at the lease's stop deadline.
  bool IsExclusive() const { return this->kind != TaskKind::kReplica; }

  // True when the task's worker has capacity committed for it.
  bool HoldsCapacity() const { return !this->worker.empty(); }

  bool IsWaiting() const {
    return this->state == TaskState::kPending ||
           this->state == TaskState::kStopped ||
           this->state == TaskState::kFailed;
  }

  bool IsPlaced() const {
    return this->state == TaskState::kStarting ||
           this->state == TaskState::kRunning ||
           this->state == TaskState::kResumed;
  }

  bool IsFinal() const {
    return this->state == TaskState::kFinished ||
           this->state == TaskState::kCancelled;
  }
};

// Action that the planner requests from the worker for an assigned attempt.
enum class AssignmentAction : uint8_t {
  kRun = 0,
  // Checkpoint, stop and report.
  kEvict = 1,
  // Stop and report.
  kStop = 2,
};

// An attempt that a worker has capacity committed for.
struct Assignment {
  std::string task;
  uint32_t attempt = 0;
  Size size;
  // Lease epoch of the worker when the attempt was assigned. The assignment is
  // lost when the worker row's epoch is newer.
  uint64_t epoch = 0;
  AssignmentAction action = AssignmentAction::kRun;
  // Share of its processors that the task may use, in percent.
  int32_t share_percent = 100;

  bool operator==(const Assignment&) const = default;
};

struct WorkerRow {
  std::string id;
  Size capacity;
  std::string failure_domain;
  std::string rack;
  std::string region;
  std::string boot_id;
  // Lease epoch. Increases when the worker is fenced and when it registers
  // again.
  uint64_t epoch = 0;
  // Increases with each lease renewal.
  uint64_t sequence = 0;
  // Wall-clock time at which the lease expires, for operators only: observers
  // measure expiry from the time at which they first saw the sequence number.
  int64_t lease_deadline_us = 0;
  WorkerState state = WorkerState::kReady;
  // True when an operator has requested that the worker be drained; stays set
  // when the worker is fenced.
  bool drain_requested = false;
  std::vector<Assignment> assignments;
  std::string transaction;

  bool operator==(const WorkerRow&) const = default;

  // Sum of the assignments.
  Size Committed() const;
  Size Free() const { return this->capacity - this->Committed(); }

  const Assignment* Find(const std::string& task) const;
};

// Expansion of a job or a service into tasks. Planners create and remove its
// tasks under the row's version, so that two planners never expand it twice.
struct OwnerRow {
  std::string name;
  TaskKind kind = TaskKind::kBatch;
  // Increases each time the name is declared again after it was removed, so
  // that task ids are never reused.
  uint64_t generation = 0;
  // Index of the next task to create.
  int64_t next_index = 0;
  // Configuration version at which the declaration was last acted on. A planner
  // with an older configuration leaves the row alone.
  uint64_t config_version = 0;
  // Checksum of that declaration.
  uint32_t declaration = 0;
  bool removed = false;
  // An operator has stopped the job or service: its tasks are checkpointed and
  // parked.
  bool stopped = false;
  std::string transaction;

  bool operator==(const OwnerRow&) const = default;
};

// Lease of a planner. It only reduces conflicts between planners. Correctness
// does not depend on it: each commit checks the versions of the rows that it
// changes.
struct PlannerRow {
  std::string name;
  std::string holder;
  int64_t deadline_us = 0;
  std::string transaction;

  bool operator==(const PlannerRow&) const = default;
};

inline constexpr std::string_view kTaskPrefix = "task/";
inline constexpr std::string_view kWorkerPrefix = "worker/";
inline constexpr std::string_view kOwnerPrefix = "owner/";
inline constexpr std::string_view kPlannerPrefix = "planner/";

std::string TaskKey(std::string_view id);
std::string WorkerKey(std::string_view id);
std::string OwnerKey(std::string_view name);
std::string PlannerKey(std::string_view name);

std::string ToText(const TaskRow& row);
std::string ToText(const WorkerRow& row);
std::string ToText(const OwnerRow& row);
std::string ToText(const PlannerRow& row);

// Parse a row that is not deleted. Fail with a RowError.
Result<TaskRow> ParseTask(const Row& row);
Result<WorkerRow> ParseWorker(const Row& row);
Result<OwnerRow> ParseOwner(const Row& row);
Result<PlannerRow> ParsePlanner(const Row& row);

// A row value with the version at which it was read; version 0 means that the
// row does not exist.
template <class T>
struct Versioned {
  T row;
  uint64_t version = 0;

  bool operator==(const Versioned&) const = default;
};

using TaskEntry = Versioned<TaskRow>;
using WorkerEntry = Versioned<WorkerRow>;
using OwnerEntry = Versioned<OwnerRow>;

}  // namespace cuminjunction

#endif  // TASK_ROW_H_
