// Tests of what the scheduler does after a start was refused.

#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

// Guards against a planner that orders the same start again and again from a VM
// that refuses it because of an evacuation of which the planner does not know.
TEST_F(SchedulerTest, AVmThatSaysThatItIsEvacuatedIsLeftOutForASecond) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 1u);
  const StartOrder& start = orders.starts.front();
  this->scheduler.OnStartResult("vm-1", start.task, start.run,
                                StartOutcome::kEvacuated, this->now);
  this->now += absl::Milliseconds(900);
  EXPECT_TRUE(this->Plan().starts.empty());
  this->now += absl::Milliseconds(200);
  EXPECT_EQ(this->Plan().starts.size(), 1u);
}

// Guards against a VM that is taken for faulty because orders to it were late.
TEST_F(SchedulerTest, LateOrdersDoNotCountAgainstAVm) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  for (int i = 0; i < 10; ++i) {
    const Orders orders = this->Plan();
    ASSERT_EQ(orders.starts.size(), 1u) << i;
    const StartOrder& start = orders.starts.front();
    this->scheduler.OnStartResult("vm-1", start.task, start.run,
                                  StartOutcome::kExpired, this->now);
    this->now += absl::Milliseconds(200);
  }
  EXPECT_EQ(this->scheduler.FindWorker("vm-1")->consecutive_failures, 0);
}

// Guards against starts, and against stops that make room for them, while the
// planner may not order any; a cancelled run is stopped all the same.
TEST_F(SchedulerTest, HeldStartsLeaveOnlyUnwantedRunsToStop) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  this->Add(MakeSubmission("00000000000000a2", {MakeStep(1, 500)}));
  this->scheduler.HoldStarts(true);
  this->scheduler.Cancel(kId, this->now);
  const Orders held = this->Plan();
  EXPECT_TRUE(held.starts.empty());
  EXPECT_EQ(held.stops.size(), 1u);
  this->scheduler.HoldStarts(false);
  EXPECT_EQ(this->Plan().starts.size(), 1u);
}

}  // namespace
}  // namespace cuminjunction
