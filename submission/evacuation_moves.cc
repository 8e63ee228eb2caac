#include "submission/evacuation_moves.h"

#include <algorithm>

#include "submission/crash.h"

namespace cuminjunction {

void DelayWork(Worker* worker, absl::Time now) {
  for (auto& [task, placed] : worker->placed)
    placed.works_from = std::max(placed.works_from, now + kStartUpTime);
}

bool IsAvailable(const TaskSlot& slot,
                 const TaskRef& task,
                 const WorkersByVm& workers,
                 absl::Time now) {
  if (slot.phase != TaskPhase::kPlaced)
    return false;
  const auto found = workers.find(slot.vm);
  if (found == workers.end())
    return false;
  const Worker& worker = *found->second;
  const auto placed = worker.placed.find(task);
  return worker.synced && worker.usable && placed != worker.placed.end() &&
         placed->second.run == slot.run && !placed->second.stopping &&
         !placed->second.stop_ordered && placed->second.works_from <= now;
}

bool MayStop(const MoveCandidate& candidate,
             const WorkersByVm& workers,
             absl::Time now) {
  const Step& step = *candidate.step;
  const std::vector<TaskSlot>& tasks = candidate.slots->tasks;
  const TaskSlot& stopped = tasks[candidate.task.index];
  // A run whose stop may have been lost may be stopped again: it counts as
  // unavailable already.
  const auto placed = candidate.worker->placed.find(candidate.task);
  if (step.gang || IsSuspect(stopped.crashes) ||
      placed == candidate.worker->placed.end() || placed->second.stopping ||
      placed->second.works_from > now ||
      !IsPlacedOn(stopped, candidate.worker->vm, placed->second.run))
    return false;
  uint32_t unavailable = 1;
  TaskRef other = candidate.task;
  for (uint32_t index = 0; index < tasks.size(); ++index) {
    if (unavailable > step.max_unavailable)
      return false;
    other.index = index;
    if (index != candidate.task.index &&
        !IsAvailable(tasks[index], other, workers, now))
      ++unavailable;
  }
  return unavailable <= step.max_unavailable;
}

}  // namespace cuminjunction
