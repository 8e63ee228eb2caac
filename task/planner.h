#ifndef TASK_PLANNER_H_
#define TASK_PLANNER_H_

// Decides which task runs on which worker, from an in-memory copy of the rows.
//
//   Planner<BestFitScorer> planner(options, &charts, scorer, &log);
//   planner.SetDocument(version, document);
//   planner.GetState()->Apply(row);               // rows as they are read
//   std::vector<Batch> batches = planner.Round(input);
//
// A round reads no clock, table or socket. Its decisions are applied to the
// state immediately. The caller commits the batches and applies the results of
// the commits (see task/planner_loop.h). A round, in this order,
//   1. fences workers whose lease has expired and releases lost assignments,
//   2. expands changed jobs and services and updates what depends on them,
//   3. parks tasks that fit no worker, and retries them when one is added that
//      they fit,
//   4. marks workers suspect, probes or readmits them by the scorer's verdict,
//   5. throttles and evicts tasks that slow down services, if the scorer
//      requests it,
//   6. evicts tasks from workers that are being drained,
//   7. places waiting tasks, and evicts for urgent ones within the budget.

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
  // Maximum number of evictions of a round from workers that are being drained.
  int max_drain_evictions = 20;
};

// Time, expired leases and limits of a round.
struct RoundInput {
  absl::Time now;
  std::vector<LeaseLapse> expired_leases;
  // True once every row has been read. Until then, only urgent work is placed
  // and nothing is expanded.
  bool complete = true;
  // False after an outage until the workers have renewed their leases.
  bool may_place = true;
  // Number of rows at which expansion and placement end. Fences, releases and
  // cancellations may exceed it.
  size_t max_rows = 80;
};

