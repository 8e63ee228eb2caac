#ifndef TASK_LEARNED_SCORER_H_
#define TASK_LEARNED_SCORER_H_

// A scorer that learns from usage reports and from the outcomes of attempts.
//
//   Planner<LearnedScorer> planner(options, &charts, LearnedScorer({}), &log);
//   planner.GetScorer()->SetDocument(document);
//   planner.GetScorer()->AddReport(report, now);   // each report of a worker
//
// It extends BestFitScorer, which also orders the accounts by their dominant
// share and weight, with
//   - task/usage.h: estimated usage of tasks in place of their declared size;
//   - task/interference.h: batch tasks are kept off services that they slow
//     down, as long as the batch task has not waited too long;
//   - task/guard.h: throttles and evictions, which the planner requests through
//     Mitigate();
//   - task/blame.h: suspect workers; workers with unexplained failures are
//     avoided.
//
// The learned state is not stored. A new planner learns again.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "task/blame.h"
#include "task/guard.h"
#include "task/interference.h"
#include "task/scorer.h"
#include "task/usage.h"

namespace cuminjunction {

struct LearnedOptions {
  FaultAttributionOptions fault_attribution;
  UsageOptions usage;
  InterferenceOptions interference;
  GuardOptions guard;
  // Reports measured within the same window are evaluated together, after a
  // grace period in which all workers can send theirs.
  absl::Duration window = absl::Seconds(10);
  absl::Duration window_grace = absl::Seconds(5);
  // A batch task that has waited this long may run beside any service, so that
  // batch work keeps a minimum throughput.
  absl::Duration max_batch_wait = absl::Minutes(2);
  // How long usage and interference of jobs and services that no longer run are
  // kept.
  absl::Duration retention = absl::Hours(24);
};

class LearnedScorer {
 public:
  explicit LearnedScorer(const LearnedOptions& options)
      : options(options),
        attribution(options.fault_attribution),
        usage(options.usage),
        interference(options.interference),
        guard(options.guard) {}

  // Sets the accounts with their weights and the services with their tail
  // latency targets.
  void SetDocument(const Document& document);

  // Adds a worker's usage report, which may be late.
  void AddReport(const UsageReport& report, absl::Time now);

  PlacementScore Score(const TaskRow& task,
                       const WorkerRow& worker,
                       const State& state,
                       absl::Time now) const;
  void RecordOutcome(const AttemptOutcome& outcome, absl::Time now);
  WorkerVerdict JudgeWorker(const WorkerRow& worker,
                            const State& state,
                            absl::Time now);
  double FairShareKey(const std::string& account,
                      const State& state,
                      absl::Time now) const;

  // Returns the throttles and evictions that the reports require.
  std::vector<GuardAction> Mitigate(const State& state, absl::Time now);

  const cuminjunction::Interference& GetInterference() const {
    return this->interference;
  }

 private:
  // Reports of one window that have not been evaluated yet.
  struct ReportWindow {
    absl::Time due;
    std::vector<UsageReport> reports;
  };
  // Services with a tail latency target on a worker, and the exposure to the
  // worker's tasks by owner.
  struct WorkerLoad {
    std::vector<std::string> services;
    std::map<std::string, double> shares;
  };

  double TargetOf(const std::string& service) const;
  double ExpectedShare(const TaskRow& task, const WorkerRow& worker) const;
  WorkerLoad LoadOf(const WorkerRow& worker, const State& state) const;
  double GrowthOnWorker(const std::string& service,
                        const WorkerLoad& load,
                        double own_share) const;
  void ScoreInterference(const TaskRow& task,
                         const WorkerRow& worker,
                         const State& state,
                         absl::Time now,
                         PlacementScore* score) const;
  void UpdateInterference(const std::vector<UsageReport>& reports);
  GuardView MakeGuardView(const UsageReport& report,
                          const WorkerRow& worker,
                          const State& state,
                          absl::Time now) const;
  void DropStaleModels(absl::Time now);

  LearnedOptions options;
  BestFitScorer best_fit;
  std::map<std::string, double> targets_ms;
  cuminjunction::FaultAttribution attribution;
  UsageModel usage;
  cuminjunction::Interference interference;
  cuminjunction::Guard guard;
  std::map<int64_t, ReportWindow> windows;
  absl::Time next_sweep = absl::InfinitePast();
};

static_assert(Scorer<LearnedScorer>);

}  // namespace cuminjunction

#endif  // TASK_LEARNED_SCORER_H_
