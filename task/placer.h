#ifndef TASK_PLACER_H_
#define TASK_PLACER_H_

// Chooses workers for waiting tasks.
//
//   Placer placer(options);
//   placer.Run(&scorer, &state, quotas, limits, now, &plan, &explainer);
//
// The most urgent class is served first, except that each less_urgent_every-th
// placement goes to a less urgent class, so that a flood of urgent work leaves
// the others a minimum share. Within a class, accounts are ordered by the
// scorer's fair share key, and each account's older tasks are placed first.
//
// A decision scores a few workers only: those with the least sufficient free
// processors (or accelerators, for a task that needs them) and some random
// ones. Only when none of them fits are all workers searched. When that fails
// too, the size is skipped until the next round.
//
// An urgent task that fits no worker preempts less urgent tasks within a budget
// of evictions. The capacity that the evictions free is reserved for it for
// some seconds.

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "task/explain.h"
#include "task/plan.h"
#include "task/scorer.h"
#include "task/state.h"

namespace cuminjunction {

struct PlacerOptions {
  // Workers scored for a decision: those that fit most tightly, and random
  // ones.
  int tight_candidates = 12;
  int random_candidates = 12;
  // Waiting tasks of an account that a round tries to place, and those that it
  // skips because no worker had enough free capacity for their size before.
  int max_placement_attempts = 64;
  int max_skips = 1000;
  // Maximum number of urgent tasks for which a round considers evictions.
  size_t max_preempting_tasks = 32;
  // Each less_urgent_every-th placement goes to a less urgent class if one has
  // waiting tasks.
  uint64_t less_urgent_every = 8;
  // Share of the capacity that evictions leave to a class.
  double min_class_share = 0.1;
  // Evictions for urgent work: rate per second and burst.
  double evictions_per_second = 1;
  double eviction_burst = 20;
  // How long capacity freed by evictions is reserved for the urgent task.
  absl::Duration reservation = absl::Seconds(30);
  uint64_t seed = 1;
};

// Quotas of the accounts.
using Quotas = std::map<std::string, Size>;

// Limits of one round.
struct RoundLimits {
  // Number of rows written by the plan at which placing ends.
  size_t max_rows = 80;
  bool urgent_only = false;
};

// Limits a rate, with a burst.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst)
      : rate(rate), burst(burst), tokens(burst) {}
  void Refill(absl::Time now);
  // Consumes the amount if there are as many tokens.
  bool TryConsume(double amount);
  // Consumes the amount even when that makes the number of tokens negative.
  void ForceConsume(double amount) { this->tokens -= amount; }
  double Tokens() const { return this->tokens; }

 private:
  double rate;
  double burst;
  double tokens;
  absl::Time last_refill = absl::InfinitePast();
};

// The reason, for operators, why a task waits for its account's quota.
std::string QuotaReason(const TaskRow& task, const Size& quota);

class Placer {
 public:
  explicit Placer(const PlacerOptions& options);

  // Places waiting tasks until the round's row limit is reached or no task
  // fits.
  template <Scorer S>
  void Run(S* scorer,
           State* state,
           const Quotas& quotas,
           const RoundLimits& limits,
           absl::Time now,
           Plan* plan,
           Explainer* explainer);

  // Places one task if it fits a worker. Returns whether it was placed.
  template <Scorer S>
  bool PlaceTask(S* scorer,
                 const State& state,
                 const TaskRow& task,
                 absl::Time now,
                 Plan* plan,
                 Explainer* explainer);

 private:
  // Capacity that evictions free for an urgent task.
  struct Reservation {
    std::string worker;
    Size size;
    absl::Time expiry;
  };

  // Workers to score for a task of this size, all with enough free capacity.
  std::vector<const WorkerEntry*> Candidates(const State& state,
                                             const TaskRow& task);
  void AddRandom(const State& state,
                 const TaskRow& task,
                 std::vector<const WorkerEntry*>* out);
  bool HasFreeCapacity(const WorkerRow& worker, const TaskRow& task) const;
  bool IsKnownUnplaceable(const Size& size) const;

  // Tries the accounts of one class in the order of their fair share keys.
  // Returns whether a task was placed.
  template <Scorer S>
  bool PlaceOneOfClass(Urgency urgency,
                       S* scorer,
                       State* state,
                       const Quotas& quotas,
                       absl::Time now,
                       Plan* plan,
                       Explainer* explainer);
  template <Scorer S>
  bool PlaceOneOfAccount(const std::string& account,
                         Urgency urgency,
                         S* scorer,
                         State* state,
                         const Quotas& quotas,
                         absl::Time now,
                         Plan* plan,
                         Explainer* explainer);

  // Records an urgent task that may preempt others at the end of the round.
  void RecordUnplacedUrgent(const TaskRow& task);

  // The order in which the next placement tries the classes.
  std::vector<Urgency> ClassOrder(const State& state, bool urgent_only);

  // Evicts less urgent tasks for the urgent ones that fit no worker.
  void EvictForUrgent(const State& state,
                      absl::Time now,
                      Plan* plan,
                      Explainer* explainer);
  void Reserve(const TaskRow& task, const std::string& worker, absl::Time now);
  void Release(const std::string& task);
  void ExpireReservations(absl::Time now);
  // The worker on which evictions for the task lose the least work, with the
  // tasks to evict there.
  std::pair<std::string, std::vector<std::string>>
  FindCheapestEviction(const State& state, const TaskRow& task, absl::Time now);
  // Tasks to evict from a worker so that the task fits; empty when evictions do
  // not suffice.
  std::vector<std::string> Victims(const State& state,
                                   const WorkerRow& worker,
                                   const TaskRow& task,
                                   absl::Time now) const;
  // True when the evictions would leave a class less than min_class_share.
  bool IsBelowMinShare(const State& state,
                       const std::vector<std::string>& victims) const;

  PlacerOptions options;
  std::mt19937_64 random;
  TokenBucket evictions;
  uint64_t placement_turn = 0;
  // Reservations by task, and the sum of reserved sizes by worker.
  std::map<std::string, Reservation> reservations;
  std::map<std::string, Size> reserved;
  // Sizes for which no worker had enough free capacity in this round.
  std::vector<Size> unplaceable_sizes;
  // Accounts of a class for which this round found no task to place, and urgent
  // tasks that fit no worker.
  std::set<std::pair<Urgency, std::string>> exhausted;
  std::vector<std::string> unplaced_urgent;
};

}  // namespace cuminjunction

#include "task/placer_internal.h"

#endif  // TASK_PLACER_H_
