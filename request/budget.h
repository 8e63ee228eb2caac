#ifndef REQUEST_BUDGET_H_
#define REQUEST_BUDGET_H_

// Budgets that limit additional work: retries, hedges, and bytes on the link
// between regions.
//
//   RetryBudget retries;
//   retries.OnFirstAttempt();              // a first attempt has ended
//   if (retries.TryTake()) ...             // retry; otherwise fail the request
//
//   HedgeTimer hedge_timer;
//   hedge_timer.OnLatency(latency, now);
//   absl::Time hedge_time = hedge_timer.HedgeTime(sent, deadline);
//   ...                                    // then: HedgeBudget::TryTake()
//
//   LinkBudget link(kLinkBytesPerSecond);
//   if (link.TryTake(TrafficClass::kNormal, bytes, now)) ...

#include <algorithm>
#include <array>
#include <concepts>
#include <cstdint>

#include "absl/time/time.h"
#include "config/document.h"

namespace cuminjunction {

// Decides whether one more attempt may be sent.
template <class B>
concept AttemptBudget = requires(B& budget) {
  budget.OnFirstAttempt();
  { budget.TryTake() } -> std::same_as<bool>;
};

// Limits additional attempts to a share of the first attempts. An unspent
// budget accumulates up to kMaxSaved attempts, so that a long time without
// retries does not allow a retry storm.
template <int Percent>
class ShareBudget {
 public:
  static constexpr int64_t kMaxSaved = 100;

  // Counts a first attempt. Called when an attempt ends with anything but a
  // refusal: attempts that are refused in a flood must not allow more load.
  void OnFirstAttempt() {
    this->hundredths = std::min(this->hundredths + Percent, kMaxSaved * 100);
  }

  // Attempts that the budget allows now.
  double Remaining() const {
    return static_cast<double>(this->hundredths) / 100;
  }

  // Takes one attempt out of the budget. Returns false when the budget is
  // spent.
  bool TryTake() {
    if (this->hundredths < 100)
      return false;
    this->hundredths -= 100;
    return true;
  }

 private:
  // The budget in hundredths of an attempt: integers keep the share exact.
  int64_t hundredths = 0;
};

using RetryBudget = ShareBudget<10>;
using HedgeBudget = ShareBudget<5>;

// Allows every attempt, for comparison in benches.
class UnlimitedBudget {
 public:
  void OnFirstAttempt() {}
  bool TryTake() { return true; }
};

// A latency histogram with quantiles in which the weight of old samples decays.
// Each bucket is wider than the one before by a factor of 2^(1/4), so the error
// of a quantile is below 19%.
class DecayedQuantile {
 public:
  // Adds a sample. The weight of earlier ones halves every 10 s.
  void Add(absl::Duration latency, absl::Time now);

  // The quantile of `probability` (0 to 1), rounded up to the upper bound of
  // its bucket; zero when there is no sample.
  absl::Duration Quantile(double probability) const;

  // Decayed number of samples.
  double TotalWeight() const { return this->total_weight; }

 private:
  static constexpr int kBuckets = 104;
  std::array<double, kBuckets> buckets = {};
  double total_weight = 0;
  absl::Time decayed_at = absl::InfinitePast();
};

// Computes when to hedge an unanswered attempt: after the 95% quantile of the
// latency, so that about one attempt in 20 is hedged.
class HedgeTimer {
 public:
  void OnLatency(absl::Duration latency, absl::Time now);

  // The time to send a hedge for an attempt sent at `sent`. InfiniteFuture when
  // there are too few samples, or when the hedge would miss the deadline at the
  // median latency.
  absl::Time HedgeTime(absl::Time sent, absl::Time deadline) const;

 private:
  DecayedQuantile latency;
  // Computing a quantile iterates over the buckets, so the quantiles below are
  // refreshed every 100 samples.
  int samples_until_refresh = 1;
  bool has_enough_samples = false;
  int64_t median_us = 0;
  int64_t hedge_delay_us = 0;
};

// Class of a message on the link between regions, most important first.
enum class TrafficClass : uint8_t {
  kControl = 0,
  kUrgent = 1,
  kNormal = 2,
  kBatch = 3,
};

// The traffic class of a request with this urgency.
TrafficClass ToTrafficClass(Urgency urgency);

// Rate of a link between regions: 30 Mbit/s, in bytes a second.
inline constexpr int64_t kLinkBytesPerSecond = 30'000'000 / 8;

// Token bucket of a link. Less urgent traffic must leave a reserved part of the
// bucket to more urgent traffic. Control traffic is never refused: it may make
// the bucket negative, and all other traffic is refused until it has refilled.
class LinkBudget {
 public:
  // `bytes_per_second` is this process's share of the link.
  explicit LinkBudget(int64_t bytes_per_second);

  // Changes the rate, for instance when the number of entries changes.
  void SetRate(int64_t bytes_per_second, absl::Time now);

  // Takes `bytes` out of the bucket, or returns false and takes nothing. A
  // message larger than the bucket is allowed when the bucket is full.
  bool TryTake(TrafficClass traffic_class, int64_t bytes, absl::Time now);

  // Corrects an earlier estimate: takes the bytes that were sent beyond it, or
  // returns those that were not sent (`bytes` below 0).
  void Adjust(int64_t bytes, absl::Time now);

 private:
  void Refill(absl::Time now);
  double Capacity() const;

  int64_t bytes_per_second;
  double tokens;
  absl::Time refilled_at = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // REQUEST_BUDGET_H_
