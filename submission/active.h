#ifndef SUBMISSION_ACTIVE_H_
#define SUBMISSION_ACTIVE_H_

// A submission under way: its tasks and how far each is.
//
//   ActiveSubmission job = Activate(submission, queue, progress,
//   /*certain=*/false, now); for (uint32_t step : ReadySteps(job, 0)) ...
//   Progress row = ToProgress(job);

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "submission/policy.h"
#include "submission/progress.h"
#include "submission/rank.h"
#include "submission/types.h"

namespace cuminjunction {

enum class TaskPhase : uint8_t {
  kIdle,
  // A start was sent, or the task is known to run.
  kPlaced,
  kDone,
};

struct TaskSlot {
  TaskPhase phase = TaskPhase::kIdle;
  // False while a run that this planner has not heard of may exist.
  bool certain = true;
  // The highest run number that was used.
  uint32_t run = 0;
  // VM of the run, or of the last one.
  std::string vm;
  // When the run was ordered or first heard of.
  absl::Time since;
  // Not started before then.
  absl::Time not_before = absl::InfinitePast();
  std::vector<uint32_t> failed_runs;
  // VM where the last run failed.
  std::string failed_vm;
  std::string checkpoint;
};

struct StepSlots {
  std::vector<TaskSlot> tasks;
  uint32_t done = 0;
  uint32_t placed = 0;
  // When the planner first saw that the step may start.
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
};

struct ActiveSubmission {
  Submission submission;
  Queue queue;
  SubmissionState state = SubmissionState::kQueued;
  bool long_running = false;
  // What the boot clock was ahead of the system clock when it was added, for
  // times that callers state.
  absl::Duration clock_offset;
  // Occurrences that are due, in order.
  std::vector<OccurrenceSlots> occurrences;
  // The state is final and in the store, so that callers may be told.
  bool final_stored = false;
};

// The time of an occurrence by the boot clock: when it is due, or when the
// submission was accepted.
absl::Time DueTime(const ActiveSubmission& active, uint32_t occurrence);

// Starts from what is stored of its progress. `now` is of the boot clock and
// `wall` of the system clock, at the same moment.
ActiveSubmission Activate(const Submission& submission,
                          const Queue& queue,
                          const std::optional<Progress>& progress,
                          bool certain,
                          absl::Time now,
                          absl::Time wall);

// Adds the occurrences that are due. `certain` is for their tasks.
void AddDueOccurrences(ActiveSubmission* job, bool certain, absl::Time now);

// True when all steps that the step waits for are done.
bool IsReady(const ActiveSubmission& job,
             const OccurrenceSlots& slots,
             uint32_t step);

// True when every occurrence has been made and is done.
bool IsComplete(const ActiveSubmission& job);

// The task's slot, or null when the submission has no such task.
TaskSlot* FindSlot(ActiveSubmission* job, const TaskRef& task);

Progress ToProgress(const ActiveSubmission& job);

// Where an occurrence stands against its objective.
RankFacts FactsOf(const ActiveSubmission& job,
                  const OccurrenceSlots& slots,
                  absl::Time now);

}  // namespace cuminjunction

#endif  // SUBMISSION_ACTIVE_H_
