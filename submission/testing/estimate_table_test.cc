#include "submission/estimate_table.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/strings.h"
#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

// Images of each kind on a VM.
constexpr int kImages = 20;
constexpr size_t kPairs = size_t{kImages} * kImages;

TEST(EstimateTableTest, KeepsEachNameOnce) {
  const std::vector<InterferenceEstimate> estimates = {
      {"a", "x", 1, 2}, {"a", "y", 3, 4}, {"b", "a", 5, 6}};
  const EstimateTable table = ToEstimateTable(estimates);
  EXPECT_EQ(table.images, (std::vector<std::string>{"a", "x", "y", "b"}));
  const auto read = ParseEstimates(table);
  ASSERT_TRUE(read);
  EXPECT_EQ(ToEstimateTable(read.value()), table);
}

// Guards against a damaged message that makes a process read beyond the names.
TEST(EstimateTableTest, ARowWithoutANameIsRefused) {
  EXPECT_EQ(ParseEstimates({{"a"}, {{0, 1, 1, 1}}}).error(),
            CodecError::kBadValue);
  EXPECT_EQ(ParseEstimates({{"a"}, {{1, 0, 1, 1}}}).error(),
            CodecError::kBadValue);
  EXPECT_TRUE(ParseEstimates({{"a"}, {{0, 0, 1, 1}}}));
}

// Guards against notices that fill the link to a VM with many images, and
// against pairs that never get their turn.
TEST_F(SchedulerTest, TheEstimatesOfAVmAreSentInTurns) {
  WorkerReport report = MakeReport("vm-1");
  report.info.capacity = {160000, 62500, 0};
  this->scheduler.MergeReport(report, this->now);
  std::vector<Step> steps;
  for (int image = 0; image < kImages; ++image) {
    Step serving = MakeStep(1, 1000);
    serving.long_running = true;
    serving.latency_objective_ms = 100;
    serving.image = StrCat("serving-", image);
    steps.push_back(serving);
  }
  for (int image = 0; image < kImages; ++image) {
    Step filling = MakeStep(1, 10);
    filling.long_running = true;
    filling.fills = true;
    filling.image = StrCat("filling-", image);
    steps.push_back(filling);
  }
  this->Add(MakeSubmission(kId, steps));
  ASSERT_EQ(this->Plan().starts.size(), 2u * kImages);
  for (int serving = 0; serving < kImages; ++serving) {
    for (int filling = 0; filling < kImages; ++filling)
      this->scheduler.AddLatencySample("vm-1", StrCat("serving-", serving), 0.5,
                                       {{StrCat("filling-", filling), 0.1}},
                                       this->now);
  }
  std::set<std::pair<std::string, std::string>> sent;
  for (size_t notice = 0; notice * kMaxPairsInNotice < kPairs; ++notice) {
    const auto pairs = this->scheduler.NextInterferenceOn("vm-1");
    EXPECT_LE(pairs.size(), kMaxPairsInNotice);
    for (const InterferenceEstimate& pair : pairs)
      sent.emplace(pair.serving, pair.filling);
  }
  EXPECT_EQ(sent.size(), kPairs);
}

}  // namespace
}  // namespace cuminjunction
