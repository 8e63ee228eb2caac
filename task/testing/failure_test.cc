#include <gtest/gtest.h>

#include "task/testing/schedule.h"
#include "task/testing/simulated_cluster.h"

namespace cuminjunction {
namespace {

// Each test runs a simulated cluster through one failure. The cluster checks
// the invariants P1, P2 and P3 at every step.
class FailureTest : public testing::Test {
 protected:
  // Declares one batch task, "job.1.0", with a run time of 30 s.
  static Document OneJob(JobKind kind = JobKind::kBatch) {
    Document document;
    document.accounts["a"] = {"a", 1, {100000, 100000, 10}};
    document.jobs["job"] = {"job", "a", kind, {1000, 100, 0}, Urgency::kNormal,
                            {},    1,   "run"};
    return document;
  }

  static SimulatedCluster MakeCluster(int workers, int planners) {
    return SimulatedCluster({.workers = workers, .planners = planners});
  }

  // Runs until the task is in the state.
  static testing::AssertionResult RunUntil(SimulatedCluster* cluster,
                                           const std::string& task,
                                           TaskState state) {
    for (int i = 0; i < 400; ++i) {
      const TaskRow* row = cluster->FindTask(task);
      if (row != nullptr && row->state == state)
        return testing::AssertionSuccess();
      cluster->Step();
    }
    const TaskRow* row = cluster->FindTask(task);
    return testing::AssertionFailure()
           << task << " is " << (row ? ToString(row->state) : "absent");
  }

  // Returns the index of the worker that runs the task, or -1.
  static int FindRunningWorker(const SimulatedCluster& cluster,
                               const std::string& task) {
    for (size_t i = 0; i < cluster.workers.size(); ++i) {
      for (const TaskStart& start : cluster.workers[i]->runtime->Running()) {
        if (start.task == task)
          return static_cast<int>(i);
      }
    }
    return -1;
  }

  static void RunUntilRunning(SimulatedCluster* cluster,
                              const std::string& task) {
    for (int i = 0; i < 100 && FindRunningWorker(*cluster, task) < 0; ++i)
      cluster->Step();
    ASSERT_GE(FindRunningWorker(*cluster, task), 0);
  }

  static size_t Executions(const SimulatedCluster& cluster) {
    size_t count = 0;
    for (const auto& worker : cluster.workers)
      count += worker->runtime->Executions().size();
    return count;
  }

