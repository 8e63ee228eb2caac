#ifndef SUBMISSION_OVERLOAD_H_
#define SUBMISSION_OVERLOAD_H_

// Decides what is delayed, displaced or refused when capacity is insufficient.
//
//   AgeingShare ageing;
//   PlanningInputs inputs = ...;
//   ageing.Admit(&inputs);
//   for (uint32_t index : OrderOf<WeightedWorkRule>(inputs)) ...
//
// There are no sockets, threads or clocks here. Thresholds are derived from
// what callers need: the objective of a submission, and kLateFactor times the
// objective, after which its result has no use.

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "submission/policy.h"
#include "submission/rank.h"
#include "submission/types.h"

namespace cuminjunction {

// What the order of ready submissions depends on.
struct PlanningInputs {
  // A service and its millicores for submissions that end.
  struct Service {
    std::string name;
    double capacity = 0;
    // In addition, the processors that only filling tasks may use.
    double filling_capacity = 0;
  };

  absl::Time now;
  std::vector<Service> services;
  // One for each occurrence with a ready step.
  std::vector<RankInputs> ready;
};

// A planning rule returns the indexes of PlanningInputs::ready, beginning with
// the submission that gets capacity first.
template <class R>
concept PlanningRule = requires(const PlanningInputs& inputs) {
  { R::Order(inputs) } -> std::same_as<std::vector<uint32_t>>;
};

using PlanningOrderFunction = std::vector<uint32_t> (*)(const PlanningInputs&);

template <PlanningRule R>
std::vector<uint32_t> OrderOf(const PlanningInputs& inputs) {
  return R::Order(inputs);
}

// Load pattern: a flood of any priority beyond the capacity of the fleet.
//
// Long-running submissions come first, since every second without them is lost,
// then those that AgeingShare has admitted. The others are ordered by priority,
// and within a priority as follows:
// - Those that can be in time come first, by their weight for each unit of work
//   that they still need. The weight is the square root of the total work, the
//   mean between counting each submission the same and counting each unit of
//   work the same. Completing one that has begun counts twice, because the
//   capacity that it has used is lost otherwise. One that has not begun needs
//   some slack, because estimates are rough.
// - Late ones follow, the largest first: these had the least chance before. So
//   the largest tenth of a kind is served at least half as often as the kind.
// Hopeless submissions come last, the oldest first and regardless of priority,
// so that each gets its turn when the load falls below the capacity.
struct WeightedWorkRule {
  static std::vector<uint32_t> Order(const PlanningInputs& inputs);
};

// Load pattern: a burst of large submissions of one priority beyond the
// capacity. Orders by priority and outlook, and completes as many submissions
// as possible by least remaining work. The largest ones pay for it.
struct LeastWorkRule {
  static std::vector<uint32_t> Order(const PlanningInputs& inputs);
};

// Load pattern: a lasting overload in which the order by priority and outlook
// would never reach some submissions.
//
// A share of the capacity goes by age: submissions that have waited for
// kAgeingFactor times their late limit are admitted in the order of their
// acceptance, and come first until they are done. The work of each is charged
// to the share, and only a part of the capacity runs their tasks before those
// of others at the same time, so that a very large one delays nobody for long.
// A submission is admitted at the latest after
//   kAgeingFactor * kLateFactor * objective
//   + (work of the older ones and of the last one admitted)
//     / (share * capacity).
class AgeingShare {
 public:
  // Without waiting submissions, the share is kept for this long.
  static constexpr double kMaxCreditSeconds = 1;
  static constexpr double kAgeingFactor = 2;
  static constexpr double kDefaultShare = 0.01;

  // Part of the capacity that admitted submissions occupy before others.
  static constexpr double kMaxWidth = 0.05;

  explicit AgeingShare(double share = kDefaultShare) : share(share) {}

  // Sets RankInputs::admitted_by_age of the submissions that are admitted now.
  void Admit(PlanningInputs* inputs);

  // How many tasks of this size to start before those of others, while admitted
  // ones occupy `running` millicores of a service; one if none are running.
  static uint32_t MaxStarts(double capacity,
                            int64_t running,
                            int64_t task_millicores);

