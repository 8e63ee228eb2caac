#include "task/interference.h"

#include <gtest/gtest.h>

#include "base/strings.h"
#include "base/time.h"
#include "task/usage.h"

namespace cuminjunction {
namespace {

const absl::Time kNow = FromMicros(1'000'000'000);
constexpr double kBaseMs = 20;

class InterferenceTest : public testing::Test {
 protected:
  // A window of ten replicas. The neighbour is beside every second one; the
  // others have a harmless one.
  void Observe(const std::string& bad, double raise, double load) {
    this->now += absl::Seconds(10);
    std::vector<TailSample> samples;
    for (int i = 0; i < 10; ++i) {
      const bool beside = i % 2 == 0;
      const double growth = beside ? raise * 0.25 : 0;
      samples.push_back(
          {kBaseMs * load * (1 + growth), {{beside ? bad : "harmless", 0.25}}});
    }
    this->learned.Observe("s", samples, this->now);
  }

  Interference learned{InterferenceOptions()};
  absl::Time now = kNow;
};

// Guards against a bad neighbour that is never found, and against a harmless
// one that gets its blame.
TEST_F(InterferenceTest, FindsTheBadNeighbour) {
  for (int i = 0; i < 30; ++i)
    this->Observe("bad", 4, 1);
  EXPECT_NEAR(this->learned.Raise("s", "bad"), 4, 0.4);
  EXPECT_LT(this->learned.Raise("s", "harmless"), 0.1);
}

// Guards against a burst on all workers that is taken for interference.
TEST_F(InterferenceTest, BurstOnAllWorkersMovesTheBaselineOnly) {
  for (int i = 0; i < 30; ++i)
    this->Observe("bad", 1, 1);
  const double before = this->learned.Raise("s", "bad");
  for (int i = 0; i < 30; ++i)
    this->Observe("bad", 1, 3);
  EXPECT_NEAR(this->learned.Raise("s", "bad"), before, 0.1);
  EXPECT_LT(this->learned.Raise("s", "harmless"), 0.1);
  EXPECT_NEAR(this->learned.Baseline("s"), 3 * kBaseMs, 1);
}

// Guards against a single slow report that condemns a pair, and against a new
// pair that ignores what is known of the class.
TEST_F(InterferenceTest, PairsStartAtTheMeanOfTheClass) {
  for (int i = 0; i < 30; ++i)
    this->Observe("bad", 4, 1);
  EXPECT_GT(this->learned.Raise("other", "bad"), 1.5);
  EXPECT_LT(this->learned.Raise("other", "bad"), 3.5);
  EXPECT_EQ(this->learned.Evidence("other", "bad"), 0);
  EXPECT_NEAR(this->learned.Raise("other", "unknown"), 0.3, 0.01);
}

UsageReport MakeReport(const std::string& worker,
                       absl::Time at,
                       int64_t millicores,
                       double share) {
  return {
      worker, {16000, 60000, 0}, at, {{"j.1.0", "j", millicores, 500, share}}};
}

// Guards against declared sizes that are taken for usage, and against learned
// usage above what a task may have.
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

// Guards against old usage that is never outweighed, a repeated report that
// counts twice, and throttled tasks that seem small.
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
