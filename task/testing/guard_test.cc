#include "task/guard.h"

#include <gtest/gtest.h>

#include "base/time.h"
#include "task/learned_scorer.h"
#include "task/planner.h"
#include "task/testing/rows.h"

namespace cuminjunction {
namespace {

using Kind = GuardAction::Kind;

// A worker with a service, whose target is 40 ms, beside two batch tasks of
// which one adds much. Time passes by one report at each call.
class GuardTest : public testing::Test {
 protected:
  std::vector<GuardAction> Report(double tail_ms,
                                  double baseline_ms = 20,
                                  double usual_ms = 20) {
    this->now += absl::Seconds(10);
    GuardView view;
    view.worker = "w";
    view.at = this->now - absl::Seconds(30);
    view.services = {{"s", tail_ms, 40, baseline_ms, usual_ms}};
    const double adds = 1.0 * this->share / 100;
    view.neighbours = {{"good", "good", true, 100, 10, {0.01}},
                       {"old", "bad", true, this->share, 900, {adds}},
                       {"new", "bad", true, 100, this->new_loss, {0.6}},
                       {"replica", "other", false, 100, 0, {5}}};
    std::vector<GuardAction> out = this->guard.Judge(view, this->now);
    for (const GuardAction& action : out) {
      ++this->actions;
      if (action.kind == Kind::kThrottle && action.task == "old")
        this->share = action.share_percent;
    }
    return out;
  }

  // Reports until an action, or the limit.
  GuardAction NextAction(double tail_ms, int limit = 40) {
    for (int i = 0; i < limit; ++i) {
      const std::vector<GuardAction> out = this->Report(tail_ms);
      if (!out.empty())
        return out[0];
    }
    return {};
  }

  void FillBudget() {
    for (int i = 0; i < 100; ++i)
      this->guard.Ended();
  }

