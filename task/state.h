#ifndef TASK_STATE_H_
#define TASK_STATE_H_

// A planner's in-memory copy of the rows, with indexes.
//
// The copy is updated with rows as they are read and with committed batches:
//
//   for (const Row& row : table.ScanSince("task/", cursor, 500).value())
//     state.Apply(row);
//
// The copy may be behind the table at any time. The cost is a conflict, never
// an incorrect commit, since each transition expects the row versions that it
// was decided on.
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

// Outcome of an attempt that finished or failed, as seen in a task row.
struct AttemptOutcome {
  std::string task;
  std::string owner;
  std::string account;
  std::string worker;
  bool failed = false;

  bool operator==(const AttemptOutcome&) const = default;
};

// Orders sizes for use as map keys.
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

  // Applies a row that was read. Ignores rows of other prefixes and rows that
  // are not newer than the copy. Fails with a RowError and then changes
  // nothing.
  Status Apply(const Row& row);

  // Applies a row that was re-read to undo a decision that was not committed.
  // Its version may equal that of the copy.
  Status Restore(const Row& row);

  // Removes a row that no longer exists in the table.
  void Remove(const std::string& key);

  // Applies one task row and one worker row of a batch that is not committed
  // yet; an empty id stands for none.
  void ApplyDecision(const Batch& batch,
                     const std::string& task,
                     const std::string& worker);

  // Applies the rows of a batch. The known versions stay as they are when
  // `version` is 0, which is the case before the batch is committed.
  void Apply(const Batch& batch, uint64_t version);

  // Null when unknown.
  const TaskEntry* FindTask(const std::string& id) const;
  const WorkerEntry* FindWorker(const std::string& id) const;
  const OwnerEntry* FindOwner(const std::string& name) const;

  // Tasks of a job or service; an empty value when there are none.
  const OwnerTasks& TasksOf(const std::string& owner) const;

  // Resources committed to an account's tasks.
  Size CommittedTo(const std::string& account) const;

  // Resources committed to tasks of an urgency, and the capacity of the workers
  // that are not fenced.
  const Size& CommittedTo(Urgency urgency) const {
    return this->committed_by_urgency[static_cast<size_t>(urgency)];
  }
  const Size& Capacity() const { return this->capacity; }

  // Moves failed tasks whose back-off has expired to the queues.
  void ReleaseExpiredBackoffs(absl::Time now);

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

  // Tasks parked because no worker is large enough.
  const std::set<std::string>& TasksWithoutFittingWorker() const {
    return this->no_worker_fits;
  }

  // Ready workers by free processors.
  const std::set<std::pair<int64_t, std::string>>& ByFreeCores() const {
    return this->by_free_cores;
  }

  // Ready workers with free accelerators, by their number.
  const std::set<std::pair<int64_t, std::string>>& ByFreeAccelerators() const {
    return this->by_free_accelerators;
  }

  // Ready workers, for random sampling.
  const std::vector<std::string>& ReadyWorkers() const { return this->ready; }

  // Workers with assignments of an older epoch.
  const std::set<std::string>& WorkersWithLostAssignments() const {
    return this->with_lost_assignments;
  }
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
  bool IsUpToDate(const Row& row) const;
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
  std::map<std::string, Size> committed_by_account;
  Size committed_by_urgency[kUrgencyCount];
  Size capacity;
  std::map<std::string, Queue> waiting[kUrgencyCount];
  std::map<Size, std::set<std::string>, SizeLess> waiting_sizes;
  // Tasks in back-off by its end, and the time up to which
  // ReleaseExpiredBackoffs() has run.
  Queue delayed;
  int64_t backoffs_released_until_us = 0;
  std::map<std::string, std::set<std::string>> dependents;
  std::set<std::string> no_worker_fits;
  std::set<std::pair<int64_t, std::string>> by_free_cores;
  std::set<std::pair<int64_t, std::string>> by_free_accelerators;
  std::vector<std::string> ready;
  std::unordered_map<std::string, size_t> ready_index;
  std::set<std::string> with_lost_assignments;
  std::set<std::string> draining;
  std::set<std::string> suspect;
  // Rack and failure domain that a placed task was counted under; its worker's
  // row may change while it runs.
  std::unordered_map<std::string, std::pair<std::string, std::string>>
      counted_locations;
  // Number of workers by capacity.
  std::map<Size, int, SizeLess> capacities;
  uint64_t capacity_changes = 0;
  std::set<std::string> changed_owners;
  std::vector<AttemptOutcome> outcomes;
};

}  // namespace cuminjunction

#endif  // TASK_STATE_H_