  static void ExpectNoViolations(const SimulatedCluster& cluster) {
    EXPECT_EQ(cluster.checker.Violations(), std::vector<std::string>());
  }
};

// Guards against a planner that repeats a placement, an agent that repeats a
// report, and a lease that expires, all because the reply to a commit was lost.
TEST_F(FailureTest, RepliesLostAfterTheCommit) {
  SimulatedCluster cluster = MakeCluster(2, 1);
  cluster.SetDocument(OneJob());
  for (auto& planner : cluster.planners)
    planner->table->lost_replies = 20;
  for (auto& worker : cluster.workers)
    worker->table->lost_replies = 20;
  ASSERT_TRUE(RunUntil(&cluster, "job.1.0", TaskState::kFinished));
  EXPECT_EQ(Executions(cluster), 1u);
  EXPECT_EQ(cluster.FindTask("job.1.0")->attempt, 1u);
  ExpectNoViolations(cluster);
}

// Guards against two planners that both use the same free capacity of a worker.
TEST_F(FailureTest, TwoPlannersOnOneWorker) {
  SimulatedCluster cluster = MakeCluster(1, 2);
  Document document = OneJob();
  document.jobs["job"].count = 9;
  document.jobs["job"].size.millicores = 1900;
  cluster.SetDocument(document);
  ASSERT_TRUE(RunUntil(&cluster, "job.1.8", TaskState::kFinished));
  cluster.Run(absl::Seconds(100));
  EXPECT_EQ(Executions(cluster), 9u);
  ExpectNoViolations(cluster);
}

// P2: guards against a task of a paused agent that starts on another worker
// while the old runtime still runs it, and against one that is never moved.
TEST_F(FailureTest, AgentPausedPastItsLease) {
  SimulatedCluster cluster = MakeCluster(2, 2);
  cluster.SetDocument(OneJob(JobKind::kWatcher));
  cluster.plan_execution = [](const TaskStart&) {
    return std::pair(absl::Hours(1000), AttemptEnd::kSucceeded);
  };
  RunUntilRunning(&cluster, "job.1.0");
  const int first = FindRunningWorker(cluster, "job.1.0");
  SimulatedCluster::AgentProcess* paused = cluster.workers[first].get();
  paused->paused_until = cluster.clock.Now() + absl::Seconds(120);
  cluster.Run(absl::Seconds(55));
  EXPECT_EQ(FindRunningWorker(cluster, "job.1.0"), first);
  cluster.Run(absl::Seconds(30));
  EXPECT_EQ(FindRunningWorker(cluster, "job.1.0"), 1 - first);
  cluster.Run(absl::Seconds(100));
  EXPECT_EQ(FindRunningWorker(cluster, "job.1.0"), 1 - first);
  EXPECT_EQ(cluster.checker.Workers().at(paused->name).state,
            WorkerState::kReady);
  EXPECT_EQ(cluster.checker.Workers().at(paused->name).epoch, 3u);
  ExpectNoViolations(cluster);
}

// Guards against the fencing of all workers when the store returns from an
// outage that lasted several lease periods. No worker may be fenced, and
// replicas must continue to run.
TEST_F(FailureTest, LeasesExpireDuringAnOutage) {
  SimulatedCluster cluster = MakeCluster(3, 2);
  cluster.SetDocument(ScheduleDocument(0));
  cluster.Run(absl::Seconds(20));
  const int replica = FindRunningWorker(cluster, "check.1.0");
  ASSERT_GE(replica, 0);
  cluster.outage_until = cluster.clock.Now() + absl::Seconds(200);
  cluster.Run(absl::Seconds(199));
  EXPECT_EQ(FindRunningWorker(cluster, "check.1.0"), replica);
  EXPECT_LT(FindRunningWorker(cluster, "watch.1.0"), 0);
  cluster.Run(absl::Seconds(100));
  EXPECT_GE(FindRunningWorker(cluster, "watch.1.0"), 0);
  EXPECT_EQ(FindRunningWorker(cluster, "check.1.0"), replica);
  for (const auto& [id, worker] : cluster.checker.Workers())
    EXPECT_EQ(worker.epoch, 1u) << id;
  ExpectNoViolations(cluster);
}

// P3: guards against evicted work that is lost or resumes twice because the VM
// fails before or after the checkpoint is recorded in the task row.
TEST_F(FailureTest, WorkerKilledBeforeAndAfterACheckpoint) {
  for (const bool recorded : {false, true}) {
    SimulatedCluster cluster = MakeCluster(2, 2);
    cluster.SetDocument(OneJob());
    RunUntilRunning(&cluster, "job.1.0");
    SimulatedCluster::AgentProcess* worker =
        cluster.workers[FindRunningWorker(cluster, "job.1.0")].get();
    ASSERT_TRUE(cluster.MakeOperator().DrainWorker(worker->name));
    // Calls of the table fail, so the end of the eviction is not reported.
    worker->table->failing_calls = recorded ? 0 : 1000;
    const TaskState reached =
        recorded ? TaskState::kStopped : TaskState::kCheckpointing;
    ASSERT_TRUE(RunUntil(&cluster, "job.1.0", reached));
    cluster.Step();
    cluster.Reboot(worker, absl::Seconds(5));
    ASSERT_TRUE(RunUntil(&cluster, "job.1.0", TaskState::kFinished));
    EXPECT_EQ(Executions(cluster), 2u);
    EXPECT_EQ(cluster.FindTask("job.1.0")->resume_object,
              recorded ? "checkpoint/job.1.0/1" : "");
    ExpectNoViolations(cluster);
  }
}

// Guards against a cancelled task that starts, finishes or resumes because the
// cancellation is committed while a process is in the middle of that step.
TEST_F(FailureTest, CancellationRacesEachStep) {
  for (int calls = 0; calls < 12; ++calls) {
    for (const int at : {2, 20, 32, 40}) {
      SimulatedCluster cluster = MakeCluster(1, 1);
      cluster.SetDocument(OneJob());
      bool cancelled = false;
      cluster.before_step = [&](int step) {
        if (step == 15)
          (void)cluster.MakeOperator().DrainWorker("w1");
        if (step == 25)
          (void)cluster.MakeOperator().ReadmitWorker("w1");
        if (step == at) {
          for (SimulatedCluster::Process* process :
               {static_cast<SimulatedCluster::Process*>(
                    cluster.workers[0].get()),
                static_cast<SimulatedCluster::Process*>(
                    cluster.planners[0].get())}) {
            process->calls_until_pause = calls;
            process->pause_duration = absl::Seconds(4);
          }
        }
        if (step == at + 3)
          cancelled =
              cluster.MakeOperator().CancelTask("job.1.0", "").has_value();
      };
      cluster.Run(absl::Seconds(150));
      const TaskRow* task = cluster.FindTask("job.1.0");
      ASSERT_NE(task, nullptr);
      if (cancelled)
        EXPECT_EQ(task->state, TaskState::kCancelled);
      else
        EXPECT_EQ(task->state, TaskState::kFinished);
      EXPECT_FALSE(task->HoldsCapacity());
      EXPECT_LT(FindRunningWorker(cluster, "job.1.0"), 0);
      ExpectNoViolations(cluster);
    }
  }
}

// Guards against a task that starts although its dependency has failed, and
// against one that waits forever without a stated reason.
TEST_F(FailureTest, FailedDependencyParksItsDependents) {
  SimulatedCluster cluster = MakeCluster(2, 1);
  Document document = OneJob();
  document.jobs["after"] = {
      "after", "a",  JobKind::kBatch, {1000, 100, 0}, Urgency::kNormal, {"job"},
      1,       "run"};
  bool fails = true;
  cluster.plan_execution = [&](const TaskStart&) {
    return std::pair(absl::Seconds(1),
                     fails ? AttemptEnd::kFailed : AttemptEnd::kSucceeded);
  };
  cluster.SetDocument(document);
  ASSERT_TRUE(RunUntil(&cluster, "after.1.0", TaskState::kParked));
  EXPECT_EQ(cluster.FindTask("after.1.0")->park_reason,
            ParkReason::kDependencyFailed);
  EXPECT_EQ(cluster.FindTask("after.1.0")->reason, "dependency job failed");
  EXPECT_EQ(cluster.FindTask("job.1.0")->state, TaskState::kParked);
  EXPECT_EQ(Executions(cluster), 5u);
  fails = false;
  ASSERT_TRUE(cluster.MakeOperator().RetryTask("job.1.0"));
  ASSERT_TRUE(RunUntil(&cluster, "after.1.0", TaskState::kFinished));
  ExpectNoViolations(cluster);
}

// Guards against placements that exceed a quota, also after it was lowered
// below the usage, and against the eviction of tasks that run already.
TEST_F(FailureTest, QuotaLoweredBelowTheUse) {
  SimulatedCluster cluster = MakeCluster(2, 2);
  Document document = OneJob();
  document.jobs["job"].count = 4;
  document.accounts["a"].quota = {2000, 1000, 0};
  cluster.SetDocument(document);
  RunUntilRunning(&cluster, "job.1.1");
  document.accounts["a"].quota = {1000, 1000, 0};
  cluster.SetDocument(document);
  cluster.Run(absl::Seconds(10));
  EXPECT_GE(FindRunningWorker(cluster, "job.1.0"), 0);
  EXPECT_GE(FindRunningWorker(cluster, "job.1.1"), 0);
  cluster.Run(absl::Seconds(30));
  EXPECT_GE(FindRunningWorker(cluster, "job.1.2"), 0);
  EXPECT_LT(FindRunningWorker(cluster, "job.1.3"), 0);
  const auto why = cluster.planners[0]->planner->Explain("job.1.3");
  ASSERT_TRUE(why);
  EXPECT_NE(why.value().why.find("quota of a is used up"), std::string::npos)
      << why.value().why;
  ASSERT_TRUE(RunUntil(&cluster, "job.1.3", TaskState::kFinished));
  ExpectNoViolations(cluster);
}

// Guards against a job that is not parked although no worker has the capacity
// for it, and against one that stays parked after a larger worker registers.
TEST_F(FailureTest, JobThatNoWorkerCanHoldIsReportedAtOnce) {
  SimulatedCluster cluster = MakeCluster(2, 1);
  Document document = OneJob();
  document.jobs["job"].size = {5000, 100, 0};
  cluster.SetDocument(document);
  for (int i = 0; i < 10; ++i)
    cluster.Step();
  ASSERT_NE(cluster.FindTask("job.1.0"), nullptr);
  EXPECT_EQ(cluster.FindTask("job.1.0")->state, TaskState::kParked);
  EXPECT_EQ(cluster.FindTask("job.1.0")->park_reason,
            ParkReason::kNoWorkerFits);
  Batch batch(&cluster.charts, "test");
  const WorkerRow large = MakeWorkerRow("large", {8000, 8000, 0});
  ASSERT_TRUE(Register({large, 0}, large, cluster.clock.Now(), &batch));
  ASSERT_TRUE(cluster.table.Commit(batch.ToTransaction()));
  ASSERT_TRUE(RunUntil(&cluster, "job.1.0", TaskState::kStarting));
  EXPECT_EQ(cluster.FindTask("job.1.0")->worker, "large");
}

// Guards against tasks that stay on a drained worker, replicas that stop before
// their replacements run, and batch tasks that lose their progress.
TEST_F(FailureTest, DrainMovesEverythingAway) {
  SimulatedCluster cluster = MakeCluster(3, 2);
  Document document = ScheduleDocument(0);
  cluster.SetDocument(document);
  cluster.Run(absl::Seconds(20));
  const int drained = FindRunningWorker(cluster, "check.1.0");
  ASSERT_GE(drained, 0);
  const std::string name = cluster.workers[drained]->name;
  ASSERT_TRUE(cluster.MakeOperator().DrainWorker(name));
  for (int i = 0; i < 60; ++i) {
    cluster.Step();
    int replicas = 0;
    for (const auto& worker : cluster.workers) {
      for (const TaskStart& start : worker->runtime->Running())
        replicas += start.job == "check" ? 1 : 0;
    }
    EXPECT_GE(replicas, 2);
  }
  EXPECT_TRUE(cluster.workers[drained]->runtime->Running().empty());
  EXPECT_TRUE(cluster.checker.Workers().at(name).assignments.empty());
  ExpectNoViolations(cluster);
}

// Guards against an urgent task that waits while batch tasks use the whole
// fleet, and against repeated evictions: one eviction frees enough capacity.
TEST_F(FailureTest, UrgentWorkEvictsBatchWork) {
  SimulatedCluster cluster = MakeCluster(1, 1);
  cluster.plan_execution = [](const TaskStart& start) {
    return std::pair(
        start.job == "urgent" ? absl::Seconds(20) : absl::Seconds(300),
        AttemptEnd::kSucceeded);
  };
  Document document = OneJob();
  document.jobs["job"].urgency = Urgency::kBatch;
  document.jobs["job"].count = 4;
  cluster.SetDocument(document);
  RunUntilRunning(&cluster, "job.1.3");
  document.jobs["urgent"] = {
      "urgent", "a",  JobKind::kBatch, {1000, 100, 0}, Urgency::kUrgent, {},
      1,        "run"};
  cluster.SetDocument(document);
  ASSERT_TRUE(RunUntil(&cluster, "urgent.1.0", TaskState::kStarting));
  uint32_t evictions = 0;
  for (const auto& [id, task] : cluster.checker.Tasks())
    evictions += task.evictions;
  EXPECT_EQ(evictions, 1u);
  ASSERT_TRUE(RunUntil(&cluster, "urgent.1.0", TaskState::kFinished));
  cluster.Run(absl::Seconds(600));
  EXPECT_EQ(Executions(cluster), 6u);
  ExpectNoViolations(cluster);
}

// Guards against tasks that keep running after their job was removed, and
// against task ids that are reused when the job is declared again.
TEST_F(FailureTest, RemovedJobIsCancelledAndComesBackUnderNewIds) {
  SimulatedCluster cluster = MakeCluster(2, 2);
  cluster.SetDocument(OneJob(JobKind::kWatcher));
  RunUntilRunning(&cluster, "job.1.0");
  Document empty = OneJob();
  empty.jobs.clear();
  cluster.SetDocument(empty);
  cluster.Run(absl::Seconds(30));
  EXPECT_LT(FindRunningWorker(cluster, "job.1.0"), 0);
  EXPECT_EQ(cluster.FindTask("job.1.0"), nullptr);
  cluster.SetDocument(OneJob());
  ASSERT_TRUE(RunUntil(&cluster, "job.2.0", TaskState::kFinished));
  ExpectNoViolations(cluster);
}

// Guards against a stopped job that loses its progress or cannot be restarted.
TEST_F(FailureTest, StoppedJobIsParkedWithItsProgress) {
  SimulatedCluster cluster = MakeCluster(2, 1);
  cluster.SetDocument(OneJob());
  RunUntilRunning(&cluster, "job.1.0");
  ASSERT_TRUE(cluster.MakeOperator().SetStopped("job", true));
  ASSERT_TRUE(RunUntil(&cluster, "job.1.0", TaskState::kParked));
  cluster.Run(absl::Seconds(30));
  EXPECT_EQ(cluster.FindTask("job.1.0")->state, TaskState::kParked);
  EXPECT_EQ(cluster.FindTask("job.1.0")->park_reason, ParkReason::kOperator);
  ASSERT_TRUE(cluster.MakeOperator().SetStopped("job", false));
  ASSERT_TRUE(RunUntil(&cluster, "job.1.0", TaskState::kFinished));
  EXPECT_EQ(cluster.FindTask("job.1.0")->resume_object, "checkpoint/job.1.0/1");
  ExpectNoViolations(cluster);
}

// Guards against placements that delay lease renewals by using the first writes
// of the store after an outage.
TEST_F(FailureTest, AfterAnOutageRenewalsGoBeforePlacements) {
  SimulatedCluster cluster = MakeCluster(2, 1);
  cluster.SetDocument(OneJob());
  cluster.Run(absl::Seconds(10));
  Document document = OneJob();
  document.jobs["late"] = {
      "late", "a",  JobKind::kBatch, {1000, 100, 0}, Urgency::kUrgent, {},
      1,      "run"};
  // One agent stays paused for 4 s after the outage.
  cluster.outage_until = cluster.clock.Now() + absl::Seconds(20);
  cluster.workers[0]->paused_until = cluster.clock.Now() + absl::Seconds(24);
  cluster.SetDocument(document);
  bool placed_before_renewal = false;
  const uint64_t sequence = cluster.checker.Workers().at("w1").sequence;
  for (int i = 0; i < 40; ++i) {
    cluster.Step();
    const TaskRow* late = cluster.FindTask("late.1.0");
    const bool renewed = cluster.checker.Workers().at("w1").sequence > sequence;
    if (late != nullptr && late->IsPlaced() && !renewed)
      placed_before_renewal = true;
  }
  EXPECT_FALSE(placed_before_renewal);
  ASSERT_TRUE(RunUntil(&cluster, "late.1.0", TaskState::kFinished));
}

}  // namespace
}  // namespace cuminjunction
