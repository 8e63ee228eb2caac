#include "submission/scheduler.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

TEST_F(SchedulerTest, RunsStepsInOrderAndCompletesOnceStored) {
  Step second = MakeStep(1, 500);
  second.after = {0};
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(2, 500), second}));
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 2u);
  EXPECT_EQ(first.starts[0].run, 1u);
  this->End(first.starts[0], RunOutcome::kDone, 1);
  EXPECT_TRUE(this->Plan().starts.empty());
  this->End(first.starts[1], RunOutcome::kDone, 2);
  const Orders next = this->Plan();
  ASSERT_EQ(next.starts.size(), 1u);
  EXPECT_EQ(next.starts[0].task.step, 1u);
  this->End(next.starts[0], RunOutcome::kDone, 3);
  // The state is visible to callers only once it is stored.
  EXPECT_EQ(this->State(kId), SubmissionState::kRunning);
  const auto dirty = this->scheduler.TakeDirty();
  ASSERT_EQ(dirty.size(), 1u);
  EXPECT_EQ(dirty[0].second.state, SubmissionState::kCompleted);
  this->scheduler.MarkStored(kId, dirty[0].second.state, this->now);
  EXPECT_EQ(this->State(kId), SubmissionState::kCompleted);
}

// Guards against removing ended submissions too early, twice, or never, and
// against running one again that ended under an earlier planner.
TEST_F(SchedulerTest, EndedSubmissionsAreRemovedInTheOrderOfTheirEnds) {
  const std::string earlier = "00000000000000e1";
  this->scheduler.AddEnded(earlier, "plans", SubmissionState::kFailed,
                           this->now - absl::Seconds(5));
  EXPECT_EQ(this->State(earlier), SubmissionState::kFailed);
  this->Add(MakeSubmission(earlier, {MakeStep(1, 500)}));
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  this->scheduler.Cancel(kId, this->now);
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  EXPECT_TRUE(this->Plan().starts.empty());
  // The end of this submission is not stored yet.
  EXPECT_TRUE(
      this->scheduler.TakeEndedBefore(this->now - absl::Seconds(5), 9).empty());
  const SubmissionRow row = this->scheduler.EndedRow(kId, this->now);
  EXPECT_EQ(row.final_state, SubmissionState::kCancelled);
  EXPECT_TRUE(row.submission.steps.empty());
  this->scheduler.MarkStored(kId, SubmissionState::kCancelled, this->now);
  this->scheduler.MarkStored(kId, SubmissionState::kCancelled,
                             this->now + absl::Seconds(1));
  const absl::Time later = this->now + absl::Seconds(9);
  EXPECT_EQ(this->scheduler.TakeEndedBefore(later, 1),
            std::vector<std::string>{earlier});
  EXPECT_EQ(this->scheduler.TakeEndedBefore(later, 9),
            std::vector<std::string>{kId});
  EXPECT_TRUE(this->scheduler.TakeEndedBefore(later, 9).empty());
  EXPECT_TRUE(this->scheduler.HasSubmission(kId));
  this->scheduler.Forget(kId);
  EXPECT_FALSE(this->scheduler.HasSubmission(kId));
}

// Guards against a count of waiting submissions that leaves out those whose
// start never reached a runner. Seen on the day runners-gone, seed 6922054803:
// MIXED 7.
TEST_F(SchedulerTest, ASubmissionWaitsUntilARunnerHasStartedATask) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 500)}));
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  EXPECT_EQ(this->scheduler.WaitingCounts()["plans"], 1u);
  WorkerReport report = MakeReport("vm-1");
  report.running.push_back({{kId, 0, 0, 0}, 1, "", 0, /*starting=*/true});
  this->scheduler.MergeReport(report, this->now);
  EXPECT_EQ(this->scheduler.WaitingCounts()["plans"], 1u);
  this->scheduler.OnStarted(kId);
  EXPECT_EQ(this->scheduler.WaitingCounts()["plans"], 0u);

  const std::string second = "00000000000000b2";
  this->Add(MakeSubmission(second, {MakeStep(1, 500)}));
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  report.running.push_back({{second, 0, 0, 0}, 1, "", 0});
  this->scheduler.MergeReport(report, this->now);
  EXPECT_EQ(this->scheduler.WaitingCounts()["plans"], 0u);
}

// Guards against placing more on a VM than the capacity that its runner
// reports.
TEST_F(SchedulerTest, NeverExceedsTheCapacityOfAVm) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(9, 1000)}));
  const Orders orders = this->Plan();
  EXPECT_EQ(orders.starts.size(), 4u);
  this->End(orders.starts[0], RunOutcome::kDone);
  EXPECT_EQ(this->Plan().starts.size(), 1u);
}

