#ifndef TASK_SCORER_H_
#define TASK_SCORER_H_

// What a planner consults about placements.
//
// A scorer judges single workers for single tasks, orders client accounts and
// blames workers. The planner does the rest: it keeps capacity, quotas, urgency
// and the charts by itself, so that no scorer can break a promise:
//
//   PlacementScore score = scorer.Score(task, worker, state, now);
//   if (!score.allowed) ...           // never this worker, for now
//   best = highest score.Total();
//
//   Ended(outcome, now)    an attempt ended, as seen in the rows
//   Blame(worker, state, now)  asked for each worker on which an attempt ended
//                          since the last round and for each suspect one
//   ShareOrder(account, state, now)  the account with the smallest value is
//                          served first within an urgency
//
// BestFitScorer is the default: it knows neither usage nor interference.

#include <concepts>
#include <map>
#include <string>

#include "absl/time/time.h"
#include "config/document.h"
#include "task/state.h"

namespace cuminjunction {

// Parts of a score; each is at most 1 and higher is better. They are logged
// with the decision.
struct PlacementScore {
  bool allowed = true;
  // How little of the worker's scarcest resource is left over.
  double fit = 0;
  // How few tasks of the same owner share the rack and failure domain.
  double spread = 0;
  // How little the worker's other tasks slow this one down, and the reverse.
  double interference = 0;
  // How near the worker is to what the task needs.
  double locality = 0;
  // How little is lost by moving.
  double moving = 0;

  double Total() const {
    return this->fit + this->spread + this->interference + this->locality +
           this->moving;
  }
};

// What to do about a worker.
enum class WorkerVerdict {
  kNone,
  // Place nothing on it but single probes.
  kSuspect,
  // Let it have one task to see whether it still fails.
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
  { scorer.Ended(outcome, now) } -> std::same_as<void>;
  { scorer.Blame(worker, state, now) } -> std::same_as<WorkerVerdict>;
  { scorer.ShareOrder(account, state, now) } -> std::same_as<double>;
};

// Best fit with spread over racks and failure domains. Accounts are ordered by
// their dominant share divided by their weight.
class BestFitScorer {
 public:
  // `accounts` may be replaced when the configuration changes.
  void SetAccounts(std::map<std::string, Account> new_accounts) {
    this->accounts = std::move(new_accounts);
  }

  PlacementScore Score(const TaskRow& task,
                       const WorkerRow& worker,
                       const State& state,
                       absl::Time now) const;
  void Ended(const AttemptOutcome& outcome, absl::Time now);
  WorkerVerdict Blame(const WorkerRow& worker,
                      const State& state,
                      absl::Time now) const;
  double ShareOrder(const std::string& account,
                    const State& state,
                    absl::Time now) const;

 private:
  std::map<std::string, Account> accounts;
};

// The largest share of the capacity that `use` takes of any resource.
double DominantShare(const Size& use, const Size& capacity);

}  // namespace cuminjunction

#endif  // TASK_SCORER_H_
