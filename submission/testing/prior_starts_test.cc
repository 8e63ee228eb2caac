#include "submission/prior_starts.h"

#include <gtest/gtest.h>

namespace cuminjunction {
namespace {

// Guards against starting a submission twice that the last planner may have
// added in the moment before its commits counted as failing.
TEST(PriorStartsTest, OnlyRowsAfterTheLastPlannersEndAreRuledOut) {
  const absl::Time last_commit = absl::FromUnixSeconds(1000);
  PriorStarts prior_starts(last_commit);
  EXPECT_GT(prior_starts.QuietAt(), last_commit + kCommitsFailingAfter);
  EXPECT_FALSE(prior_starts.RulesOut(100));
  // This version may be from before the time.
  prior_starts.OnStoreVersion(10, prior_starts.QuietAt() - absl::Seconds(1));
  EXPECT_FALSE(prior_starts.IsDecided());
  EXPECT_FALSE(prior_starts.RulesOut(100));
  prior_starts.OnStoreVersion(20, prior_starts.QuietAt());
  EXPECT_TRUE(prior_starts.IsDecided());
  EXPECT_FALSE(prior_starts.RulesOut(20));
  EXPECT_TRUE(prior_starts.RulesOut(21));
  // Later versions don't move the bound.
  prior_starts.OnStoreVersion(30, prior_starts.QuietAt() + absl::Seconds(1));
  EXPECT_TRUE(prior_starts.RulesOut(21));
}

}  // namespace
}  // namespace cuminjunction
