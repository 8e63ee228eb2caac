#ifndef TESTING_SUPPORT_REPLAY_H_
#define TESTING_SUPPORT_REPLAY_H_

// Replays a recorded trace against the decision code.
//
//   Result<ReplayReport> report = ReplayTrace(text);
//   if (report && report.value().difference) ...   // first line that differs
//
// A trace is a JSON object a line. The first one is {"trace": KIND}, where KIND
// is "request", "task" or "config". Each further one is an input with its
// virtual time in milliseconds, which never decreases, and the outcome it must
// have:
//
//   {"t": 5, "op": "send", "request": 1, "expect": {"attempt": 1}}
//
// Every member of "expect" must be equal in the actual outcome. The inputs are
// listed in the files of each kind, testing/support/replay_KIND.cc.

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>
#include "absl/time/time.h"
#include "base/error.h"

namespace cuminjunction {

enum class ReplayError {
  // A line is not a JSON object, or lacks a member or has one of a wrong type.
  kBadLine = 1,
  // The first line names no known kind of trace.
  kBadKind,
  // The kind of trace has no such input.
  kBadInput,
  // The time goes back.
  kBadTime,
  // The trace states no outcome at all, so it would check nothing.
  kNothingStated,
};

template <>
struct ErrorTraits<ReplayError> {
  static constexpr const char* kCategory = "replay";
  static std::string_view Message(ReplayError error);
};

// An outcome that is not the stated one.
struct ReplayDifference {
  // Counts from 1.
  int line = 0;
  std::string expected;
  std::string actual;

  bool operator==(const ReplayDifference&) const = default;
};

struct ReplayReport {
  // Lines read, and those of them that state an outcome.
  int lines = 0;
  int checked = 0;
  std::optional<ReplayDifference> difference;

  bool operator==(const ReplayReport&) const = default;
};

// The members of an outcome. A type of its own, since nearly everything
// converts to JSON, error codes too.
struct TraceOutcome {
  // Implicit, so that a step can return JSON or an error.
  template <std::same_as<nlohmann::json> J>
  // NOLINTNEXTLINE(google-explicit-constructor)
  TraceOutcome(J members) : members(std::move(members)) {}

  nlohmann::json members;
};

// Drives the decision code of one kind of trace. Step() may throw
// nlohmann::json::exception for a malformed input.
class TraceTarget {
 public:
  virtual ~TraceTarget() = default;
  // Takes one input and returns its outcome. Fails with kBadInput.
  virtual Result<TraceOutcome> Step(const nlohmann::json& input,
                                    absl::Time now) = 0;
};

std::unique_ptr<TraceTarget> MakeRequestTarget();
std::unique_ptr<TraceTarget> MakeTaskTarget();
std::unique_ptr<TraceTarget> MakeConfigTarget();

// Replays a whole trace up to the first difference. `line` is set to the line
// that was read last, also when the replay fails with a ReplayError.
Result<ReplayReport> ReplayTrace(const std::string& text, int* line);

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_REPLAY_H_
