#ifndef SUBMISSION_STEP_CANDIDATE_H_
#define SUBMISSION_STEP_CANDIDATE_H_

// A step that a plan may start tasks of; shared by the source files of
// Scheduler.

#include <cstdint>
#include <limits>
#include <map>
#include <string>

#include "submission/scheduler.h"

namespace cuminjunction {

// A step of one occurrence that has tasks to start.
struct Scheduler::StepCandidate {
  ActiveSubmission* active = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  // Limit of the tasks that the next call of StartStep() starts.
  uint32_t max_starts = std::numeric_limits<uint32_t>::max();
  // Placed tasks of the step by VM, and the rack of one of them if the step
  // wants a single rack; see CountPlaced().
  std::map<std::string, uint32_t> same_step;
  std::string rack;

  StepSlots& Slots() const {
    return this->active->occurrences[this->occurrence].steps[this->step];
  }
  const Step& Spec() const {
    return this->active->submission.steps[this->step];
  }
  TaskRef Task(uint32_t index) const {
    return {this->active->submission.id, this->occurrence, this->step, index};
  }
};

}  // namespace cuminjunction

#endif  // SUBMISSION_STEP_CANDIDATE_H_
