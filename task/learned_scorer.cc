#include "task/learned_scorer.h"

#include <algorithm>
#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

// A worker on which the last job failed gets no more than it must until an
// attempt succeeds there: fit and spread together are at most 2.
constexpr double kDoubtfulPenalty = 2;
// A service's predicted tail above this share of its target costs, so that load
// has room to grow, and each growth costs a little.
constexpr double kTargetShare = 0.7;
constexpr double kTargetWeight = 3;
constexpr double kGrowthWeight = 0.5;
// A batch task waits for another worker when it is known to add at least so
// much to a tail that is then above this share of its target.
constexpr double kLeastGrowth = 0.05;
constexpr double kRefusedShare = 0.95;
constexpr double kLeastEvidence = 0.5;

constexpr absl::Duration kForgetEvery = absl::Minutes(10);
constexpr double kWholePercent = 100;
constexpr double kMillicoresPerCore = 1000;

double ShareOf(int64_t millicores, const Size& capacity) {
  return capacity.millicores > 0 ? static_cast<double>(millicores) /
                                       static_cast<double>(capacity.millicores)
                                 : 0;
}

std::vector<Exposure> ToExposures(const std::map<std::string, double>& shares) {
  std::vector<Exposure> out;
  for (const auto& [owner, share] : shares) {
    if (share > 0)
      out.push_back({owner, share});
  }
  return out;
}

// What else ran beside a task of a report, by owner.
std::vector<Exposure> Beside(const UsageReport& report,
                             const std::string& task) {
  std::map<std::string, double> shares;
  for (const TaskUsage& other : report.tasks) {
    if (other.task != task)
      shares[other.owner] += ShareOf(other.millicores, report.capacity);
  }
  return ToExposures(shares);
}

}  // namespace

void LearnedScorer::SetDocument(const Document& document) {
  this->best_fit.SetAccounts(document.accounts);
  this->targets_ms.clear();
  for (const auto& [name, service] : document.services) {
    if (service.tail_target_ms > 0)
      this->targets_ms[name] = static_cast<double>(service.tail_target_ms);
  }
}

double LearnedScorer::TargetOf(const std::string& service) const {
  const auto found = this->targets_ms.find(service);
  return found == this->targets_ms.end() ? 0 : found->second;
}

void LearnedScorer::Report(const UsageReport& report, absl::Time now) {
  this->usage.Observe(report);
  const int64_t index =
      ToMicros(report.at) / absl::ToInt64Microseconds(this->options.window);
  Window& window =
      this->windows
          .try_emplace(index, Window{now + this->options.window_wait, {}})
          .first->second;
  window.reports.push_back(report);
  this->Forget(now);
}

void LearnedScorer::Forget(absl::Time now) {
  if (now < this->next_forget)
    return;
  this->next_forget = now + kForgetEvery;
  this->usage.Forget(now - this->options.memory);
  this->interference.Forget(now - this->options.memory);
}

double LearnedScorer::ExpectedShare(const TaskRow& task,
                                    const WorkerRow& worker) const {
  const Size expected = this->usage.Expected(task.owner, task.size);
  return ShareOf(expected.millicores, worker.capacity);
}

LearnedScorer::Mix LearnedScorer::MixOf(const WorkerRow& worker,
                                        const State& state) const {
  Mix mix;
  for (const Assignment& assignment : worker.assignments) {
    const TaskEntry* entry = state.FindTask(assignment.task);
    if (entry == nullptr)
      continue;
    const TaskRow& task = entry->row;
    mix.shares[task.owner] += this->ExpectedShare(task, worker) *
                              assignment.share_percent / kWholePercent;
    if (this->TargetOf(task.owner) > 0)
      mix.services.push_back(task.owner);
  }
  return mix;
}

double LearnedScorer::RaiseAt(const std::string& service,
                              const Mix& mix,
                              double own_share) const {
  const double all =
      this->interference.TotalRaise(service, ToExposures(mix.shares));
  const double own = this->interference.Raise(service, service) * own_share;
  return std::max(0.0, all - own);
}

