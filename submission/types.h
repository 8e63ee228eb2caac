#ifndef SUBMISSION_TYPES_H_
#define SUBMISSION_TYPES_H_

// Submissions: work that callers submit at run time.
//
// A submission goes to a queue and consists of steps. A step has tasks and may
// depend on earlier steps. A scheduled submission runs its steps several times;
// each time is an occurrence. A task is started as numbered runs, of which at
// most one exists at a time.
//
//   TaskRef task{"5c0e7a21d94b36f8", 0, 1, 17};

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/codec.h"
#include "config/document.h"

namespace cuminjunction {

// One step of a submission: `count` identical tasks.
struct Step {
  uint32_t count = 0;
  // Resources of each task.
  Size size;
  // The caller's rough estimate of a task's run time, in milliseconds.
  int64_t estimate_ms = 0;
  // Indexes of earlier steps whose tasks must all be done first.
  std::vector<uint32_t> after;
  // The tasks save checkpoints and resume from them.
  bool checkpointed = false;
  // The tasks form a gang: they run only together and end together.
  bool gang = false;
  // The tasks are slower when they run on more than one rack.
  bool single_rack = false;
  // Copies of a task may run at the same time.
  bool speculative = false;
  // The tasks run until the submission is cancelled.
  bool long_running = false;
  // Filling tasks: they use processors that others leave idle, which do not
  // count against the capacity of a VM.
  bool fills = false;
  // A label that the VM must have; empty for none.
  std::string required_label;
  // The rack that holds the data; empty for none.
  std::string data_rack;
  // Image of the tasks. Tasks of the same image have the same load and
  // interference.
  std::string image;
  // Maximum number of the step's tasks on one VM; 0 for no limit.
  uint32_t max_per_vm = 0;
  // Limit for the tail latency of the tasks' responses, in milliseconds; 0 for
  // tasks that do not serve requests.
  int64_t latency_objective_ms = 0;
  // Maximum number of tasks that the system's actions may make unavailable at
  // the same time.
  uint32_t max_unavailable = 0;

  bool operator==(const Step&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->count, this->size, this->estimate_ms, this->after,
            this->checkpointed, this->gang, this->single_rack,
            this->speculative, this->long_running, this->fills,
            this->required_label, this->data_rack, this->image,
            this->max_per_vm, this->latency_objective_ms,
            this->max_unavailable);
  }
};

struct Submission {
  std::string id;
  // Name of the queue that accepted it.
  std::string queue;
  // Text that is sent to the runner with each task.
  std::string text;
  std::vector<Step> steps;
  // Number of times the steps run; 1 without a schedule.
  uint32_t occurrences = 1;
  bool scheduled = false;
  // Time of the first occurrence and time between occurrences, in milliseconds
  // of the system clock.
  int64_t first_due_ms = 0;
  int64_t interval_ms = 0;
  // Time of acceptance, in milliseconds of the accepting entry's system clock.
  int64_t accepted_ms = 0;

  bool operator==(const Submission&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->queue, this->text, this->steps, this->occurrences,
            this->scheduled, this->first_due_ms, this->interval_ms,
            this->accepted_ms);
  }
};

// Bounds that keep one submission from filling the memory of a planner: it has
// 150 bytes for each task of each occurrence, and may have 160 MB.
inline constexpr size_t kMaxSteps = 1000;
inline constexpr int64_t kMaxTaskRuns = 100000;

// Bound of sizes, and of times in milliseconds since 1970, so that sums over a
// submission can't overflow.
inline constexpr int64_t kMaxAmount = 1'000'000'000'000'000;

// True if the submission can be planned: it has tasks, at most kMaxTaskRuns
// over all occurrences, no step depends on itself or a later one, and all
// amounts are in bounds. Rows and messages are checked with it as well as what
// callers hand in, since a planner that fails on a row fails at each restart.
bool IsWellFormed(const Submission& submission);

// Identifies one task.
struct TaskRef {
  std::string submission;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const TaskRef&) const =
      default;  // NOLINT(modernize-use-nullptr)

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->submission, this->occurrence, this->step, this->index);
  }
};

// State of a submission as callers see it.
enum class SubmissionState : uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

// True for states that never change again.
inline bool IsFinal(SubmissionState state) {
  return state >= SubmissionState::kCompleted;
}

// Name of the state in logs and on the administration API.
std::string_view ToString(SubmissionState state);

// Outcome of a run.
enum class RunOutcome : uint8_t {
  kDone,
  // The task or its runner failed.
  kFailed,
  // Stopped by an order of the planner.
  kStopped,
  // The runner's lease expired.
  kLeaseExpired,
  // Another member of its gang ended.
  kGangBroken,
  // It waited too long for the other members of its gang.
  kGangIncomplete,
};

std::string_view ToString(RunOutcome outcome);

// A run that exists on a runner.
struct ActiveRun {
  TaskRef task;
  uint32_t run = 0;
  std::string checkpoint;
  // From 0 to 100: the progress of a task, or for a long-running one whether it
  // is working.
  int32_t percent = 0;
  // The runner has not confirmed the start yet.
  bool starting = false;

  bool operator==(const ActiveRun&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->task, this->run, this->checkpoint, this->percent,
            this->starting);
  }
};

// A run that has ended. It is reported until the receipt is confirmed to the
// runner.
struct EndedRun {
  // Sequence number of the end within one incarnation of the runner, from 1.
  uint64_t number = 0;
  TaskRef task;
  uint32_t run = 0;
  RunOutcome outcome = RunOutcome::kLeaseExpired;
  std::string checkpoint;

  bool operator==(const EndedRun&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    auto raw = static_cast<uint8_t>(this->outcome);
    archive(this->number, this->task, this->run, raw, this->checkpoint);
    this->outcome = static_cast<RunOutcome>(raw);
  }
};

// Self-description of a runner.
struct RunnerInfo {
  // Name and start time of the runner, which together identify one incarnation.
  // `born_ms` is 0 until the runner has reported.
  std::string runner;
  int64_t born_ms = 0;
  std::string service;
  std::string failure_domain;
  Size capacity;
  // The runner's kind and its rack.
  std::vector<std::string> labels;
  bool draining = false;
  // The runner's tasks are slow until it has warmed up.
  bool cold = false;

  bool operator==(const RunnerInfo&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->runner, this->born_ms, this->service, this->failure_domain,
            this->capacity, this->labels, this->draining, this->cold);
  }
};

}  // namespace cuminjunction

#endif  // SUBMISSION_TYPES_H_
