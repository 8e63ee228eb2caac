#ifndef TASK_PLACER_INTERNAL_H_
#define TASK_PLACER_INTERNAL_H_

// Templates of task/placer.h.

#include <algorithm>

#include "base/strings.h"
#include "task/placer.h"

namespace cuminjunction {

template <Scorer S>
bool Placer::PlaceTask(S* scorer,
                       const State& state,
                       const TaskRow& task,
                       absl::Time now,
                       Plan* plan,
                       Explainer* explainer) {
  const std::vector<const WorkerEntry*> candidates =
      this->Candidates(state, task);
  const WorkerEntry* best = nullptr;
  PlacementScore best_score;
  size_t allowed = 0;
  for (const WorkerEntry* worker : candidates) {
    const PlacementScore score = scorer->Score(task, worker->row, state, now);
    if (!score.allowed)
      continue;
    ++allowed;
    if (best != nullptr && score.Total() <= best_score.Total())
      continue;
    best = worker;
    best_score = score;
  }
  if (best == nullptr) {
    explainer->RecordWait(task,
                          candidates.empty()
                              ? "no worker has room for it now"
                              : "no worker with room is suitable for it now",
                          now);
    return false;
  }
  // Copies, because Place() changes the rows in the state.
  const TaskRow decided = task;
  const WorkerRow target = best->row;
  if (!plan->Place(decided.id, target.id, now, PlaceMode::kNormal))
    return false;
  this->Release(decided.id);
  explainer->RecordPlacement(decided, target, best_score, allowed, now);
  return true;
}

template <Scorer S>
bool Placer::PlaceOneOfAccount(const std::string& account,
                               Urgency urgency,
                               S* scorer,
                               State* state,
                               const Quotas& quotas,
                               absl::Time now,
                               Plan* plan,
                               Explainer* explainer) {
  const auto& queues = state->Waiting(urgency);
  const auto queue = queues.find(account);
  if (queue == queues.end())
    return false;
  const auto quota = quotas.find(account);
  const Size use = state->CommittedTo(account);
  int attempts = 0;
  int skips = 0;
  for (const auto& [created, id] : queue->second) {
    if (attempts > this->options.max_placement_attempts ||
        skips > this->options.max_skips)
      return false;
    const TaskRow& task = state->FindTask(id)->row;
    if (quota != quotas.end() && !Fits(use + task.size, quota->second)) {
      ++attempts;
      explainer->RecordWait(task, QuotaReason(task, quota->second), now);
      continue;
    }
    if (this->IsKnownUnplaceable(task.size) &&
        !this->reservations.contains(task.id)) {
      ++skips;
      this->RecordUnplacedUrgent(task);
      continue;
    }
    ++attempts;
    if (this->PlaceTask(scorer, *state, task, now, plan, explainer))
      return true;
    this->RecordUnplacedUrgent(state->FindTask(id)->row);
  }
  return false;
}

template <Scorer S>
bool Placer::PlaceOneOfClass(Urgency urgency,
                             S* scorer,
                             State* state,
                             const Quotas& quotas,
                             absl::Time now,
                             Plan* plan,
                             Explainer* explainer) {
  std::vector<std::pair<double, std::string>> order;
  for (const auto& [account, queue] : state->Waiting(urgency)) {
    if (!this->exhausted.contains({urgency, account}))
      order.emplace_back(scorer->FairShareKey(account, *state, now), account);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [share, account] : order) {
    if (this->PlaceOneOfAccount(account, urgency, scorer, state, quotas, now,
                                plan, explainer))
      return true;
    // No capacity becomes free within a round, so the account is not tried
    // again.
    this->exhausted.insert({urgency, account});
  }
  return false;
}

template <Scorer S>
void Placer::Run(S* scorer,
                 State* state,
                 const Quotas& quotas,
                 const RoundLimits& limits,
                 absl::Time now,
                 Plan* plan,
                 Explainer* explainer) {
  this->evictions.Refill(now);
  this->ExpireReservations(now);
  this->unplaceable_sizes.clear();
  this->unplaced_urgent.clear();
  this->exhausted.clear();
  bool placed = true;
  while (placed && plan->RowCount() < limits.max_rows) {
    placed = false;
    for (const Urgency urgency : this->ClassOrder(*state, limits.urgent_only)) {
      placed = this->PlaceOneOfClass(urgency, scorer, state, quotas, now, plan,
                                     explainer);
      if (placed)
        break;
    }
  }
  this->EvictForUrgent(*state, now, plan, explainer);
}

}  // namespace cuminjunction

#endif  // TASK_PLACER_INTERNAL_H_