  Guard guard{GuardOptions()};
  absl::Time now = FromMicros(1'000'000'000);
  int32_t share = 100;
  double new_loss = 20;
  int actions = 0;
};

// Guards against evictions without a throttle before, a bad neighbour that
// stays, and the eviction of the task that loses most.
TEST_F(GuardTest, ThrottlesThenEvictsTheCheapest) {
  this->FillBudget();
  const GuardAction first = this->NextAction(80);
  EXPECT_EQ(first.kind, Kind::kThrottle);
  EXPECT_EQ(first.task, "old");
  EXPECT_EQ(first.share_percent, 50);
  EXPECT_EQ(this->NextAction(80).share_percent, 25);
  EXPECT_FALSE(this->guard.IsRemembered("s", "bad", this->now));
  const GuardAction last = this->NextAction(80);
  EXPECT_EQ(last.kind, Kind::kEvict);
  EXPECT_EQ(last.task, "new");
  EXPECT_TRUE(this->guard.IsRemembered("s", "bad", this->now));
  EXPECT_FALSE(this->guard.IsRemembered("s", "good", this->now));
  EXPECT_FALSE(
      this->guard.IsRemembered("s", "bad", this->now + absl::Hours(1)));
}

// Guards against a burst on all workers that causes throttles and evictions.
TEST_F(GuardTest, BurstOnAllWorkersChangesNothing) {
  this->FillBudget();
  for (int i = 0; i < 60; ++i)
    EXPECT_TRUE(this->Report(120, 115).empty());
  // As long as the load lasts, too.
  for (int i = 0; i < 60; ++i)
    EXPECT_TRUE(this->Report(120, 115, 115).empty());
  // With some interference that the target allows for at the usual load.
  for (int i = 0; i < 60; ++i)
    EXPECT_TRUE(this->Report(90, 60).empty());
}

// Guards against more evictions than the budget of 2 in 100 tasks.
TEST_F(GuardTest, EvictsWithinTheBudget) {
  for (int i = 0; i < 66; ++i)
    this->guard.Ended();
  for (int i = 0; i < 200; ++i) {
    for (const GuardAction& action : this->Report(80))
      EXPECT_EQ(action.kind, Kind::kThrottle);
  }
}

// Guards against a second action before the first one can show in the late
// reports.
TEST_F(GuardTest, WaitsForReportsMeasuredAfterTheAction) {
  this->NextAction(80);
  for (int i = 0; i < 4; ++i)
    EXPECT_TRUE(this->Report(80).empty());
}

// Guards against oscillation: a service that is slow without the throttle and
// calm with it.
TEST_F(GuardTest, LiftsMoreSeldomWhenTheThrottleIsNeededAgain) {
  for (int i = 0; i < 360; ++i)
    this->Report(this->share == 100 ? 80 : 25);
  EXPECT_GE(this->actions, 4);
  this->actions = 0;
  for (int i = 0; i < 360; ++i)
    this->Report(this->share == 100 ? 80 : 25);
  // One lift and one throttle in 60 reports, the longest calm time.
  EXPECT_LE(this->actions, 2 * 360 / 60);
}

// Guards against a throttle that stays when the worker reports no more.
TEST_F(GuardTest, LiftsThrottlesOfSilentWorkers) {
  this->NextAction(80);
  EXPECT_TRUE(this->guard.LiftUnreported(this->now).empty());
  const auto lifted = this->guard.LiftUnreported(this->now + absl::Minutes(4));
  ASSERT_EQ(lifted.size(), 1u);
  EXPECT_EQ(lifted[0].share_percent, 100);
}

// Guards against a planner that does not carry out what the reports call for.
TEST(RelieveTest, PlannerThrottlesTheNeighbour) {
  const TaskCharts charts = LoadTestCharts();
  Document document;
  document.services["s"].tail_target_ms = 40;
  LearnedScorer scorer((LearnedOptions()));
  scorer.SetDocument(document);
  Planner<LearnedScorer> planner(PlannerOptions{.name = "p", .placer = {}},
                                 &charts, scorer, nullptr);
  uint64_t version = 0;
  const auto add = [&](const std::string& worker, const std::string& batch) {
    WorkerRow row = MakeWorkerRow(worker, {16000, 60000, 0});
    for (const std::string& owner : {std::string("s"), batch}) {
      TaskRow task = MakeTaskRow(
          StrCat(owner, ".", worker),
          owner == "s" ? TaskKind::kReplica : TaskKind::kBatch, 4000);
      task.owner = owner;
      task.state = TaskState::kStarting;
      task.attempt = 1;
      task.worker = worker;
      row.assignments.push_back({task.id, 1, task.size, 0});
      ASSERT_TRUE(planner.GetState()->Apply(
          {TaskKey(task.id), ToText(task), ++version}));
    }
    ASSERT_TRUE(
        planner.GetState()->Apply({WorkerKey(worker), ToText(row), ++version}));
  };
  for (int i = 0; i < 5; ++i)
    add(StrCat("w", i), i == 0 ? "bad" : "good");
  absl::Time now = FromMicros(1'000'000'000);
  for (int round = 0; round < 10; ++round) {
    now += absl::Seconds(10);
    for (int i = 0; i < 5; ++i) {
      const std::string worker = StrCat("w", i);
      const std::string batch = i == 0 ? "bad" : "good";
      planner.GetScorer()->AddReport(
          {worker,
           {16000, 60000, 0},
           now,
           {{StrCat("s.", worker), "s", 2000, 1, 1, i == 0 ? 80.0 : 20.0},
            {StrCat(batch, ".", worker), batch, 4000, 1, 1}}},
          now);
    }
    RoundInput input;
    input.now = now;
    (void)planner.Round(input);
  }
  const auto share = [&](int worker) {
    return planner.GetState()
        ->FindWorker(StrCat("w", worker))
        ->row.assignments[1]
        .share_percent;
  };
  EXPECT_LT(share(0), 100);
  EXPECT_EQ(share(1), 100);
}

}  // namespace
}  // namespace cuminjunction
