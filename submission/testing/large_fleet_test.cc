// The planner's work on a fleet of hundreds of VMs, counted instead of timed,
// so that the verdict does not depend on the machine.

#include "submission/testing/large_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace cuminjunction {
namespace {

// A full scan costs one evaluation per VM and start.
constexpr double kMaxEvaluationsPerStart = kLargeFleetWorkers / 5.0;

class LargeFleetTest : public testing::Test {
 protected:
  LargeFleetTest() {
    this->scheduler.SetPolicy(LargeFleetPolicy());
    for (int worker = 0; worker < kLargeFleetWorkers; ++worker)
      this->scheduler.MergeReport(LargeFleetReport(worker), this->now);
  }

  // Plans until nothing more can start. Returns all starts.
  std::vector<StartOrder> PlanAll() {
    std::vector<StartOrder> starts;
    for (bool more = true; more;) {
      const Orders orders = this->scheduler.Plan(this->now);
      this->evaluations += orders.evaluations;
      this->most_starts = std::max(this->most_starts, orders.starts.size());
      starts.insert(starts.end(), orders.starts.begin(), orders.starts.end());
      more = orders.more;
      ++this->plans;
    }
    return starts;
  }

  absl::Time now = absl::FromUnixSeconds(1000);
  Scheduler scheduler;
  uint64_t evaluations = 0;
  size_t most_starts = 0;
  int plans = 0;
};

// Guards against a takeover that takes seconds: after a total loss of power one
// plan of the large deployment evaluated each of 160 VMs for each of 2,063
// starts and sent nothing for 9 s.
TEST_F(LargeFleetTest, ATakeoverStartsItsBacklogInShortPlans) {
  const uint32_t tasks = AddLargeBacklog(&this->scheduler, 230, this->now);
  ASSERT_GT(tasks, 10000u);
  const std::vector<StartOrder> starts = this->PlanAll();
  EXPECT_GT(starts.size(), 1500u);
  EXPECT_LE(this->most_starts, kMaxStartsInPlan);
  EXPECT_LE(static_cast<double>(this->evaluations) /
                static_cast<double>(starts.size()),
            kMaxEvaluationsPerStart);
  // Everything that is left fits nowhere, so that another plan changes nothing.
  const Orders after = this->scheduler.Plan(this->now);
  EXPECT_TRUE(after.starts.empty());
  EXPECT_FALSE(after.more);
}

// Guards against short plans that start less urgent work first.
TEST_F(LargeFleetTest, TheFirstPlanStartsTheMostUrgentTasks) {
  AddLargeBacklog(&this->scheduler, 230, this->now);
  const Orders first = this->scheduler.Plan(this->now);
  ASSERT_FALSE(first.starts.empty());
  for (const StartOrder& start : first.starts)
    EXPECT_TRUE(start.step->long_running) << start.task.submission;
}

// Guards against full scans for tasks that wait for room: a fleet that is full
// must not cost one evaluation for each VM and waiting step in each plan.
TEST_F(LargeFleetTest, WaitingStepsOfAFullFleetAreCheapToPlan) {
  AddLargeBacklog(&this->scheduler, 230, this->now);
  this->PlanAll();
  const Orders idle = this->scheduler.Plan(this->now);
  EXPECT_TRUE(idle.starts.empty());
  EXPECT_LE(idle.evaluations, 30u * kLargeFleetWorkers);
}

// Guards against a search that takes another VM than a full scan would: the
// chosen VM must be the least loaded one on which the step has fewest tasks.
TEST_F(LargeFleetTest, TasksSpreadOverIdleVms) {
  Submission submission = LargeFleetSubmission(0);
  submission.steps.resize(1);
  submission.steps[0].count = kLargeFleetWorkers;
  this->scheduler.Add(submission, std::nullopt, {}, this->now, this->now);
  std::set<std::string> vms;
  for (const StartOrder& start : this->PlanAll())
    vms.insert(start.vm);
  EXPECT_EQ(vms.size(), static_cast<size_t>(kLargeFleetWorkers));
}

}  // namespace
}  // namespace cuminjunction
