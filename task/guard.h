#ifndef TASK_GUARD_H_
#define TASK_GUARD_H_

// Throttles and evicts batch tasks that slow down the services on their worker.
//
//   Guard guard((GuardOptions()));
//   for (const GuardAction& action : guard.Evaluate(view, now)) ...
//
// A service counts as slowed when its tail latency is above its target and
// interference from co-located tasks, not load, explains it. A tail that is
// slow on all workers is load and leads to no action. Nor does a tail that
// exceeds the target only through a burst of load above that of the last
// minutes. After several such reports in a row the batch task that adds most is
// throttled, step by step. When the least share has not helped for a while, a
// task is evicted: of those that add much, the one that loses the least work.
// The pair of service and job is then avoided for a time.
// Throttles are lifted step by step after a run of reports with headroom. The
// run grows longer when a lifted throttle is needed again.
//
// Reports arrive late. A measurement from before an action took effect counts
// neither for nor against the next action.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace cuminjunction {

struct GuardOptions {
  // Growth of the tail latency over the service's baseline, as a fraction, that
  // co-located tasks must add.
  double min_growth = 0.15;
  // Tail latency as a fraction of the target up to which a service has headroom
  // and throttles may be lifted.
  double lift_latency_ratio = 0.85;
  // Reports in a row before an action, and before a throttle is lifted. The
  // latter count is doubled up to the maximum when a lift came too early.
  int reports_before_action = 2;
  int reports_before_lift = 6;
  int max_reports_before_lift = 60;
  // Measurements taken this long after an action show its effect.
  absl::Duration settling_time = absl::Seconds(10);
  // A throttle needed again this soon after a lift was lifted too early.
  absl::Duration early_lift_window = absl::Minutes(5);
  int32_t initial_share_percent = 50;
  int32_t min_share_percent = 25;
  // Time for which the least share must fail to help before an eviction.
  absl::Duration evict_after = absl::Seconds(30);
  // Evictions earned per attempt that ended, and the most saved up.
  double evictions_per_attempt = 0.015;
  double max_saved_evictions = 10;
  // A pair is avoided for this time, doubled with each eviction.
  absl::Duration initial_avoidance = absl::Minutes(30);
  absl::Duration max_avoidance = absl::Hours(24);
  // Throttles of a worker without reports are lifted after this time.
  absl::Duration report_timeout = absl::Minutes(3);
};

// A service with a replica on the worker.
struct GuardedService {
  std::string service;
  // Tail latency, its target and its value without co-located tasks.
  double tail_ms = 0;
  double target_ms = 0;
  double baseline_ms = 0;
  // The baseline of the last minutes, without a burst.
  double smoothed_baseline_ms = 0;
};

// A task on the same worker as the services.
struct ColocatedTask {
  std::string task;
  std::string owner;
  // Batch work that may be throttled and evicted.
  bool preemptible = false;
  int32_t share_percent = 100;
  // Core-seconds of work since its last checkpoint or start.
  double unsaved_core_seconds = 0;
  // Growth that it adds to the tail latency of each service, in the order of
  // GuardView::services.
  std::vector<double> added_growth;
};

// A worker's services and tasks as measured for one report.
struct GuardView {
  std::string worker;
  absl::Time measured_at;
  std::vector<GuardedService> services;
  std::vector<ColocatedTask> colocated_tasks;
};

struct GuardAction {
  enum class Kind { kThrottle, kEvict };

  Kind kind = Kind::kThrottle;
  std::string task;
  int32_t share_percent = 100;
  // Cause of the action, for the task's row and for operators.
  std::string reason;

  bool operator==(const GuardAction&) const = default;
};

class Guard {
 public:
  explicit Guard(const GuardOptions& options) : options(options) {}

  // Adds one ended attempt to the budget of evictions.
  void RecordAttemptEnd();

  // Decides on actions for a worker's newest report.
  std::vector<GuardAction> Evaluate(const GuardView& view, absl::Time now);

  // Lifts throttles of workers that have sent no report for `report_timeout`.
  std::vector<GuardAction> LiftThrottlesWithoutReports(absl::Time now);

  // True when a recent eviction keeps tasks of the owner off the service's
  // workers.
  bool IsPairAvoided(const std::string& service,
                     const std::string& owner,
                     absl::Time now) const;

 private:
  // Throttled tasks with their shares and the time of the last step.
  using Throttles = std::map<std::string, std::pair<int32_t, absl::Time>>;

  struct WorkerRecord {
    // Reports in a row with a slowed service, and with headroom.
    int slow_streak = 0;
    int headroom_streak = 0;
    int headroom_needed = 0;
    absl::Time last_report;
    absl::Time last_action = absl::InfinitePast();
    absl::Time last_lift = absl::InfinitePast();
    Throttles throttled;
  };
  struct AvoidedPair {
    absl::Time expiry;
    int evictions = 0;
  };

  // Replaces the throttles by those in the rows: a decision may have been
  // refused, and another planner may have throttled.
  static void SyncThrottles(const GuardView& view,
                            absl::Time now,
                            Throttles* throttles);

  // Index of the service with the highest latency ratio; -1 when none is
  // slowed.
  int FindMostSlowed(const GuardView& view) const;
  bool HasHeadroom(const GuardView& view) const;
  std::vector<GuardAction> Relieve(const GuardView& view,
                                   size_t service,
                                   absl::Time now,
                                   WorkerRecord* record);
  std::vector<GuardAction> Evict(const GuardView& view,
                                 size_t service,
                                 double min_added,
                                 absl::Time now,
                                 WorkerRecord* record);
  std::vector<GuardAction> Lift(absl::Time now, WorkerRecord* record);
  void AvoidPair(const std::string& service,
                 const std::string& owner,
                 absl::Time now);

  GuardOptions options;
  double eviction_budget = 0;
  std::map<std::string, WorkerRecord> workers;
  std::map<std::pair<std::string, std::string>, AvoidedPair> avoided_pairs;
};

}  // namespace cuminjunction

#endif  // TASK_GUARD_H_
