#ifndef TASK_GUARD_H_
#define TASK_GUARD_H_

// Relieves services whose tail latency suffers from neighbours on their worker.
//
//   Guard guard((GuardOptions()));
//   for (const GuardAction& action : guard.Judge(view, now)) ...
//
// A service counts as suffering when its tail is above its target and its
// neighbours, not the load, account for it: a tail that is slow on all workers
// is load and leads to no action, nor does one that a burst of load, beyond the
// load of the last minutes, lifts above the target. After some such reports in
// a row the batch task that adds most is throttled, step by step. When that has
// failed for a while, a task is evicted, the one that loses the least work
// among those that add much, and the pair of service and job is remembered.
// Throttles are lifted step by step after a calm time, which grows when a
// lifted throttle is needed again.
//
// Reports are late. What was measured before an action took effect counts
// neither for nor against the next one.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace cuminjunction {

struct GuardOptions {
  // Growth of the tail over the service's baseline that neighbours must add.
  double least_growth = 0.15;
  // Share of the target below which a service is calm.
  double calm_share = 0.85;
  // Reports in a row that make a worker suffering, and calm.
  int slow_reports = 2;
  int calm_reports = 6;
  int most_calm_reports = 60;
  // What is measured this long after an action shows its effect.
  absl::Duration settle = absl::Seconds(10);
  // A throttle needed again so soon after it was lifted was lifted too early.
  absl::Duration lift_trial = absl::Minutes(5);
  int32_t first_share_percent = 50;
  int32_t least_share_percent = 25;
  // How long the least share must have failed before a task is evicted.
  absl::Duration evict_after = absl::Seconds(30);
  // Evictions for each attempt that ended, and the most saved up.
  double evictions_per_end = 0.015;
  double most_evictions = 10;
  // A pair is remembered for this time, doubled with each eviction.
  absl::Duration first_memory = absl::Minutes(30);
  absl::Duration longest_memory = absl::Hours(24);
  // Throttles of a worker without reports are lifted after this time.
  absl::Duration report_timeout = absl::Minutes(3);
};

// A service with a replica on the worker.
struct GuardedService {
  std::string service;
  double tail_ms = 0;
  double target_ms = 0;
  double baseline_ms = 0;
  // The baseline of the last minutes, without a burst.
  double usual_ms = 0;
};

// A task beside them.
struct GuardedNeighbour {
  std::string task;
  std::string owner;
  // Batch work that may be throttled and evicted.
  bool movable = false;
  int32_t share_percent = 100;
  // Core-seconds of work since its last checkpoint or start.
  double loss = 0;
  // Growth that it adds to the tail of each service, in their order.
  std::vector<double> adds;
};

// A worker at the time of a report.
struct GuardView {
  std::string worker;
  absl::Time at;
  std::vector<GuardedService> services;
  std::vector<GuardedNeighbour> neighbours;
};

struct GuardAction {
  enum class Kind { kThrottle, kEvict };

  Kind kind = Kind::kThrottle;
  std::string task;
  int32_t share_percent = 100;
  // Why, for the task's row and for operators.
  std::string reason;

  bool operator==(const GuardAction&) const = default;
};

class Guard {
 public:
  explicit Guard(const GuardOptions& options) : options(options) {}

  // An attempt has ended, which adds to the budget of evictions.
  void Ended();

  // Decides about one worker's newest report.
  std::vector<GuardAction> Judge(const GuardView& view, absl::Time now);

  // Lifts throttles of workers that report no more.
  std::vector<GuardAction> LiftUnreported(absl::Time now);

  // True when a task of the owner was evicted from beside the service not long
  // ago.
  bool IsRemembered(const std::string& service,
                    const std::string& owner,
                    absl::Time now) const;

 private:
  // Throttled tasks with their shares and the time of the last step.
  using Throttles = std::map<std::string, std::pair<int32_t, absl::Time>>;

  struct WorkerRecord {
    int slow = 0;
    int calm = 0;
    int calm_needed = 0;
    absl::Time reported;
    absl::Time acted = absl::InfinitePast();
    absl::Time lifted = absl::InfinitePast();
    Throttles throttled;
  };
  struct Memory {
    absl::Time until;
    int evictions = 0;
  };

  // Takes over what the rows say: a decision may have been refused, and another
  // planner may have throttled.
  static void Adopt(const GuardView& view,
                    absl::Time now,
                    Throttles* throttles);

  // Index of the service that suffers most; -1 for none.
  int FindSuffering(const GuardView& view) const;
  bool IsCalm(const GuardView& view) const;
  std::vector<GuardAction> Relieve(const GuardView& view,
                                   size_t service,
                                   absl::Time now,
                                   WorkerRecord* record);
  std::vector<GuardAction> Evict(const GuardView& view,
                                 size_t service,
                                 double least_adds,
                                 absl::Time now,
                                 WorkerRecord* record);
  std::vector<GuardAction> Lift(absl::Time now, WorkerRecord* record);
  void Remember(const std::string& service,
                const std::string& owner,
                absl::Time now);

  GuardOptions options;
  double budget = 0;
  std::map<std::string, WorkerRecord> workers;
  std::map<std::pair<std::string, std::string>, Memory> remembered;
};

}  // namespace cuminjunction

#endif  // TASK_GUARD_H_
