#include "submission/interference_model.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// Prior for a pair without samples. On both sites the coefficient of pairs that
// interfere is between 3 and 10, that of the others below 1.
constexpr double kPriorInterference = 2;
constexpr double kPriorInterferenceVariance = 9;
constexpr double kMaxInterference = 30;

// Growth of a coefficient's variance per second, since the interference of an
// image changes over time.
constexpr double kInterferenceDriftPerSecond = 0.04;

// Prior for a baseline without samples, and the range of baselines on both
// sites.
constexpr double kPriorBaseline = 0.5;
constexpr double kPriorBaselineVariance = 0.04;
constexpr double kMinBaseline = 0.26;
constexpr double kMaxBaseline = 0.95;

// Growth of a baseline's variance per second: the load changes by half in 7 s.
constexpr double kBaselineDriftPerSecond = 0.015;

// Half the period in which the load changes by half; an older baseline is
// discarded.
constexpr absl::Duration kBaselineLifetime = absl::Seconds(4);

// Error of one sample, absolute and relative: the reported value covers half a
// second and is rounded.
constexpr double kSampleError = 0.03;
constexpr double kRelativeSampleError = 0.1;

// A higher latency ratio comes from a runner that hangs or is slow, not from
// interference.
constexpr double kMaxModelledLatencyRatio = 8;
// Above this the latency ratio grows faster than the linear model predicts.
constexpr double kMaxLinearLatencyRatio = 4;

// A filling image with a smaller share of the VM has no measurable effect.
constexpr double kMinObservableShare = 0.003;

// Limit of the estimates of pairs of images, and of VM and image. At this
// number, those older than kEstimateLifetime are dropped first.
constexpr size_t kMaxEstimates = 4000;
constexpr absl::Duration kEstimateLifetime = absl::Minutes(10);

}  // namespace

void InterferenceModel::AddSample(const std::string& vm,
                                  const std::string& serving,
                                  double latency_ratio,
                                  const FillingLoad& filling,
                                  absl::Time now) {
  if (latency_ratio > kMaxModelledLatencyRatio)
    return;
  latency_ratio = std::min(latency_ratio, kMaxLinearLatencyRatio);
  Prune(&this->coefficients, now);
  Prune(&this->baselines, now);
  Estimate& baseline =
      this->baselines
          .try_emplace({vm, serving},
                       Estimate{kPriorBaseline, kPriorBaselineVariance, now})
          .first->second;
  baseline.variance =
      std::min(kPriorBaselineVariance,
               baseline.variance +
                   kBaselineDriftPerSecond *
                       absl::ToDoubleSeconds(std::max(
                           absl::ZeroDuration(), now - baseline.last_sample)));
  baseline.last_sample = now;
  double slowdown = 1;
  std::vector<std::pair<Estimate*, double>> contributors;
  for (const FillingImage& filler : filling) {
    if (filler.share < kMinObservableShare)
      continue;
    Estimate& interference =
        this->coefficients
            .try_emplace(
                {serving, filler.image},
                Estimate{kPriorInterference, kPriorInterferenceVariance, now})
            .first->second;
    interference.variance = std::min(
        kPriorInterferenceVariance,
        interference.variance +
            kInterferenceDriftPerSecond *
                absl::ToDoubleSeconds(std::max(
                    absl::ZeroDuration(), now - interference.last_sample)));
    interference.last_sample = now;
    slowdown += interference.value * filler.share;
    contributors.emplace_back(&interference, filler.share);
  }
  const double expected = baseline.value * slowdown;
  const double sample_error =
      kSampleError + kRelativeSampleError * std::max(expected, latency_ratio);
  double variance =
      sample_error * sample_error + slowdown * slowdown * baseline.variance;
  for (const auto& [interference, share] : contributors) {
    const double slope = baseline.value * share;
    variance += slope * slope * interference->variance;
  }
  const double error = latency_ratio - expected;
  for (const auto& [interference, share] : contributors) {
    const double gain =
        interference->variance * baseline.value * share / variance;
    interference->value =
        std::clamp(interference->value + gain * error, 0.0, kMaxInterference);
    interference->variance -=
        gain * baseline.value * share * interference->variance;
  }
  const double gain = baseline.variance * slowdown / variance;
  baseline.value =
      std::clamp(baseline.value + gain * error, kMinBaseline, kMaxBaseline);
  baseline.variance -= gain * slowdown * baseline.variance;
}

