#include "task/learned_scorer.h"

namespace cuminjunction {

namespace {

// A worker on which the last job failed gets no more than it must until an
// attempt succeeds there: fit and spread together are at most 2.
constexpr double kDoubtfulPenalty = 2;

}  // namespace

PlacementScore LearnedScorer::Score(const TaskRow& task,
                                    const WorkerRow& worker,
                                    const State& state,
                                    absl::Time now) const {
  PlacementScore score = this->best_fit.Score(task, worker, state, now);
  if (this->blame.IsDoubtful(worker.id))
    score.moving -= kDoubtfulPenalty;
  return score;
}

void LearnedScorer::Ended(const AttemptOutcome& outcome, absl::Time now) {
  this->blame.Ended(outcome, now);
}

WorkerVerdict LearnedScorer::Blame(const WorkerRow& worker,
                                   const State& /*state*/,
                                   absl::Time now) {
  return this->blame.Judge(worker, now);
}

double LearnedScorer::ShareOrder(const std::string& account,
                                 const State& state,
                                 absl::Time now) const {
  return this->best_fit.ShareOrder(account, state, now);
}

}  // namespace cuminjunction
