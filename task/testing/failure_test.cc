#include <gtest/gtest.h>

#include "task/testing/schedule.h"
#include "task/testing/world.h"

namespace cuminjunction {
namespace {

// Each test drives a whole world through one failure; the world's checker looks
// at the promises at every step.
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

  static World MakeWorld(int workers, int planners) {
    return World({.workers = workers, .planners = planners});
  }

  // Runs until the task is in the state.
  static testing::AssertionResult RunUntil(World* world,
                                           const std::string& task,
                                           TaskState state) {
    for (int i = 0; i < 400; ++i) {
      const TaskRow* row = world->FindTask(task);
      if (row != nullptr && row->state == state)
        return testing::AssertionSuccess();
      world->Step();
    }
    const TaskRow* row = world->FindTask(task);
    return testing::AssertionFailure()
           << task << " is " << (row ? ToString(row->state) : "absent");
  }

  // Index of the worker that runs the task, or -1.
  static int RunningOn(const World& world, const std::string& task) {
    for (size_t i = 0; i < world.workers.size(); ++i) {
      for (const TaskStart& start : world.workers[i]->runtime->Running()) {
        if (start.task == task)
          return static_cast<int>(i);
      }
    }
    return -1;
  }

  static void RunUntilRunning(World* world, const std::string& task) {
    for (int i = 0; i < 100 && RunningOn(*world, task) < 0; ++i)
      world->Step();
    ASSERT_GE(RunningOn(*world, task), 0);
  }

  static size_t Executions(const World& world) {
    size_t count = 0;
    for (const auto& worker : world.workers)
      count += worker->runtime->Executions().size();
    return count;
  }

