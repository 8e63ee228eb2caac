#include "table/runtime.h"

namespace cuminjunction {

std::string_view ErrorTraits<RuntimeError>::Message(RuntimeError error) {
  switch (error) {
    case RuntimeError::kUnavailable:
      return "worker runtime is unavailable";
    case RuntimeError::kUnknownOutcome:
      return "outcome of the command is unknown";
    case RuntimeError::kNotFound:
      return "no such attempt runs here";
    case RuntimeError::kAlreadyRunning:
      return "task runs under another attempt";
    case RuntimeError::kLeaseExpired:
      return "stop deadline of the lease has passed";
  }
  return "unknown runtime error";
}

}  // namespace cuminjunction
