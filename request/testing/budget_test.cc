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

// Guards against retries beyond their share of the first attempts, in any
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

// Guards against a budget that refuses what its share allows, and against a
// storm of saved-up retries after a long quiet time.
TEST(BudgetTest, ShareIsUsableAndSavingsAreBounded) {
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
  EXPECT_EQ(taken, HedgeBudget::kMostSaved);
}

// Guards against hedges of ordinary requests, and against hedges whose answer
// would come too late.
TEST(HedgeTimerTest, HedgesTheSlowestTwentieth) {
  HedgeTimer timer;
  EXPECT_EQ(timer.HedgeAt(At(0), At(1000)), absl::InfiniteFuture());
  for (int i = 0; i < 1000; ++i)
    timer.OnLatency(absl::Milliseconds(i % 100 < 94 ? 5 : 50), At(i));
  const absl::Time at = timer.HedgeAt(At(0), At(1000));
  EXPECT_GT(at, At(40));
  EXPECT_LT(at, At(62));
  EXPECT_EQ(timer.HedgeAt(At(0), At(45)), absl::InfiniteFuture());
}

// Guards against a quantile that keeps to a load that is long over.
TEST(HedgeTimerTest, OldLatenciesAreForgotten) {
  DecayedQuantile quantile;
  for (int i = 0; i < 1000; ++i)
    quantile.Add(absl::Milliseconds(100), At(i));
  for (int i = 0; i < 1000; ++i)
    quantile.Add(absl::Milliseconds(5), At(60000 + i));
  EXPECT_LT(quantile.Quantile(0.95), absl::Milliseconds(6));
}

// Guards against more bytes than the link carries, however many requests of
// any use ask.
RC_GTEST_PROP(LinkBudgetTest, NeverExceedsTheRate, ()) {
  LinkBudget link(1000000);
  const auto steps =
      *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 9000));
  absl::Time now = At(0);
  int64_t taken = 0;
  for (const int step : steps) {
    now += absl::Milliseconds(step % 3);
    const auto use = static_cast<LinkUse>(1 + step % 3);
    taken += link.TryTake(use, step, now) ? step : 0;
    // The bucket of 100 ms, and the rate since the start.
    RC_ASSERT(taken <= 100000 + absl::ToInt64Milliseconds(now - At(0)) * 1000);
  }
}

// Guards against batch traffic that holds up urgent and control traffic.
TEST(LinkBudgetTest, UrgentAndControlTrafficGoFirst) {
  LinkBudget link(1000000);
  while (link.TryTake(LinkUse::kBatch, 1000, At(0)))
    continue;
  EXPECT_TRUE(link.TryTake(LinkUse::kNormal, 1000, At(0)));
  while (link.TryTake(LinkUse::kNormal, 1000, At(0)))
    continue;
  EXPECT_TRUE(link.TryTake(LinkUse::kUrgent, 1000, At(0)));
  while (link.TryTake(LinkUse::kUrgent, 1000, At(0)))
    continue;
  EXPECT_TRUE(link.TryTake(LinkUse::kControl, 50000, At(0)));
  // Control traffic left a debt of 50 ms.
  EXPECT_FALSE(link.TryTake(LinkUse::kUrgent, 1000, At(50)));
  EXPECT_TRUE(link.TryTake(LinkUse::kUrgent, 1000, At(52)));
}

// Guards against a message that is larger than the bucket and never passes.
TEST(LinkBudgetTest, LargeMessagePassesAnIdleLink) {
  LinkBudget link(1000000);
  EXPECT_TRUE(link.TryTake(LinkUse::kBatch, 500000, At(0)));
  EXPECT_FALSE(link.TryTake(LinkUse::kUrgent, 1000, At(400)));
  EXPECT_TRUE(link.TryTake(LinkUse::kUrgent, 1000, At(402)));
}

}  // namespace
}  // namespace cuminjunction
