#ifndef TABLE_RUNTIME_H_
#define TABLE_RUNTIME_H_

// The runtime of a worker: the platform's process that runs tasks on a VM.
//
// The agent on the VM talks to it over HTTP. The runtime knows the stop
// deadline of the worker's lease and stops exclusive tasks at that time by
// itself, so that a paused agent can't keep a task running past its lease.

#include <compare>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "config/document.h"

namespace cuminjunction {

enum class RuntimeError {
  // The runtime refused or could not be reached. No effect.
  kUnavailable = 1,
  // The reply was lost or timed out. The command may have taken effect.
  kUnknownOutcome,
  // No such task, or another attempt of it.
  kNotFound,
  // The task runs already under another attempt.
  kAlreadyRunning,
  // The stop deadline has passed.
  kLeaseExpired,
};

template <>
struct ErrorTraits<RuntimeError> {
  static constexpr const char* kCategory = "runtime";
  static std::string_view Message(RuntimeError error);
};

// What to run.
struct TaskStart {
  std::string task;
  uint32_t attempt = 0;
  // Job or service that the task belongs to.
  std::string job;
  std::string command;
  Size size;
  // True for a task that must be stopped at the lease's stop deadline.
  bool exclusive = true;
  // Object that holds the checkpoint to resume from; empty for a first start.
  std::string resume_object;

  auto operator<=>(const TaskStart&) const = default;
};

// A running task as the runtime reports it. Usage is late by up to 30 s.
struct RunningTask {
  std::string task;
  uint32_t attempt = 0;
  int64_t used_millicores = 0;
  int64_t used_memory_mib = 0;
  // Share of its processors that the task may use, from 0 to 1.
  double throttle = 1;

  auto operator<=>(const RunningTask&) const = default;
};

// How an attempt ended.
enum class AttemptEnd : uint8_t {
  kSucceeded = 0,
  kFailed = 1,
  // Stopped by a command, or at the stop deadline.
  kStopped = 2,
};

struct EndedTask {
  std::string task;
  uint32_t attempt = 0;
  AttemptEnd end = AttemptEnd::kSucceeded;
  // Name of the object that holds the output; empty when there is none.
  std::string output_object;

  auto operator<=>(const EndedTask&) const = default;
};

struct RuntimeState {
  // Changes each time the VM starts; a new one means that nothing of an
  // earlier one runs any more.
  std::string boot_id;
  std::vector<RunningTask> running;
  // Attempts that ended and were not acknowledged by Forget().
  std::vector<EndedTask> ended;

  bool operator==(const RuntimeState&) const = default;
};

// A runtime. Calls block. Errors are RuntimeError. Stop deadlines are points in
// time of the VM's steady clock (SteadyClock).
//   Start: starts an attempt; starting a running attempt again is no error.
//   Stop: stops an attempt; no error if it has ended.
//   Checkpoint: writes the task's state to the object store and returns the
//     object's name.
//   Throttle: limits the task to a share of its processors, 0 to 1.
//   Extend: moves the stop deadline of the worker's lease.
//   List: what runs and what has ended.
//   Forget: drops an ended attempt from the list.
template <class R>
concept Runtime = requires(R& runtime,
                           const TaskStart& start,
                           const std::string& task,
                           uint32_t attempt,
                           double share,
                           absl::Time deadline) {
  { runtime.Start(start) } -> std::same_as<Status>;
  { runtime.Stop(task, attempt) } -> std::same_as<Status>;
  { runtime.Checkpoint(task, attempt) } -> std::same_as<Result<std::string>>;
  { runtime.Throttle(task, attempt, share) } -> std::same_as<Status>;
  { runtime.Extend(deadline) } -> std::same_as<Status>;
  { runtime.List() } -> std::same_as<Result<RuntimeState>>;
  { runtime.Forget(task, attempt) } -> std::same_as<Status>;
};

}  // namespace cuminjunction

#endif  // TABLE_RUNTIME_H_
