#ifndef TASK_LEARNED_SCORER_H_
#define TASK_LEARNED_SCORER_H_

// The scorer of a planner that learns from reports and from how attempts end.
//
//   Planner<LearnedScorer> planner(options, &charts, LearnedScorer({}), &log);
//   planner.GetScorer()->SetDocument(document);
//   planner.GetScorer()->Report(report, now);   // each report of a worker
//
// It adds to BestFitScorer, which also orders the accounts by their dominant
// share and weight:
//   - task/usage.h: what tasks use, instead of what is declared;
//   - task/interference.h: batch tasks and services that go together badly are
//     kept apart, as long as the batch task has not waited too long;
//   - task/guard.h: throttles and evictions, which the planner asks for through
//     Relieve();
//   - task/blame.h: suspect workers, and workers in doubt that are avoided.
//
// Reports are soft state. A new planner learns anew.

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
  BlameOptions blame;
  UsageOptions usage;
  InterferenceOptions interference;
  GuardOptions guard;
  // Reports that were measured within the same window are compared, once all
  // workers have had the wait to send theirs.
  absl::Duration window = absl::Seconds(10);
  absl::Duration window_wait = absl::Seconds(5);
  // After this wait a batch task goes where it fits, so that it keeps a floor.
  absl::Duration patience = absl::Minutes(2);
  // How long usage and interference of classes that no longer run are kept.
  absl::Duration memory = absl::Hours(24);
};

class LearnedScorer {
 public:
  explicit LearnedScorer(const LearnedOptions& options)
      : options(options),
        blame(options.blame),
        usage(options.usage),
        interference(options.interference),
        guard(options.guard) {}

  // Accounts with their weights and services with their tail targets.
  void SetDocument(const Document& document);

  // Takes a worker's usage report, which may be late.
  void Report(const UsageReport& report, absl::Time now);

  PlacementScore Score(const TaskRow& task,
                       const WorkerRow& worker,
                       const State& state,
                       absl::Time now) const;
  void Ended(const AttemptOutcome& outcome, absl::Time now);
  WorkerVerdict Blame(const WorkerRow& worker,
                      const State& state,
                      absl::Time now);
  double ShareOrder(const std::string& account,
                    const State& state,
                    absl::Time now) const;

  // Throttles and evictions that the reports call for.
  std::vector<GuardAction> Relieve(const State& state, absl::Time now);

  const cuminjunction::Interference& Learned() const {
    return this->interference;
  }

 private:
  // Reports of one window that were not compared yet.
  struct Window {
    absl::Time due;
    std::vector<UsageReport> reports;
  };
  // Services on a worker, and the exposures to its tasks by owner.
  struct Mix {
    std::vector<std::string> services;
    std::map<std::string, double> shares;
  };

  double TargetOf(const std::string& service) const;
  double ExpectedShare(const TaskRow& task, const WorkerRow& worker) const;
  Mix MixOf(const WorkerRow& worker, const State& state) const;
  double RaiseAt(const std::string& service,
                 const Mix& mix,
                 double own_share) const;
  void ScoreInterference(const TaskRow& task,
                         const WorkerRow& worker,
                         const State& state,
                         absl::Time now,
                         PlacementScore* score) const;
  void Compare(const std::vector<UsageReport>& reports);
  GuardView ViewOf(const UsageReport& report,
                   const WorkerRow& worker,
                   const State& state,
                   absl::Time now) const;
  void Forget(absl::Time now);

  LearnedOptions options;
  BestFitScorer best_fit;
  std::map<std::string, double> targets_ms;
  cuminjunction::Blame blame;
  UsageModel usage;
  cuminjunction::Interference interference;
  cuminjunction::Guard guard;
  std::map<int64_t, Window> windows;
  absl::Time next_forget = absl::InfinitePast();
};

static_assert(Scorer<LearnedScorer>);

}  // namespace cuminjunction

#endif  // TASK_LEARNED_SCORER_H_
