#include "task/placer.h"

#include <algorithm>
#include <array>

#include "base/strings.h"
#include "base/time.h"

namespace cuminjunction {

namespace {

// Workers that may be skipped in the search for candidates because they lack
// memory or have reserved capacity.
constexpr int kMaxSkippedWorkers = 24;
// Random workers compared for evictions.
constexpr int kEvictionCandidates = 24;

// True for less urgent work that can be checkpointed and resumed elsewhere. A
// task placed in this round is not evicted, since it is part of the minimum
// share of its class.
bool IsEvictable(const TaskRow& victim, const TaskRow& task, absl::Time now) {
  return victim.IsPlaced() && FromMicros(victim.placed_us) < now &&
         victim.kind == TaskKind::kBatch && victim.urgency > task.urgency;
}

// Upper bound of the work, in millicore-seconds, that is lost when the task
// resumes from its checkpoint or starts again.
double LostWork(const TaskRow& victim, absl::Time now) {
  const double seconds =
      absl::ToDoubleSeconds(now - FromMicros(victim.placed_us));
  return std::max(seconds, 0.0) * static_cast<double>(victim.size.millicores);
}

}  // namespace

void TokenBucket::Refill(absl::Time now) {
  if (this->last_refill != absl::InfinitePast()) {
    const double seconds = absl::ToDoubleSeconds(now - this->last_refill);
    this->tokens = std::min(this->burst,
                            this->tokens + std::max(seconds, 0.0) * this->rate);
  }
  this->last_refill = now;
}

bool TokenBucket::TryConsume(double amount) {
  if (this->tokens < amount)
    return false;
  this->tokens -= amount;
  return true;
}

std::string QuotaReason(const TaskRow& task, const Size& quota) {
  return Fits(task.size, quota)
             ? StrCat("quota of ", task.account, " is used up")
             : StrCat("it is larger than the quota of ", task.account);
}

Placer::Placer(const PlacerOptions& options)
    : options(options),
      random(options.seed),
      evictions(options.evictions_per_second, options.eviction_burst) {}

bool Placer::IsKnownUnplaceable(const Size& size) const {
  return std::any_of(this->unplaceable_sizes.begin(),
                     this->unplaceable_sizes.end(),
                     [&](const Size& unplaceable_size) {
                       return Fits(unplaceable_size, size);
                     });
}

bool Placer::HasFreeCapacity(const WorkerRow& worker,
                             const TaskRow& task) const {
  Size free = worker.Free();
  const auto reserved_size = this->reserved.find(worker.id);
  if (reserved_size != this->reserved.end()) {
    const auto own = this->reservations.find(task.id);
    free = free - reserved_size->second;
    if (own != this->reservations.end() && own->second.worker == worker.id)
      free = free + own->second.size;
  }
  return Fits(task.size, free);
}

void Placer::AddRandom(const State& state,
                       const TaskRow& task,
                       std::vector<const WorkerEntry*>* out) {
  const std::vector<std::string>& ready = state.ReadyWorkers();
  for (int i = 0; i < this->options.random_candidates && !ready.empty(); ++i) {
    const size_t index = this->random() % ready.size();
    const WorkerEntry* worker = state.FindWorker(ready[index]);
    if (this->HasFreeCapacity(worker->row, task))
      out->push_back(worker);
  }
}

std::vector<const WorkerEntry*> Placer::Candidates(const State& state,
                                                   const TaskRow& task) {
  std::vector<const WorkerEntry*> out;
  const bool by_accelerators = task.size.accelerators > 0;
  const auto& index =
      by_accelerators ? state.ByFreeAccelerators() : state.ByFreeCores();
  const int64_t min_free =
      by_accelerators ? task.size.accelerators : task.size.millicores;
  const auto max_candidates =
      static_cast<size_t>(this->options.tight_candidates);
  int skipped = 0;
  auto it = index.lower_bound({min_free, ""});
  for (; it != index.end() && out.size() < max_candidates &&
         skipped < kMaxSkippedWorkers;
       ++it) {
    const WorkerEntry* worker = state.FindWorker(it->second);
    if (this->HasFreeCapacity(worker->row, task))
      out.push_back(worker);
    else
      ++skipped;
  }
  this->AddRandom(state, task, &out);
  if (!out.empty())
    return out;
  for (; it != index.end() && out.size() < max_candidates; ++it) {
    const WorkerEntry* worker = state.FindWorker(it->second);
    if (this->HasFreeCapacity(worker->row, task))
      out.push_back(worker);
  }
  if (out.empty())
    this->unplaceable_sizes.push_back(task.size);
  return out;
}

void Placer::RecordUnplacedUrgent(const TaskRow& task) {
  if (task.urgency == Urgency::kUrgent &&
      this->unplaced_urgent.size() < this->options.max_preempting_tasks)
    this->unplaced_urgent.push_back(task.id);
}

std::vector<Urgency> Placer::ClassOrder(const State& state, bool urgent_only) {
  if (urgent_only)
    return {Urgency::kUrgent};
  std::vector<Urgency> order = {Urgency::kUrgent, Urgency::kNormal,
                                Urgency::kBatch};
  ++this->placement_turn;
  if (this->placement_turn % this->options.less_urgent_every != 0)
    return order;
  // The two less urgent classes alternate in being first.
  const bool batch_first =
      (this->placement_turn / this->options.less_urgent_every) % 2 == 0 ||
      state.Waiting(Urgency::kNormal).empty();
  if (batch_first)
    std::rotate(order.begin(), order.begin() + 2, order.end());
  else
    std::swap(order[0], order[1]);
  return order;
}

void Placer::Reserve(const TaskRow& task,
                     const std::string& worker,
                     absl::Time now) {
  this->Release(task.id);
  this->reservations[task.id] = {worker, task.size,
                                 now + this->options.reservation};
  Size& sum = this->reserved[worker];
  sum = sum + task.size;
}

void Placer::Release(const std::string& task) {
  const auto found = this->reservations.find(task);
  if (found == this->reservations.end())
    return;
  Size& sum = this->reserved[found->second.worker];
  sum = sum - found->second.size;
  if (sum == Size())
    this->reserved.erase(found->second.worker);
  this->reservations.erase(found);
}

void Placer::ExpireReservations(absl::Time now) {
  std::vector<std::string> expired;
  for (const auto& [task, reservation] : this->reservations) {
    if (reservation.expiry <= now)
      expired.push_back(task);
  }
  for (const std::string& task : expired)
    this->Release(task);
}

std::vector<std::string> Placer::Victims(const State& state,
                                         const WorkerRow& worker,
                                         const TaskRow& task,
                                         absl::Time now) const {
  std::vector<const TaskRow*> evictable;
  Size free = worker.Free();
  const auto reserved_size = this->reserved.find(worker.id);
  if (reserved_size != this->reserved.end())
    free = free - reserved_size->second;
  for (const Assignment& assignment : worker.assignments) {
    const TaskEntry* entry = state.FindTask(assignment.task);
    if (entry != nullptr && IsEvictable(entry->row, task, now))
      evictable.push_back(&entry->row);
    // Capacity that earlier evictions and stops are freeing.
    if (assignment.action != AssignmentAction::kRun)
      free = free + assignment.size;
  }
  std::sort(evictable.begin(), evictable.end(),
            [](const TaskRow* a, const TaskRow* b) {
              return std::tie(b->urgency, b->placed_us, a->id) <
                     std::tie(a->urgency, a->placed_us, b->id);
            });
  std::vector<std::string> out;
  for (const TaskRow* victim : evictable) {
    if (Fits(task.size, free))
      return out;
    free = free + victim->size;
    out.push_back(victim->id);
  }
  return Fits(task.size, free) ? out : std::vector<std::string>();
}

std::pair<std::string, std::vector<std::string>> Placer::FindCheapestEviction(
    const State& state,
    const TaskRow& task,
    absl::Time now) {
  std::pair<std::string, std::vector<std::string>> best;
  double best_cost = 0;
  const std::vector<std::string>& ready = state.ReadyWorkers();
  for (int i = 0; i < kEvictionCandidates && !ready.empty(); ++i) {
    const size_t index = this->random() % ready.size();
    const WorkerRow& worker = state.FindWorker(ready[index])->row;
    if (!Fits(task.size, worker.capacity))
      continue;
    const std::vector<std::string> victims =
        this->Victims(state, worker, task, now);
    double cost = 0;
    for (const std::string& id : victims)
      cost += LostWork(state.FindTask(id)->row, now);
    if (victims.empty() || (!best.second.empty() && cost >= best_cost))
      continue;
    best = {worker.id, victims};
    best_cost = cost;
  }
  return best;
}

bool Placer::IsBelowMinShare(const State& state,
                             const std::vector<std::string>& victims) const {
  Size remaining_use[kUrgencyCount];
  for (const Urgency urgency : {Urgency::kNormal, Urgency::kBatch})
    remaining_use[static_cast<size_t>(urgency)] = state.UseOf(urgency);
  for (const std::string& id : victims) {
    const TaskRow& victim = state.FindTask(id)->row;
    Size& use = remaining_use[static_cast<size_t>(victim.urgency)];
    use = use - victim.size;
    if (DominantShare(use, state.Capacity()) < this->options.min_class_share)
      return true;
  }
  return false;
}

void Placer::EvictForUrgent(const State& state,
                            absl::Time now,
                            Plan* plan,
                            Explainer* explainer) {
  const std::vector<std::string> tasks = std::move(this->unplaced_urgent);
  for (const std::string& id : tasks) {
    if (this->reservations.contains(id))
      continue;
    const TaskEntry* entry = state.FindTask(id);
    if (entry == nullptr || !entry->row.IsWaiting())
      continue;
    const TaskRow task = entry->row;
    const auto [worker, victims] = this->FindCheapestEviction(state, task, now);
    if (victims.empty() || this->IsBelowMinShare(state, victims))
      continue;
    if (!this->evictions.TryConsume(static_cast<double>(victims.size())))
      return;
    const std::string reason = StrCat("makes room for ", id);
    for (const std::string& victim : victims) {
      const TaskRow evicted = state.FindTask(victim)->row;
      if (plan->Evict(victim, reason))
        explainer->RecordEviction(evicted, reason, now);
    }
    this->Reserve(task, worker, now);
  }
}

}  // namespace cuminjunction
