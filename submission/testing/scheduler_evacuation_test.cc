// Tests of running work in an evacuated failure domain, and of what waits.

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

constexpr char kOther[] = "00000000000000b2";

Step MakeLongStep(uint32_t count, uint32_t max_unavailable) {
  Step step = MakeStep(count, 1000);
  step.long_running = true;
  step.max_unavailable = max_unavailable;
  return step;
}

class SchedulerEvacuationTest : public SchedulerTest {
 protected:
  void Report(const std::string& vm,
              const std::string& domain,
              const std::vector<ActiveRun>& running = {}) {
    WorkerReport report = MakeReport(vm);
    report.info.failure_domain = domain;
    report.running = running;
    this->scheduler.MergeReport(report, this->now);
  }

  void Evacuate(const std::set<std::string>& domains) {
    this->scheduler.SetEvacuations({domains}, this->now);
  }

  // Plans every 100 ms for this long, so that runs count as working, and
  // returns the stops.
  std::vector<StopOrder> PlanFor(absl::Duration duration) {
    std::vector<StopOrder> stops;
    const absl::Time end = this->now + duration;
    while (this->now < end) {
      this->now += absl::Milliseconds(100);
      const Orders orders = this->Plan();
      stops.insert(stops.end(), orders.stops.begin(), orders.stops.end());
      this->starts.insert(this->starts.end(), orders.starts.begin(),
                          orders.starts.end());
    }
    return stops;
  }

  // Starts a submission on a VM in erie-a, which is then evacuated, beside an
  // empty VM elsewhere.
  void RunInEvacuatedDomain(const std::vector<Step>& steps) {
    this->Report("vm-1", "erie-a");
    this->Add(MakeSubmission(kId, steps));
    this->PlanFor(kStartUpTime + kSettleAfterGap);
    this->Report("vm-2", "erie-b");
    this->Evacuate({"erie-a"});
  }

  void EndStopped(const StopOrder& stop) {
    this->scheduler.OnEnded(
        stop.vm, {++this->ends, stop.task, stop.run, RunOutcome::kStopped, ""},
        this->now);
  }

  std::vector<StartOrder> starts;
  uint64_t ends = 0;
};

// Guards against more stops at a time than the step allows, and against the
// next one before the task works again.
TEST_F(SchedulerEvacuationTest, TasksMoveAsFarAsTheStepAllows) {
  this->RunInEvacuatedDomain({MakeLongStep(3, 1)});
  std::vector<StopOrder> stops = this->PlanFor(absl::Seconds(5));
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_EQ(stops[0].reason, "evacuated");
  EXPECT_EQ(stops[0].vm, "vm-1");
  this->EndStopped(stops[0]);
  this->starts.clear();
  EXPECT_TRUE(this->PlanFor(kStartUpTime).empty());
  ASSERT_EQ(this->starts.size(), 1u);
  EXPECT_EQ(this->starts[0].vm, "vm-2");
  EXPECT_EQ(this->PlanFor(absl::Milliseconds(200)).size(), 1u);
}

// Guards against stops in a step that must not miss any task.
TEST_F(SchedulerEvacuationTest, NothingMovesFromAStepThatAllowsNoAbsence) {
  this->RunInEvacuatedDomain({MakeLongStep(3, 0)});
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
}

// Guards against steps that wait for each other, and against more stops in one
// plan than intended.
TEST_F(SchedulerEvacuationTest, SeveralStepsMoveAFewTasksAPlan) {
  this->RunInEvacuatedDomain({MakeLongStep(2, 2), MakeLongStep(2, 2)});
  this->now += absl::Milliseconds(100);
  EXPECT_EQ(this->Plan().stops.size(), kMaxMovesInPlan);
  EXPECT_EQ(this->PlanFor(absl::Milliseconds(100)).size(), 1u);
}

