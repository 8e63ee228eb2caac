#ifndef TASK_BATCH_H_
#define TASK_BATCH_H_

// Decisions that are committed in one transaction.
//
// A batch collects working copies of rows. Each transition (see
// task/transitions.h) reads the copies, so a later decision of the batch sees
// the earlier ones. A refused transition leaves the copies unchanged:
//
//   Batch batch(&charts, "planner-7/42");
//   Status placed = Place(task, worker, now, PlaceMode::kNormal, &batch);
//   Result<uint64_t> version = table.Commit(batch.ToTransaction());
//   for (const auto& [id, entry] : batch.Tasks()) ...   // the new rows

#include <map>
#include <string>

#include "table/table.h"
#include "task/charts.h"
#include "task/row.h"

namespace cuminjunction {

class Batch {
 public:
  // `charts` must outlive the batch. `transaction` is the id of the transaction
  // and is recorded in each row.
  Batch(const TaskCharts* charts, std::string transaction);

  const TaskCharts& Charts() const { return *this->charts; }

  // The batch's copy of a row if it has one, else the given row.
  const TaskEntry& Current(const TaskEntry& entry) const;
  const WorkerEntry& Current(const WorkerEntry& entry) const;
  const OwnerEntry& Current(const OwnerEntry& entry) const;

  // Sets the row to write. The commit expects the version of `entry`.
  void Set(const TaskEntry& entry, TaskRow row);
  void Set(const WorkerEntry& entry, WorkerRow row);
  void Set(const OwnerEntry& entry, OwnerRow row);

  // Deletes a task row.
  void Delete(const TaskEntry& entry);

  const std::map<std::string, TaskEntry>& Tasks() const { return this->tasks; }
  const std::map<std::string, WorkerEntry>& Workers() const {
    return this->workers;
  }
  const std::map<std::string, OwnerEntry>& Owners() const {
    return this->owners;
  }
  const std::map<std::string, uint64_t>& Deleted() const {
    return this->deleted;
  }

  // Number of rows written.
  size_t size() const {
    return this->tasks.size() + this->workers.size() + this->owners.size() +
           this->deleted.size();
  }

  const std::string& Id() const { return this->id; }

  Transaction ToTransaction() const;

 private:
  const TaskCharts* charts;
  std::string id;
  // New rows, each with the version that the stored row must have.
  std::map<std::string, TaskEntry> tasks;
  std::map<std::string, WorkerEntry> workers;
  std::map<std::string, OwnerEntry> owners;
  // Ids of deleted tasks, each with the version that the stored row must have.
  std::map<std::string, uint64_t> deleted;
};

}  // namespace cuminjunction

#endif  // TASK_BATCH_H_
