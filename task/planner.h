#ifndef TASK_PLANNER_H_
#define TASK_PLANNER_H_

// Decides what runs where, over a planner's picture of the rows.
//
//   Planner<BestFitScorer> planner(options, &charts, scorer, &log);
//   planner.SetDocument(version, document);
//   planner.GetState()->Apply(row);               // rows as they are read
//   std::vector<Batch> batches = planner.Round(now, lapsed);
//
// A round is pure: it reads no clock, table or socket. Its decisions are in the
// picture at once; the caller commits the batches and applies what comes of
// them (see task/planner_loop.h). In this order a round
//   1. fences workers whose lease has lapsed and releases what is lost,
//   2. expands changed jobs and services and updates what depends on them,
//   3. parks tasks that no worker can ever hold, and retries them when one can,
//   4. blames workers as the scorer says,
//   5. throttles and evicts for services, when the scorer asks for it,
//   6. empties workers that are being drained,
//   7. places waiting tasks, evicting for urgent ones within the budget.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "task/expand.h"
#include "task/explain.h"
#include "task/guard.h"
#include "task/lease.h"
#include "task/placer.h"
#include "task/plan.h"
#include "task/scorer.h"
#include "task/state.h"

namespace cuminjunction {

struct PlannerOptions {
  // Unique among processes and restarts; part of transaction ids.
  std::string name;
  PlacerOptions placer;
  // Evictions of a round from workers that are being drained.
  int drain_evictions = 20;
};

// What a round may do.
struct RoundInput {
  absl::Time now;
  std::vector<ExpiredLease> lapsed;
  // False until every row was read once. Before, only urgent work is placed,
  // and nothing is expanded.
  bool complete = true;
  // False after an outage until the workers have renewed their leases.
  bool may_place = true;
  // Rows that expansion and placements may write; fences, releases and
  // cancellations may exceed it.
  size_t most_rows = 80;
};

// A scorer that also asks for throttles and evictions.
template <class S>
concept RelievingScorer = Scorer<S> &&
    requires(S& scorer, const State& state, absl::Time now) {
  { scorer.Relieve(state, now) } -> std::same_as<std::vector<GuardAction>>;
};

template <Scorer S>
class Planner {
 public:
  Planner(const PlannerOptions& options,
          const TaskCharts* charts,
          S scorer,
          Log* log)
      : options(options),
        charts(charts),
        scorer(std::move(scorer)),
        placer(options.placer),
        explainer(log) {}

  // Takes a configuration document. Lower versions than the known one are
  // ignored.
  void SetDocument(uint64_t version, const Document& document) {
    if (version <= this->config_version)
      return;
    this->config_version = version;
    for (const auto& [name, declaration] : this->declared)
      this->touched.insert(name);
    this->declared = Declarations(document);
    for (const auto& [name, declaration] : this->declared)
      this->touched.insert(name);
    this->quotas.clear();
    for (const auto& [name, account] : document.accounts)
      this->quotas[name] = account.quota;
    this->config_changed = true;
  }

  State* GetState() { return &this->state; }
  const State& GetState() const { return this->state; }
  S* GetScorer() { return &this->scorer; }
  uint64_t ConfigVersion() const { return this->config_version; }

  Result<Explanation> Explain(const std::string& task) const {
    return this->explainer.Explain(task, this->state);
  }

  // One round of decisions. The batches touch disjoint rows.
  std::vector<Batch> Round(const RoundInput& input) {
    const absl::Time now = input.now;
    Plan plan(this->charts, &this->state, this->options.name, &this->counter);
    this->state.ReleaseExpiredBackoffs(now);
    this->FenceLapsed(input, &plan);
    this->ReleaseLost(&plan);
    if (input.complete) {
      this->Expand(now, input.most_rows, &plan);
      this->ParkUnfit(&plan);
    }
    this->BlameWorkers(now, &plan);
    if (input.may_place) {
      if constexpr (RelievingScorer<S>)
        this->RelieveServices(now, &plan);
      this->EmptyDraining(now, &plan);
      const RoundLimits limits = {input.most_rows, !input.complete};
      this->placer.Run(&this->scorer, &this->state, this->quotas, limits, now,
                       &plan, &this->explainer);
    }
    return plan.TakeBatches();
  }

 private:
  void FenceLapsed(const RoundInput& input, Plan* plan) {
    for (const ExpiredLease& lapse : input.lapsed) {
      const WorkerEntry* worker = this->state.FindWorker(lapse.worker);
      if (worker != nullptr && worker->row.epoch == lapse.epoch)
        (void)plan->Fence(lapse.worker, lapse.sequence);
    }
  }

  void ReleaseLost(Plan* plan) {
    const std::set<std::string> workers =
        this->state.WorkersWithLostAssignments();
    for (const std::string& id : workers) {
      const WorkerRow worker = this->state.FindWorker(id)->row;
      for (const Assignment& assignment : worker.assignments) {
        if (assignment.epoch < worker.epoch)
          (void)plan->ReleaseLost(assignment.task, id);
      }
    }
  }