// Guards against stops that take more of a step than it allows, together with
// tasks that are away for other causes: one that waits, one on a silent VM, one
// that has just started.
TEST_F(SchedulerEvacuationTest, TasksThatAreAwayForOtherCausesCount) {
  this->Report("vm-3", "erie-c");
  this->RunInEvacuatedDomain({MakeLongStep(6, 1)});
  this->scheduler.OnDisconnected("vm-3");
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
  std::vector<ActiveRun> running;
  std::set<TaskRef> elsewhere;
  for (const StartOrder& start : this->starts) {
    if (start.vm != "vm-3")
      continue;
    elsewhere.insert(start.task);
    if (elsewhere.size() > 1)
      running.push_back({start.task, start.run, "", 0, false});
  }
  ASSERT_GE(elsewhere.size(), 2u);
  // The lost task starts again, and only later counts as working.
  this->Report("vm-3", "erie-c", running);
  EXPECT_TRUE(this->PlanFor(kStartUpTime).empty());
  EXPECT_EQ(this->PlanFor(absl::Seconds(1)).size(), 1u);
}

// Guards against ten stops that count on one VM's room: also tasks that are
// being stopped need it, and work that does not last must not take it.
TEST_F(SchedulerEvacuationTest, RoomIsCountedForAllStoppedTasksTogether) {
  this->RunInEvacuatedDomain({MakeLongStep(4, 4)});
  this->Add(MakeSubmission(kOther, {MakeStep(3, 1000)}));
  const std::vector<StopOrder> stops = this->PlanFor(absl::Seconds(5));
  EXPECT_EQ(stops.size(), 3u) << "the first plan moves three tasks";
  size_t batch = 0;
  for (const StartOrder& start : this->starts)
    batch += start.task.submission == kOther ? 1 : 0;
  EXPECT_EQ(batch, 1u);
  this->starts.clear();
  for (const StopOrder& stop : stops)
    this->EndStopped(stop);
  this->PlanFor(absl::Milliseconds(100));
  EXPECT_EQ(this->starts.size(), 3u);
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
}

// Guards against tasks that are stopped and can then start nowhere, or only on
// a runner that is slow to start them.
TEST_F(SchedulerEvacuationTest, TasksWithoutRoomElsewhereStay) {
  this->RunInEvacuatedDomain({MakeLongStep(3, 3)});
  this->Evacuate({"erie-a", "erie-b"});
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
  this->Evacuate({"erie-a"});
  WorkerReport cold = MakeReport("vm-2");
  cold.info.cold = true;
  this->scheduler.UpdateInfo("vm-2", cold.info, true);
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
}

// Guards against tasks that move out of a domain that they may stay in.
TEST_F(SchedulerEvacuationTest, NothingMovesOnceTheEvacuationHasEnded) {
  this->RunInEvacuatedDomain({MakeLongStep(3, 1)});
  const std::vector<StopOrder> stops = this->PlanFor(absl::Milliseconds(100));
  ASSERT_EQ(stops.size(), 1u);
  this->Evacuate({});
  this->EndStopped(stops[0]);
  EXPECT_TRUE(this->PlanFor(absl::Seconds(9)).empty());
}

// Guards against stops of gangs, of which one would end all members, and of
// tasks that end by themselves.
TEST_F(SchedulerEvacuationTest, GangsAndTasksThatEndFinishInPlace) {
  Step gang = MakeLongStep(2, 2);
  gang.gang = true;
  Step batch = MakeStep(1, 1000);
  batch.checkpointed = true;
  batch.max_unavailable = 1;
  this->RunInEvacuatedDomain({gang, batch});
  ASSERT_EQ(this->starts.size(), 3u);
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
  this->End(this->starts[2], RunOutcome::kDone);
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
}

// Guards against a second stop in a step while the first one may still be
// carried out: its report after a lost connection says nothing of the stop.
TEST_F(SchedulerEvacuationTest, AStopCountsUntilTheRunHasEnded) {
  Step step = MakeLongStep(2, 1);
  step.max_per_vm = 1;
  this->Report("vm-3", "erie-c");
  this->RunInEvacuatedDomain({step});
  const std::vector<StopOrder> stops = this->PlanFor(absl::Milliseconds(100));
  ASSERT_EQ(stops.size(), 1u);
  ASSERT_EQ(stops[0].vm, "vm-1");
  this->scheduler.OnDisconnected("vm-1");
  this->Report("vm-1", "erie-a", {{stops[0].task, stops[0].run, "", 0, false}});
  this->Evacuate({"erie-c"});
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
  this->Evacuate({"erie-a"});
  const std::vector<StopOrder> again = this->PlanFor(absl::Milliseconds(100));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].task, stops[0].task);
}

