#include "task/scorer.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// Makes another attempt run on a worker where the task has not failed yet, if
// one has free capacity.
constexpr double kRepeatedFailurePenalty = 4;
// Keeps work without accelerators off workers with free accelerators, which are
// scarce.
constexpr double kWastedAcceleratorPenalty = 0.5;

double Ratio(int64_t part, int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

int CountAt(const std::map<std::string, int>& counts, const std::string& key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

double DominantShare(const Size& use, const Size& capacity) {
  return std::max({Ratio(use.millicores, capacity.millicores),
                   Ratio(use.memory_mib, capacity.memory_mib),
                   Ratio(use.accelerators, capacity.accelerators)});
}

PlacementScore BestFitScorer::Score(const TaskRow& task,
                                    const WorkerRow& worker,
                                    const State& state,
                                    absl::Time /*now*/) const {
  PlacementScore score;
  const Size remaining = worker.Free() - task.size;
  score.fit =
      1 - std::max(Ratio(remaining.millicores, worker.capacity.millicores),
                   Ratio(remaining.memory_mib, worker.capacity.memory_mib));
  if (task.size.accelerators == 0 && remaining.accelerators > 0)
    score.fit -= kWastedAcceleratorPenalty;
  const OwnerTasks& owner = state.TasksOf(task.owner);
  if (owner.placed > 0) {
    const double placed = static_cast<double>(owner.placed);
    const int in_rack = CountAt(owner.racks, worker.rack);
    const int in_domain = CountAt(owner.failure_domains, worker.failure_domain);
    score.spread = 1 - (in_rack + in_domain) / (2 * placed);
  }
  if (std::find(task.failed_on.begin(), task.failed_on.end(), worker.id) !=
      task.failed_on.end())
    score.moving -= kRepeatedFailurePenalty;
  return score;
}

void BestFitScorer::RecordOutcome(const AttemptOutcome& /*outcome*/,
                                  absl::Time /*now*/) {}

WorkerVerdict BestFitScorer::JudgeWorker(const WorkerRow& /*worker*/,
                                         const State& /*state*/,
                                         absl::Time /*now*/) const {
  return WorkerVerdict::kNone;
}

double BestFitScorer::FairShareKey(const std::string& account,
                                   const State& state,
                                   absl::Time /*now*/) const {
  const auto found = this->accounts.find(account);
  const int64_t weight = found == this->accounts.end()
                             ? 1
                             : std::max<int64_t>(1, found->second.weight);
  return DominantShare(state.UseOf(account), state.Capacity()) /
         static_cast<double>(weight);
}

}  // namespace cuminjunction
