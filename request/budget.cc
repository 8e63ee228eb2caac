#include "request/budget.h"

#include <cmath>

namespace cuminjunction {

namespace {

// A bucket holds the bytes of this time at the link's rate. This bounds the
// queue that a burst causes in front of the link.
constexpr double kBurstSeconds = 0.1;

// Share of the bucket that each class must leave to the others. Indexed by
// TrafficClass.
constexpr std::array<double, 4> kReservedShares = {0, 0, 0.25, 0.5};

constexpr double kHalfLifeSeconds = 10;
constexpr double kMinHedgeSamples = 50;
constexpr int kRefreshSamples = 100;
constexpr double kHedgeQuantile = 0.95;

int BucketOf(absl::Duration latency, int count) {
  const double us = std::max(1.0, absl::ToDoubleMicroseconds(latency));
  return std::min(count - 1, static_cast<int>(std::log2(us) * 4));
}

}  // namespace

void DecayedQuantile::Add(absl::Duration latency, absl::Time now) {
  const absl::Duration passed = now - this->decayed_at;
  if (passed > absl::Seconds(1)) {
    const double decay =
        std::isfinite(absl::ToDoubleSeconds(passed))
            ? std::exp2(-absl::ToDoubleSeconds(passed) / kHalfLifeSeconds)
            : 0;
    for (double& bucket : this->buckets)
      bucket *= decay;
    this->total_weight *= decay;
    this->decayed_at = now;
  }
  this->buckets[static_cast<size_t>(BucketOf(latency, kBuckets))] += 1;
  this->total_weight += 1;
}

absl::Duration DecayedQuantile::Quantile(double probability) const {
  if (this->total_weight <= 0)
    return absl::ZeroDuration();
  double cumulative = 0;
  for (int i = 0; i < kBuckets; ++i) {
    cumulative += this->buckets[static_cast<size_t>(i)];
    if (cumulative >= probability * this->total_weight)
      return absl::Microseconds(std::exp2((i + 1) / 4.0));
  }
  return absl::Microseconds(std::exp2(kBuckets / 4.0));
}

void HedgeTimer::OnLatency(absl::Duration latency, absl::Time now) {
  this->latency.Add(latency, now);
  if (--this->samples_until_refresh > 0)
    return;
  this->has_enough_samples = this->latency.TotalWeight() >= kMinHedgeSamples;
  this->samples_until_refresh = this->has_enough_samples ? kRefreshSamples : 1;
  if (!this->has_enough_samples)
    return;
  this->median_us = absl::ToInt64Microseconds(this->latency.Quantile(0.5));
  this->hedge_delay_us =
      absl::ToInt64Microseconds(this->latency.Quantile(kHedgeQuantile));
}

absl::Time HedgeTimer::HedgeTime(absl::Time sent, absl::Time deadline) const {
  if (!this->has_enough_samples)
    return absl::InfiniteFuture();
  const absl::Time hedge_time = sent + absl::Microseconds(this->hedge_delay_us);
  const absl::Time expected_answer =
      hedge_time + absl::Microseconds(this->median_us);
  return expected_answer < deadline ? hedge_time : absl::InfiniteFuture();
}

TrafficClass ToTrafficClass(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return TrafficClass::kUrgent;
    case Urgency::kNormal:
      return TrafficClass::kNormal;
    case Urgency::kBatch:
      return TrafficClass::kBatch;
  }
  return TrafficClass::kBatch;
}

LinkBudget::LinkBudget(int64_t bytes_per_second)
    : bytes_per_second(bytes_per_second), tokens(this->Capacity()) {}

double LinkBudget::Capacity() const {
  return static_cast<double>(this->bytes_per_second) * kBurstSeconds;
}

void LinkBudget::SetRate(int64_t bytes_per_second, absl::Time now) {
  this->Refill(now);
  this->bytes_per_second = bytes_per_second;
  this->tokens = std::min(this->tokens, this->Capacity());
}

void LinkBudget::Refill(absl::Time now) {
  if (this->refilled_at != absl::InfinitePast() && now > this->refilled_at) {
    const double passed = absl::ToDoubleSeconds(now - this->refilled_at);
    const double added = passed * static_cast<double>(this->bytes_per_second);
    this->tokens = std::min(this->Capacity(), this->tokens + added);
  }
  this->refilled_at = std::max(this->refilled_at, now);
}

bool LinkBudget::TryTake(TrafficClass traffic_class,
                         int64_t bytes,
                         absl::Time now) {
  this->Refill(now);
  const double remaining = this->tokens - static_cast<double>(bytes);
  const double reserved =
      kReservedShares[static_cast<size_t>(traffic_class)] * this->Capacity();
  const bool full = this->tokens >= this->Capacity();
  if (traffic_class != TrafficClass::kControl && remaining < reserved && !full)
    return false;
  this->tokens = remaining;
  return true;
}

void LinkBudget::Adjust(int64_t bytes, absl::Time now) {
  this->Refill(now);
  this->tokens =
      std::min(this->Capacity(), this->tokens - static_cast<double>(bytes));
}

}  // namespace cuminjunction