// Guards against moves into room that long-running tasks need which may not
// start yet.
TEST_F(SchedulerEvacuationTest, WaitingTasksComeBeforeMoves) {
  this->scheduler.ExpectWorker("vm-9", this->now + absl::Seconds(60));
  this->RunInEvacuatedDomain({MakeLongStep(1, 1)});
  this->Add(MakeSubmission(kOther, {MakeLongStep(4, 4)}),
            UnresolvedRunsBefore(2));
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
  this->starts.clear();
  this->scheduler.Resolve(kOther);
  this->PlanFor(absl::Milliseconds(100));
  EXPECT_EQ(this->starts.size(), 4u);
}

// Guards against a task that counts as working although its VM was suspended
// while it started.
TEST_F(SchedulerEvacuationTest, TasksOfAVmThatWasSilentCountOnlyLater) {
  Step step = MakeLongStep(2, 1);
  step.max_per_vm = 1;
  this->Report("vm-3", "erie-c");
  this->RunInEvacuatedDomain({step});
  RunnerInfo info = MakeReport("vm-3").info;
  info.failure_domain = "erie-c";
  this->scheduler.UpdateInfo("vm-3", info, false);
  EXPECT_TRUE(this->PlanFor(absl::Seconds(5)).empty());
  this->scheduler.UpdateInfo("vm-3", info, true);
  EXPECT_TRUE(this->PlanFor(kStartUpTime).empty());
  EXPECT_EQ(this->PlanFor(absl::Milliseconds(200)).size(), 1u);
}

// Guards against stops on old knowledge, by a planner that was suspended and
// has not read its messages yet, and by one that has just taken over.
TEST_F(SchedulerEvacuationTest, APlannerWithOldKnowledgeStopsNothing) {
  this->RunInEvacuatedDomain({MakeLongStep(2, 1)});
  this->now += absl::Seconds(6);
  EXPECT_TRUE(this->Plan().stops.empty());
  EXPECT_TRUE(this->PlanFor(kSettleAfterGap - absl::Milliseconds(100)).empty());
  EXPECT_EQ(this->PlanFor(absl::Milliseconds(200)).size(), 1u);

  const std::vector<StartOrder> before = this->starts;
  this->scheduler = Scheduler();
  this->scheduler.SetPolicy(MakePolicy());
  this->Evacuate({"erie-a"});
  this->scheduler.ExpectWorker("vm-1", this->now + absl::Seconds(6));
  this->Add(MakeSubmission(kId, {MakeLongStep(2, 1)}), UnresolvedRunsBefore(2));
  std::vector<ActiveRun> running;
  running.reserve(before.size());
  for (const StartOrder& start : before)
    running.push_back({start.task, start.run, "", 0, false});
  this->Report("vm-2", "erie-b");
  this->Report("vm-1", "erie-a", running);
  EXPECT_TRUE(
      this->PlanFor(kReportedRunSettles - absl::Milliseconds(100)).empty());
  EXPECT_EQ(this->PlanFor(absl::Milliseconds(200)).size(), 1u);
}

// Guards against two kinds of moves that together take more of a step than it
// allows: filling tasks also move away from serving tasks.
TEST_F(SchedulerEvacuationTest, MovesOfInterferingTasksCountAsWell) {
  this->Report("vm-1", "erie-a");
  Step serving = MakeLongStep(1, 0);
  serving.latency_objective_ms = 10;
  serving.image = "serving";
  Step filling = MakeLongStep(1, 0);
  filling.fills = true;
  filling.checkpointed = true;
  filling.image = "filling";
  this->Add(MakeSubmission(kId, {serving, filling}));
  this->PlanFor(kStartUpTime);
  ASSERT_EQ(this->starts.size(), 2u);
  this->Report("vm-2", "erie-b");
  this->Evacuate({"erie-c"});
  for (int i = 0; i < 100; ++i) {
    this->scheduler.AddLatencySample("vm-1", "serving", 2.0,
                                     {{"filling", 0.25}}, this->now);
    EXPECT_TRUE(this->PlanFor(absl::Milliseconds(100)).empty());
  }
}

