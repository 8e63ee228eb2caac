#ifndef REQUEST_BUDGET_H_
#define REQUEST_BUDGET_H_

// Budgets of additional work: retries, hedges, and bytes on the link between
// regions.
//
//   RetryBudget retries;
//   retries.OnFirstAttempt();              // its first attempt has ended
//   if (retries.TryTake()) ...             // retry, otherwise report
//
//   HedgeTimer hedge_timer;
//   hedge_timer.OnLatency(latency, now);
//   absl::Time at = hedge_timer.HedgeAt(sent, deadline);
//   ...                                    // at that time: HedgeBudget
//
//   LinkBudget link(kLinkBytesPerSecond);
//   if (link.TryTake(LinkUse::kNormal, bytes, now)) ...

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

// Additional attempts as a share of first attempts. Unspent budget is kept up
// to kMostSaved attempts, so that a long quiet time does not allow a storm.
template <int Percent>
class ShareBudget {
 public:
  static constexpr int64_t kMostSaved = 100;

  // Counts a first attempt. Called when the attempt ends otherwise than by a
  // refusal: a flood that is refused must not earn a budget for more load.
  void OnFirstAttempt() {
    this->hundredths = std::min(this->hundredths + Percent, kMostSaved * 100);
  }

  // Attempts that may be taken.
  double Left() const { return static_cast<double>(this->hundredths) / 100; }

  // Takes one attempt out of the budget. False when it is spent.
  bool TryTake() {
    if (this->hundredths < 100)
      return false;
    this->hundredths -= 100;
    return true;
  }

 private:
  // In hundredths of an attempt: integers keep the share exact.
  int64_t hundredths = 0;
};

using RetryBudget = ShareBudget<10>;
using HedgeBudget = ShareBudget<5>;

// Baseline: every attempt is allowed.
class UnlimitedBudget {
 public:
  void OnFirstAttempt() {}
  bool TryTake() { return true; }
};

// A quantile of latency in which old samples lose weight. Buckets grow by a
// quarter of an octave, so the error is below 19%.
class DecayedQuantile {
 public:
  // Adds a sample. The weight of earlier ones halves every 10 s.
  void Add(absl::Duration latency, absl::Time now);

  // The quantile `probability`, rounded up to its bucket; zero when there is
  // no sample.
  absl::Duration Quantile(double probability) const;

  // Decayed number of samples.
  double Weight() const { return this->total; }

 private:
  static constexpr int kBuckets = 104;
  std::array<double, kBuckets> buckets = {};
  double total = 0;
  absl::Time decayed_at = absl::InfinitePast();
};

// When an unanswered attempt is worth a hedge: after the 95% quantile of
// latency, so that about one attempt in 20 qualifies.
class HedgeTimer {
 public:
  void OnLatency(absl::Duration latency, absl::Time now);

  // The time for a second attempt. InfiniteFuture when there are too few
  // samples, or when a median answer to it would come after the deadline.
  absl::Time HedgeAt(absl::Time sent, absl::Time deadline) const;

 private:
  DecayedQuantile latency;
  // Reading a quantile walks over the buckets, so it is done every 100 samples.
  int until_read = 1;
  bool usable = false;
  int64_t median_us = 0;
  int64_t quantile_us = 0;
};

// What a message on the link between regions is for.
enum class LinkUse : uint8_t {
  kControl = 0,
  kUrgent = 1,
  kNormal = 2,
  kBatch = 3,
};

// The use of the link by a request of this urgency.
LinkUse ToLinkUse(Urgency urgency);

// The 30 Mbit/s of a link between regions, in bytes a second.
inline constexpr int64_t kLinkBytesPerSecond = 30'000'000 / 8;

// Token bucket of a link. Less urgent use must leave a part of the bucket to
// more urgent use, and control traffic is never refused: it leaves a debt that
// the others wait for.
class LinkBudget {
 public:
  // `bytes_per_second` is this process's part of the link.
  explicit LinkBudget(int64_t bytes_per_second);

  // Changes the rate, for instance when the number of entries changes.
  void SetRate(int64_t bytes_per_second, absl::Time now);

  // Takes the bytes out of the bucket, or returns false and takes nothing. A
  // message larger than the bucket passes when the bucket is full.
  bool TryTake(LinkUse use, int64_t bytes, absl::Time now);

  // Takes bytes that were sent beyond an estimate, or gives back (negative)
  // those that were not.
  void Settle(int64_t bytes, absl::Time now);

 private:
  void Refill(absl::Time now);
  double Capacity() const;

  int64_t bytes_per_second;
  double tokens;
  absl::Time refilled_at = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // REQUEST_BUDGET_H_
