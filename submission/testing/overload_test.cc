#include "submission/overload.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/strings.h"
#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

constexpr int64_t kShortEstimateMs = 640;

// A planner with two queues, whose tasks end when they are due.
class OverloadTest : public SchedulerTest {
 protected:
  OverloadTest() {
    FleetPolicy policy = MakePolicy();
    policy.version = 2;
    policy.queues.front().priority = 2;
    Queue urgent = policy.queues.front();
    urgent.name = "checks";
    urgent.priority = 0;
    policy.queues.push_back(urgent);
    this->scheduler.SetPolicy(policy);
    this->scheduler.SetPlanningRule(&OrderOf<WeightedWorkRule>, AgeingShare());
    this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  }

  // Adds a submission of one step that was accepted just now.
  std::string Submit(const std::string& queue,
                     uint32_t count,
                     int64_t estimate_ms) {
    Step step = MakeStep(count, 1000);
    step.size.memory_mib = 10;
    step.estimate_ms = estimate_ms;
    Submission submission = MakeSubmission(
        StrCat(absl::Hex(++this->submitted, absl::kZeroPad16)), {step});
    submission.queue = queue;
    submission.accepted_ms = absl::ToUnixMillis(this->now);
    this->Add(submission);
    return submission.id;
  }

  // Ends the runs that are due, plans, and lets 100 ms pass.
  void Advance() {
    for (auto run = this->running.begin(); run != this->running.end();) {
      if (run->first > this->now) {
        ++run;
        continue;
      }
      this->End(run->second, RunOutcome::kDone, ++this->ends);
      if (!this->scheduler.IsLive(run->second.task.submission))
        this->ended[run->second.task.submission] = this->now;
      run = this->running.erase(run);
    }
    const Orders orders = this->Plan();
    for (const StartOrder& start : orders.starts)
      this->running.emplace_back(
          this->now + absl::Milliseconds(start.step->estimate_ms), start);
    this->now += absl::Milliseconds(100);
  }

  uint64_t submitted = 0;
  uint64_t ends = 0;
  std::vector<std::pair<absl::Time, StartOrder>> running;
  std::map<std::string, absl::Time> ended;
};

// Load pattern: a flood of large submissions. Guards against short urgent ones
// that become late behind them.
TEST_F(OverloadTest, AFloodOfLargeSubmissionsDoesNotDelayUrgentOnes) {
  std::map<std::string, absl::Time> urgent;
  for (int i = 0; i < 300; ++i) {
    if (i % 5 == 0)
      this->Submit("plans", 8, 900);
    if (i % 10 == 0)
      urgent[this->Submit("checks", 2, kShortEstimateMs)] = this->now;
    this->Advance();
  }
  for (int i = 0; i < 30; ++i)
    this->Advance();
  for (const auto& [id, accepted] : urgent) {
    ASSERT_TRUE(this->ended.contains(id));
    EXPECT_LE(this->ended[id] - accepted,
              2 * absl::Milliseconds(kShortEstimateMs) + absl::Seconds(1));
  }
}

// Load pattern: a flood of urgent submissions at twice the capacity. Guards
// against less urgent ones that get nothing as long as it lasts.
TEST_F(OverloadTest, AFloodOfUrgentSubmissionsLeavesOthersTheirShare) {
  const std::string plan = this->Submit("plans", 4, 1000);
  const absl::Time accepted = this->now;
  for (int i = 0; i < 1000 && !this->ended.contains(plan); ++i) {
    this->Submit("checks", 1, 800);
    this->Advance();
  }
  ASSERT_TRUE(this->ended.contains(plan));
  // There are no older ones, so that its wait is bounded by its age with an
  // objective of 3 s, by the 0.8 s of work of the last one admitted, and by its
  // four tasks one after another.
  const double aged_s = AgeingShare::kAgeingFactor * kLateFactor * 3;
  const double share = AgeingShare::kDefaultShare * 4;
  EXPECT_GE(this->ended[plan] - accepted, absl::Seconds(aged_s));
  EXPECT_LE(this->ended[plan] - accepted,
            absl::Seconds(aged_s + 0.8 / share + 4.5));
}

// Load pattern: a flood of urgent submissions with many others that have
// waited. Guards against ageing that takes more than its share.
TEST_F(OverloadTest, AgedSubmissionsGetNoMoreThanTheirShare) {
  for (int i = 0; i < 40; ++i)
    this->Submit("plans", 4, 1000);
  const absl::Time begin = this->now;
  int aged = 0;
  for (int i = 0; i < 3000; ++i) {
    this->Submit("checks", 1, 800);
    this->Advance();
  }
  for (const auto& [id, time] : this->ended)
    aged += id <= StrCat(absl::Hex(40, absl::kZeroPad16));
  const double seconds = absl::ToDoubleSeconds(this->now - begin) -
                         AgeingShare::kAgeingFactor * kLateFactor * 3;
  const double share_s = AgeingShare::kDefaultShare * 4 * seconds;
  EXPECT_GE(aged, static_cast<int>(share_s / 4));
  EXPECT_LE(aged, static_cast<int>(share_s / 4) + 2);
}