// A scorer that also requests throttles and evictions.
template <class S>
concept MitigatingScorer = Scorer<S> &&
    requires(S& scorer, const State& state, absl::Time now) {
  { scorer.Mitigate(state, now) } -> std::same_as<std::vector<GuardAction>>;
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

  // Sets the configuration document. Ignored unless its version is higher than
  // that of the present one.
  void SetDocument(uint64_t version, const Document& document) {
    if (version <= this->config_version)
      return;
    this->config_version = version;
    for (const auto& [name, declaration] : this->declared)
      this->owners_to_expand.insert(name);
    this->declared = Declarations(document);
    for (const auto& [name, declaration] : this->declared)
      this->owners_to_expand.insert(name);
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

  // Makes one round of decisions. The batches write disjoint rows.
  std::vector<Batch> Round(const RoundInput& input) {
    const absl::Time now = input.now;
    Plan plan(this->charts, &this->state, this->options.name, &this->counter);
    this->state.Wake(now);
    this->FenceExpired(input, &plan);
    this->ReleaseLost(&plan);
    if (input.complete) {
      this->Expand(now, input.max_rows, &plan);
      this->ParkUnplaceable(&plan);
    }
    this->JudgeWorkers(now, &plan);
    if (input.may_place) {
      if constexpr (MitigatingScorer<S>)
        this->MitigateInterference(now, &plan);
      this->EvictFromDraining(now, &plan);
      const RoundLimits limits = {input.max_rows, !input.complete};
      this->placer.Run(&this->scorer, &this->state, this->quotas, limits, now,
                       &plan, &this->explainer);
    }
    return plan.TakeBatches();
  }

 private:
  void FenceExpired(const RoundInput& input, Plan* plan) {
    for (const LeaseLapse& expired : input.expired_leases) {
      const WorkerEntry* worker = this->state.FindWorker(expired.worker);
      if (worker != nullptr && worker->row.epoch == expired.epoch)
        (void)plan->Fence(expired.worker, expired.sequence);
    }
  }

  void ReleaseLost(Plan* plan) {
    const std::set<std::string> workers = this->state.WorkersWithLost();
    for (const std::string& id : workers) {
      const WorkerRow worker = this->state.FindWorker(id)->row;
      for (const Assignment& assignment : worker.assignments) {
        if (assignment.epoch < worker.epoch)
          (void)plan->ReleaseLost(assignment.task, id);
      }
    }
  }

  void Expand(absl::Time now, size_t max_rows, Plan* plan) {
    std::set<std::string> names = this->state.TakeChangedOwners();
    names.merge(this->owners_to_expand);
    this->owners_to_expand.clear();
    if (this->config_changed) {
      for (const auto& [name, owner] : this->state.Owners())
        names.insert(name);
      for (const auto& [name, tasks] : this->state.Dependents())
        names.insert(name);
      this->config_changed = false;
    }
    if (this->config_version == 0) {
      this->owners_to_expand = std::move(names);
      return;
    }
    for (const std::string& name : names) {
      // Owners beyond the row limit are expanded in the next round.
      if (plan->RowCount() >= max_rows) {
        this->owners_to_expand.insert(name);
        continue;
      }
      ExpandOwner(name, this->declared, this->config_version, this->state, now,
                  plan);
      UpdateDependents(name, this->declared, this->state, plan);
    }
  }

  // Parks waiting tasks that are larger than every worker, so that operators
  // see them at once, and retries parked ones that now fit a worker.
  void ParkUnplaceable(Plan* plan) {
    if (this->state.Workers().empty())
      return;
    std::vector<std::string> unplaceable;
    for (const auto& [size, ids] : this->state.WaitingSizes()) {
      if (!this->state.CanEverFit(size))
        unplaceable.insert(unplaceable.end(), ids.begin(), ids.end());
    }
    for (const std::string& id : unplaceable) {
      (void)plan->Park(id, ParkReason::kNoWorkerFits,
                       "no worker of the fleet is large enough");
    }
    if (this->state.Unfit().empty())
      return;
    const std::set<std::string> parked_unplaceable = this->state.Unfit();
    for (const std::string& id : parked_unplaceable) {
      if (this->state.CanEverFit(this->state.FindTask(id)->row.size))
        (void)plan->Retry(id);
    }
  }

  void JudgeWorkers(absl::Time now, Plan* plan) {
    std::set<std::string> workers_to_judge = this->state.SuspectWorkers();
    for (const AttemptOutcome& outcome : this->state.TakeOutcomes()) {
      this->scorer.RecordOutcome(outcome, now);
      workers_to_judge.insert(outcome.worker);
    }
    for (const std::string& id : workers_to_judge) {
      const WorkerEntry* worker = this->state.FindWorker(id);
      if (worker == nullptr)
        continue;
      switch (this->scorer.JudgeWorker(worker->row, this->state, now)) {
        case WorkerVerdict::kNone:
          break;
        case WorkerVerdict::kSuspect:
          (void)plan->Suspect(id);
          break;
        case WorkerVerdict::kProbe:
          this->PlaceProbe(id, now, plan);
          break;
        case WorkerVerdict::kReadmit:
          (void)plan->Readmit(id);
          break;
      }
    }
  }

  // Places the least urgent waiting task that fits on a suspect worker.
  void PlaceProbe(const std::string& worker, absl::Time now, Plan* plan) {
    for (const Urgency urgency : {Urgency::kBatch, Urgency::kNormal}) {
      for (const auto& [account, queue] : this->state.Waiting(urgency)) {
        const std::string id = queue.begin()->second;
        if (plan->Place(id, worker, now, PlaceMode::kProbe))
          return;
      }
    }
  }

  // Throttles and evicts tasks that slow down services. The scorer requests a
  // refused action again with a later report.
  void MitigateInterference(absl::Time now, Plan* plan) {
    for (const GuardAction& action : this->scorer.Mitigate(this->state, now)) {
      const TaskEntry* entry = this->state.FindTask(action.task);
      if (entry == nullptr || !entry->row.IsPlaced())
        continue;
      const TaskRow task = entry->row;
      if (action.kind == GuardAction::Kind::kThrottle)
        (void)plan->Throttle(task.id, action.share_percent);
      else if (plan->Evict(task.id, action.reason))
        this->explainer.RecordEviction(task, action.reason, now);
    }
  }

  // Evicts exclusive tasks, with a checkpoint, from draining workers. Replicas
  // are replaced by the expansion, which starts their replacements first.
  void EvictFromDraining(absl::Time now, Plan* plan) {
    int evictions_left = this->options.max_drain_evictions;
    const std::set<std::string> workers = this->state.DrainingWorkers();
    for (const std::string& id : workers) {
      const WorkerRow worker = this->state.FindWorker(id)->row;
      for (const Assignment& assignment : worker.assignments) {
        const TaskEntry* entry = this->state.FindTask(assignment.task);
        if (entry == nullptr)
          continue;
        const TaskRow task = entry->row;
        this->owners_to_expand.insert(task.owner);
        if (evictions_left <= 0 || !task.IsExclusive() || !task.IsPlaced())
          continue;
        const std::string reason = StrCat("worker ", id, " is drained");
        if (plan->Evict(task.id, reason)) {
          --evictions_left;
          this->explainer.RecordEviction(task, reason, now);
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
  // Jobs and services to expand in the next round, besides those whose rows
  // changed.
  std::set<std::string> owners_to_expand;
  bool config_changed = false;
};

}  // namespace cuminjunction

#endif  // TASK_PLANNER_H_