 private:
  double share;
  // Time of the last call; a new planner begins without credit.
  absl::Time updated = absl::InfiniteFuture();
  // Millicore-seconds that may be admitted now, by service; negative after a
  // large submission was admitted.
  std::map<std::string, double> credit;
};

// Time from the start of its objective until a submission must have been
// accepted at the latest for its result to have any use.
absl::Duration LatestUsefulStart(const Submission& submission,
                                 const Queue& queue);

// Load pattern: callers that are refused while the store is unavailable, and
// that all return at the same time once it is back.
//
// Returns the Retry-After in whole seconds, at least 1. It grows with the time
// that the store has been unavailable, since an outage that has lasted long is
// likely to last longer, and is spread by `jitter`, from 0 to less than 1. It
// is at most `useful_within`, the time after which a retry has no use, unless
// that is less than a second, and at most kMaxOutageRetryAfter.
inline constexpr int64_t kMaxOutageRetryAfter = 8;
int64_t RetryAfterOutage(absl::Duration unavailable_for,
                         absl::Duration useful_within,
                         double jitter);

// Unstarted work of one priority that stays ahead of less urgent submissions
// for at least a certain time: a submission that turns hopeless lets others
// pass. Amounts are estimates.
struct QueuedWork {
  int64_t priority = 0;
  // At least so long, in milliseconds.
  int64_t stays_ahead_ms = 0;
  // Millicore-milliseconds of all tasks.
  int64_t work = 0;
  // The part of it that would occupy any VM on which a less urgent task of at
  // least the largest size here fits: ready tasks without conditions of
  // placement, that are not filling and have not failed.
  int64_t blocking_work = 0;
  Size largest_blocking;
  int64_t longest_blocking_ms = 0;

  bool operator==(const QueuedWork&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->priority, this->stays_ahead_ms, this->work,
            this->blocking_work, this->largest_blocking,
            this->longest_blocking_ms);
  }
};

// Capacity and queued work of one service.
struct ServiceLoad {
  std::string service;
  // Of all its runners, also of those that take no tasks now, so that it is an
  // upper bound until runners are added.
  int64_t capacity_millicores = 0;
  std::vector<QueuedWork> queued;

  bool operator==(const ServiceLoad&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->capacity_millicores, this->queued);
  }
};

// True if the figures can be used: no negative amount, none beyond kMaxAmount,
// and some capacity.
bool IsPlausible(const ServiceLoad& load);

// Adds work to the class of its priority and of the time for which it stays
// ahead, rounded down to a power of two of seconds.
void AddQueuedWork(const QueuedWork& added, ServiceLoad* load);

// Factor by which a caller's estimate may be off either way.
inline constexpr double kEstimateFactor = 2;

// Load pattern: a backlog of urgent submissions that lasts longer than a less
// urgent one can wait.
//
// Returns the estimated time until the backlog has cleared if the submission
// certainly can't end within kLateFactor times its objective, even if all
// estimates are off by kEstimateFactor; otherwise nullopt. `age` is the age of
// `load`, which is null if there is no recent one. The bounds are:
// - Its tasks take at least their estimates / kEstimateFactor, and its
//   objective is at most that of its chain * kEstimateFactor.
// - The blocking work that is more urgent and stays ahead for the whole time is
//   at least its estimate / kEstimateFactor, and the whole capacity works on
//   it. A task of the submission that is as large in every dimension as each
//   blocking one can't start before all of them have started, which is at most
//   the longest of them (estimate * kEstimateFactor) before they are done.
// Cancellations and runners that are added are not foreseen. Long-running and
// scheduled submissions, and those with filling tasks, are never refused.
std::optional<absl::Duration> FindCertainBacklog(const Submission& submission,
                                                 const Queue& queue,
                                                 const ServiceLoad* load,
                                                 absl::Duration age);

// Retry-After in whole seconds of a submission refused for this backlog: the
// time until it has cleared and up to half as much again, by `jitter` from 0 to
// less than 1. From 1 to kMaxOverloadRetryAfter.
inline constexpr int64_t kMaxOverloadRetryAfter = 60;
int64_t RetryAfterOverload(absl::Duration backlog, double jitter);

}  // namespace cuminjunction

#endif  // SUBMISSION_OVERLOAD_H_
