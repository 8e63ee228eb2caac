#ifndef SUBMISSION_PREEMPTION_H_
#define SUBMISSION_PREEMPTION_H_

// Chooses the tasks to stop on one VM so that a long-running task fits.
//
//   auto choice = ChoosePreemption(step.size, FreeCapacity(worker),
//   candidates); if (choice && (!best || choice->cost < best->cost)) ...
//
// Load pattern: the VMs are full of short urgent tasks and of large batch tasks
// when a submission of many long-running tasks arrives. Stopping the tasks that
// have run for the shortest time hits the short urgent ones, which then miss
// their objectives, and filling tasks, which free no processors. Tasks that are
// about to end are awaited: a long-running task loses less by a second's delay
// than a short one by a restart. Then tasks of less urgent queues are stopped
// first, and among these the ones that lose the least work.

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "submission/types.h"

namespace cuminjunction {

struct PreemptionCandidate {
  TaskRef task;
  // What the runner gains when the task has ended.
  Size freed;
  // Priority of the task's queue; 0 is the most urgent.
  int64_t priority = 0;
  // Work that has to be done again, in millicore-milliseconds.
  int64_t lost_work = 0;
  // The task is expected to end within kMaxAwaitedEnd.
  bool ends_soon = false;
};

// A task with less estimated time left is not stopped for a long-running one.
// The platform's rules allow a long-running task to be without a run for 3 s
// beyond 4 calm ones while there is capacity.
inline constexpr absl::Duration kMaxAwaitedEnd = absl::Seconds(1);

// Orders choices: the lowest hits the least urgent queues and loses the least
// work.
struct PreemptionCost {
  // The negated priority of the most urgent task that is stopped.
  int64_t urgency = 0;
  int64_t lost_work = 0;

  auto operator<=>(const PreemptionCost&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

struct PreemptionChoice {
  // Tasks to stop; none if it suffices to await the ends of others.
  std::vector<TaskRef> victims;
  PreemptionCost cost;
};

// Returns the tasks to stop so that `needed` fits into the free capacity once
// they and those that end soon have ended. None of them could be left out.
// Returns no value if all candidates together do not suffice.
std::optional<PreemptionChoice> ChoosePreemption(
    const Size& needed,
    const Size& free_capacity,
    std::vector<PreemptionCandidate> candidates);

}  // namespace cuminjunction

#endif  // SUBMISSION_PREEMPTION_H_
