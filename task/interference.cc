#include "task/interference.h"

#include <algorithm>
#include <cmath>

namespace cuminjunction {

namespace {

// Relative growth to which a sample is limited, so that a single extreme tail
// latency moves the estimates little.
constexpr double kMaxGrowth = 10;
// The baseline is this quantile of the replicas' tail latencies. It is not
// corrected by the growth that the coefficients predict: an error in the
// coefficients would change the baseline, which would change the coefficients,
// without converging.
constexpr double kLowQuantile = 0.1;

double LowTailLatency(const std::vector<TailLatencySample>& samples) {
  std::vector<double> tails;
  tails.reserve(samples.size());
  for (const TailLatencySample& sample : samples)
    tails.push_back(sample.tail_ms);
  const auto low =
      tails.begin() + static_cast<std::ptrdiff_t>(
                          kLowQuantile * static_cast<double>(tails.size()));
  std::nth_element(tails.begin(), low, tails.end());
  return *low;
}

}  // namespace

double Interference::ConfidenceOf(const Pair& pair) const {
  return std::clamp(1 - pair.variance / this->options.prior_variance, 0.0, 1.0);
}

double Interference::ClassMean(const std::string& owner) const {
  const double prior = this->options.prior_pairs;
  const auto found = this->classes.find(owner);
  if (found == this->classes.end())
    return this->options.prior_coefficient;
  return (found->second.weighted_sum +
          prior * this->options.prior_coefficient) /
         (found->second.weight + prior);
}

void Interference::AddToClass(const std::string& owner,
                              const Pair& pair,
                              double sign) {
  const double weight = sign * this->ConfidenceOf(pair);
  ClassSum& sum = this->classes[owner];
  sum.weight = std::max(0.0, sum.weight + weight);
  sum.weighted_sum =
      std::max(0.0, sum.weighted_sum + weight * pair.coefficient);
}

double Interference::Coefficient(const std::string& service,
                                 const std::string& owner) const {
  const double mean = this->ClassMean(owner);
  const auto record = this->services.find(service);
  if (record == this->services.end())
    return mean;
  const auto pair = record->second.pairs.find(owner);
  if (pair == record->second.pairs.end())
    return mean;
  const double confidence = this->ConfidenceOf(pair->second);
  return confidence * pair->second.coefficient + (1 - confidence) * mean;
}

double Interference::Confidence(const std::string& service,
                                const std::string& owner) const {
  const auto record = this->services.find(service);
  if (record == this->services.end())
    return 0;
  const auto pair = record->second.pairs.find(owner);
  return pair == record->second.pairs.end() ? 0
                                            : this->ConfidenceOf(pair->second);
}

double Interference::Baseline(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.baseline_ms;
}

double Interference::PeakBaseline(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.peak_baseline_ms;
}

double Interference::SmoothedBaseline(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.smoothed_baseline_ms;
}

double Interference::ExpectedGrowth(
    const std::string& service,
    const std::vector<Exposure>& neighbours) const {
  double total = 0;
  for (const Exposure& neighbour : neighbours)
    total += this->Coefficient(service, neighbour.owner) * neighbour.share;
  return total;
}

void Interference::UpdateBaseline(double present,
                                  bool enough_replicas,
                                  absl::Time at,
                                  ServiceRecord* record) const {
  if (record->baseline_ms <= 0) {
    record->baseline_ms = present;
    record->peak_baseline_ms = present;
    record->smoothed_baseline_ms = present;
    record->updated = at;
    return;
  }
  const absl::Duration elapsed =
      std::max(absl::ZeroDuration(), at - record->updated);
  const auto remaining = [&](absl::Duration half_life) {
    return std::exp2(-absl::FDivDuration(elapsed, half_life));
  };
  const double old_weight =
      enough_replicas ? 0 : remaining(this->options.baseline_half_life);
  record->baseline_ms =
      old_weight * record->baseline_ms + (1 - old_weight) * present;
  const double above = record->peak_baseline_ms - record->baseline_ms;
  record->peak_baseline_ms =
      record->baseline_ms +
      std::max(0.0, above * remaining(this->options.peak_half_life));
  const double old_smoothed_weight =
      remaining(this->options.smoothed_half_life);
  record->smoothed_baseline_ms =
      old_smoothed_weight * record->smoothed_baseline_ms +
      (1 - old_smoothed_weight) * record->baseline_ms;
  record->updated += elapsed;
}

void Interference::Observe(const std::string& service,
                           const std::vector<TailLatencySample>& samples,
                           absl::Time at) {
  if (samples.empty())
    return;
  // Few replicas do not show the load, so they only move the recent baseline.
  const bool enough_replicas = samples.size() >= this->options.min_replicas;
  ServiceRecord& record = this->services[service];
  this->UpdateBaseline(LowTailLatency(samples), enough_replicas, at, &record);
  const double baseline_ms = record.baseline_ms;
  for (const TailLatencySample& sample : samples)
    this->UpdatePairs(service, sample, baseline_ms, at);
}

void Interference::GrowVariance(absl::Time at, Pair* pair) const {
  const double max_variance = this->options.prior_variance;
  const double elapsed_share =
      std::max(0.0, absl::FDivDuration(at - pair->updated,
                                       this->options.variance_growth_time));
  pair->variance =
      std::min(max_variance, pair->variance + elapsed_share * max_variance);
  pair->updated = std::max(at, pair->updated);
}

void Interference::UpdatePairs(const std::string& service,
                               const TailLatencySample& sample,
                               double baseline_ms,
                               absl::Time at) {
  if (baseline_ms <= 0)
    return;
  ServiceRecord& record = this->services[service];
  double total_variance = this->options.noise_variance;
  for (const Exposure& neighbour : sample.neighbours) {
    const auto [it, added] = record.pairs.try_emplace(
        neighbour.owner, Pair{this->ClassMean(neighbour.owner),
                              this->options.prior_variance, at});
    this->AddToClass(neighbour.owner, it->second, -1);
    this->GrowVariance(at, &it->second);
    this->AddToClass(neighbour.owner, it->second, 1);
    total_variance += it->second.variance * neighbour.share * neighbour.share;
  }
  const double growth = std::min(sample.tail_ms / baseline_ms - 1, kMaxGrowth);
  const double error =
      growth - this->ExpectedGrowth(service, sample.neighbours);
  for (const Exposure& neighbour : sample.neighbours) {
    Pair& pair = record.pairs[neighbour.owner];
    const double gain = pair.variance * neighbour.share / total_variance;
    const double coefficient =
        this->Coefficient(service, neighbour.owner) + gain * error;
    this->AddToClass(neighbour.owner, pair, -1);
    pair.coefficient = std::max(0.0, coefficient);
    pair.variance *= 1 - gain * neighbour.share;
    this->AddToClass(neighbour.owner, pair, 1);
  }
}

void Interference::DropOlderThan(absl::Time oldest) {
  for (auto& [service, record] : this->services) {
    std::erase_if(record.pairs, [&](const auto& item) {
      const bool old = item.second.updated < oldest;
      if (old)
        this->AddToClass(item.first, item.second, -1);
      return old;
    });
  }
  std::erase_if(this->services,
                [&](const auto& item) { return item.second.updated < oldest; });
  std::erase_if(this->classes, [](const auto& item) {
    constexpr double negligible_weight = 1e-6;
    return item.second.weight < negligible_weight;
  });
}

}  // namespace cuminjunction
