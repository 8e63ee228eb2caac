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

std::string_view ToString(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLapsed:
      return "lapsed";
    case EndKind::kGangBroken:
      return "gang-broken";
    case EndKind::kGangIncomplete:
      return "gang-incomplete";
  }
  return "unknown";
}

}  // namespace cuminjunction