// Load pattern: a flood of one kind for 20 s, 1.5 times the capacity, then a
// usual load. Guards against an order that only ever serves the small ones.
TEST_F(OverloadTest, TheLargestTenthIsServedHalfAsOftenAsItsKind) {
  std::map<std::string, absl::Time> accepted;
  std::set<std::string> large;
  for (int i = 0; i < 500; ++i) {
    if (i < 200 ? i % 4 == 0 : i < 400 && i % 12 == 0) {
      const bool is_large = i % 40 == 0;
      const std::string id =
          this->Submit("plans", is_large ? 10 : 2 + i / 4 % 3, 800);
      accepted[id] = this->now;
      if (is_large)
        large.insert(id);
    }
    this->Advance();
  }
  int served = 0;
  int large_served = 0;
  for (const auto& [id, time] : accepted) {
    const bool in_time =
        this->ended.contains(id) &&
        this->ended[id] - time <= kLateFactor * absl::Milliseconds(2600);
    served += in_time;
    large_served += in_time && large.contains(id);
  }
  const double served_share = 1.0 * served / accepted.size();
  EXPECT_LT(served_share, 0.95);
  EXPECT_GE(1.0 * large_served / large.size(), served_share / 2);
}

// Load pattern: more than the capacity for a while, then less. Guards against
// hopeless submissions that wait for ever: the oldest is next when the load
// falls.
TEST_F(OverloadTest, HopelessSubmissionsGetTheirTurnByAge) {
  const std::string oldest = this->Submit("plans", 4, 900);
  this->now += absl::Seconds(10);
  this->Submit("plans", 1, 900);
  this->Submit("checks", 4, 900);
  this->now += absl::Seconds(10);
  // Both are hopeless, and the urgent one is younger.
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 4u);
  for (const StartOrder& start : orders.starts)
    EXPECT_EQ(start.task.submission, oldest);
}

// Guards against a deadline in the past, or no estimate at all, that makes a
// submission compare as neither late nor in time.
TEST(WeightedWorkRuleTest, ExtremeInputsAreOrdered) {
  PlanningInputs inputs;
  inputs.now = absl::FromUnixSeconds(1000);
  inputs.services.push_back({"line", 1000, 0});
  RankInputs empty;
  empty.objective_start = inputs.now;
  empty.objective_deadline = inputs.now - absl::Seconds(5);
  empty.earliest_completion = inputs.now;
  inputs.ready = {empty, empty, empty};
  inputs.ready[1].objective_start = absl::InfinitePast();
  inputs.ready[2].priority = -5;
  const std::vector<uint32_t> order = WeightedWorkRule::Order(inputs);
  EXPECT_EQ(std::set<uint32_t>(order.begin(), order.end()),
            (std::set<uint32_t>{0, 1, 2}));
}

// Load pattern: an outage of the store. Guards against callers that return
// together or later than a retry has any use.
TEST(RetryAfterOutageTest, GrowsIsSpreadAndIsBounded) {
  const absl::Duration unlimited = absl::InfiniteDuration();
  std::set<int64_t> early;
  std::set<int64_t> later;
  for (int i = 0; i < 100; ++i) {
    early.insert(RetryAfterOutage(absl::ZeroDuration(), unlimited, i / 100.0));
    later.insert(RetryAfterOutage(absl::Seconds(8), unlimited, i / 100.0));
    for (const int outage_s : {0, 3, 600}) {
      const int64_t bounded = RetryAfterOutage(
          absl::Seconds(outage_s), absl::Milliseconds(3500), i / 100.0);
      EXPECT_GE(bounded, 1);
      EXPECT_LE(bounded, 3);
    }
  }
  EXPECT_EQ(early, (std::set<int64_t>{1, 2}));
  EXPECT_EQ(later, (std::set<int64_t>{3, 4, 5, 6}));
  EXPECT_EQ(RetryAfterOutage(absl::InfiniteDuration(), unlimited, 0.5),
            kMaxOutageRetryAfter);
  EXPECT_EQ(RetryAfterOutage(-absl::InfiniteDuration(), unlimited, 0), 1);
  EXPECT_EQ(RetryAfterOutage(absl::Seconds(9), -absl::Seconds(1), 0.9), 1);
}

}  // namespace
}  // namespace cuminjunction
