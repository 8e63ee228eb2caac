#include "submission/overload.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cuminjunction {

namespace {

// Share of its objective that a submission must be able to wait when it begins.
// Larger margins give up submissions that would be in time; see
// docs/design/overload.md.
constexpr double kBeginMargin = 0.05;

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
  constexpr auto kMax = static_cast<double>(kMaxAmount);
  // Written so that a stretch that is not a number becomes the largest one.
  const double stretch =
      queue.stretch < kMax ? std::max(0.0, queue.stretch) : kMax;
  return std::min(
      kMax, stretch * chain_ms +
                std::clamp(static_cast<double>(queue.objective_ms), 0.0, kMax));
}

}  // namespace

std::vector<uint32_t> WeightedWorkRule::Order(const PlanningInputs& inputs) {
  std::vector<std::pair<Key, uint32_t>> keyed;
  keyed.reserve(inputs.ready.size());
  for (uint32_t index = 0; index < inputs.ready.size(); ++index)
    keyed.emplace_back(KeyOf(inputs.ready[index], inputs.now), index);
  std::sort(keyed.begin(), keyed.end());
  std::vector<uint32_t> order;
  order.reserve(keyed.size());
  for (const auto& [key, index] : keyed)
    order.push_back(index);
  return order;
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

}  // namespace cuminjunction
