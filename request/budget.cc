#include "request/budget.h"

#include <cmath>

namespace cuminjunction {

namespace {

// A bucket holds this much of the link's rate. It bounds the queue that a burst
// builds up in front of the link.
constexpr double kBurstSeconds = 0.1;

// Share of the bucket that each use must leave behind. Indexed by LinkUse.
constexpr std::array<double, 4> kLeaveBehind = {0, 0, 0.25, 0.5};

constexpr double kHalfLifeSeconds = 10;
constexpr double kLeastHedgeSamples = 50;
constexpr int kReadEvery = 100;
constexpr double kHedgeQuantile = 0.95;

int BucketOf(absl::Duration latency, int count) {
  const double us = std::max(1.0, absl::ToDoubleMicroseconds(latency));
  return std::min(count - 1, static_cast<int>(std::log2(us) * 4));
}

}  // namespace

void DecayedQuantile::Add(absl::Duration latency, absl::Time now) {
  const absl::Duration passed = now - this->decayed_at;
  if (passed > absl::Seconds(1)) {
    const double keep =
        std::isfinite(absl::ToDoubleSeconds(passed))
            ? std::exp2(-absl::ToDoubleSeconds(passed) / kHalfLifeSeconds)
            : 0;
    for (double& bucket : this->buckets)
      bucket *= keep;
    this->total *= keep;
    this->decayed_at = now;
  }
  this->buckets[static_cast<size_t>(BucketOf(latency, kBuckets))] += 1;
  this->total += 1;
}

absl::Duration DecayedQuantile::Quantile(double probability) const {
  if (this->total <= 0)
    return absl::ZeroDuration();
  double below = 0;
  for (int i = 0; i < kBuckets; ++i) {
    below += this->buckets[static_cast<size_t>(i)];
    if (below >= probability * this->total)
      return absl::Microseconds(std::exp2((i + 1) / 4.0));
  }
  return absl::Microseconds(std::exp2(kBuckets / 4.0));
}

void HedgeTimer::OnLatency(absl::Duration latency, absl::Time now) {
  this->latency.Add(latency, now);
  if (--this->until_read > 0)
    return;
  this->usable = this->latency.Weight() >= kLeastHedgeSamples;
  this->until_read = this->usable ? kReadEvery : 1;
  if (!this->usable)
    return;
  this->median_us = absl::ToInt64Microseconds(this->latency.Quantile(0.5));
  this->quantile_us =
      absl::ToInt64Microseconds(this->latency.Quantile(kHedgeQuantile));
}

absl::Time HedgeTimer::HedgeAt(absl::Time sent, absl::Time deadline) const {
  if (!this->usable)
    return absl::InfiniteFuture();
  const absl::Time at = sent + absl::Microseconds(this->quantile_us);
  const absl::Time answer = at + absl::Microseconds(this->median_us);
  return answer < deadline ? at : absl::InfiniteFuture();
}

LinkUse ToLinkUse(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return LinkUse::kUrgent;
    case Urgency::kNormal:
      return LinkUse::kNormal;
    case Urgency::kBatch:
      return LinkUse::kBatch;
  }
  return LinkUse::kBatch;
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

bool LinkBudget::TryTake(LinkUse use, int64_t bytes, absl::Time now) {
  this->Refill(now);
  const double left = this->tokens - static_cast<double>(bytes);
  const double leave =
      kLeaveBehind[static_cast<size_t>(use)] * this->Capacity();
  const bool full = this->tokens >= this->Capacity();
  if (use != LinkUse::kControl && left < leave && !full)
    return false;
  this->tokens = left;
  return true;
}

void LinkBudget::Settle(int64_t bytes, absl::Time now) {
  this->Refill(now);
  this->tokens =
      std::min(this->Capacity(), this->tokens - static_cast<double>(bytes));
}

}  // namespace cuminjunction
