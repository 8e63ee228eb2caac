#include "task/interference.h"

#include <gtest/gtest.h>

#include "base/strings.h"
#include "base/time.h"
#include "task/usage.h"

namespace cuminjunction {
namespace {

const absl::Time kNow = FromMicros(1'000'000'000);
constexpr double kBaselineMs = 20;

class InterferenceTest : public testing::Test {
 protected:
  // Observes ten replicas. Every second one has the neighbour `bad`, the others
  // one with negligible interference. `load` scales all latencies.
  void Observe(const std::string& bad, double coefficient, double load) {
    this->now += absl::Seconds(10);
    std::vector<TailLatencySample> samples;
    for (int i = 0; i < 10; ++i) {
      const bool is_neighbour = i % 2 == 0;
      const double growth = is_neighbour ? coefficient * 0.25 : 0;
      samples.push_back({kBaselineMs * load * (1 + growth),
                         {{is_neighbour ? bad : "negligible", 0.25}}});
    }
    this->interference.Observe("s", samples, this->now);
  }

  Interference interference{InterferenceOptions()};
  absl::Time now = kNow;
};

// Guards against an interfering neighbour that is not found, and against its
// interference being attributed to another one.
TEST_F(InterferenceTest, FindsTheInterferingNeighbour) {
  for (int i = 0; i < 30; ++i)
    this->Observe("bad", 4, 1);
  EXPECT_NEAR(this->interference.Coefficient("s", "bad"), 4, 0.4);
  EXPECT_LT(this->interference.Coefficient("s", "negligible"), 0.1);
}

// Guards against a load burst on all workers that is attributed to neighbours.
TEST_F(InterferenceTest, BurstOnAllWorkersMovesOnlyTheBaseline) {
  for (int i = 0; i < 30; ++i)
    this->Observe("bad", 1, 1);
  const double before = this->interference.Coefficient("s", "bad");
  for (int i = 0; i < 30; ++i)
    this->Observe("bad", 1, 3);
  EXPECT_NEAR(this->interference.Coefficient("s", "bad"), before, 0.1);
  EXPECT_LT(this->interference.Coefficient("s", "negligible"), 0.1);
  EXPECT_NEAR(this->interference.Baseline("s"), 3 * kBaselineMs, 1);
}

// Guards against a new pair of service and neighbour that ignores the mean of
// the neighbour's class, and against a class mean that ignores the prior: a
// single slow pair would then count for all services.
TEST_F(InterferenceTest, PairsStartAtTheMeanOfTheClass) {
  for (int i = 0; i < 30; ++i)
    this->Observe("bad", 4, 1);
  EXPECT_GT(this->interference.Coefficient("other", "bad"), 1.5);
  EXPECT_LT(this->interference.Coefficient("other", "bad"), 3.5);
  EXPECT_EQ(this->interference.Confidence("other", "bad"), 0);
  EXPECT_NEAR(this->interference.Coefficient("other", "unknown"), 0.3, 0.01);
}

UsageReport MakeReport(const std::string& worker,
                       absl::Time at,
                       int64_t millicores,
                       double share) {
  return {
      worker, {16000, 60000, 0}, at, {{"j.1.0", "j", millicores, 500, share}}};
}

// Guards against declared sizes being used in place of measured usage, and
// against expected usage above the declared size.
TEST(UsageTest, ExpectsWhatWasUsedWithinTheDeclaredSize) {
  UsageModel usage((UsageOptions()));
  const Size declared = {4000, 1000, 1};
  EXPECT_EQ(usage.Expected("j", declared), declared);
  for (int i = 0; i < 20; ++i)
    usage.Observe(MakeReport("w", kNow + absl::Seconds(i), 1000, 1));
  EXPECT_NEAR(usage.Expected("j", declared).millicores, 1000, 200);
  EXPECT_EQ(usage.Expected("j", declared).accelerators, 1);
  EXPECT_EQ(usage.Expected("j", {500, 100, 0}), (Size{500, 100, 0}));
}

// Guards against old usage that never decays, a repeated report that counts
// twice, and throttled tasks whose low usage lowers the estimate.
TEST(UsageTest, DecaysAndIgnoresRepeatedAndThrottled) {
  UsageModel usage((UsageOptions()));
  const Size declared = {9000, 1000, 0};
  for (int i = 0; i < 20; ++i)
    usage.Observe(MakeReport("w", kNow, 6000, 1));
  EXPECT_EQ(usage.Expected("j", declared).millicores, 9000);
  for (int i = 0; i < 100; ++i)
    usage.Observe(MakeReport("w", kNow + absl::Seconds(i), 6000, 1));
  const absl::Time later = kNow + absl::Hours(5);
  for (int i = 0; i < 20; ++i)
    usage.Observe(MakeReport("w", later + absl::Seconds(i), 1500, 1));
  EXPECT_NEAR(usage.Expected("j", declared).millicores, 1500, 300);
  for (int i = 0; i < 200; ++i)
    usage.Observe(MakeReport("v", later + absl::Seconds(i), 100, 0.1));
  EXPECT_NEAR(usage.Expected("j", declared).millicores, 1500, 300);
}

}  // namespace
}  // namespace cuminjunction