// Guards against a start in an evacuated domain after a takeover, when the set
// is known before the first report.
TEST_F(SchedulerEvacuationTest, NothingStartsInADomainKnownBeforeItsVms) {
  this->Evacuate({"erie-a"});
  this->Report("vm-1", "erie-a");
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  this->PlanFor(absl::Seconds(1));
  EXPECT_TRUE(this->starts.empty());
  this->Report("vm-2", "erie-b");
  this->PlanFor(absl::Milliseconds(100));
  ASSERT_EQ(this->starts.size(), 1u);
  EXPECT_EQ(this->starts[0].vm, "vm-2");
}

// Guards against a waiting task without a trace of the cause, and against work
// in the domain that is stopped for room that the task can't have.
TEST_F(SchedulerEvacuationTest, ATaskThatOnlyFitsThereWaitsAndSaysSo) {
  this->Report("vm-1", "erie-a");
  this->Add(MakeSubmission(kOther, {MakeStep(4, 1000)}));
  this->PlanFor(absl::Milliseconds(100));
  ASSERT_EQ(this->starts.size(), 4u);
  this->Evacuate({"erie-a"});
  WorkerReport unlike = MakeReport("vm-2");
  unlike.info.labels = {"b", "rack-2"};
  this->scheduler.MergeReport(unlike, this->now);
  Step step = MakeLongStep(1, 1);
  step.required_label = "a";
  this->Add(MakeSubmission(kId, {step}));
  EXPECT_TRUE(this->PlanFor(kHeldAfter + absl::Seconds(1)).empty());
  EXPECT_EQ(this->starts.size(), 4u);
  const auto held = this->scheduler.HeldTasks(this->now);
  ASSERT_EQ(held.size(), 1u);
  const auto vms = this->scheduler.CountObstacles(held[0].task, this->now);
  EXPECT_EQ(vms.at(static_cast<size_t>(PlacementObstacle::kEvacuated)), 1u);
  EXPECT_EQ(vms.at(static_cast<size_t>(PlacementObstacle::kLabel)), 1u);
}

// Guards against queries of the adviser for VMs that may not be used, and
// against tasks of a restricted queue that never move: only steps with waiting
// tasks were asked for.
TEST_F(SchedulerEvacuationTest, PermitsAreAskedForVmsOutsideTheDomain) {
  FleetPolicy policy = MakePolicy();
  policy.version = 2;
  policy.queues[0].advice.required = true;
  this->scheduler.SetPolicy(policy);
  this->Report("vm-1", "erie-a");
  this->Add(MakeSubmission(kId, {MakeLongStep(1, 1)}));
  this->now += absl::Milliseconds(100);
  const Orders first = this->Plan();
  ASSERT_EQ(first.queries.size(), 1u);
  this->scheduler.OnPermits(first.queries[0], {{"runner-vm-1", "t"}},
                            this->now + absl::Seconds(60));
  this->PlanFor(kStartUpTime + kSettleAfterGap);
  ASSERT_EQ(this->starts.size(), 1u);
  this->Report("vm-2", "erie-b");
  this->Report("vm-3", "erie-a");
  this->Evacuate({"erie-a"});
  this->now += absl::Milliseconds(100);
  const Orders asked = this->Plan();
  EXPECT_TRUE(asked.stops.empty());
  ASSERT_EQ(asked.queries.size(), 1u);
  EXPECT_EQ(asked.queries[0].runners, std::vector<std::string>{"runner-vm-2"});
  this->scheduler.OnPermits(asked.queries[0], {{"runner-vm-2", "t"}},
                            this->now + absl::Seconds(60));
  EXPECT_EQ(this->PlanFor(absl::Milliseconds(100)).size(), 1u);
}

}  // namespace
}  // namespace cuminjunction
