#ifndef SUBMISSION_PROGRESS_H_
#define SUBMISSION_PROGRESS_H_

// The stored progress of a submission.
//
// Only state that another planner cannot learn from the runners is stored: the
// tasks that are done, the runs that failed, the checkpoints of stopped tasks,
// and the final state.

#include <cstdint>
#include <string>
#include <vector>

#include "base/codec.h"
#include "submission/crash.h"
#include "submission/types.h"

namespace cuminjunction {

// A task that is not done and has a checkpoint, failed runs or crashes. For
// other tasks, Progress::done is enough.
struct TaskProgress {
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;
  uint32_t last_run = 0;
  // Numbers of the runs that failed. A set instead of a count, since the same
  // end may be reported to two planners.
  std::vector<uint32_t> failed_runs;
  std::vector<CrashRecord> crashes;
  std::string checkpoint;

  bool operator==(const TaskProgress&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->occurrence, this->step, this->index, this->last_run,
            this->failed_runs, this->crashes, this->checkpoint);
  }
};

// The row of a submission. After its end only its id, its queue and its final
// state are stored, so that a new planner has little to read.
struct SubmissionRow {
  Submission submission;
  // kQueued until the submission has ended.
  SubmissionState final_state = SubmissionState::kQueued;
  // Time of the end, in milliseconds of the system clock.
  int64_t ended_ms = 0;

  bool operator==(const SubmissionRow&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    auto raw = static_cast<uint8_t>(this->final_state);
    archive(this->submission, raw, this->ended_ms);
    this->final_state = static_cast<SubmissionState>(raw);
  }
};

struct Progress {
  SubmissionState state = SubmissionState::kQueued;
  // A bitmap of the tasks that are done for each step, occurrence by
  // occurrence. Empty once the state is final; such a progress is not stored.
  std::vector<std::string> done;
  std::vector<TaskProgress> tasks;

  bool operator==(const Progress&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    auto raw = static_cast<uint8_t>(this->state);
    archive(raw, this->done, this->tasks);
    this->state = static_cast<SubmissionState>(raw);
  }
};

}  // namespace cuminjunction

#endif  // SUBMISSION_PROGRESS_H_
