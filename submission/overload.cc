#include "submission/overload.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "submission/planning_order.h"

namespace cuminjunction {

namespace {

// Share of its objective that a submission must be able to wait when it begins.
// Larger margins give up submissions that would be in time; see
// docs/design/overload.md.
constexpr double kBeginMargin = 0.05;

// Largest class of AddQueuedWork(): 17 minutes, many times any objective.
constexpr int64_t kMaxStaysAheadMs = 1'024'000;

// How much more a submission counts that has begun.
constexpr double kBegunFactor = 2;

enum class Group : uint8_t { kLongRunning, kAdmittedByAge, kOther, kHopeless };

// Sort key of a submission; the lowest comes first.
using Key = std::tuple<Group, int64_t, ObjectiveOutlook, double>;

Key KeyOf(const RankInputs& ready, absl::Time now) {
  ObjectiveOutlook outlook = ObjectiveOutlookOf(ready);
  if (ready.long_running)
    return {Group::kLongRunning, ready.priority, outlook, ready.remaining_work};
  const double negative_age =
      absl::ToDoubleSeconds(ready.objective_start - now);
  if (ready.admitted_by_age)
    return {Group::kAdmittedByAge, 0, outlook, negative_age};
  if (outlook == ObjectiveOutlook::kHopeless)
    return {Group::kHopeless, 0, outlook, negative_age};
  const bool begun = ready.HasBegun();
  if (!begun && absl::ToDoubleSeconds(ready.Slack()) <
                    kBeginMargin * absl::ToDoubleSeconds(ready.Objective()))
    outlook = ObjectiveOutlook::kLate;
  if (outlook == ObjectiveOutlook::kLate)
    return {Group::kOther, ready.priority, outlook, -ready.total_work};
  const double weight =
      std::sqrt(ready.total_work) * (begun ? kBegunFactor : 1);
  return {Group::kOther, ready.priority, outlook,
          ready.unstarted_work / std::max(1.0, weight)};
}

bool IsAged(const RankInputs& ready, absl::Time now) {
  return !ready.long_running && !ready.admitted_by_age &&
         absl::ToDoubleSeconds(now - ready.objective_start) >=
             AgeingShare::kAgeingFactor * kLateFactor *
                 absl::ToDoubleSeconds(ready.Objective());
}

// Estimated time of the longest chain of steps.
double LongestChainMs(const Submission& submission) {
  std::vector<double> chain_ms;
  double longest_ms = 0;
  for (const Step& step : submission.steps) {
    double before_ms = 0;
    for (const uint32_t earlier : step.after)
      before_ms = std::max(before_ms, chain_ms[earlier]);
    chain_ms.push_back(before_ms + static_cast<double>(step.estimate_ms));
    longest_ms = std::max(longest_ms, chain_ms.back());
  }
  return longest_ms;
}

// Objective of a submission with this longest chain. Figures of the queue that
// are out of range are clamped.
double ObjectiveMs(const Queue& queue, double chain_ms) {
  constexpr auto largest = static_cast<double>(kMaxAmount);
  // Written so that a stretch that is not a number becomes the largest one.
  const double stretch =
      queue.stretch < largest ? std::max(0.0, queue.stretch) : largest;
  return std::min(
      largest,
      stretch * chain_ms +
          std::clamp(static_cast<double>(queue.objective_ms), 0.0, largest));
}

}  // namespace

std::vector<uint32_t> WeightedWorkRule::Order(const PlanningInputs& inputs) {
  return OrderByKey(inputs, [&](uint32_t index) {
    return KeyOf(inputs.ready[index], inputs.now);
  });
}

std::vector<uint32_t> LeastWorkRule::Order(const PlanningInputs& inputs) {
  return OrderByKey(inputs, [&](uint32_t index) {
    const RankInputs& ready = inputs.ready[index];
    return std::tuple(!ready.long_running, !ready.admitted_by_age,
                      IsHopeless(ready), ready.priority,
                      ObjectiveOutlookOf(ready), ready.remaining_work);
  });
}

void AgeingShare::Admit(PlanningInputs* inputs) {
  const double seconds =
      std::clamp(absl::ToDoubleSeconds(inputs->now - this->updated), 0.0,
                 kMaxCreditSeconds);
  this->updated = inputs->now;
  for (const PlanningInputs::Service& service : inputs->services) {
    const double rate = this->share * service.capacity;
    double& credit = this->credit[service.name];
    credit = std::min(credit + rate * seconds, rate * kMaxCreditSeconds);
  }
  std::vector<RankInputs*> aged;
  for (RankInputs& ready : inputs->ready) {
    if (IsAged(ready, inputs->now))
      aged.push_back(&ready);
  }
  std::stable_sort(aged.begin(), aged.end(), [](auto* a, auto* b) {
    return a->objective_start < b->objective_start;
  });
  for (RankInputs* ready : aged) {
    double& credit = this->credit[inputs->services[ready->service].name];
    if (credit <= 0)
      continue;
    ready->admitted_by_age = true;
    credit -= ready->unstarted_work;
  }
}

uint32_t AgeingShare::MaxStarts(double capacity,
                                int64_t running,
                                int64_t task_millicores) {
  const double tasks =
      (kMaxWidth * capacity - static_cast<double>(running)) /
      static_cast<double>(std::max<int64_t>(1, task_millicores));
  return static_cast<uint32_t>(
      std::clamp(tasks, running == 0 ? 1.0 : 0.0, 1e6));
}

absl::Duration LatestUsefulStart(const Submission& submission,
                                 const Queue& queue) {
  const double chain_ms = LongestChainMs(submission);
  return absl::Milliseconds(
      std::max(0.0, kLateFactor * ObjectiveMs(queue, chain_ms) - chain_ms));
}

int64_t RetryAfterOutage(absl::Duration unavailable_for,
                         absl::Duration useful_within,
                         double jitter) {
  const double outage_s = std::max(0.0, absl::ToDoubleSeconds(unavailable_for));
  // From 1 to 2 s at the begin of an outage, from 2 to 4 s after 4 s. Callers
  // retry four times, which thus covers the usual outage of 4 to 9 s.
  const double shortest = 1 + outage_s / 4;
  const double spread = 2 + outage_s / 4;
  const double limit = std::min(static_cast<double>(kMaxOutageRetryAfter),
                                absl::ToDoubleSeconds(useful_within));
  return static_cast<int64_t>(
      std::max(1.0, std::min(shortest + jitter * spread, limit)));
}

bool IsPlausible(const ServiceLoad& load) {
  const auto is_amount = [](int64_t value) {
    return value >= 0 && value <= kMaxAmount;
  };
  return load.capacity_millicores > 0 && is_amount(load.capacity_millicores) &&
         std::all_of(load.queued.begin(), load.queued.end(),
                     [&](const QueuedWork& queued) {
                       return is_amount(queued.priority) &&
                              is_amount(queued.stays_ahead_ms) &&
                              is_amount(queued.work) &&
                              is_amount(queued.blocking_work) &&
                              is_amount(queued.largest_blocking.millicores) &&
                              is_amount(queued.largest_blocking.memory_mib) &&
                              is_amount(queued.largest_blocking.accelerators) &&
                              is_amount(queued.longest_blocking_ms);
                     });
}

void AddQueuedWork(const QueuedWork& added, ServiceLoad* load) {
  int64_t stays_ahead_ms = 0;
  for (int64_t ms = 1000; ms <= added.stays_ahead_ms && ms <= kMaxStaysAheadMs;
       ms *= 2)
    stays_ahead_ms = ms;
  const int64_t priority = std::clamp<int64_t>(added.priority, 0, kMaxAmount);
  auto found = std::find_if(load->queued.begin(), load->queued.end(),
                            [&](const QueuedWork& queued) {
                              return queued.priority == priority &&
                                     queued.stays_ahead_ms == stays_ahead_ms;
                            });
  if (found == load->queued.end()) {
    load->queued.push_back({priority, stays_ahead_ms, 0, 0, {}, 0});
    found = load->queued.end() - 1;
  }
  found->work = std::min(kMaxAmount, found->work + added.work);
  // Hopeless work, and such that soon will be, blocks nothing.
  if (added.blocking_work == 0 || stays_ahead_ms == 0)
    return;
  found->blocking_work =
      std::min(kMaxAmount, found->blocking_work + added.blocking_work);
  Size& largest = found->largest_blocking;
  largest.millicores =
      std::max(largest.millicores, added.largest_blocking.millicores);
  largest.memory_mib =
      std::max(largest.memory_mib, added.largest_blocking.memory_mib);
  largest.accelerators =
      std::max(largest.accelerators, added.largest_blocking.accelerators);
  found->longest_blocking_ms =
      std::max(found->longest_blocking_ms, added.longest_blocking_ms);
}

std::optional<absl::Duration> FindCertainBacklog(const Submission& submission,
                                                 const Queue& queue,
                                                 const ServiceLoad* load,
                                                 absl::Duration age) {
  const bool exempt = submission.scheduled || queue.advice.required ||
                      std::any_of(submission.steps.begin(),
                                  submission.steps.end(), [](const Step& step) {
                                    return step.long_running || step.fills;
                                  });
  if (exempt || load == nullptr || !IsPlausible(*load))
    return std::nullopt;
  const double chain_ms = LongestChainMs(submission);
  const double least_chain_ms = chain_ms / kEstimateFactor;
  const double limit_ms =
      kLateFactor * ObjectiveMs(queue, kEstimateFactor * chain_ms);
  const double age_ms = std::max(0.0, absl::ToDoubleMilliseconds(age));
  const int64_t priority = std::clamp<int64_t>(queue.priority, 0, kMaxAmount);
  const auto capacity = static_cast<double>(load->capacity_millicores);
  double backlog_work = 0;
  double blocking_work = 0;
  double longest_blocking_ms = 0;
  for (const QueuedWork& queued : load->queued) {
    if (queued.priority <= priority)
      backlog_work += static_cast<double>(queued.work);
    if (queued.priority >= priority ||
        static_cast<double>(queued.stays_ahead_ms) - age_ms < limit_ms ||
        !std::all_of(submission.steps.begin(), submission.steps.end(),
                     [&](const Step& step) {
                       return Fits(queued.largest_blocking, step.size);
                     }))
      continue;
    blocking_work += static_cast<double>(queued.blocking_work);
    longest_blocking_ms = std::max(
        longest_blocking_ms,
        kEstimateFactor * static_cast<double>(queued.longest_blocking_ms));
  }
  const double least_wait_ms =
      std::max(0.0, blocking_work / kEstimateFactor / capacity -
                        longest_blocking_ms - age_ms);
  if (least_wait_ms + least_chain_ms <= limit_ms)
    return std::nullopt;
  return absl::Milliseconds(backlog_work / capacity);
}

int64_t RetryAfterOverload(absl::Duration backlog, double jitter) {
  const double seconds =
      std::ceil(absl::ToDoubleSeconds(backlog) * (1 + jitter / 2));
  return static_cast<int64_t>(
      std::clamp(seconds, 1.0, static_cast<double>(kMaxOverloadRetryAfter)));
}

}  // namespace cuminjunction
