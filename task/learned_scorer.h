#ifndef TASK_LEARNED_SCORER_H_
#define TASK_LEARNED_SCORER_H_

// The scorer of a planner that learns from how attempts end.
//
//   Planner<LearnedScorer> planner(options, &charts, LearnedScorer({}), &log);
//   planner.GetScorer()->SetAccounts(document.accounts);
//
// It adds to BestFitScorer, which also orders the accounts by their dominant
// share and weight:
//   - task/blame.h: suspect workers, and workers in doubt that are avoided.

#include <map>
#include <string>

#include "task/blame.h"
#include "task/scorer.h"

namespace cuminjunction {

struct LearnedOptions {
  BlameOptions blame;
};

class LearnedScorer {
 public:
  explicit LearnedScorer(const LearnedOptions& options)
      : blame(options.blame) {}

  void SetAccounts(std::map<std::string, Account> accounts) {
    this->best_fit.SetAccounts(std::move(accounts));
  }

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

 private:
  BestFitScorer best_fit;
  cuminjunction::Blame blame;
};

static_assert(Scorer<LearnedScorer>);

}  // namespace cuminjunction

#endif  // TASK_LEARNED_SCORER_H_
