#ifndef TASK_PLACER_H_
#define TASK_PLACER_H_

// Chooses workers for waiting tasks.
//
//   Placer placer(options);
//   placer.Run(&scorer, &state, quotas, limits, now, &plan, &explainer);
//
// Order: the most urgent class first, but every kFloorEvery-th placement goes
// to a less urgent one, so that a flood of urgent work leaves the others a
// floor. Within a class, accounts take turns in the scorer's share order and
// each account's older tasks go first.
//
// A decision looks at a few workers only: those with the least sufficient free
// processors and some at random. Only when none of them fits is every worker
// looked at, and the size is then set aside until the next round.
//
// Urgent work that finds no room evicts less urgent work within a budget. The
// room that becomes free is reserved for it for some seconds.

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
  // Workers scored for a decision: the tightest that fit and random ones.
  int tight_candidates = 12;
  int random_candidates = 12;
  // Waiting tasks of an account that a round tries to place, and those that it
  // passes over because their size had no room before.
  int most_looks = 64;
  int most_skips = 1000;
  // Urgent tasks for which a round considers evictions.
  size_t most_evicted_for = 32;
  // Every n-th placement goes to a less urgent class if one has work.
  uint64_t floor_every = 8;
  // Share of the capacity below which a class is not evicted.
  double eviction_floor = 0.1;
  // Evictions for urgent work: rate a second and burst.
  double evictions_per_second = 1;
  double eviction_burst = 20;
  // How long freed room is kept for the task that it was freed for.
  absl::Duration reservation = absl::Seconds(30);
  uint64_t seed = 1;
};

// Quotas of the accounts.
using Quotas = std::map<std::string, Size>;

// Limits of one round.
struct RoundLimits {
  // Rows written by the plan at which placing ends.
  size_t most_rows = 80;
  bool urgent_only = false;
};

// Keeps a rate with a burst.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst)
      : rate(rate), burst(burst), tokens(burst) {}
  void Refill(absl::Time now);
  bool Take(double amount);
  // Takes the amount even when that leaves less than nothing.
  void Spend(double amount) { this->tokens -= amount; }
  double Tokens() const { return this->tokens; }

 private:
  double rate;
  double burst;
  double tokens;
  absl::Time last = absl::InfinitePast();
};

// Why a task waits for its account's quota.
std::string QuotaReason(const TaskRow& task, const Size& quota);

class Placer {
 public:
  explicit Placer(const PlacerOptions& options);

  // Places waiting tasks until the round's rows are used up or nothing fits.
  template <Scorer S>
  void Run(S* scorer,
           State* state,
           const Quotas& quotas,
           const RoundLimits& limits,
           absl::Time now,
           Plan* plan,
           Explainer* explainer);

  // Places one task if it fits somewhere. True when it was placed.
  template <Scorer S>
  bool PlaceTask(S* scorer,
                 const State& state,
                 const TaskRow& task,
                 absl::Time now,
                 Plan* plan,
                 Explainer* explainer);

 private:
  // Room that evictions make for an urgent task.
  struct Reservation {
    std::string worker;
    Size size;
    absl::Time until;
  };

  // Workers to score for a task of this size, all of them having room.
  std::vector<const WorkerEntry*> Candidates(const State& state,
                                             const TaskRow& task);
  void AddRandom(const State& state,
                 const TaskRow& task,
                 std::vector<const WorkerEntry*>* out);
  bool HasRoom(const WorkerRow& worker, const TaskRow& task) const;
  bool IsKnownTooLarge(const Size& size) const;

  // Tries the accounts of one class in the share order. True when a task was
  // placed.
  template <Scorer S>
  bool PlaceOneOf(Urgency urgency,
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

  // Remembers an urgent task to evict for.
  void NoteWithoutRoom(const TaskRow& task);

  // The order in which the next placement tries the classes.
  std::vector<Urgency> ClassOrder(const State& state, bool urgent_only);

  // Evicts for the urgent tasks that found no room.
  void MakeRoom(const State& state,
                absl::Time now,
                Plan* plan,
                Explainer* explainer);
  void Reserve(const TaskRow& task, const std::string& worker, absl::Time now);
  void Release(const std::string& task);
  void ExpireReservations(absl::Time now);
  // The least costly worker to make room on, with the tasks to evict there.
  std::pair<std::string, std::vector<std::string>>
  CheapestRoom(const State& state, const TaskRow& task, absl::Time now);
  // Tasks to evict from a worker to make room, empty when it can't be done.
  std::vector<std::string> Victims(const State& state,
                                   const WorkerRow& worker,
                                   const TaskRow& task,
                                   absl::Time now) const;
  // True when a victim's class would keep less than its floor.
  bool IsBelowFloor(const State& state,
                    const std::vector<std::string>& victims) const;

  PlacerOptions options;
  std::mt19937_64 random;
  TokenBucket evictions;
  uint64_t turn = 0;
  std::map<std::string, Reservation> reservations;
  std::map<std::string, Size> reserved;
  // Sizes that no worker had room for in this round.
  std::vector<Size> too_large;
  // Accounts of a class that this round found nothing to place for, and the
  // urgent tasks without room.
  std::set<std::pair<Urgency, std::string>> exhausted;
  std::vector<std::string> without_room;
};

}  // namespace cuminjunction

#include "task/placer_internal.h"

#endif  // TASK_PLACER_H_