// Guards against starts on a VM whose capacity has shrunk below what it runs,
// and against none once it has grown again.
TEST_F(SchedulerTest, AShrunkenVmGetsTasksOnlyWithinItsCapacity) {
  WorkerReport report = MakeReport("vm-1");
  this->scheduler.MergeReport(report, this->now);
  this->Add(MakeSubmission(kId, {MakeStep(9, 1000)}));
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 4u);
  report.info.capacity.millicores = 2000;
  this->scheduler.UpdateInfo("vm-1", report.info, true);
  this->End(orders.starts[0], RunOutcome::kDone, 1);
  this->End(orders.starts[1], RunOutcome::kDone, 2);
  EXPECT_TRUE(this->Plan().starts.empty());
  this->End(orders.starts[2], RunOutcome::kDone, 3);
  EXPECT_EQ(this->Plan().starts.size(), 1u);
  report.info.capacity.millicores = 4000;
  this->scheduler.UpdateInfo("vm-1", report.info, true);
  EXPECT_EQ(this->Plan().starts.size(), 2u);
}

// Guards against a second run of a task that an earlier planner started on a
// worker that has not reported yet.
TEST_F(SchedulerTest, UnresolvedTasksWaitForEveryWorkerOfAnEarlierPlanner) {
  this->scheduler.ExpectWorker("vm-1", this->now + absl::Seconds(20));
  this->scheduler.ExpectWorker("vm-2", this->now + absl::Seconds(20));
  this->Add(MakeSubmission(kId, {MakeStep(1, 1000)}), UnresolvedRunsBefore(2));
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  EXPECT_TRUE(this->Plan().starts.empty());
  // A submission that no other planner can have started does not wait.
  this->Add(MakeSubmission("00000000000000b2", {MakeStep(1, 1000)}));
  EXPECT_EQ(this->Plan().starts.size(), 1u);
  this->now += absl::Seconds(19);
  this->scheduler.ExpireGrants(this->now);
  EXPECT_TRUE(this->Plan().starts.empty());
  this->now += absl::Seconds(2);
  this->scheduler.ExpireGrants(this->now);
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 1u);
  // The run number is above all that the earlier planner can have used.
  EXPECT_GT(orders.starts[0].run, 1u);
}

TEST_F(SchedulerTest, AdoptsRunsThatAWorkerReports) {
  this->scheduler.ExpectWorker("vm-1", this->now + absl::Seconds(20));
  this->Add(MakeSubmission(kId, {MakeStep(1, 1000)}), UnresolvedRunsBefore(2));
  WorkerReport report = MakeReport("vm-1");
  report.running.push_back({{kId, 0, 0, 0}, 3, "", 50});
  this->scheduler.MergeReport(report, this->now);
  EXPECT_TRUE(this->Plan().starts.empty());
  this->scheduler.OnEnded("vm-1", {1, {kId, 0, 0, 0}, 3, RunOutcome::kDone, ""},
                          this->now);
  const auto dirty = this->scheduler.TakeDirty();
  ASSERT_EQ(dirty.size(), 1u);
  EXPECT_EQ(dirty[0].second.state, SubmissionState::kCompleted);
}

// Guards against stopping a run, or losing its end, when its submission was
// stored after the planner read the table. Seen on lakeshore-pack trouble-3 as
// two concurrent runs of one task.
TEST_F(SchedulerTest, DetectsRunsAndEndsOfUnknownSubmissions) {
  const std::vector<ActiveRun> running = {{{kId, 0, 0, 0}, 1, "", 0}};
  const std::vector<EndedRun> ended = {
      {1, {kId, 0, 0, 1}, 1, RunOutcome::kDone, ""}};
  EXPECT_FALSE(this->scheduler.HasSubmissionsOf(running, {}));
  EXPECT_FALSE(this->scheduler.HasSubmissionsOf({}, ended));
  this->Add(MakeSubmission(kId, {MakeStep(2, 1000)}), UnresolvedRunsBefore(2));
  EXPECT_TRUE(this->scheduler.HasSubmissionsOf(running, ended));
}

