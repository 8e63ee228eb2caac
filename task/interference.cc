#include "task/interference.h"

#include <algorithm>
#include <cmath>

namespace cuminjunction {

namespace {

// A single extreme tail moves the estimates no more than one of this growth.
constexpr double kMostGrowth = 10;
// The low tails among a service's replicas tell its load. They are not
// corrected by what the raises predict for them: an error in the raises would
// move the load, and the load the raises, without end.
constexpr double kLowQuantile = 0.1;

double LowTail(const std::vector<TailSample>& samples) {
  std::vector<double> tails;
  tails.reserve(samples.size());
  for (const TailSample& sample : samples)
    tails.push_back(sample.tail_ms);
  const auto low =
      tails.begin() + static_cast<std::ptrdiff_t>(
                          kLowQuantile * static_cast<double>(tails.size()));
  std::nth_element(tails.begin(), low, tails.end());
  return *low;
}

}  // namespace

double Interference::EvidenceOf(const Pair& pair) const {
  return std::clamp(1 - pair.variance / this->options.prior_variance, 0.0, 1.0);
}

double Interference::ClassMean(const std::string& owner) const {
  const double prior = this->options.prior_pairs;
  const auto found = this->classes.find(owner);
  if (found == this->classes.end())
    return this->options.prior_raise;
  return (found->second.weighted + prior * this->options.prior_raise) /
         (found->second.weight + prior);
}

void Interference::AddToClass(const std::string& owner,
                              const Pair& pair,
                              double sign) {
  const double weight = sign * this->EvidenceOf(pair);
  ClassSum& sum = this->classes[owner];
  sum.weight = std::max(0.0, sum.weight + weight);
  sum.weighted = std::max(0.0, sum.weighted + weight * pair.raise);
}

double Interference::Raise(const std::string& service,
                           const std::string& owner) const {
  const double mean = this->ClassMean(owner);
  const auto record = this->services.find(service);
  if (record == this->services.end())
    return mean;
  const auto pair = record->second.pairs.find(owner);
  if (pair == record->second.pairs.end())
    return mean;
  const double evidence = this->EvidenceOf(pair->second);
  return evidence * pair->second.raise + (1 - evidence) * mean;
}

double Interference::Evidence(const std::string& service,
                              const std::string& owner) const {
  const auto record = this->services.find(service);
  if (record == this->services.end())
    return 0;
  const auto pair = record->second.pairs.find(owner);
  return pair == record->second.pairs.end() ? 0
                                            : this->EvidenceOf(pair->second);
}

double Interference::Baseline(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.baseline_ms;
}

double Interference::Peak(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.peak_ms;
}

double Interference::Usual(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.usual_ms;
}

double Interference::TotalRaise(const std::string& service,
                                const std::vector<Exposure>& neighbours) const {
  double total = 0;
  for (const Exposure& neighbour : neighbours)
    total += this->Raise(service, neighbour.owner) * neighbour.share;
  return total;
}

void Interference::MoveBaseline(double present,
                                bool enough,
                                absl::Time at,
                                ServiceRecord* record) const {
  if (record->baseline_ms <= 0) {
    record->baseline_ms = present;
    record->peak_ms = present;
    record->usual_ms = present;
    record->updated = at;
    return;
  }
  const absl::Duration elapsed =
      std::max(absl::ZeroDuration(), at - record->updated);
  const auto left = [&](absl::Duration half_life) {
    return std::exp2(-absl::FDivDuration(elapsed, half_life));
  };
  const double kept = enough ? 0 : left(this->options.baseline_half_life);
  record->baseline_ms = kept * record->baseline_ms + (1 - kept) * present;
  const double above = record->peak_ms - record->baseline_ms;
  record->peak_ms = record->baseline_ms +
                    std::max(0.0, above * left(this->options.peak_half_life));
  const double usual_kept = left(this->options.usual_half_life);
  record->usual_ms =
      usual_kept * record->usual_ms + (1 - usual_kept) * record->baseline_ms;
  record->updated += elapsed;
}

void Interference::Observe(const std::string& service,
                           const std::vector<TailSample>& samples,
                           absl::Time at) {
  if (samples.empty())
    return;
  // A few replicas don't tell the load, so the recent baseline stands for it.
  const bool enough = samples.size() >= this->options.least_replicas;
  ServiceRecord& record = this->services[service];
  this->MoveBaseline(LowTail(samples), enough, at, &record);
  const double baseline_ms = record.baseline_ms;
  for (const TailSample& sample : samples)
    this->Learn(service, sample, baseline_ms, at);
}

void Interference::Age(absl::Time at, Pair* pair) const {
  const double most = this->options.prior_variance;
  const double aged = std::max(
      0.0, absl::FDivDuration(at - pair->updated, this->options.memory));
  pair->variance = std::min(most, pair->variance + aged * most);
  pair->updated = std::max(at, pair->updated);
}

void Interference::Learn(const std::string& service,
                         const TailSample& sample,
                         double baseline_ms,
                         absl::Time at) {
  if (baseline_ms <= 0)
    return;
  ServiceRecord& record = this->services[service];
  double spread = this->options.noise_variance;
  for (const Exposure& neighbour : sample.neighbours) {
    const auto [it, added] = record.pairs.try_emplace(
        neighbour.owner, Pair{this->ClassMean(neighbour.owner),
                              this->options.prior_variance, at});
    this->AddToClass(neighbour.owner, it->second, -1);
    this->Age(at, &it->second);
    this->AddToClass(neighbour.owner, it->second, 1);
    spread += it->second.variance * neighbour.share * neighbour.share;
  }
  const double growth = std::min(sample.tail_ms / baseline_ms - 1, kMostGrowth);
  const double error = growth - this->TotalRaise(service, sample.neighbours);
  for (const Exposure& neighbour : sample.neighbours) {
    Pair& pair = record.pairs[neighbour.owner];
    const double gain = pair.variance * neighbour.share / spread;
    const double raise = this->Raise(service, neighbour.owner) + gain * error;
    this->AddToClass(neighbour.owner, pair, -1);
    pair.raise = std::max(0.0, raise);
    pair.variance *= 1 - gain * neighbour.share;
    this->AddToClass(neighbour.owner, pair, 1);
  }
}

void Interference::Forget(absl::Time oldest) {
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
    constexpr double nothing = 1e-6;
    return item.second.weight < nothing;
  });
}

}  // namespace cuminjunction
