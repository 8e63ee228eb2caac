#include "request/types.h"

namespace cuminjunction {

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kOverload:
      return "overload";
    case Refusal::kDeadline:
      return "deadline";
    case Refusal::kLeaving:
      return "leaving";
    case Refusal::kUpstreamDown:
      return "upstream-down";
    case Refusal::kUnknownService:
      return "unknown-service";
    case Refusal::kTombstone:
      return "tombstone";
    case Refusal::kLimit:
      return "limit";
  }
  return "none";
}

}  // namespace cuminjunction
