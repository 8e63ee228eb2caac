#include "task/usage.h"

#include <algorithm>
#include <cmath>

namespace cuminjunction {

namespace {

// Ratio between the bounds of adjacent buckets; 100 buckets reach 10^8.
constexpr double kBucketRatio = 1.2;

double DecayOver(absl::Duration time, absl::Duration half_life) {
  return std::exp2(-absl::FDivDuration(time, half_life));
}

}  // namespace

void DecayedHistogram::Add(int64_t value, absl::Time at) {
  double weight = 1;
  if (this->newest == absl::InfinitePast()) {
    this->newest = at;
  } else if (at > this->newest) {
    const double decay = DecayOver(at - this->newest, this->half_life);
    for (double& bucket_weight : this->weights)
      bucket_weight *= decay;
    this->newest = at;
  } else {
    weight = DecayOver(this->newest - at, this->half_life);
  }
  const double position =
      std::log(static_cast<double>(std::max<int64_t>(value, 1))) /
      std::log(kBucketRatio);
  const auto bucket = static_cast<size_t>(std::ceil(position));
  this->weights[std::min(bucket, kBuckets - 1)] += weight;
}

double DecayedHistogram::Weight() const {
  double sum = 0;
  for (const double bucket_weight : this->weights)
    sum += bucket_weight;
  return sum;
}

int64_t DecayedHistogram::Quantile(double quantile) const {
  const double target_weight = quantile * this->Weight();
  double sum = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    sum += this->weights[i];
    if (sum > 0 && sum >= target_weight) {
      return static_cast<int64_t>(
          std::pow(kBucketRatio, static_cast<double>(i)));
    }
  }
  return 0;
}

void UsageModel::Observe(const UsageReport& report) {
  const auto [newest_report, added] =
      this->newest_reports.try_emplace(report.worker, absl::InfinitePast());
  if (report.at <= newest_report->second)
    return;
  newest_report->second = report.at;
  for (const TaskUsage& task : report.tasks) {
    const auto [found, first] = this->owners.try_emplace(
        task.owner, OwnerUsage{DecayedHistogram(this->options.half_life),
                               DecayedHistogram(this->options.half_life)});
    // The processor usage of a throttled task does not show what it would use
    // without the throttle.
    if (task.share >= 1)
      found->second.millicores.Add(task.millicores, report.at);
    found->second.memory_mib.Add(task.memory_mib, report.at);
  }
}

Size UsageModel::Expected(const std::string& owner,
                          const Size& declared) const {
  const auto found = this->owners.find(owner);
  if (found == this->owners.end())
    return declared;
  const auto estimate = [&](const DecayedHistogram& histogram,
                            int64_t declared_value) {
    if (histogram.Weight() < this->options.min_weight)
      return declared_value;
    return std::min(declared_value,
                    histogram.Quantile(this->options.expected_quantile));
  };
  return {estimate(found->second.millicores, declared.millicores),
          estimate(found->second.memory_mib, declared.memory_mib),
          declared.accelerators};
}

void UsageModel::DropOlderThan(absl::Time oldest) {
  std::erase_if(this->owners, [&](const auto& item) {
    return item.second.memory_mib.Newest() < oldest;
  });
  std::erase_if(this->newest_reports,
                [&](const auto& item) { return item.second < oldest; });
}

}  // namespace cuminjunction