  static void ExpectKept(const World& world) {
    EXPECT_EQ(world.checker.Broken(), std::vector<std::string>());
  }
};

// Guards against a planner that repeats a placement, an agent that repeats a
// report, and a lease that ends, because a reply was lost after the commit.
TEST_F(FailureTest, RepliesLostAfterTheCommit) {
  World world = MakeWorld(2, 1);
  world.SetDocument(OneJob());
  for (auto& planner : world.planners)
    planner->table->lost_replies = 20;
  for (auto& worker : world.workers)
    worker->table->lost_replies = 20;
  ASSERT_TRUE(RunUntil(&world, "job.1.0", TaskState::kFinished));
  EXPECT_EQ(Executions(world), 1u);
  EXPECT_EQ(world.FindTask("job.1.0")->attempt, 1u);
  ExpectKept(world);
}

// Guards against two planners that both place on what one worker has free.
TEST_F(FailureTest, TwoPlannersOnOneWorker) {
  World world = MakeWorld(1, 2);
  Document document = OneJob();
  document.jobs["job"].count = 9;
  document.jobs["job"].size.millicores = 1900;
  world.SetDocument(document);
  ASSERT_TRUE(RunUntil(&world, "job.1.8", TaskState::kFinished));
  world.Run(absl::Seconds(100));
  EXPECT_EQ(Executions(world), 9u);
  ExpectKept(world);
}

// P2: guards against a task that moves while its paused agent's runtime still
// runs it, and against one that never moves.
TEST_F(FailureTest, AgentPausedPastItsLease) {
  World world = MakeWorld(2, 2);
  world.SetDocument(OneJob(JobKind::kWatcher));
  world.run = [](const TaskStart&) {
    return std::pair(absl::Hours(1000), AttemptEnd::kSucceeded);
  };
  RunUntilRunning(&world, "job.1.0");
  const int first = RunningOn(world, "job.1.0");
  World::AgentProcess* paused = world.workers[first].get();
  paused->paused_until = world.clock.Now() + absl::Seconds(120);
  world.Run(absl::Seconds(55));
  EXPECT_EQ(RunningOn(world, "job.1.0"), first);
  world.Run(absl::Seconds(30));
  EXPECT_EQ(RunningOn(world, "job.1.0"), 1 - first);
  world.Run(absl::Seconds(100));
  EXPECT_EQ(RunningOn(world, "job.1.0"), 1 - first);
  EXPECT_EQ(world.checker.Workers().at(paused->name).state,
            WorkerState::kReady);
  EXPECT_EQ(world.checker.Workers().at(paused->name).epoch, 3u);
  ExpectKept(world);
}

// Guards against a mass eviction when the store returns: an outage of several
// leases must not fence any worker, and replicas run on.
TEST_F(FailureTest, LeasesLapseDuringAnOutage) {
  World world = MakeWorld(3, 2);
  world.SetDocument(ScheduleDocument(0));
  world.Run(absl::Seconds(20));
  const int replica = RunningOn(world, "check.1.0");
  ASSERT_GE(replica, 0);
  world.outage_until = world.clock.Now() + absl::Seconds(200);
  world.Run(absl::Seconds(199));
  EXPECT_EQ(RunningOn(world, "check.1.0"), replica);
  EXPECT_LT(RunningOn(world, "watch.1.0"), 0);
  world.Run(absl::Seconds(100));
  EXPECT_GE(RunningOn(world, "watch.1.0"), 0);
  EXPECT_EQ(RunningOn(world, "check.1.0"), replica);
  for (const auto& [id, worker] : world.checker.Workers())
    EXPECT_EQ(worker.epoch, 1u) << id;
  ExpectKept(world);
}

// P3: guards against evicted work that is lost, or resumes twice, when the VM
// fails before or after the checkpoint was recorded.
TEST_F(FailureTest, WorkerKilledBeforeAndAfterACheckpoint) {
  for (const bool recorded : {false, true}) {
    World world = MakeWorld(2, 2);
    world.SetDocument(OneJob());
    RunUntilRunning(&world, "job.1.0");
    World::AgentProcess* worker =
        world.workers[RunningOn(world, "job.1.0")].get();
    ASSERT_TRUE(world.MakeOperator().DrainWorker(worker->name));
    // The report of the eviction does not get through.
    worker->table->failing_calls = recorded ? 0 : 1000;
    const TaskState reached =
        recorded ? TaskState::kStopped : TaskState::kCheckpointing;
    ASSERT_TRUE(RunUntil(&world, "job.1.0", reached));
    world.Step();
    world.Reboot(worker, absl::Seconds(5));
    ASSERT_TRUE(RunUntil(&world, "job.1.0", TaskState::kFinished));
    EXPECT_EQ(Executions(world), 2u);
    EXPECT_EQ(world.FindTask("job.1.0")->resume_object,
              recorded ? "checkpoint/job.1.0/1" : "");
    ExpectKept(world);
  }
}

// Guards against a cancelled task that starts, finishes or resumes: the
// cancellation is committed while a process is in the middle of that step.
TEST_F(FailureTest, CancellationRacesEachStep) {
  for (int calls = 0; calls < 12; ++calls) {
    for (const int at : {2, 20, 32, 40}) {
      World world = MakeWorld(1, 1);
      world.SetDocument(OneJob());
      bool cancelled = false;
      world.before_step = [&](int step) {
        if (step == 15)
          (void)world.MakeOperator().DrainWorker("w1");
        if (step == 25)
          (void)world.MakeOperator().ReadmitWorker("w1");
        if (step == at) {
          for (World::Process* process :
               {static_cast<World::Process*>(world.workers[0].get()),
                static_cast<World::Process*>(world.planners[0].get())}) {
            process->calls_to_pause = calls;
            process->call_pause = absl::Seconds(4);
          }
        }
        if (step == at + 3)
          cancelled =
              world.MakeOperator().CancelTask("job.1.0", "").has_value();
      };
      world.Run(absl::Seconds(150));
      const TaskRow* task = world.FindTask("job.1.0");
      ASSERT_NE(task, nullptr);
      if (cancelled)
        EXPECT_EQ(task->state, TaskState::kCancelled);
      else
        EXPECT_EQ(task->state, TaskState::kFinished);
      EXPECT_FALSE(task->HoldsCapacity());
      EXPECT_LT(RunningOn(world, "job.1.0"), 0);
      ExpectKept(world);
    }
  }
}

// Guards against work that starts although what it needs has failed, and
// against work that waits for ever without a reason.
TEST_F(FailureTest, FailedDependencyParksWhatWaitsForIt) {
  World world = MakeWorld(2, 1);
  Document document = OneJob();
  document.jobs["after"] = {
      "after", "a",  JobKind::kBatch, {1000, 100, 0}, Urgency::kNormal, {"job"},
      1,       "run"};
  bool fails = true;
  world.run = [&](const TaskStart&) {
    return std::pair(absl::Seconds(1),
                     fails ? AttemptEnd::kFailed : AttemptEnd::kSucceeded);
  };
  world.SetDocument(document);
  ASSERT_TRUE(RunUntil(&world, "after.1.0", TaskState::kParked));
  EXPECT_EQ(world.FindTask("after.1.0")->park_reason,
            ParkReason::kDependencyFailed);
  EXPECT_EQ(world.FindTask("after.1.0")->reason, "dependency job failed");
  EXPECT_EQ(world.FindTask("job.1.0")->state, TaskState::kParked);
  EXPECT_EQ(Executions(world), 5u);
  fails = false;
  ASSERT_TRUE(world.MakeOperator().RetryTask("job.1.0"));
  ASSERT_TRUE(RunUntil(&world, "after.1.0", TaskState::kFinished));
  ExpectKept(world);
}

// Guards against placements over a quota, also when it is lowered below what is
// in use, and against the eviction of what runs.
TEST_F(FailureTest, QuotaLoweredBelowTheUse) {
  World world = MakeWorld(2, 2);
  Document document = OneJob();
  document.jobs["job"].count = 4;
  document.accounts["a"].quota = {2000, 1000, 0};
  world.SetDocument(document);
  RunUntilRunning(&world, "job.1.1");
  document.accounts["a"].quota = {1000, 1000, 0};
  world.SetDocument(document);
  world.Run(absl::Seconds(10));
  EXPECT_GE(RunningOn(world, "job.1.0"), 0);
  EXPECT_GE(RunningOn(world, "job.1.1"), 0);
  world.Run(absl::Seconds(30));
  EXPECT_GE(RunningOn(world, "job.1.2"), 0);
  EXPECT_LT(RunningOn(world, "job.1.3"), 0);
  const auto why = world.planners[0]->planner->Explain("job.1.3");
  ASSERT_TRUE(why);
  EXPECT_NE(why.value().why.find("quota of a is used up"), std::string::npos)
      << why.value().why;
  ASSERT_TRUE(RunUntil(&world, "job.1.3", TaskState::kFinished));
  ExpectKept(world);
}

// Guards against a job that waits silently although no worker can ever hold it,
// and against one that stays parked after a larger worker has come.
TEST_F(FailureTest, JobThatNoWorkerCanHoldIsReportedAtOnce) {
  World world = MakeWorld(2, 1);
  Document document = OneJob();
  document.jobs["job"].size = {5000, 100, 0};
  world.SetDocument(document);
  for (int i = 0; i < 10; ++i)
    world.Step();
  ASSERT_NE(world.FindTask("job.1.0"), nullptr);
  EXPECT_EQ(world.FindTask("job.1.0")->state, TaskState::kParked);
  EXPECT_EQ(world.FindTask("job.1.0")->park_reason, ParkReason::kNoWorkerFits);
  Batch batch(&world.charts, "test");
  const WorkerRow large = MakeWorkerRow("large", {8000, 8000, 0});
  ASSERT_TRUE(Register({large, 0}, large, world.clock.Now(), &batch));
  ASSERT_TRUE(world.table.Commit(batch.ToTransaction()));
  ASSERT_TRUE(RunUntil(&world, "job.1.0", TaskState::kStarting));
  EXPECT_EQ(world.FindTask("job.1.0")->worker, "large");
}

// Guards against work that a drained worker keeps, replicas that stop before
// their replacements run, and batch work that loses its progress.
TEST_F(FailureTest, DrainMovesEverythingAway) {
  World world = MakeWorld(3, 2);
  Document document = ScheduleDocument(0);
  world.SetDocument(document);
  world.Run(absl::Seconds(20));
  const int drained = RunningOn(world, "check.1.0");
  ASSERT_GE(drained, 0);
  const std::string name = world.workers[drained]->name;
  ASSERT_TRUE(world.MakeOperator().DrainWorker(name));
  for (int i = 0; i < 60; ++i) {
    world.Step();
    int replicas = 0;
    for (const auto& worker : world.workers) {
      for (const TaskStart& start : worker->runtime->Running())
        replicas += start.job == "check" ? 1 : 0;
    }
    EXPECT_GE(replicas, 2);
  }
  EXPECT_TRUE(world.workers[drained]->runtime->Running().empty());
  EXPECT_TRUE(world.checker.Workers().at(name).assignments.empty());
  ExpectKept(world);
}

// Guards against urgent work that waits behind a fleet full of batch work, and
// against evictions without end: a worker's batch task makes room once.
TEST_F(FailureTest, UrgentWorkEvictsBatchWork) {
  World world = MakeWorld(1, 1);
  world.run = [](const TaskStart& start) {
    return std::pair(
        start.job == "urgent" ? absl::Seconds(20) : absl::Seconds(300),
        AttemptEnd::kSucceeded);
  };
  Document document = OneJob();
  document.jobs["job"].urgency = Urgency::kBatch;
  document.jobs["job"].count = 4;
  world.SetDocument(document);
  RunUntilRunning(&world, "job.1.3");
  document.jobs["urgent"] = {
      "urgent", "a",  JobKind::kBatch, {1000, 100, 0}, Urgency::kUrgent, {},
      1,        "run"};
  world.SetDocument(document);
  ASSERT_TRUE(RunUntil(&world, "urgent.1.0", TaskState::kStarting));
  uint32_t evictions = 0;
  for (const auto& [id, task] : world.checker.Tasks())
    evictions += task.evictions;
  EXPECT_EQ(evictions, 1u);
  ASSERT_TRUE(RunUntil(&world, "urgent.1.0", TaskState::kFinished));
  world.Run(absl::Seconds(600));
  EXPECT_EQ(Executions(world), 6u);
  ExpectKept(world);
}

// Guards against tasks of a removed job that run on, and against ids that are
// used twice when it is declared again.
TEST_F(FailureTest, RemovedJobIsCancelledAndComesBackUnderNewIds) {
  World world = MakeWorld(2, 2);
  world.SetDocument(OneJob(JobKind::kWatcher));
  RunUntilRunning(&world, "job.1.0");
  Document empty = OneJob();
  empty.jobs.clear();
  world.SetDocument(empty);
  world.Run(absl::Seconds(30));
  EXPECT_LT(RunningOn(world, "job.1.0"), 0);
  EXPECT_EQ(world.FindTask("job.1.0"), nullptr);
  world.SetDocument(OneJob());
  ASSERT_TRUE(RunUntil(&world, "job.2.0", TaskState::kFinished));
  ExpectKept(world);
}

// Guards against a stop that loses work, and a job that does not come back.
TEST_F(FailureTest, StoppedJobIsParkedWithItsProgress) {
  World world = MakeWorld(2, 1);
  world.SetDocument(OneJob());
  RunUntilRunning(&world, "job.1.0");
  ASSERT_TRUE(world.MakeOperator().SetStopped("job", true));
  ASSERT_TRUE(RunUntil(&world, "job.1.0", TaskState::kParked));
  world.Run(absl::Seconds(30));
  EXPECT_EQ(world.FindTask("job.1.0")->state, TaskState::kParked);
  EXPECT_EQ(world.FindTask("job.1.0")->park_reason, ParkReason::kOperator);
  ASSERT_TRUE(world.MakeOperator().SetStopped("job", false));
  ASSERT_TRUE(RunUntil(&world, "job.1.0", TaskState::kFinished));
  EXPECT_EQ(world.FindTask("job.1.0")->resume_object, "checkpoint/job.1.0/1");
  ExpectKept(world);
}

// Guards against placements that take the store's first writes after an outage
// from the leases' renewals.
TEST_F(FailureTest, AfterAnOutageRenewalsGoBeforePlacements) {
  World world = MakeWorld(2, 1);
  world.SetDocument(OneJob());
  world.Run(absl::Seconds(10));
  Document document = OneJob();
  document.jobs["late"] = {
      "late", "a",  JobKind::kBatch, {1000, 100, 0}, Urgency::kUrgent, {},
      1,      "run"};
  // One agent is slow to come back.
  world.outage_until = world.clock.Now() + absl::Seconds(20);
  world.workers[0]->paused_until = world.clock.Now() + absl::Seconds(24);
  world.SetDocument(document);
  bool placed_before_renewal = false;
  const uint64_t sequence = world.checker.Workers().at("w1").sequence;
  for (int i = 0; i < 40; ++i) {
    world.Step();
    const TaskRow* late = world.FindTask("late.1.0");
    const bool renewed = world.checker.Workers().at("w1").sequence > sequence;
    if (late != nullptr && late->IsPlaced() && !renewed)
      placed_before_renewal = true;
  }
  EXPECT_FALSE(placed_before_renewal);
  ASSERT_TRUE(RunUntil(&world, "late.1.0", TaskState::kFinished));
}

}  // namespace
}  // namespace cuminjunction
