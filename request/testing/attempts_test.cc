#include "request/attempts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "request/testing/path_harness.h"
#include "request/tombstones.h"

namespace cuminjunction {
namespace {

const RequestChart& TestRequestChart() {
  static const RequestChart chart = TestChart();
  return chart;
}

// Guards against a non-idempotent request running twice (P6) by a second
// attempt beside an outstanding one, or after one that may have run.
TEST(AttemptsTest, NonIdempotentRequestIsSentAgainOnlyAfterARefusal) {
  RequestAttempts attempts(&TestRequestChart(), false);
  ASSERT_EQ(attempts.StartAttempt().value(), 1u);
  EXPECT_EQ(attempts.StartAttempt().error(), AttemptError::kMayRunTwice);
  EXPECT_TRUE(attempts.RecordRefused(1));
  ASSERT_EQ(attempts.StartAttempt().value(), 2u);
  EXPECT_TRUE(attempts.RecordBroken(2));
  EXPECT_EQ(attempts.StartAttempt().error(), AttemptError::kMayRunTwice);
  EXPECT_EQ(attempts.GiveUp(), Outcome::kUnknown);
}

// Guards against a false kNotRun (P5) when one attempt is refused and another
// one may have run.
TEST(AttemptsTest, BrokenHedgeMakesTheOutcomeUnknown) {
  RequestAttempts attempts(&TestRequestChart(), true);
  ASSERT_TRUE(attempts.StartAttempt());
  ASSERT_TRUE(attempts.StartAttempt());
  EXPECT_TRUE(attempts.RecordBroken(1));
  EXPECT_TRUE(attempts.RecordRefused(2));
  EXPECT_EQ(attempts.GiveUp(), Outcome::kUnknown);
}

// Guards against late and duplicated messages that change the state of a
// request.
TEST(AttemptsTest, ReportsOfAttemptsThatAreNotOutstandingAreIgnored) {
  RequestAttempts attempts(&TestRequestChart(), false);
  EXPECT_FALSE(attempts.RecordAnswered(1));
  ASSERT_TRUE(attempts.StartAttempt());
  EXPECT_TRUE(attempts.RecordRefused(1));
  EXPECT_FALSE(attempts.RecordAnswered(1));
  EXPECT_FALSE(attempts.RecordRefused(1));
  ASSERT_TRUE(attempts.StartAttempt());
  EXPECT_TRUE(attempts.RecordAnswered(2));
  EXPECT_FALSE(attempts.RecordBroken(2));
  EXPECT_EQ(attempts.GiveUp(), Outcome::kAnswered);
  EXPECT_EQ(attempts.StartAttempt().error(), AttemptError::kEnded);
}

// Guards against an order of events that leads to a false kNotRun or to a
// second run of a non-idempotent request.
RC_GTEST_PROP(AttemptsTest,
              OutcomeMatchesTheAttemptsThatMayHaveRun,
              (bool idempotent, const std::vector<uint8_t>& events)) {
  RequestAttempts attempts(&TestRequestChart(), idempotent);
  std::set<uint32_t> may_have_run;
  bool answered = false;
  for (const uint8_t event : events) {
    const uint32_t attempt = 1 + (event / 4) % 3;
    switch (event % 4) {
      case 0:
        if (const Result<uint32_t> sent = attempts.StartAttempt()) {
          RC_ASSERT(idempotent || may_have_run.empty());
          may_have_run.insert(sent.value());
        }
        break;
      case 1:
        if (attempts.RecordRefused(attempt))
          may_have_run.erase(attempt);
        break;
      case 2:
        attempts.RecordBroken(attempt);
        break;
      default:
        answered = attempts.RecordAnswered(attempt) || answered;
    }
  }
  const Outcome outcome = attempts.GiveUp();
  RC_ASSERT((outcome == Outcome::kAnswered) == answered);
  if (!answered)
    RC_ASSERT((outcome == Outcome::kNotRun) == may_have_run.empty());
}

// Guards against the use of a chart file that lacks an event.
TEST(AttemptsTest, ChartWithoutAnEventIsRejected) {
  std::vector<YamlProblem> problems;
  Chart chart =
      LoadChart(CUMINJUNCTION_SOURCE_DIR "/charts/request.yaml", &problems)
          .value();
  for (auto& [state, events] : chart.transitions)
    events.erase("spoil");
  EXPECT_EQ(RequestChart::Compile(chart).error(), AttemptError::kBadChart);
}

constexpr AttemptId kId = {{7, 1}, 1};
const absl::Time kNow = absl::FromUnixSeconds(1000);
const absl::Time kDeadline = kNow + absl::Seconds(1);

// Guards against a late message that starts an attempt after its refusal, until
// the deadline and the largest clock skew have passed.
TEST(TombstonesTest, BlockedAttemptNeverStarts) {
  Tombstones tombstones;
  tombstones.Block(kId, kDeadline, kNow);
  for (const absl::Time now :
       {kNow, kDeadline, kDeadline + kMaxClockSkew - absl::Microseconds(1)}) {
    EXPECT_EQ(tombstones.Admit(kId, kDeadline, now),
              Tombstones::Verdict::kBlocked);
  }
  EXPECT_EQ(tombstones.Admit(kId, kDeadline, kDeadline + kMaxClockSkew),
            Tombstones::Verdict::kExpired);
}

// Guards against a duplicated Submit message that starts an attempt twice.
TEST(TombstonesTest, AttemptIsAdmittedOnce) {
  Tombstones tombstones;
  EXPECT_EQ(tombstones.Admit(kId, kDeadline, kNow), Tombstones::Verdict::kNew);
  EXPECT_EQ(tombstones.Admit(kId, kDeadline, kNow),
            Tombstones::Verdict::kDuplicate);
}

// Guards against memory use that grows with each request.
TEST(TombstonesTest, IdsAreRemovedAfterTheDeadline) {
  Tombstones tombstones;
  for (uint64_t i = 1; i <= 100; ++i)
    tombstones.Admit({{7, i}, 1}, kDeadline, kNow);
  tombstones.Admit({{7, 101}, 1}, kDeadline + absl::Hours(1),
                   kDeadline + kMaxClockSkew);
  EXPECT_EQ(tombstones.Count(), 1u);
}

}  // namespace
}  // namespace cuminjunction