// Guards against a second run while a disconnected VM may still run the task.
TEST_F(SchedulerTest, DisconnectedWorkerKeepsItsTasksUntilItsGrantExpires) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 1000)}));
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  this->scheduler.ExtendGrant("vm-1", this->now + absl::Seconds(6));
  this->scheduler.OnDisconnected("vm-1");
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  this->now += absl::Seconds(5);
  this->scheduler.ExpireGrants(this->now);
  EXPECT_TRUE(this->Plan().starts.empty());
  this->now += absl::Seconds(2);
  this->scheduler.ExpireGrants(this->now);
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 1u);
  EXPECT_EQ(orders.starts[0].vm, "vm-2");
  EXPECT_EQ(orders.starts[0].run, 2u);
}

// Guards against adopting a stale run. A VM whose grant had expired reconnected
// with an old report; its run was adopted, and the next run got a number that
// was in use. Seen on vardu-klasteris-grown trouble-2 as two concurrent runs of
// one task, both with number 2.
TEST_F(SchedulerTest, AStaleRunIsStoppedAndItsNumberIsNotUsedAgain) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 1000)}));
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  this->scheduler.ExtendGrant("vm-1", this->now + absl::Seconds(6));
  this->scheduler.OnDisconnected("vm-1");
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  this->now += absl::Seconds(7);
  this->scheduler.ExpireGrants(this->now);
  const Orders second = this->Plan();
  ASSERT_EQ(second.starts.size(), 1u);
  ASSERT_EQ(second.starts[0].run, 2u);
  this->scheduler.OnStartResult("vm-2", second.starts[0].task, 2,
                                StartOutcome::kRefused, this->now);
  WorkerReport stale = MakeReport("vm-1");
  stale.running.push_back({{kId, 0, 0, 0}, 1, "", 10});
  this->scheduler.MergeReport(stale, this->now);
  const Orders third = this->Plan();
  ASSERT_EQ(third.stops.size(), 1u);
  EXPECT_EQ(third.stops[0].run, 1u);
  for (const StartOrder& start : third.starts)
    EXPECT_EQ(start.run, 3u);
}

TEST_F(SchedulerTest, NewIncarnationOfARunnerEndsItsTasks) {
  this->scheduler.MergeReport(MakeReport("vm-1", 1), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 1000)}));
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  this->scheduler.MergeReport(MakeReport("vm-1", 2), this->now);
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 1u);
  EXPECT_EQ(orders.starts[0].run, 2u);
}

// Guards against counting a failure twice when it is reported to two planners.
TEST_F(SchedulerTest, FailsAfterTheLimitOfDifferentRuns) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 1000)}));
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 1u);
  this->End(first.starts[0], RunOutcome::kFailed);
  this->End(first.starts[0], RunOutcome::kFailed);
  const Orders second = this->Plan();
  ASSERT_EQ(second.starts.size(), 1u);
  EXPECT_NE(second.starts[0].vm, first.starts[0].vm);
  EXPECT_EQ(second.starts[0].run, 2u);
  this->scheduler.TakeDirty();
  this->End(second.starts[0], RunOutcome::kFailed);
  const auto dirty = this->scheduler.TakeDirty();
  ASSERT_EQ(dirty.size(), 1u);
  EXPECT_EQ(dirty[0].second.state, SubmissionState::kFailed);
  EXPECT_TRUE(this->Plan().starts.empty());
}

// Load pattern: a burst of large submissions beyond the capacity. Guards
// against serving them in the order of their arrival, which makes all of them
// late.
TEST_F(SchedulerTest, SmallerSubmissionsOfABurstGoFirst) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  Submission large = MakeSubmission(kId, {MakeStep(8, 1000)});
  Submission small = MakeSubmission("00000000000000b2", {MakeStep(4, 1000)});
  large.accepted_ms = absl::ToUnixMillis(this->now);
  small.accepted_ms = large.accepted_ms;
  this->Add(large);
  this->Add(small);
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 4u);
  for (const StartOrder& start : orders.starts)
    EXPECT_EQ(start.task.submission, small.id);
}

// Guards against hopeless submissions that delay those which can still meet
// their objective, and against dropping them.
TEST_F(SchedulerTest, HopelessSubmissionsGoLastButAreNotDropped) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  Submission hopeless = MakeSubmission(kId, {MakeStep(4, 1000)});
  hopeless.accepted_ms = absl::ToUnixMillis(this->now - absl::Seconds(60));
  Submission punctual = MakeSubmission("00000000000000b2", {MakeStep(4, 1000)});
  punctual.accepted_ms = absl::ToUnixMillis(this->now);
  this->Add(hopeless);
  this->Add(punctual);
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 4u);
  uint64_t number = 0;
  for (const StartOrder& start : first.starts) {
    EXPECT_EQ(start.task.submission, punctual.id);
    this->End(start, RunOutcome::kDone, ++number);
  }
  EXPECT_EQ(this->Plan().starts.size(), 4u);
}

