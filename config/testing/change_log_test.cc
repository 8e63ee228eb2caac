#include "config/change_log.h"

#include <gtest/gtest.h>

#include "base/strings.h"
#include "config/error.h"

namespace cuminjunction {
namespace {

ChangeLog MakeLog() {
  std::vector<YamlProblem> problems;
  return ChangeLog(
      LoadChart(CUMINJUNCTION_SOURCE_DIR "/charts/config.yaml", &problems)
          .value());
}

TEST(ChangeLogTest, FollowsAChangeUntilItIsInForce) {
  ChangeLog log = MakeLog();
  log.Submit("c1");
  EXPECT_EQ(log.Find("c1")->state, "submitted");
  ASSERT_TRUE(log.OnCheck("c1", true));
  ASSERT_TRUE(log.OnCommit("c1", 7));
  log.OnMinimumVersion(6);
  EXPECT_EQ(log.Find("c1")->state, "accepted");
  log.OnMinimumVersion(8);
  EXPECT_EQ(log.Find("c1")->state, "in_force");
}

// Guards against reporting a change as refused that may still take effect: an
// outage follows a commit whose reply was lost.
TEST(ChangeLogTest, OutageDoesNotCloseAnOpenOutcome) {
  ChangeLog log = MakeLog();
  log.Submit("c1");
  ASSERT_TRUE(log.OnCheck("c1", true));
  ASSERT_TRUE(log.OnCommit("c1", ConfigError::kUnknownOutcome));
  log.Submit("c1");
  ASSERT_TRUE(log.OnCheck("c1", true));
  ASSERT_TRUE(log.OnCommit("c1", ConfigError::kUnavailable));
  EXPECT_EQ(log.Find("c1")->state, "open");
  ASSERT_TRUE(log.OnCommit("c1", ConfigError::kConflict));
  EXPECT_EQ(log.Find("c1")->state, "conflicted");
}

// Guards against a transition that the chart does not define: a commit after a
// failed check.
TEST(ChangeLogTest, RejectedChangeIsNotCommitted) {
  ChangeLog log = MakeLog();
  log.Submit("c1");
  ASSERT_TRUE(log.OnCheck("c1", false));
  EXPECT_EQ(log.OnCommit("c1", 7).error(), ChartError::kNoTransition);
  log.Submit("c1");
  ASSERT_TRUE(log.OnCheck("c1", true));
  ASSERT_TRUE(log.OnCommit("c1", ConfigError::kUnavailable));
  EXPECT_EQ(log.Find("c1")->state, "refused");
}

// Guards against a log that grows without bound.
TEST(ChangeLogTest, DropsTheOldest) {
  ChangeLog log = MakeLog();
  for (size_t i = 0; i <= kMaxTrackedChanges; ++i)
    log.Submit(StrCat(i));
  EXPECT_EQ(log.Find("0"), nullptr);
  EXPECT_EQ(log.Changes().size(), kMaxTrackedChanges);
}

}  // namespace
}  // namespace cuminjunction
