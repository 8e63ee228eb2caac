#include "submission/crash.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminjunction {
namespace {

std::vector<CrashEvidence> JudgeAges(const std::vector<int64_t>& ages_ms) {
  std::vector<LostRun> runs;
  runs.reserve(ages_ms.size());
  for (const int64_t age_ms : ages_ms)
    runs.push_back({{"00000000000000a1", 0, 0, 0}, 1, true, age_ms});
  return JudgeCrash(runs);
}

std::vector<CrashRecord> Records(const std::vector<CrashEvidence>& evidence,
                                 bool confirmed = true) {
  std::vector<CrashRecord> records;
  records.reserve(evidence.size());
  for (const CrashEvidence one : evidence)
    records.push_back(
        {"vm-1", static_cast<int64_t>(records.size()) + 1, 1, confirmed, one});
  return records;
}

constexpr CrashEvidence kBystander = CrashEvidence::kBystander;
constexpr CrashEvidence kSuspect = CrashEvidence::kSuspect;
constexpr CrashEvidence kOnlySuspect = CrashEvidence::kOnlySuspect;

TEST(CrashTest, RunsThatHaveJustStartedAreSuspects) {
  EXPECT_EQ(JudgeAges({40, 500, 2000, -1}),
            (std::vector{kOnlySuspect, kBystander, kBystander, kBystander}));
  EXPECT_EQ(JudgeAges({40, 60, 2000}),
            (std::vector{kSuspect, kSuspect, kBystander}));
  EXPECT_EQ(JudgeAges({1500, 2000}), (std::vector{kBystander, kBystander}));
  EXPECT_EQ(JudgeAges({-1}), (std::vector{kBystander}));
  EXPECT_TRUE(JudgeAges({}).empty());
}

// Guards against giving a task up for one crash, for crashes that other tasks
// may as well have caused, or for starts that may not have happened; and
// against never giving one up that always crashes beside others.
TEST(CrashTest, GivesUpOnEvidenceOfSeveralCrashes) {
  EXPECT_FALSE(ShouldGiveUp({}));
  EXPECT_FALSE(ShouldGiveUp(Records({kOnlySuspect})));
  EXPECT_FALSE(ShouldGiveUp(Records({kSuspect, kSuspect})));
  EXPECT_FALSE(ShouldGiveUp(Records({kOnlySuspect, kBystander})));
  EXPECT_FALSE(ShouldGiveUp(Records({kOnlySuspect, kOnlySuspect}, false)));
  EXPECT_TRUE(ShouldGiveUp(Records({kSuspect, kOnlySuspect})));
  EXPECT_TRUE(ShouldGiveUp(Records({kSuspect, kSuspect, kSuspect})));
  EXPECT_TRUE(
      ShouldGiveUp(Records({kBystander, kBystander, kBystander, kBystander})));
}

}  // namespace
}  // namespace cuminjunction
