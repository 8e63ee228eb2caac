#ifndef SUBMISSION_ACTIVE_H_
#define SUBMISSION_ACTIVE_H_

// A submission that has been added to the planner, with the state of each task.
//
//   ActiveSubmission active =
//       Activate(submission, queue, progress, {}, now, wall);
//   if (IsReady(active, active.occurrences[0], step)) ...
//   Progress row = ToProgress(active);

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "submission/crash.h"
#include "submission/policy.h"
#include "submission/progress.h"
#include "submission/rank.h"
#include "submission/types.h"

namespace cuminjunction {

enum class TaskPhase : uint8_t {
  kIdle,
  // A start was sent, or a runner has reported the run.
  kPlaced,
  kDone,
};

struct TaskSlot {
  TaskPhase phase = TaskPhase::kIdle;
  // False while a run may exist that this planner has no report of.
  bool resolved = true;
  // Number of the current run, or of the last one.
  uint32_t run = 0;
  // The highest run number used for the task, by this planner or an earlier
  // one.
  uint32_t highest_run = 0;
  // VM of the current run, or of the last one.
  std::string vm;
  // Time when the run was ordered or first reported.
  absl::Time placed_at;
  // Since when the task has had no run of which a runner has told; in the
  // future before it could first start.
  absl::Time without_run_since = absl::InfiniteFuture();
  // Starts that were refused since then.
  uint32_t refused_starts = 0;
  // The task is not started before this time.
  absl::Time not_before = absl::InfinitePast();
  std::vector<uint32_t> failed_runs;
  // VM where the last run failed.
  std::string failed_vm;
  // Crashes of runners that the task may have caused, and when the last one was
  // counted.
  std::vector<CrashRecord> crashes;
  absl::Time crashed_at = absl::InfinitePast();
  std::string checkpoint;
  // Stale runs of the task on all workers; see Worker::stale_runs. The task is
  // not started while there are any.
  uint32_t stale_runs = 0;
};

struct StepSlots {
  std::vector<TaskSlot> tasks;
  uint32_t done = 0;
  uint32_t placed = 0;
  // Time when the planner first found that the step may start.
  absl::Time ready_since = absl::InfiniteFuture();

  uint32_t Idle() const {
    return static_cast<uint32_t>(this->tasks.size()) - this->done -
           this->placed;
  }
};

struct OccurrenceSlots {
  absl::Time due;
  std::vector<StepSlots> steps;
  uint32_t steps_done = 0;
  // See RankInputs::admitted_by_age.
  bool admitted_by_age = false;
};

// Runs of a submission's tasks that other planners may have started before it
// was added.
struct PriorRuns {
  // True if no run can exist that this planner has no report of.
  bool resolved = true;
  // The highest run number that earlier planners can have used. The number
  // ranges of two planners never overlap, since the failures of a task are
  // identified by run number.
  uint32_t max_run = 0;
};

struct ActiveSubmission {
  Submission submission;
  Queue queue;
  SubmissionState state = SubmissionState::kQueued;
  bool long_running = false;
  // A runner has reported the start of a task. An ordered start does not count,
  // since its runner may have gone before receiving it.
  bool started = false;
  // Boot clock minus system clock at the time of Activate(); converts times
  // that callers state.
  absl::Duration clock_offset;
  // What earlier planners may have started of it, also of occurrences that
  // become due later: they may still be planning then.
  PriorRuns prior_runs;
  // Occurrences that are due, by number.
  std::vector<OccurrenceSlots> occurrences;
  // The final state is in the store, so that callers may see it.
  bool final_stored = false;
};

// Time of an occurrence by the boot clock: its due time, or the acceptance of a
// submission without a schedule.
absl::Time DueTime(const ActiveSubmission& active, uint32_t occurrence);

// Prior runs of a task of which nothing is stored, when planners of lower
// epochs may have started it.
PriorRuns UnresolvedRunsBefore(uint64_t epoch);

// Number of the runs up to this one that its planner can have started. No other
// planner uses their numbers.
uint32_t RunsOfPlannerUpTo(uint32_t run);

// Creates the state of a submission from its stored progress. `now` is of the
// boot clock and `wall` of the system clock, at the same moment.
ActiveSubmission Activate(const Submission& submission,
                          const Queue& queue,
                          const std::optional<Progress>& progress,
                          PriorRuns prior_runs,
                          absl::Time now,
                          absl::Time wall);

// Adds the occurrences that have become due.
void AddDueOccurrences(ActiveSubmission* active, absl::Time now);

// Adds the occurrences up to this one, if there are so many: another planner,
// by whose clock it was due, has started it.
void AddStartedOccurrences(ActiveSubmission* active, uint32_t occurrence);

// True if all steps that the step depends on are done.
bool IsReady(const ActiveSubmission& active,
             const OccurrenceSlots& slots,
             uint32_t step);

// True if all occurrences have become due and are done.
bool IsComplete(const ActiveSubmission& active);

// True if this run is the task's current one.
inline bool IsPlacedOn(const TaskSlot& slot,
                       const std::string& vm,
                       uint32_t run) {
  return slot.phase == TaskPhase::kPlaced && slot.vm == vm && slot.run == run;
}

// Records that the task's run has ended or is lost.
inline void NoteRunEnded(TaskSlot* slot, absl::Time now) {
  slot->without_run_since = now;
  slot->refused_starts = 0;
}

// Returns the task's slot, or null if the submission has no such task.
TaskSlot* FindSlot(ActiveSubmission* active, const TaskRef& task);

Progress ToProgress(const ActiveSubmission& active);

// Input of the ranking for one occurrence.
RankInputs RankInputsOf(const ActiveSubmission& active,
                        const OccurrenceSlots& slots,
                        absl::Time now);

}  // namespace cuminjunction

#endif  // SUBMISSION_ACTIVE_H_
