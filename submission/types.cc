#include "submission/types.h"

namespace cuminjunction {

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