TEST_F(SchedulerTest, CancelStopsRunsAndStartsNothing) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(9, 1000)}));
  ASSERT_EQ(this->Plan().starts.size(), 4u);
  this->scheduler.Cancel(kId, this->now);
  const Orders orders = this->Plan();
  EXPECT_TRUE(orders.starts.empty());
  EXPECT_EQ(orders.stops.size(), 4u);
}

// Guards against losing a cancellation that is read before its submission.
TEST_F(SchedulerTest, CancellationBeforeItsSubmissionIsApplied) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->scheduler.Cancel(kId, this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 1000)}));
  EXPECT_TRUE(this->Plan().starts.empty());
}

TEST_F(SchedulerTest, ResumesFromTheCheckpointOfAStoppedRun) {
  Step step = MakeStep(1, 1000);
  step.checkpointed = true;
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {step}));
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 1u);
  this->scheduler.OnEnded(
      "vm-1", {1, first.starts[0].task, 1, RunOutcome::kStopped, "point"},
      this->now);
  const Orders second = this->Plan();
  ASSERT_EQ(second.starts.size(), 1u);
  EXPECT_EQ(second.starts[0].checkpoint, "point");
  EXPECT_EQ(second.starts[0].run, 2u);
}

// Guards against losing completed tasks or failed runs at a takeover.
TEST_F(SchedulerTest, ProgressSurvivesATakeover) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(3, 1000)}));
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 3u);
  this->End(first.starts[0], RunOutcome::kDone, 1);
  this->End(first.starts[1], RunOutcome::kFailed, 2);
  const auto dirty = this->scheduler.TakeDirty();
  ASSERT_EQ(dirty.size(), 1u);
  const auto stored = Decode<Progress>(Encode(dirty[0].second));
  ASSERT_TRUE(stored);

  Scheduler next;
  next.SetPolicy(MakePolicy());
  next.Add(MakeSubmission(kId, {MakeStep(3, 1000)}), stored.value(),
           UnresolvedRunsBefore(2), this->now, this->now);
  next.MergeReport(MakeReport("vm-1"), this->now);
  const Orders orders = next.Plan(this->now);
  EXPECT_EQ(orders.starts.size(), 2u);
  for (const StartOrder& start : orders.starts) {
    EXPECT_NE(start.task, first.starts[0].task);
    // The second failure of this task reaches the limit.
    if (start.task == first.starts[1].task)
      next.OnEnded("vm-1", {3, start.task, start.run, RunOutcome::kFailed, ""},
                   this->now);
  }
  const auto after = next.TakeDirty();
  ASSERT_EQ(after.size(), 1u);
  EXPECT_EQ(after[0].second.state, SubmissionState::kFailed);
}

TEST_F(SchedulerTest, RespectsTheLimitPerVmAndTheLabel) {
  Step step = MakeStep(4, 100);
  step.max_per_vm = 1;
  step.required_label = "a";
  WorkerReport other = MakeReport("vm-3");
  other.info.labels = {"b", "rack-1"};
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  this->scheduler.MergeReport(other, this->now);
  this->Add(MakeSubmission(kId, {step}));
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 2u);
  EXPECT_NE(orders.starts[0].vm, orders.starts[1].vm);
}

TEST_F(SchedulerTest, NothingStartsOnADrainingRunner) {
  WorkerReport report = MakeReport("vm-1");
  report.info.draining = true;
  this->scheduler.MergeReport(report, this->now);
  this->Add(MakeSubmission(kId, {MakeStep(1, 100)}));
  EXPECT_TRUE(this->Plan().starts.empty());
}

// Guards against leaving long-running tasks on a draining runner until it is
// gone, which the users' rules count as lost work. Seen on lakeshore-pack mix
// 217262503272.
TEST_F(SchedulerTest, LongRunningAndCheckpointedTasksLeaveADrainingRunner) {
  Step long_step = MakeStep(1, 500);
  long_step.long_running = true;
  Step checkpointed = MakeStep(1, 500);
  checkpointed.checkpointed = true;
  checkpointed.estimate_ms = 5000;
  Step plain = MakeStep(1, 500);
  plain.estimate_ms = 5000;
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {long_step}));
  this->Add(MakeSubmission("00000000000000b2", {checkpointed}));
  this->Add(MakeSubmission("00000000000000c3", {plain}));
  ASSERT_EQ(this->Plan().starts.size(), 3u);
  RunnerInfo info = MakeReport("vm-1").info;
  info.draining = true;
  this->scheduler.UpdateInfo("vm-1", info, true);
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  const Orders stops = this->Plan();
  ASSERT_EQ(stops.stops.size(), 2u);
  for (const StopOrder& stop : stops.stops) {
    EXPECT_EQ(stop.vm, "vm-1");
    EXPECT_NE(stop.task.submission, "00000000000000c3");
  }
  EXPECT_TRUE(this->Plan().stops.empty());
}

