// Tests of long-running tasks that do not run: what is reported of them, and
// how long they may be held back in a system without disturbances.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

Step MakeLongStep(uint32_t count, int64_t millicores) {
  Step step = MakeStep(count, millicores);
  step.long_running = true;
  return step;
}

class SchedulerHeldTest : public SchedulerTest {
 protected:
  uint32_t Vms(const TaskRef& task, PlacementObstacle obstacle) {
    return this->scheduler.CountObstacles(task, this->now)
        .at(static_cast<size_t>(obstacle));
  }
};

// Guards against a long-running task that waits without a trace of the cause.
TEST_F(SchedulerHeldTest, AHeldTaskIsReportedWithTheCauses) {
  WorkerReport full = MakeReport("vm-full");
  full.info.capacity = {100, 100, 0};
  WorkerReport draining = MakeReport("vm-draining");
  draining.info.draining = true;
  WorkerReport other = MakeReport("vm-other");
  other.info.labels = {"b", "rack-1"};
  this->scheduler.MergeReport(full, this->now);
  this->scheduler.MergeReport(draining, this->now);
  this->scheduler.MergeReport(other, this->now);
  Step step = MakeLongStep(1, 500);
  step.required_label = "a";
  this->Add(MakeSubmission(kId, {step}));
  EXPECT_TRUE(this->Plan().starts.empty());
  this->now += kHeldAfter - absl::Milliseconds(1);
  EXPECT_TRUE(this->scheduler.HeldTasks(this->now).empty());
  this->now += absl::Milliseconds(1);
  const std::vector<HeldTask> held = this->scheduler.HeldTasks(this->now);
  ASSERT_EQ(held.size(), 1u);
  EXPECT_EQ(held[0].task, (TaskRef{kId, 0, 0, 0}));
  EXPECT_FALSE(held[0].ordered);
  EXPECT_FALSE(held[0].suspect);
  EXPECT_EQ(this->Vms(held[0].task, PlacementObstacle::kNoCapacity), 1u);
  EXPECT_EQ(this->Vms(held[0].task, PlacementObstacle::kDraining), 1u);
  EXPECT_EQ(this->Vms(held[0].task, PlacementObstacle::kLabel), 1u);
  EXPECT_EQ(this->Vms(held[0].task, PlacementObstacle::kNone), 0u);
}

// Guards against a task that looks as if it ran because its starts are ordered
// and refused in turn.
TEST_F(SchedulerHeldTest, ATaskWhoseStartsAreRefusedIsReported) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeLongStep(1, 500)}));
  for (int i = 0; i < 3; ++i) {
    const Orders orders = this->Plan();
    ASSERT_EQ(orders.starts.size(), 1u);
    this->scheduler.OnStartResult("vm-1", orders.starts[0].task,
                                  orders.starts[0].run, StartOutcome::kRefused,
                                  this->now);
    this->now += absl::Seconds(1);
  }
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  const std::vector<HeldTask> held = this->scheduler.HeldTasks(this->now);
  ASSERT_EQ(held.size(), 1u);
  EXPECT_TRUE(held[0].ordered);
  EXPECT_EQ(held[0].refused_starts, 3u);
  // A start that nobody has refused is taken for a run.
  this->now += kHeldAfter;
  EXPECT_TRUE(this->scheduler.HeldTasks(this->now).empty());
}

// Guards against a suspect that waits behind batch work, since only other tasks
// preempt it.
TEST_F(SchedulerHeldTest, ASuspectPreemptsBatchWork) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeLongStep(1, 1500)}));
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 1u);
  WorkerReport crashed = MakeReport("vm-1", 2);
  crashed.crashes = {
      {1, {{first.starts[0].task, first.starts[0].run, true, 10}}}};
  crashed.alive = false;
  this->scheduler.MergeReport(crashed, this->now);
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  // The batch work fills the only VM that is left, from before the crash on.
  Step batch = MakeStep(4, 1000);
  WorkerReport busy = MakeReport("vm-2");
  for (uint32_t index = 0; index < 4; ++index)
    busy.running.push_back(
        {{"00000000000000b2", 0, 0, index}, 1, "", 0, false});
  this->Add(MakeSubmission("00000000000000b2", {batch}));
  this->scheduler.MergeReport(busy, this->now);
  bool started = false;
  uint64_t number = 0;
  for (int i = 0; i < 90 && !started; ++i) {
    this->now += absl::Milliseconds(100);
    const Orders orders = this->Plan();
    for (const StopOrder& stop : orders.stops)
      this->scheduler.OnEnded(
          stop.vm, {++number, stop.task, stop.run, RunOutcome::kStopped, ""},
          this->now);
    for (const StartOrder& start : orders.starts)
      started = started || start.task.submission == kId;
  }
  EXPECT_TRUE(started);
}

