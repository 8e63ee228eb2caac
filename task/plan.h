#ifndef TASK_PLAN_H_
#define TASK_PLAN_H_

// The decisions of one round of a planner, as batches to commit.
//
//   Plan plan(&charts, &state, "planner-7", &counter);
//   Status placed = plan.Place("job.1.0", "w1", now, PlaceMode::kNormal);
//   for (Batch& batch : plan.TakeBatches()) ...   // commit
//
// Each decision is applied to the planner's state immediately. All decisions
// about a worker are in one batch, so no two batches of a plan write the same
// row, and a conflict about one worker does not revert decisions about others.
// A decision that would need rows of two batches, or exceed the size of one, is
// refused with kBusy and made again in the next round.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "task/state.h"
#include "task/transitions.h"

namespace cuminjunction {

enum class PlanError {
  // The rows belong to different batches of this plan, or the batch is full.
  kBusy = 1,
  kUnknownTask,
  kUnknownWorker,
};

template <>
struct ErrorTraits<PlanError> {
  static constexpr const char* kCategory = "plan";
  static std::string_view Message(PlanError error);
};

class Plan {
 public:
  // The arguments must outlive the plan. Transaction ids are
  // "<name>/<counter>".
  Plan(const TaskCharts* charts,
       State* state,
       std::string name,
       uint64_t* counter);

  Status Place(const std::string& task,
               const std::string& worker,
               absl::Time now,
               PlaceMode mode);
  Status Evict(const std::string& task, std::string_view reason);
  Status Throttle(const std::string& task, int32_t share_percent);
  Status Cancel(const std::string& task, std::string_view reason);
  Status Park(const std::string& task,
              ParkReason park_reason,
              std::string_view reason);
  Status Retry(const std::string& task);
  Status Unblock(const std::string& task);
  Status Redeclare(const std::string& task, const TaskRow& declared);
  Status Delete(const std::string& task);
  Status Fence(const std::string& worker, uint64_t sequence);
  Status ReleaseLost(const std::string& task, const std::string& worker);
  Status Suspect(const std::string& worker);
  Status Readmit(const std::string& worker);

  // Changes an owner's row and creates tasks of it in one batch.
  Status Expand(const OwnerEntry& owner,
                const OwnerRow& changed,
                const std::vector<TaskRow>& created);

  // Number of rows written by all batches.
  size_t RowCount() const;

  std::vector<Batch> TakeBatches() { return std::move(this->batches); }

 private:
  // Index of the batch for a decision about the task and the worker, or kBusy.
  // An empty id means that the decision has no task or no worker.
  Result<size_t> BatchFor(const std::string& task, const std::string& worker);
  size_t NewBatch();

  // Runs a transition on the batch for the rows and applies it to the state.
  template <class F>
  Status Decide(const std::string& task, const std::string& worker, F step);
  template <class F>
  Status DecideTask(const std::string& task, F step);
  template <class F>
  Status DecideWorker(const std::string& worker, F step);

  const TaskCharts* charts;
  State* state;
  std::string name;
  uint64_t* counter;
  std::vector<Batch> batches;
  std::map<std::string, size_t> task_batches;
  std::map<std::string, size_t> worker_batches;
  // The batch for decisions about tasks without a worker.
  std::optional<size_t> unassigned_batch;
};

}  // namespace cuminjunction

#endif  // TASK_PLAN_H_