TEST_F(SchedulerTest, OccurrencesStartWhenTheyAreDue) {
  Submission submission = MakeSubmission(kId, {MakeStep(1, 100)});
  submission.scheduled = true;
  submission.occurrences = 2;
  submission.first_due_ms = absl::ToUnixMillis(this->now) + 1000;
  submission.interval_ms = 5000;
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(submission);
  EXPECT_TRUE(this->Plan().starts.empty());
  this->now += absl::Milliseconds(1001);
  const Orders first = this->Plan();
  ASSERT_EQ(first.starts.size(), 1u);
  this->End(first.starts[0], RunOutcome::kDone);
  EXPECT_TRUE(this->Plan().starts.empty());
  this->now += absl::Seconds(5);
  const Orders second = this->Plan();
  ASSERT_EQ(second.starts.size(), 1u);
  EXPECT_EQ(second.starts[0].task.occurrence, 1u);
}

// Guards against a long-running task that waits behind batch work.
TEST_F(SchedulerTest, LongRunningTaskPreemptsBatchWork) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(4, 1000)}));
  const Orders batch = this->Plan();
  ASSERT_EQ(batch.starts.size(), 4u);
  Step long_step = MakeStep(1, 1500);
  long_step.long_running = true;
  this->Add(MakeSubmission("00000000000000b2", {long_step}));
  const Orders stops = this->Plan();
  ASSERT_EQ(stops.stops.size(), 2u);
  this->Add(MakeSubmission("00000000000000c3", {MakeStep(1, 500)}));
  uint64_t number = 0;
  for (const StopOrder& stop : stops.stops)
    this->scheduler.OnEnded(
        stop.vm, {++number, stop.task, stop.run, RunOutcome::kStopped, ""},
        this->now);
  const Orders starts = this->Plan();
  ASSERT_FALSE(starts.starts.empty());
  EXPECT_EQ(starts.starts[0].task.submission, "00000000000000b2");
}

// Guards against preempting tasks for a task that may not run on that VM: its
// step's permit for the VM is pending or denied.
TEST_F(SchedulerTest, NothingIsPreemptedWhereATaskHasNoPermit) {
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(4, 1000)}));
  ASSERT_EQ(this->Plan().starts.size(), 4u);
  FleetPolicy policy = MakePolicy();
  policy.version += 1;
  Queue restricted = policy.queues.front();
  restricted.name = "restricted";
  restricted.advice.required = true;
  policy.queues.push_back(restricted);
  this->scheduler.SetPolicy(policy);
  Step long_step = MakeStep(1, 1500);
  long_step.long_running = true;
  Submission submission = MakeSubmission("00000000000000b2", {long_step});
  submission.queue = restricted.name;
  this->Add(submission);
  const Orders asked = this->Plan();
  EXPECT_TRUE(asked.stops.empty());
  ASSERT_EQ(asked.queries.size(), 1u);
  this->scheduler.OnPermits(asked.queries[0], {},
                            this->now + absl::Seconds(30));
  EXPECT_TRUE(this->Plan().stops.empty());
}

// Guards against tasks that wait 12 s after a takeover for a VM that is gone
// (vardu-klasteris mix 935163144596), and against lowering the deadline of this
// planner's own grants.
TEST_F(SchedulerTest, AShorterDeadlineOfInheritedGrantsIsApplied) {
  this->scheduler.ExpectWorker("vm-1", this->now + absl::Seconds(12));
  this->scheduler.ExpectWorker("vm-2", this->now + absl::Seconds(12));
  this->scheduler.ExtendGrant("vm-2", this->now + absl::Seconds(9));
  this->scheduler.LimitInheritedGrants(this->now + absl::Seconds(7));
  this->now += absl::Seconds(8);
  this->scheduler.ExpireGrants(this->now);
  EXPECT_EQ(this->scheduler.UnresolvedCount(), 1u);
  this->now += absl::Seconds(2);
  this->scheduler.ExpireGrants(this->now);
  EXPECT_EQ(this->scheduler.UnresolvedCount(), 0u);
}

}  // namespace
}  // namespace cuminjunction
