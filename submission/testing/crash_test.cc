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

// Guards against a culprit that counts as a bystander because its start, which
// no reply confirmed, was carried out long after it was ordered.
TEST(CrashTest, AnUnconfirmedStartIsASuspectAtAnyAge) {
  const TaskRef task{"00000000000000a1", 0, 0, 0};
  const LostRun fresh{task, 1, true, 10};
  const LostRun old{task, 1, true, 3000};
  const LostRun unconfirmed{task, 1, false, 2500};
  EXPECT_EQ(JudgeCrash({old, unconfirmed}),
            (std::vector{kBystander, kOnlySuspect}));
  EXPECT_EQ(JudgeCrash({unconfirmed, old, unconfirmed}),
            (std::vector{kSuspect, kBystander, kSuspect}));
  // Few starts are pending for so long, and fewer are carried out just before
  // the crash.
  EXPECT_EQ(JudgeCrash({unconfirmed, fresh, old}),
            (std::vector{kSuspect, kOnlySuspect, kBystander}));
  EXPECT_EQ(JudgeCrash({{task, 1, false, 20}, fresh}),
            (std::vector{kSuspect, kSuspect}));
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

// Guards against starting a task again after three crashes of which one came
// before a reply to the start; and against giving a task up for starts that may
// not have happened.
TEST(CrashTest, CrashesUnderUnconfirmedStartsCount) {
  const auto judge = [](std::vector<CrashRecord> records,
                        const std::vector<CrashRecord>& unconfirmed) {
    records.insert(records.end(), unconfirmed.begin(), unconfirmed.end());
    return ShouldGiveUp(records);
  };
  const std::vector three(3, kSuspect);
  EXPECT_TRUE(judge(Records({kSuspect, kSuspect}), Records({kSuspect}, false)));
  EXPECT_TRUE(
      judge(Records({kSuspect, kSuspect}), Records({kOnlySuspect}, false)));
  EXPECT_FALSE(judge(Records({kOnlySuspect}), Records(three, false)));
  EXPECT_FALSE(judge({}, Records(three, false)));
}

// Guards against isolated starts of all runs whose start was pending in one
// crash, which hold up all others.
TEST(CrashTest, OneCrashUnderAnUnconfirmedStartMakesNoSuspect) {
  EXPECT_FALSE(IsSuspect({}));
  EXPECT_FALSE(IsSuspect(Records({kBystander})));
  EXPECT_FALSE(IsSuspect(Records({kSuspect}, false)));
  EXPECT_TRUE(IsSuspect(Records({kSuspect})));
  EXPECT_TRUE(IsSuspect(Records({kOnlySuspect}, false)));
  EXPECT_TRUE(IsSuspect(Records({kSuspect, kSuspect}, false)));
}

}  // namespace
}  // namespace cuminjunction
