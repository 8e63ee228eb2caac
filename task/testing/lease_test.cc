#include "task/lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/time.h"

namespace cuminjunction {
namespace {

const LeasePolicy kPolicy;
const absl::Time kStart = FromMicros(1'000'000'000);

// Guards against a stop deadline counted from the reply: the store may have
// committed the renewal just after it was sent.
TEST(LeaseHolderTest, DeadlineCountsFromBeforeTheSend) {
  LeaseHolder holder(kPolicy);
  EXPECT_TRUE(holder.IsRenewalDue(kStart));
  holder.RecordSend(1, kStart);
  EXPECT_FALSE(holder.StopDeadline());
  EXPECT_EQ(holder.ConfirmRenewal(1), kStart + kPolicy.length);
  EXPECT_FALSE(holder.IsRenewalDue(kStart + absl::Seconds(19)));
  EXPECT_TRUE(holder.IsRenewalDue(kStart + absl::Seconds(20)));
}

// Guards against a repeated renewal whose first send takes effect late: the
// sequence number is the same, so that the earlier time counts.
TEST(LeaseHolderTest, EarliestSendOfASequenceNumberCounts) {
  LeaseHolder holder(kPolicy);
  holder.RecordSend(5, kStart);
  holder.RecordSend(5, kStart + absl::Seconds(100));
  EXPECT_EQ(holder.ConfirmRenewal(5), kStart + kPolicy.length);
}

// Guards against extending the lease for a commit of another process.
TEST(LeaseHolderTest, UnknownSequenceNumberMovesNothing) {
  LeaseHolder holder(kPolicy);
  holder.RecordSend(5, kStart);
  EXPECT_FALSE(holder.ConfirmRenewal(6));
}

// Reads the store once a second.
void Observe(LeaseObserver* observer,
             uint64_t sequence,
             absl::Time from,
             absl::Time until) {
  for (absl::Time now = from; now <= until; now += absl::Seconds(1)) {
    observer->RecordRead(now);
    observer->RecordObservation("w", 1, sequence, now);
  }
}

// Guards against fencing before the holder's deadline, and against never
// fencing.
TEST(LeaseObserverTest, ExpiresAfterAWholePeriod) {
  LeaseObserver observer(kPolicy);
  const absl::Time end = kStart + kPolicy.ObservationPeriod();
  Observe(&observer, 7, kStart, end - absl::Seconds(1));
  EXPECT_TRUE(observer.ExpiredLeases(end - absl::Seconds(1)).empty());
  Observe(&observer, 7, end, end);
  EXPECT_EQ(observer.ExpiredLeases(end),
            (std::vector<ExpiredLease>{{"w", 1, 7}}));
}

// Guards against a mass eviction when the store returns: holders could not
// renew during the outage.
TEST(LeaseObserverTest, OutageRestartsTheObservation) {
  LeaseObserver observer(kPolicy);
  Observe(&observer, 7, kStart, kStart + absl::Seconds(500));
  observer.RecordReadFailure();
  const absl::Time back = kStart + absl::Seconds(505);
  const absl::Time end = back + kPolicy.ObservationPeriod();
  Observe(&observer, 7, back, end - absl::Seconds(1));
  EXPECT_TRUE(observer.ExpiredLeases(end - absl::Seconds(1)).empty());
  Observe(&observer, 7, end, end);
  EXPECT_EQ(observer.ExpiredLeases(end).size(), 1u);
}

// Guards against an observer that was itself paused and attributes the gap in
// its own reads to the holder.
TEST(LeaseObserverTest, GapInTheReadsRestartsTheObservation) {
  LeaseObserver observer(kPolicy);
  Observe(&observer, 7, kStart, kStart + absl::Seconds(10));
  const absl::Time back = kStart + absl::Seconds(1000);
  EXPECT_TRUE(observer.ExpiredLeases(back).empty());
  observer.RecordRead(back);
  EXPECT_TRUE(observer.ExpiredLeases(back).empty());
  EXPECT_FALSE(observer.WasRenewedSinceRestart("w"));
  observer.RecordObservation("w", 1, 8, back);
  EXPECT_TRUE(observer.WasRenewedSinceRestart("w"));
}

// Guards against a margin that is too small for clocks that differ by 1%: the
// observer's fast clock must not end the period before the holder's slow clock
// reaches the stop deadline.
RC_GTEST_PROP(LeaseTest, ObserverNeverEndsBeforeTheHolder, ()) {
  // Rates differ by up to 1% between the two, in units of 0.01%.
  const double holder_rate = 1 - *rc::gen::inRange(0, 51) / 10000.0;
  const double observer_rate =
      holder_rate * (1 + *rc::gen::inRange(0, 101) / 10000.0);
  const absl::Duration delay = absl::Milliseconds(*rc::gen::inRange(0, 9000));
  LeaseHolder holder(kPolicy);
  LeaseObserver observer(kPolicy);
  holder.RecordSend(1, kStart);
  const absl::Time deadline = *holder.ConfirmRenewal(1);
  // True time at which the holder's clock shows the deadline.
  const absl::Duration stop = (deadline - kStart) / holder_rate;
  const absl::Time first_seen = kStart + delay * observer_rate;
  const absl::Time at_stop = kStart + stop * observer_rate;
  Observe(&observer, 1, first_seen, at_stop);
  observer.RecordRead(at_stop);
  RC_ASSERT(observer.ExpiredLeases(at_stop).empty());
}

}  // namespace
}  // namespace cuminjunction