// Guards against a long-running filling task that waits without limit for a VM
// where it does not interfere, because others of its step run.
TEST_F(SchedulerHeldTest, ALongRunningFillingTaskWaitsOnlySoLong) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  Step serving = MakeLongStep(1, 1000);
  serving.latency_objective_ms = 10;
  serving.image = "serving";
  this->Add(MakeSubmission(kId, {serving}));
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  for (int i = 0; i < 100; ++i) {
    this->now += absl::Milliseconds(100);
    this->scheduler.AddLatencySample("vm-1", "serving", 2.0,
                                     {{"filling", 0.25}}, this->now);
  }
  Step filling = MakeLongStep(2, 500);
  filling.fills = true;
  filling.image = "filling";
  this->Add(MakeSubmission("00000000000000b2", {filling}));
  size_t started = 0;
  for (int i = 0; i < 90 && started < 2; ++i) {
    started += this->Plan().starts.size();
    this->now += absl::Milliseconds(100);
  }
  EXPECT_EQ(started, 2u);
}

// Guards against a task that counts as being stopped for good, so that it is
// not preempted again, after its stop was lost with the connection.
TEST_F(SchedulerHeldTest, AStopThatIsLostWithTheConnectionIsOrderedAgain) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission("00000000000000b2", {MakeStep(1, 4000)}));
  const Orders batch = this->Plan();
  ASSERT_EQ(batch.starts.size(), 1u);
  this->Add(MakeSubmission(kId, {MakeLongStep(1, 1500)}));
  ASSERT_EQ(this->Plan().stops.size(), 1u);
  this->scheduler.OnDisconnected("vm-1");
  WorkerReport report = MakeReport("vm-1");
  report.running.push_back(
      {batch.starts[0].task, batch.starts[0].run, "", 0, false});
  this->scheduler.MergeReport(report, this->now);
  size_t stops = 0;
  for (int i = 0; i < 60; ++i) {
    this->now += absl::Milliseconds(100);
    stops += this->Plan().stops.size();
  }
  EXPECT_GE(stops, 1u);
}

// Guards against starts that runners refuse as old, one after the other, after
// a takeover: an earlier planner has started the task more often than the run
// numbers that are reserved for it.
TEST_F(SchedulerHeldTest, ARunIsNumberedAboveTheReportedEnds) {
  this->Add(MakeSubmission(kId, {MakeLongStep(1, 500)}),
            UnresolvedRunsBefore(2));
  this->scheduler.ExpectWorker("vm-1", this->now + absl::Seconds(6));
  WorkerReport report = MakeReport("vm-1");
  report.ended.push_back({7, {kId, 0, 0, 0}, 200, RunOutcome::kFailed, ""});
  this->scheduler.MergeReport(report, this->now);
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 1u);
  EXPECT_GT(orders.starts[0].run, 200u);
}

// Guards against suspects that start one after the other for longer than a
// long-running task may be without a run, where few VMs can take them.
TEST_F(SchedulerHeldTest, ManySuspectsStartWithinTheLimit) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeLongStep(30, 100)}));
  const Orders first = this->Plan();
  WorkerReport report = MakeReport("vm-1");
  report.info.capacity = {4000, 4000, 0};
  this->scheduler.UpdateInfo("vm-1", report.info, true);
  std::vector<StartOrder> starts = first.starts;
  for (const StartOrder& start : this->Plan().starts)
    starts.push_back(start);
  ASSERT_EQ(starts.size(), 30u);
  RunnerCrash crash{1, {}};
  for (const StartOrder& start : starts)
    crash.runs.push_back({start.task, start.run, true, 10});
  report.info.born_ms = 2;
  report.crashes = {crash};
  this->scheduler.MergeReport(report, this->now);
  size_t started = 0;
  for (int i = 0; i < 90; ++i) {
    this->now += absl::Milliseconds(100);
    started += this->Plan().starts.size();
  }
  EXPECT_EQ(started, 30u);
}

// Guards against a VM that is avoided for as long as long-running tasks fail on
// it now and then: only tasks that end as done cleared its count of failures.
TEST_F(SchedulerHeldTest, FailuresOfLongRunsDoNotKeepTasksFromAVm) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeLongStep(8, 100)}));
  std::vector<StartOrder> running = this->Plan().starts;
  ASSERT_EQ(running.size(), 8u);
  // One task after the other fails, every 2.5 s.
  std::map<uint32_t, absl::Time> failed_at;
  absl::Duration longest;
  uint64_t number = 0;
  for (int i = 0; i < 300; ++i) {
    this->now += absl::Milliseconds(100);
    if (i % 25 == 24 && !running.empty()) {
      const StartOrder failed = running.front();
      running.erase(running.begin());
      this->End(failed, RunOutcome::kFailed, ++number);
      failed_at[failed.task.index] = this->now;
    }
    for (const StartOrder& start : this->Plan().starts) {
      failed_at.erase(start.task.index);
      running.push_back(start);
    }
    for (const auto& [index, since] : failed_at)
      longest = std::max(longest, this->now - since);
  }
  EXPECT_LT(longest, absl::Seconds(9));
}

}  // namespace
}  // namespace cuminjunction