void InterferenceModel::Prune(std::map<Key, Estimate>* estimates,
                              absl::Time now) {
  if (estimates->size() < kMaxEstimates)
    return;
  std::erase_if(*estimates, [now](const auto& entry) {
    return now - entry.second.last_sample > kEstimateLifetime;
  });
  if (estimates->size() < kMaxEstimates)
    return;
  std::vector<absl::Time> times;
  times.reserve(estimates->size());
  for (const auto& [key, estimate] : *estimates)
    times.push_back(estimate.last_sample);
  const auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  // Several may have been sampled at the same time as the one in the middle.
  size_t left_to_drop = estimates->size() / 2;
  std::erase_if(*estimates, [&](const auto& entry) {
    if (left_to_drop == 0 || entry.second.last_sample > *middle)
      return false;
    --left_to_drop;
    return true;
  });
}

double InterferenceModel::Interference(const std::string& serving,
                                       const std::string& filling) const {
  const auto found = this->coefficients.find({serving, filling});
  return found == this->coefficients.end() ? kPriorInterference
                                           : found->second.value;
}

double InterferenceModel::Baseline(const std::string& vm,
                                   const std::string& serving,
                                   absl::Time now) const {
  const auto found = this->baselines.find({vm, serving});
  if (found == this->baselines.end() ||
      now - found->second.last_sample > kBaselineLifetime)
    return kPriorBaseline;
  return found->second.value;
}

double InterferenceModel::ExpectedLatencyRatio(const std::string& vm,
                                               const std::string& serving,
                                               const FillingLoad& filling,
                                               absl::Time now) const {
  double slowdown = 1;
  for (const FillingImage& filler : filling)
    slowdown += this->Interference(serving, filler.image) * filler.share;
  return this->Baseline(vm, serving, now) * slowdown;
}

std::optional<InterferenceEstimate> InterferenceModel::Find(
    const std::string& serving,
    const std::string& filling) const {
  const auto found = this->coefficients.find({serving, filling});
  if (found == this->coefficients.end())
    return std::nullopt;
  return InterferenceEstimate{serving, filling, found->second.value,
                              found->second.variance};
}

std::vector<InterferenceEstimate> InterferenceModel::Export(
    size_t max_count) const {
  using Entry = std::map<Key, Estimate>::value_type;
  std::vector<const Entry*> entries;
  entries.reserve(this->coefficients.size());
  for (const Entry& entry : this->coefficients)
    entries.push_back(&entry);
  std::stable_sort(entries.begin(), entries.end(),
                   [](const Entry* a, const Entry* b) {
                     return a->second.last_sample > b->second.last_sample;
                   });
  entries.resize(std::min(entries.size(), max_count));
  std::vector<InterferenceEstimate> exported;
  exported.reserve(entries.size());
  for (const Entry* entry : entries)
    exported.push_back({entry->first.first, entry->first.second,
                        entry->second.value, entry->second.variance});
  return exported;
}

void InterferenceModel::Merge(
    const std::vector<InterferenceEstimate>& received) {
  for (const InterferenceEstimate& pair : received) {
    Estimate& own = this->coefficients
                        .try_emplace({pair.serving, pair.filling},
                                     Estimate{kPriorInterference,
                                              kPriorInterferenceVariance,
                                              absl::InfinitePast()})
                        .first->second;
    if (pair.variance >= own.variance)
      continue;
    own.value = pair.interference;
    own.variance = pair.variance;
  }
}

}  // namespace cuminjunction
