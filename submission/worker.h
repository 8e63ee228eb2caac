#ifndef SUBMISSION_WORKER_H_
#define SUBMISSION_WORKER_H_

// The planner's view of one VM with a runner.
//
// The free capacity of a VM is the capacity that its runner reports minus the
// tasks that the planner has placed there. It is freed when the end of a run is
// reported.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "config/document.h"
#include "submission/types.h"

namespace cuminjunction {

// A task that the planner has placed on a VM.
struct PlacedTask {
  uint32_t run = 0;
  Size size;
  bool fills = false;
  // The task has a limit for its response times, `latency_objective_ms`.
  bool serves = false;
  int64_t latency_objective_ms = 0;
  std::string image;
  bool long_running = false;
  bool checkpointed = false;
  bool stopping = false;
  // A stop of the run was ordered. It may still be carried out after a report
  // of the run has cleared `stopping`.
  bool stop_ordered = false;
  absl::Time placed_at;
  // Before this time a long-running task may not work yet; see kStartUpTime.
  absl::Time works_from = absl::InfinitePast();
};

// Sums over the tasks of one image on a VM.
struct ImageLoad {
  int tasks = 0;
  int64_t millicores = 0;
};

// Expected latency of a serving image on a VM. The expected latency ratio is
// `baseline` * `slowdown`.
struct LatencyOutlook {
  std::string image;
  // Latency ratio without filling tasks.
  double baseline = 0;
  // Factor by which the filling tasks on the VM raise the latency ratio.
  double slowdown = 1;
};

// What a crash of the runner would mean for the tasks on a VM.
struct CrashRisk {
  // Time of the last start among the tasks.
  absl::Time last_start = absl::InfinitePast();
  // Work that would be lost, in core-seconds.
  double work = 0;

  bool operator==(const CrashRisk&) const = default;
};

struct Worker {
  std::string vm;
  RunnerInfo info;
  // The agent is connected and its runner is alive.
  bool usable = false;
  // The agent is connected and its full report has been merged.
  bool synced = false;
  // The agent was cut off or its runner did not answer, and no plan has been
  // made since both are back.
  bool was_silent = false;
  // The operator has evacuated the failure domain of the runner.
  bool evacuated = false;
  // The evacuation of the domain has ended a short time ago; up to this time
  // the VM offers a part of its capacity. See OfferedShare().
  absl::Time full_capacity_at = absl::InfinitePast();
  // Time up to which this planner lets the runner continue its runs.
  absl::Time grant_deadline = absl::InfinitePast();
  // The latest such deadline that an earlier planner can have granted.
  absl::Time inherited_grant_deadline = absl::InfinitePast();
  // Gets no new tasks before this time.
  absl::Time avoid_until = absl::InfinitePast();
  // A crash suspect has started here and is kept apart from other starts until
  // this time.
  absl::Time isolated_until = absl::InfinitePast();
  // Incarnations of the runner whose crash was counted, by their birth.
  std::set<int64_t> known_crashes;
  // Failed runs since the last successful one.
  int consecutive_failures = 0;
  // Sums over `placed`. The processors of filling tasks are summed separately,
  // since the runner does not count them against its capacity.
  Size used;
  int64_t filling_millicores = 0;
  int64_t serving_millicores = 0;
  int64_t long_running_millicores = 0;
  // Load of the serving and the filling tasks by image.
  std::map<std::string, ImageLoad> serving;
  std::map<std::string, ImageLoad> filling;
  // Number of the pair of serving and filling image that comes next in
  // Scheduler::NextInterferenceOn().
  size_t next_pair = 0;
  // By serving image; see RefreshLatencyOutlooks().
  std::vector<LatencyOutlook> latency_outlooks;
  // Number of the plan in which they were computed.
  uint64_t outlooks_plan = 0;
  // See Scheduler::RefreshCrashRisk(), and the number of the plan in which it
  // was computed.
  CrashRisk crash_risk;
  uint64_t crash_risk_plan = 0;
  // Capacity reserved for a long-running task while other tasks are being
  // stopped to make space for it.
  Size reserved;
  absl::Time reserved_until = absl::InfinitePast();
  // Capacity held in this plan for tasks that are being stopped in an evacuated
  // failure domain.
  Size held_for_moves;
  std::map<TaskRef, PlacedTask> placed;
  // Runs, by task and run number, that the worker has reported beside the
  // task's current one, and that may run until their end is reported.
  std::set<std::pair<TaskRef, uint32_t>> stale_runs;
};

// The size that the runner counts against its capacity.
inline Size CountedSize(const Size& size, bool fills) {
  return fills ? Size{0, size.memory_mib, size.accelerators} : size;
}

// Adds a task to the worker and its sums; Vacate() removes it.
void Occupy(Worker* worker, const TaskRef& task, const PlacedTask& placed);
void Vacate(Worker* worker, const TaskRef& task);

// Records that a stop of the run is ordered.
inline void MarkStopping(PlacedTask* placed) {
  placed->stopping = true;
  placed->stop_ordered = true;
}

// The label of the runner that names its rack, or empty. The labels are the
// runner's kind and its rack, in this order.
const std::string& RackOf(const RunnerInfo& info);

}  // namespace cuminjunction

#endif  // SUBMISSION_WORKER_H_
