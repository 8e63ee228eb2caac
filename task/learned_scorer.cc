#include "task/learned_scorer.h"

#include <algorithm>
#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

// Places tasks on a worker with an unexplained failure only when no other
// worker fits, until an attempt succeeds there. Outweighs fit and spread, which
// are at most 2 together.
constexpr double kUnexplainedFailurePenalty = 2;
// A predicted latency ratio above this value is penalized, which leaves
// headroom for growing load. Each growth has a small penalty of its own.
constexpr double kComfortableLatencyRatio = 0.7;
constexpr double kLatencyRatioWeight = 3;
constexpr double kGrowthWeight = 0.5;
// A batch task waits for another worker when it adds, with at least this
// confidence, at least this growth to a tail latency, and the latency ratio is
// then above this value.
constexpr double kMinRefusedGrowth = 0.05;
constexpr double kRefusedLatencyRatio = 0.95;
constexpr double kMinConfidence = 0.5;

constexpr absl::Duration kSweepInterval = absl::Minutes(10);
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

// The exposure to the other tasks of a report, by owner.
std::vector<Exposure> NeighboursOf(const UsageReport& report,
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

void LearnedScorer::AddReport(const UsageReport& report, absl::Time now) {
  this->usage.Observe(report);
  const int64_t index =
      ToMicros(report.at) / absl::ToInt64Microseconds(this->options.window);
  ReportWindow& window =
      this->windows
          .try_emplace(index,
                       ReportWindow{now + this->options.window_grace, {}})
          .first->second;
  window.reports.push_back(report);
  this->DropStaleModels(now);
}

void LearnedScorer::DropStaleModels(absl::Time now) {
  if (now < this->next_sweep)
    return;
  this->next_sweep = now + kSweepInterval;
  this->usage.DropOlderThan(now - this->options.retention);
  this->interference.DropOlderThan(now - this->options.retention);
}

double LearnedScorer::ExpectedShare(const TaskRow& task,
                                    const WorkerRow& worker) const {
  const Size expected = this->usage.Expected(task.owner, task.size);
  return ShareOf(expected.millicores, worker.capacity);
}

LearnedScorer::WorkerLoad LearnedScorer::LoadOf(const WorkerRow& worker,
                                                const State& state) const {
  WorkerLoad load;
  for (const Assignment& assignment : worker.assignments) {
    const TaskEntry* entry = state.FindTask(assignment.task);
    if (entry == nullptr)
      continue;
    const TaskRow& task = entry->row;
    load.shares[task.owner] += this->ExpectedShare(task, worker) *
                               assignment.share_percent / kWholePercent;
    if (this->TargetOf(task.owner) > 0)
      load.services.push_back(task.owner);
  }
  return load;
}

double LearnedScorer::GrowthOnWorker(const std::string& service,
                                     const WorkerLoad& load,
                                     double own_share) const {
  const double all =
      this->interference.ExpectedGrowth(service, ToExposures(load.shares));
  const double own =
      this->interference.Coefficient(service, service) * own_share;
  return std::max(0.0, all - own);
}

void LearnedScorer::ScoreInterference(const TaskRow& task,
                                      const WorkerRow& worker,
                                      const State& state,
                                      absl::Time now,
                                      PlacementScore* score) const {
  const WorkerLoad load = this->LoadOf(worker, state);
  const double target_ms = this->TargetOf(task.owner);
  if (target_ms > 0) {
    const double tail_ms = this->interference.PeakBaseline(task.owner) *
                           (1 + this->GrowthOnWorker(task.owner, load, 0));
    score->interference -=
        kLatencyRatioWeight *
        std::max(0.0, tail_ms / target_ms - kComfortableLatencyRatio);
  }
  const double share = this->ExpectedShare(task, worker);
  const absl::Time since =
      FromMicros(std::max({task.created_us, task.placed_us}));
  const bool may_wait = task.kind == TaskKind::kBatch &&
                        task.urgency != Urgency::kUrgent &&
                        now < since + this->options.max_batch_wait;
  for (const std::string& service : load.services) {
    const double added_growth =
        this->interference.Coefficient(service, task.owner) * share;
    const double own = load.shares.at(service);
    const double tail_ms =
        this->interference.PeakBaseline(service) *
        (1 + this->GrowthOnWorker(service, load, own) + added_growth);
    const double latency_ratio = tail_ms / this->TargetOf(service);
    score->interference -=
        kLatencyRatioWeight *
            std::max(0.0, latency_ratio - kComfortableLatencyRatio) +
        kGrowthWeight * added_growth;
    const bool is_confident =
        this->interference.Confidence(service, task.owner) >= kMinConfidence;
    const bool is_refused = is_confident && added_growth >= kMinRefusedGrowth &&
                            latency_ratio > kRefusedLatencyRatio;
    if (may_wait &&
        (is_refused || this->guard.IsRemembered(service, task.owner, now)))
      score->allowed = false;
  }
}

PlacementScore LearnedScorer::Score(const TaskRow& task,
                                    const WorkerRow& worker,
                                    const State& state,
                                    absl::Time now) const {
  PlacementScore score = this->best_fit.Score(task, worker, state, now);
  if (this->attribution.HasEvidenceAgainst(worker.id))
    score.moving -= kUnexplainedFailurePenalty;
  if (!this->targets_ms.empty())
    this->ScoreInterference(task, worker, state, now, &score);
  return score;
}

void LearnedScorer::RecordOutcome(const AttemptOutcome& outcome,
                                  absl::Time now) {
  this->attribution.RecordOutcome(outcome, now);
  this->guard.Ended();
}

WorkerVerdict LearnedScorer::JudgeWorker(const WorkerRow& worker,
                                         const State& /*state*/,
                                         absl::Time now) {
  return this->attribution.Judge(worker, now);
}

double LearnedScorer::FairShareKey(const std::string& account,
                                   const State& state,
                                   absl::Time now) const {
  return this->best_fit.FairShareKey(account, state, now);
}

void LearnedScorer::UpdateInterference(
    const std::vector<UsageReport>& reports) {
  std::map<std::string, std::vector<TailLatencySample>> samples;
  absl::Time newest = absl::InfinitePast();
  for (const UsageReport& report : reports) {
    newest = std::max(newest, report.at);
    for (const TaskUsage& task : report.tasks) {
      if (task.tail_ms > 0 && this->TargetOf(task.owner) > 0) {
        samples[task.owner].push_back(
            {task.tail_ms, NeighboursOf(report, task.task)});
      }
    }
  }
  for (const auto& [service, service_samples] : samples)
    this->interference.Observe(service, service_samples, newest);
}

GuardView LearnedScorer::MakeGuardView(const UsageReport& report,
                                       const WorkerRow& worker,
                                       const State& state,
                                       absl::Time now) const {
  GuardView view;
  view.worker = report.worker;
  view.at = report.at;
  for (const TaskUsage& task : report.tasks) {
    if (task.tail_ms > 0 && this->TargetOf(task.owner) > 0) {
      view.services.push_back(
          {task.owner, task.tail_ms, this->TargetOf(task.owner),
           this->interference.Baseline(task.owner),
           this->interference.SmoothedBaseline(task.owner)});
    }
  }
  for (const TaskUsage& used : report.tasks) {
    const Assignment* assignment = worker.Find(used.task);
    const TaskEntry* entry = state.FindTask(used.task);
    if (assignment == nullptr || entry == nullptr ||
        assignment->action != AssignmentAction::kRun)
      continue;
    const TaskRow& row = entry->row;
    GuardedNeighbour neighbour;
    neighbour.task = used.task;
    neighbour.owner = used.owner;
    neighbour.movable =
        row.kind == TaskKind::kBatch && row.urgency != Urgency::kUrgent;
    neighbour.share_percent = assignment->share_percent;
    neighbour.loss = absl::ToDoubleSeconds(now - FromMicros(row.placed_us)) *
                     static_cast<double>(row.size.millicores) /
                     kMillicoresPerCore;
    const double share = ShareOf(used.millicores, worker.capacity);
    for (const GuardedService& service : view.services) {
      neighbour.adds.push_back(
          share * this->interference.Coefficient(service.service, used.owner));
    }
    view.neighbours.push_back(std::move(neighbour));
  }
  return view;
}

std::vector<GuardAction> LearnedScorer::Mitigate(const State& state,
                                                 absl::Time now) {
  std::vector<GuardAction> out = this->guard.LiftUnreported(now);
  while (!this->windows.empty() && this->windows.begin()->second.due <= now) {
    const std::vector<UsageReport> reports =
        std::move(this->windows.begin()->second.reports);
    this->windows.erase(this->windows.begin());
    this->UpdateInterference(reports);
    for (const UsageReport& report : reports) {
      const WorkerEntry* worker = state.FindWorker(report.worker);
      if (worker == nullptr)
        continue;
      const GuardView view =
          this->MakeGuardView(report, worker->row, state, now);
      for (GuardAction& action : this->guard.Judge(view, now))
        out.push_back(std::move(action));
    }
  }
  return out;
}

}  // namespace cuminjunction
