#ifndef TASK_SCORER_H_
#define TASK_SCORER_H_

// The scoring policy of a planner.
//
// A scorer rates a worker for a task, orders client accounts and reports faulty
// workers. The planner itself enforces capacity, quotas, urgency and the
// charts, so no scorer can violate them:
//
//   PlacementScore score = scorer.Score(task, worker, state, now);
//   if (!score.allowed) ...           // not on this worker for now
//   best = highest score.Total();
//
//   RecordOutcome(outcome, now)
//       Called for each attempt whose end the rows show.
//   JudgeWorker(worker, state, now)
//       Called for each worker on which an attempt has ended since the last
//       round and for each suspect worker.
//   FairShareKey(account, state, now)
//       Within an urgency, the account with the smallest value is served first.
//
// BestFitScorer is the default. It uses neither measured usage nor
// interference.

#include <concepts>
#include <map>
#include <string>

#include "absl/time/time.h"
#include "config/document.h"
#include "task/state.h"

namespace cuminjunction {

// Parts of a score. Each is at most 1, and higher is better. They are logged
// with the decision.
struct PlacementScore {
  bool allowed = true;
  // High when the placement leaves little free of the worker's processors and
  // memory, whichever has the larger free share.
  double fit = 0;
  // High when few tasks of the same owner are in the rack and failure domain.
  double spread = 0;
  // High when the task and the worker's other tasks slow each other down
  // little.
  double interference = 0;
  // High when the worker is near to the resources that the task needs.
  double locality = 0;
  // Negative when the worker is a poor target for another attempt, for instance
  // after a failure there.
  double moving = 0;

  double Total() const {
    return this->fit + this->spread + this->interference + this->locality +
           this->moving;
  }
};

// What to do about a worker.
enum class WorkerVerdict {
  kNone,
  // Place only single probe tasks on it.
  kSuspect,
  // Place one task on it to test whether it still fails.
  kProbe,
  kReadmit,
};

template <class S>
concept Scorer = requires(S& scorer,
                          const TaskRow& task,
                          const WorkerRow& worker,
                          const State& state,
                          const AttemptOutcome& outcome,
                          const std::string& account,
                          absl::Time now) {
  { scorer.Score(task, worker, state, now) } -> std::same_as<PlacementScore>;
  { scorer.RecordOutcome(outcome, now) } -> std::same_as<void>;
  { scorer.JudgeWorker(worker, state, now) } -> std::same_as<WorkerVerdict>;
  { scorer.FairShareKey(account, state, now) } -> std::same_as<double>;
};

// Best fit with tasks of an owner spread over racks and failure domains.
// Accounts are ordered by their dominant share divided by their weight.
class BestFitScorer {
 public:
  // Replaces the accounts, for instance when the configuration changes.
  void SetAccounts(std::map<std::string, Account> new_accounts) {
    this->accounts = std::move(new_accounts);
  }

  PlacementScore Score(const TaskRow& task,
                       const WorkerRow& worker,
                       const State& state,
                       absl::Time now) const;
  void RecordOutcome(const AttemptOutcome& outcome, absl::Time now);
  WorkerVerdict JudgeWorker(const WorkerRow& worker,
                            const State& state,
                            absl::Time now) const;
  double FairShareKey(const std::string& account,
                      const State& state,
                      absl::Time now) const;

 private:
  std::map<std::string, Account> accounts;
};

// The largest share of the capacity that `use` takes of any single resource.
double DominantShare(const Size& use, const Size& capacity);

}  // namespace cuminjunction

#endif  // TASK_SCORER_H_