void LearnedScorer::ScoreInterference(const TaskRow& task,
                                      const WorkerRow& worker,
                                      const State& state,
                                      absl::Time now,
                                      PlacementScore* score) const {
  const Mix mix = this->MixOf(worker, state);
  const double target_ms = this->TargetOf(task.owner);
  if (target_ms > 0) {
    const double tail_ms = this->interference.Peak(task.owner) *
                           (1 + this->RaiseAt(task.owner, mix, 0));
    score->interference -=
        kTargetWeight * std::max(0.0, tail_ms / target_ms - kTargetShare);
  }
  const double share = this->ExpectedShare(task, worker);
  const absl::Time since =
      FromMicros(std::max({task.created_us, task.placed_us}));
  const bool may_wait = task.kind == TaskKind::kBatch &&
                        task.urgency != Urgency::kUrgent &&
                        now < since + this->options.patience;
  for (const std::string& service : mix.services) {
    const double adds = this->interference.Raise(service, task.owner) * share;
    const double own = mix.shares.at(service);
    const double tail_ms = this->interference.Peak(service) *
                           (1 + this->RaiseAt(service, mix, own) + adds);
    const double of_target = tail_ms / this->TargetOf(service);
    score->interference -=
        kTargetWeight * std::max(0.0, of_target - kTargetShare) +
        kGrowthWeight * adds;
    const bool known =
        this->interference.Evidence(service, task.owner) >= kLeastEvidence;
    const bool too_much =
        known && adds >= kLeastGrowth && of_target > kRefusedShare;
    if (may_wait &&
        (too_much || this->guard.IsPairAvoided(service, task.owner, now)))
      score->allowed = false;
  }
}

PlacementScore LearnedScorer::Score(const TaskRow& task,
                                    const WorkerRow& worker,
                                    const State& state,
                                    absl::Time now) const {
  PlacementScore score = this->best_fit.Score(task, worker, state, now);
  if (this->blame.IsDoubtful(worker.id))
    score.moving -= kDoubtfulPenalty;
  if (!this->targets_ms.empty())
    this->ScoreInterference(task, worker, state, now, &score);
  return score;
}

void LearnedScorer::Ended(const AttemptOutcome& outcome, absl::Time now) {
  this->blame.Ended(outcome, now);
  this->guard.RecordAttemptEnd();
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

void LearnedScorer::Compare(const std::vector<UsageReport>& reports) {
  std::map<std::string, std::vector<TailSample>> samples;
  absl::Time newest = absl::InfinitePast();
  for (const UsageReport& report : reports) {
    newest = std::max(newest, report.at);
    for (const TaskUsage& task : report.tasks) {
      if (task.tail_ms > 0 && this->TargetOf(task.owner) > 0) {
        samples[task.owner].push_back(
            {task.tail_ms, Beside(report, task.task)});
      }
    }
  }
  for (const auto& [service, of_service] : samples)
    this->interference.Observe(service, of_service, newest);
}

GuardView LearnedScorer::ViewOf(const UsageReport& report,
                                const WorkerRow& worker,
                                const State& state,
                                absl::Time now) const {
  GuardView view;
  view.worker = report.worker;
  view.measured_at = report.at;
  for (const TaskUsage& task : report.tasks) {
    if (task.tail_ms > 0 && this->TargetOf(task.owner) > 0) {
      view.services.push_back({task.owner, task.tail_ms,
                               this->TargetOf(task.owner),
                               this->interference.Baseline(task.owner),
                               this->interference.Usual(task.owner)});
    }
  }
  for (const TaskUsage& used : report.tasks) {
    const Assignment* assignment = worker.Find(used.task);
    const TaskEntry* entry = state.FindTask(used.task);
    if (assignment == nullptr || entry == nullptr ||
        assignment->action != AssignmentAction::kRun)
      continue;
    const TaskRow& row = entry->row;
    ColocatedTask neighbour;
    neighbour.task = used.task;
    neighbour.owner = used.owner;
    neighbour.preemptible =
        row.kind == TaskKind::kBatch && row.urgency != Urgency::kUrgent;
    neighbour.share_percent = assignment->share_percent;
    neighbour.unsaved_core_seconds =
        absl::ToDoubleSeconds(now - FromMicros(row.placed_us)) *
        static_cast<double>(row.size.millicores) / kMillicoresPerCore;
    const double share = ShareOf(used.millicores, worker.capacity);
    for (const GuardedService& service : view.services) {
      neighbour.added_growth.push_back(
          share * this->interference.Raise(service.service, used.owner));
    }
    view.colocated_tasks.push_back(std::move(neighbour));
  }
  return view;
}

std::vector<GuardAction> LearnedScorer::Relieve(const State& state,
                                                absl::Time now) {
  std::vector<GuardAction> out = this->guard.LiftThrottlesWithoutReports(now);
  while (!this->windows.empty() && this->windows.begin()->second.due <= now) {
    const std::vector<UsageReport> reports =
        std::move(this->windows.begin()->second.reports);
    this->windows.erase(this->windows.begin());
    this->Compare(reports);
    for (const UsageReport& report : reports) {
      const WorkerEntry* worker = state.FindWorker(report.worker);
      if (worker == nullptr)
        continue;
      const GuardView view = this->ViewOf(report, worker->row, state, now);
      for (GuardAction& action : this->guard.Evaluate(view, now))
        out.push_back(std::move(action));
    }
  }
  return out;
}

}  // namespace cuminjunction
