#ifndef TASK_STATE_H_
#define TASK_STATE_H_

// A planner's picture of the rows in memory.
//
// The picture is fed with rows as they are read and with what was committed:
//
//   for (const Row& row : table.ScanSince("task/", cursor, 500).value())
//     state.Apply(row);
//
// It may be behind the table at any time. That costs a conflict and never a
// promise, since each transition expects the versions that it was decided on.
//
// A planner also applies its own decisions before they are committed, so that
// the next decision sees them. When the commit fails, the planner re-reads the
// rows and applies them again, which undoes the decision here.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "config/document.h"
#include "table/table.h"
#include "task/batch.h"
#include "task/row.h"

namespace cuminjunction {

// Tasks of a job or service.
struct OwnerTasks {
  std::set<std::string> all;
  // Numbers of tasks that hold capacity, that have finished, that are parked
  // and that are neither finished nor cancelled.
  int64_t placed = 0;
  int64_t finished = 0;
  int64_t parked = 0;
  int64_t live = 0;
  // Tasks that hold capacity by rack and by failure domain.
  std::map<std::string, int> racks;
  std::map<std::string, int> failure_domains;
};

// How an attempt ended, as seen in a task row.
struct AttemptOutcome {
  std::string task;
  std::string owner;
  std::string account;
  std::string worker;
  bool failed = false;

  bool operator==(const AttemptOutcome&) const = default;
};

// An order of sizes for maps.
struct SizeLess {
  bool operator()(const Size& a, const Size& b) const {
    return std::tie(a.millicores, a.memory_mib, a.accelerators) <
           std::tie(b.millicores, b.memory_mib, b.accelerators);
  }
};

class State {
 public:
  // Ids of tasks in the order in which they are to be placed: time of creation,
  // then id.
  using Queue = std::set<std::pair<int64_t, std::string>>;

  // Takes a row that was read. Rows of other prefixes are ignored, and so are
  // rows that are not newer than the known ones. Fails with a RowError, and the
  // picture keeps what it had.
  Status Apply(const Row& row);

  // Takes a row that was read to undo a decision that was not committed: the
  // row may have the known version.
  Status Restore(const Row& row);

  // The row does not exist.
  void Remove(const std::string& key);

  // Takes one task row and one worker row of a batch that is not committed yet;
  // an empty id stands for none.
  void ApplyDecision(const Batch& batch,
                     const std::string& task,
                     const std::string& worker);

  // Takes the rows of a batch. The known versions stay as they are when
  // `version` is 0, which is the case before the batch is committed.
  void Apply(const Batch& batch, uint64_t version);

  // Null when unknown.
  const TaskEntry* FindTask(const std::string& id) const;
  const WorkerEntry* FindWorker(const std::string& id) const;
  const OwnerEntry* FindOwner(const std::string& name) const;

  // Tasks of a job or service; an empty value when there are none.
  const OwnerTasks& TasksOf(const std::string& owner) const;

  // Resources committed to an account's tasks.
  Size UseOf(const std::string& account) const;

  // Resources committed to tasks of an urgency, and the capacity of the workers
  // that are not fenced.
  const Size& UseOf(Urgency urgency) const {
    return this->use_by_urgency[static_cast<size_t>(urgency)];
  }
  const Size& Capacity() const { return this->capacity; }

  // Moves the failed tasks whose back-off has passed to the queues.
  void Wake(absl::Time now);

  // Waiting tasks by account, without those in back-off.
  const std::map<std::string, Queue>& Waiting(Urgency urgency) const {
    return this->waiting[static_cast<size_t>(urgency)];
  }

  size_t WaitingCount() const;

  // Waiting tasks, also those in back-off, by their size.
  const std::map<Size, std::set<std::string>, SizeLess>& WaitingSizes() const {
    return this->waiting_sizes;
  }

  // Tasks that are blocked, or parked because of a dependency, by the job or
  // service that they depend on.
  const std::map<std::string, std::set<std::string>>& Dependents() const {
    return this->dependents;
  }

  // Parked tasks that no worker could hold.
  const std::set<std::string>& Unfit() const { return this->unfit; }

  // Ready workers by free processors.
  const std::set<std::pair<int64_t, std::string>>& ByFreeCores() const {
    return this->by_free_cores;
  }

  // Ready workers with free accelerators, by their number.
  const std::set<std::pair<int64_t, std::string>>& ByFreeAccelerators() const {
    return this->by_free_accelerators;
  }

  // Ready workers, for samples at random.
  const std::vector<std::string>& ReadyWorkers() const { return this->ready; }

  // Workers with assignments of an older epoch.
  const std::set<std::string>& WorkersWithLost() const { return this->lost; }
  const std::set<std::string>& DrainingWorkers() const {
    return this->draining;
  }
  const std::set<std::string>& SuspectWorkers() const { return this->suspect; }

  const std::unordered_map<std::string, WorkerEntry>& Workers() const {
    return this->workers;
  }
  const std::unordered_map<std::string, TaskEntry>& Tasks() const {
    return this->tasks;
  }
  const std::map<std::string, OwnerEntry>& Owners() const {
    return this->owners;
  }

  // True when some known worker could hold the size if it were empty.
  bool CanEverFit(const Size& size) const;

  // Grows when capacity becomes free or a worker becomes ready.
  uint64_t CapacityChanges() const { return this->capacity_changes; }

  // Owners whose tasks changed since the last call.
  std::set<std::string> TakeChangedOwners();

  // Attempts that ended since the last call.
  std::vector<AttemptOutcome> TakeOutcomes();

 private:
  bool IsKnown(const Row& row) const;
  void PutTask(TaskEntry entry);
  void PutWorker(WorkerEntry entry);
  void IndexTask(const TaskRow& row, int sign);
  void IndexWaiting(const TaskRow& row, int sign);
  void IndexPlacement(const TaskRow& row, OwnerTasks* tasks, int sign);
  void IndexWorker(const WorkerRow& row, bool add);
  void RecordOutcome(const TaskRow& before, const TaskRow& after);
  void EraseTask(const std::string& id);

  std::unordered_map<std::string, TaskEntry> tasks;
  std::unordered_map<std::string, WorkerEntry> workers;
  std::map<std::string, OwnerEntry> owners;
  std::map<std::string, OwnerTasks> owner_tasks;
  std::map<std::string, Size> use;
  Size use_by_urgency[kUrgencyCount];
  Size capacity;
  std::map<std::string, Queue> waiting[kUrgencyCount];
  std::map<Size, std::set<std::string>, SizeLess> waiting_sizes;
  // Tasks in back-off by its end, and the time up to which Wake() has run.
  Queue delayed;
  int64_t awake_until_us = 0;
  std::map<std::string, std::set<std::string>> dependents;
  std::set<std::string> unfit;
  std::set<std::pair<int64_t, std::string>> by_free_cores;
  std::set<std::pair<int64_t, std::string>> by_free_accelerators;
  std::vector<std::string> ready;
  std::unordered_map<std::string, size_t> ready_index;
  std::set<std::string> lost;
  std::set<std::string> draining;
  std::set<std::string> suspect;
  // Rack and failure domain that a placed task was counted under; its worker's
  // row may change while it runs.
  std::unordered_map<std::string, std::pair<std::string, std::string>> places;
  // Number of workers by capacity.
  std::map<Size, int, SizeLess> capacities;
  uint64_t capacity_changes = 0;
  std::set<std::string> changed_owners;
  std::vector<AttemptOutcome> outcomes;
};

}  // namespace cuminjunction

#endif  // TASK_STATE_H_
