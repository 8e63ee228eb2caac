#ifndef SUBMISSION_SCHEDULER_TYPES_H_
#define SUBMISSION_SCHEDULER_TYPES_H_

// What the Scheduler takes and returns: reports of agents, orders, and what
// keeps tasks from running.
//
//   const Orders orders = scheduler.Plan(now);
//   for (const StartOrder& start : orders.starts) ...

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "submission/crash.h"
#include "submission/permits.h"
#include "submission/place.h"
#include "submission/types.h"

namespace cuminjunction {

struct StartOrder {
  std::string vm;
  TaskRef task;
  uint32_t run = 0;
  // Text and step of the task's submission; valid until the scheduler is
  // called again.
  const std::string* text = nullptr;
  const Step* step = nullptr;
  std::string checkpoint;
  // The adviser's ticket; empty if the queue needs none.
  std::string ticket;
  // Time when the step could first start.
  absl::Time ready_since;
  // Placement cost of the VM, for the log.
  double cost = 0;
};

struct StopOrder {
  std::string vm;
  TaskRef task;
  uint32_t run = 0;
  // Cause for the log, such as "cancelled" or "preempted".
  std::string_view reason;
};

struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PermitQuery> queries;
  // Pairs of a task and a VM for which a placement cost was computed: the work
  // of the plan.
  uint64_t evaluations = 0;
  // Tasks that were visited for sums over a step or over a VM.
  uint64_t counted_tasks = 0;
  // The plan was cut short; call Plan() again soon.
  bool more = false;
};

// Full report of an agent about its runner.
struct WorkerReport {
  std::string vm;
  RunnerInfo info;
  // The runner responds to the agent.
  bool alive = false;
  // Runs on the runner, including starts that the agent has received and not
  // completed.
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;
  // The latest crashes of the runner, also those reported before.
  std::vector<RunnerCrash> crashes = {};
  // `ended` is a part of the ends: a run that is in neither list may have
  // ended, so its task waits for a report of all.
  bool more_ends = false;
};

// A task that was given up because runners crashed under it.
struct GivenUpTask {
  TaskRef task;
  std::vector<CrashRecord> crashes;
};

enum class StartOutcome : uint8_t {
  kStarted,
  kNoCapacity,
  kRefused,
  kStaleRun,
  // The runner rejected the adviser's ticket.
  kInvalidTicket,
  // The operator has evacuated the VM's failure domain.
  kEvacuated,
  // The order came too late, or could not be delivered to the runner in time.
  kExpired,
};

// Name of the outcome in logs and metrics.
std::string_view ToString(StartOutcome outcome);

// A long-running task that has had no run for kHeldAfter.
struct HeldTask {
  TaskRef task;
  absl::Time since;
  // The last run, and its VM; 0 if none was ordered.
  uint32_t last_run = 0;
  std::string last_vm;
  // A start was ordered and is not refused yet, at `placed_at`.
  bool ordered = false;
  absl::Time placed_at;
  uint32_t refused_starts = 0;
  // The task may have crashed its runner and starts apart from others.
  bool suspect = false;
  // The task waits for workers of an earlier planner.
  bool unresolved = false;
};

// Numbers of VMs, by what keeps a task from them, with PlacementObstacle as
// index.
using ObstacleCounts = std::array<uint32_t, kPlacementObstacles>;

// Long-running tasks without a run for this long are reported as held.
inline constexpr absl::Duration kHeldAfter = absl::Seconds(2);

// A state change that callers can observe.
struct StateChange {
  std::string submission;
  SubmissionState state = SubmissionState::kQueued;
};

// Limit of the pairs of images in one notice to a VM, which is sent several
// times a second.
inline constexpr size_t kMaxPairsInNotice = 64;

// Limit of the starts in one plan, so that a planner with an eighth of a
// processor answers callers and renews its lease between two plans also while
// it starts the backlog of a takeover.
inline constexpr size_t kMaxStartsInPlan = 120;

}  // namespace cuminjunction

#endif  // SUBMISSION_SCHEDULER_TYPES_H_
