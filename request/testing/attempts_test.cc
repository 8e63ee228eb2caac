#include "request/attempts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "request/testing/path_harness.h"
#include "request/tombstones.h"

namespace cuminjunction {
namespace {

const RequestChart& ChartOfRequests() {
  static const RequestChart chart = TestChart();
  return chart;
}

// Guards against a non-idempotent request running twice (P6): a second attempt
// next to an outstanding one, or after one that may have run.
TEST(AttemptsTest, NonIdempotentRequestIsSentAgainOnlyAfterARefusal) {
  RequestAttempts attempts(&ChartOfRequests(), false);
  ASSERT_EQ(attempts.Send().value(), 1u);
  EXPECT_EQ(attempts.Send().error(), AttemptError::kMayRunTwice);
  EXPECT_TRUE(attempts.Refuse(1));
  ASSERT_EQ(attempts.Send().value(), 2u);
  EXPECT_TRUE(attempts.Break(2));
  EXPECT_EQ(attempts.Send().error(), AttemptError::kMayRunTwice);
  EXPECT_EQ(attempts.GiveUp(), Outcome::kUnknown);
}

// Guards against a refusal of one attempt hiding that another one may have run
// (P5).
TEST(AttemptsTest, BrokenHedgeKeepsTheOutcomeUnknown) {
  RequestAttempts attempts(&ChartOfRequests(), true);
  ASSERT_TRUE(attempts.Send());
  ASSERT_TRUE(attempts.Send());
  EXPECT_TRUE(attempts.Break(1));
  EXPECT_TRUE(attempts.Refuse(2));
  EXPECT_EQ(attempts.GiveUp(), Outcome::kUnknown);
}

// Guards against late and duplicated reports changing a request.
TEST(AttemptsTest, ReportsOfAttemptsThatAreNotOutstandingAreDropped) {
  RequestAttempts attempts(&ChartOfRequests(), false);
  EXPECT_FALSE(attempts.Answer(1));
  ASSERT_TRUE(attempts.Send());
  EXPECT_TRUE(attempts.Refuse(1));
  EXPECT_FALSE(attempts.Answer(1));
  EXPECT_FALSE(attempts.Refuse(1));
  ASSERT_TRUE(attempts.Send());
  EXPECT_TRUE(attempts.Answer(2));
  EXPECT_FALSE(attempts.Break(2));
  EXPECT_EQ(attempts.GiveUp(), Outcome::kAnswered);
  EXPECT_EQ(attempts.Send().error(), AttemptError::kEnded);
}

// Guards against any order of events giving a false "not run" or a second run
// of a non-idempotent request.
RC_GTEST_PROP(AttemptsTest,
              OutcomeFollowsWhatIsCertain,
              (bool idempotent, const std::vector<uint8_t>& events)) {
  RequestAttempts attempts(&ChartOfRequests(), idempotent);
  std::set<uint32_t> maybe_run;
  bool answered = false;
  for (const uint8_t event : events) {
    const uint32_t attempt = 1 + (event / 4) % 3;
    switch (event % 4) {
      case 0:
        if (const Result<uint32_t> sent = attempts.Send()) {
          RC_ASSERT(idempotent || maybe_run.empty());
          maybe_run.insert(sent.value());
        }
        break;
      case 1:
        if (attempts.Refuse(attempt))
          maybe_run.erase(attempt);
        break;
      case 2:
        attempts.Break(attempt);
        break;
      default:
        answered = attempts.Answer(attempt) || answered;
    }
  }
  const Outcome outcome = attempts.GiveUp();
  RC_ASSERT((outcome == Outcome::kAnswered) == answered);
  if (!answered)
    RC_ASSERT((outcome == Outcome::kNotRun) == maybe_run.empty());
}

// Guards against a chart file that lost a state or an event being used.
TEST(AttemptsTest, ChartWithoutAnEventIsRefused) {
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

// Guards against a late frame starting an attempt after its refusal, up to the
// end of the clock skew.
TEST(TombstonesTest, BuriedAttemptNeverStarts) {
  Tombstones tombstones;
  tombstones.Bury(kId, kDeadline, kNow);
  for (const absl::Time now :
       {kNow, kDeadline, kDeadline + kClockSkew - absl::Microseconds(1)}) {
    EXPECT_EQ(tombstones.Admit(kId, kDeadline, now),
              Tombstones::Verdict::kBuried);
  }
  EXPECT_EQ(tombstones.Admit(kId, kDeadline, kDeadline + kClockSkew),
            Tombstones::Verdict::kLate);
}

// Guards against a duplicated Submit running twice.
TEST(TombstonesTest, AttemptIsAdmittedOnce) {
  Tombstones tombstones;
  EXPECT_EQ(tombstones.Admit(kId, kDeadline, kNow), Tombstones::Verdict::kNew);
  EXPECT_EQ(tombstones.Admit(kId, kDeadline, kNow),
            Tombstones::Verdict::kDuplicate);
}

// Guards against memory that grows with every request.
TEST(TombstonesTest, IdsAreForgottenAfterTheDeadline) {
  Tombstones tombstones;
  for (uint64_t i = 1; i <= 100; ++i)
    tombstones.Admit({{7, i}, 1}, kDeadline, kNow);
  tombstones.Admit({{7, 101}, 1}, kDeadline + absl::Hours(1),
                   kDeadline + kClockSkew);
  EXPECT_EQ(tombstones.Count(), 1u);
}

}  // namespace
}  // namespace cuminjunction
