#include "request/budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminjunction {
namespace {

static_assert(AttemptBudget<RetryBudget>);
static_assert(AttemptBudget<HedgeBudget>);
static_assert(AttemptBudget<UnlimitedBudget>);

absl::Time At(int64_t ms) {
  return absl::UnixEpoch() + absl::Milliseconds(ms);
}

// Guards against more retries than their share of the first attempts, for any
// order of first attempts and retries.
RC_GTEST_PROP(BudgetTest,
              RetriesStayWithinTheirShare,
              (const std::vector<bool>& steps)) {
  RetryBudget budget;
  int first = 0;
  int taken = 0;
  for (const bool is_first : steps) {
    for (int i = 0; i < 7; ++i) {
      if (is_first) {
        budget.OnFirstAttempt();
        ++first;
      } else {
        taken += budget.TryTake() ? 1 : 0;
      }
    }
    RC_ASSERT(taken * 10 <= first);
  }
}

// Guards against a budget that refuses attempts within its share, and against a
// storm of attempts whose budget accumulated over a long time without any.
TEST(BudgetTest, ShareIsUsableAndAccumulationIsBounded) {
  HedgeBudget budget;
  for (int i = 0; i < 20; ++i)
    budget.OnFirstAttempt();
  EXPECT_TRUE(budget.TryTake());
  EXPECT_FALSE(budget.TryTake());
  for (int i = 0; i < 1000000; ++i)
    budget.OnFirstAttempt();
  int taken = 0;
  while (budget.TryTake())
    ++taken;
  EXPECT_EQ(taken, HedgeBudget::kMaxSaved);
}

// Guards against hedges of requests with ordinary latency, and against hedges
// whose answer would arrive after the deadline.
TEST(HedgeTimerTest, HedgesTheSlowestFivePercent) {
  HedgeTimer timer;
  EXPECT_EQ(timer.HedgeTime(At(0), At(1000)), absl::InfiniteFuture());
  for (int i = 0; i < 1000; ++i)
    timer.OnLatency(absl::Milliseconds(i % 100 < 94 ? 5 : 50), At(i));
  const absl::Time hedge_time = timer.HedgeTime(At(0), At(1000));
  EXPECT_GT(hedge_time, At(40));
  EXPECT_LT(hedge_time, At(62));
  EXPECT_EQ(timer.HedgeTime(At(0), At(45)), absl::InfiniteFuture());
}

// Guards against a quantile that still reflects a load that ended long ago.
TEST(HedgeTimerTest, OldLatenciesLoseTheirWeight) {
  DecayedQuantile quantile;
  for (int i = 0; i < 1000; ++i)
    quantile.Add(absl::Milliseconds(100), At(i));
  for (int i = 0; i < 1000; ++i)
    quantile.Add(absl::Milliseconds(5), At(60000 + i));
  EXPECT_LT(quantile.Quantile(0.95), absl::Milliseconds(6));
}

// Guards against a budget that allows more bytes than the rate of the link, for
// any number of requests of any class.
RC_GTEST_PROP(LinkBudgetTest, NeverExceedsTheRate, ()) {
  LinkBudget link(1000000);
  const auto steps =
      *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 9000));
  absl::Time now = At(0);
  int64_t taken = 0;
  for (const int step : steps) {
    now += absl::Milliseconds(step % 3);
    const auto traffic_class = static_cast<TrafficClass>(1 + step % 3);
    taken += link.TryTake(traffic_class, step, now) ? step : 0;
    // The bucket holds 100 ms of the rate, and refills at the rate since the
    // start.
    RC_ASSERT(taken <= 100000 + absl::ToInt64Milliseconds(now - At(0)) * 1000);
  }
}

// Guards against batch traffic that delays urgent and control traffic.
TEST(LinkBudgetTest, UrgentAndControlTrafficTakePriority) {
  LinkBudget link(1000000);
  while (link.TryTake(TrafficClass::kBatch, 1000, At(0)))
    continue;
  EXPECT_TRUE(link.TryTake(TrafficClass::kNormal, 1000, At(0)));
  while (link.TryTake(TrafficClass::kNormal, 1000, At(0)))
    continue;
  EXPECT_TRUE(link.TryTake(TrafficClass::kUrgent, 1000, At(0)));
  while (link.TryTake(TrafficClass::kUrgent, 1000, At(0)))
    continue;
  EXPECT_TRUE(link.TryTake(TrafficClass::kControl, 50000, At(0)));
  // Control traffic overdrew the bucket by 50 ms of the rate.
  EXPECT_FALSE(link.TryTake(TrafficClass::kUrgent, 1000, At(50)));
  EXPECT_TRUE(link.TryTake(TrafficClass::kUrgent, 1000, At(52)));
}

// Guards against refusing a message forever because it is larger than the
// bucket.
TEST(LinkBudgetTest, LargeMessageIsAllowedOnAnIdleLink) {
  LinkBudget link(1000000);
  EXPECT_TRUE(link.TryTake(TrafficClass::kBatch, 500000, At(0)));
  EXPECT_FALSE(link.TryTake(TrafficClass::kUrgent, 1000, At(400)));
  EXPECT_TRUE(link.TryTake(TrafficClass::kUrgent, 1000, At(402)));
}

}  // namespace
}  // namespace cuminjunction