  void Expand(absl::Time now, size_t most_rows, Plan* plan) {
    std::set<std::string> names = this->state.TakeChangedOwners();
    names.merge(this->touched);
    this->touched.clear();
    if (this->config_changed) {
      for (const auto& [name, owner] : this->state.Owners())
        names.insert(name);
      for (const auto& [name, tasks] : this->state.Dependents())
        names.insert(name);
      this->config_changed = false;
    }
    if (this->config_version == 0) {
      this->touched = std::move(names);
      return;
    }
    for (const std::string& name : names) {
      // What does not fit into this round comes up in the next.
      if (plan->Rows() >= most_rows) {
        this->touched.insert(name);
        continue;
      }
      ExpandOwner(name, this->declared, this->config_version, this->state, now,
                  plan);
      UpdateDependents(name, this->declared, this->state, plan);
    }
  }

  // A task of a size above every worker's is reported at once.
  void ParkUnfit(Plan* plan) {
    if (this->state.Workers().empty())
      return;
    std::vector<std::string> hopeless;
    for (const auto& [size, ids] : this->state.WaitingSizes()) {
      if (!this->state.CanEverFit(size))
        hopeless.insert(hopeless.end(), ids.begin(), ids.end());
    }
    for (const std::string& id : hopeless) {
      (void)plan->Park(id, ParkReason::kNoWorkerFits,
                       "no worker of the fleet is large enough");
    }
    if (this->state.TasksWithoutFittingWorker().empty())
      return;
    const std::set<std::string> unfit = this->state.TasksWithoutFittingWorker();
    for (const std::string& id : unfit) {
      if (this->state.CanEverFit(this->state.FindTask(id)->row.size))
        (void)plan->Retry(id);
    }
  }

  void BlameWorkers(absl::Time now, Plan* plan) {
    std::set<std::string> asked = this->state.SuspectWorkers();
    for (const AttemptOutcome& outcome : this->state.TakeOutcomes()) {
      this->scorer.Ended(outcome, now);
      asked.insert(outcome.worker);
    }
    for (const std::string& id : asked) {
      const WorkerEntry* worker = this->state.FindWorker(id);
      if (worker == nullptr)
        continue;
      switch (this->scorer.Blame(worker->row, this->state, now)) {
        case WorkerVerdict::kNone:
          break;
        case WorkerVerdict::kSuspect:
          (void)plan->Suspect(id);
          break;
        case WorkerVerdict::kProbe:
          this->Probe(id, now, plan);
          break;
        case WorkerVerdict::kReadmit:
          (void)plan->Readmit(id);
          break;
      }
    }
  }

  // Gives a suspect worker the least urgent waiting task that it can hold.
  void Probe(const std::string& worker, absl::Time now, Plan* plan) {
    for (const Urgency urgency : {Urgency::kBatch, Urgency::kNormal}) {
      for (const auto& [account, queue] : this->state.Waiting(urgency)) {
        const std::string id = queue.begin()->second;
        if (plan->Place(id, worker, now, PlaceMode::kProbe))
          return;
      }
    }
  }

  // A refused action is asked for again with a later report.
  void RelieveServices(absl::Time now, Plan* plan) {
    for (const GuardAction& action : this->scorer.Relieve(this->state, now)) {
      const TaskEntry* entry = this->state.FindTask(action.task);
      if (entry == nullptr || !entry->row.IsPlaced())
        continue;
      const TaskRow task = entry->row;
      if (action.kind == GuardAction::Kind::kThrottle)
        (void)plan->Throttle(task.id, action.share_percent);
      else if (plan->Evict(task.id, action.reason))
        this->explainer.Evicted(task, action.reason, now);
    }
  }

  // Checkpoints exclusive tasks of draining workers. Replicas are replaced by
  // the expansion, which starts their replacements first.
  void EmptyDraining(absl::Time now, Plan* plan) {
    int left = this->options.drain_evictions;
    const std::set<std::string> workers = this->state.DrainingWorkers();
    for (const std::string& id : workers) {
      const WorkerRow worker = this->state.FindWorker(id)->row;
      for (const Assignment& assignment : worker.assignments) {
        const TaskEntry* entry = this->state.FindTask(assignment.task);
        if (entry == nullptr)
          continue;
        const TaskRow task = entry->row;
        this->touched.insert(task.owner);
        if (left <= 0 || !task.IsExclusive() || !task.IsPlaced())
          continue;
        const std::string reason = StrCat("worker ", id, " is drained");
        if (plan->Evict(task.id, reason)) {
          --left;
          this->explainer.Evicted(task, reason, now);
        }
      }
    }
  }

  PlannerOptions options;
  const TaskCharts* charts;
  S scorer;
  Placer placer;
  Explainer explainer;
  State state;
  uint64_t counter = 0;
  uint64_t config_version = 0;
  std::map<std::string, Declaration> declared;
  Quotas quotas;
  // Jobs and services to look at in the next round.
  std::set<std::string> touched;
  bool config_changed = false;
};

}  // namespace cuminjunction

#endif  // TASK_PLANNER_H_
