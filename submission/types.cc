#include "submission/types.h"

#include <algorithm>

namespace cuminjunction {

namespace {

bool IsAmount(int64_t value) {
  return value >= 0 && value <= kMaxAmount;
}

bool IsWellFormedStep(const Step& step, size_t position) {
  return step.count > 0 && IsAmount(step.size.millicores) &&
         IsAmount(step.size.memory_mib) && IsAmount(step.size.accelerators) &&
         IsAmount(step.estimate_ms) &&
         std::all_of(step.after.begin(), step.after.end(),
                     [&](uint32_t earlier) { return earlier < position; });
}

}  // namespace

bool IsWellFormed(const Submission& submission) {
  if (submission.steps.empty() || submission.steps.size() > kMaxSteps ||
      submission.occurrences == 0 || !IsAmount(submission.first_due_ms) ||
      !IsAmount(submission.interval_ms) || !IsAmount(submission.accepted_ms))
    return false;
  int64_t tasks = 0;
  for (size_t position = 0; position < submission.steps.size(); ++position) {
    if (!IsWellFormedStep(submission.steps[position], position))
      return false;
    tasks += submission.steps[position].count;
  }
  return tasks <= kMaxTaskRuns / submission.occurrences;
}

std::string_view ToString(SubmissionState state) {
  switch (state) {
    case SubmissionState::kQueued:
      return "queued";
    case SubmissionState::kRunning:
      return "running";
    case SubmissionState::kCompleted:
      return "completed";
    case SubmissionState::kFailed:
      return "failed";
    case SubmissionState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view ToString(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLeaseExpired:
      return "lapsed";
    case RunOutcome::kGangBroken:
      return "gang-broken";
    case RunOutcome::kGangIncomplete:
      return "gang-incomplete";
  }
  return "unknown";
}

}  // namespace cuminjunction
