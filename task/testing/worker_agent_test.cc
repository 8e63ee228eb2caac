#include "task/worker_agent.h"

#include <gtest/gtest.h>

#include "task/operate.h"
#include "task/testing/fake_runtime.h"
#include "task/testing/faulty_table.h"
#include "task/testing/rows.h"

namespace cuminjunction {
namespace {

using Agent = WorkerAgent<FaultyTable, FakeRuntime, ManualClock, ManualClock>;

// One agent without planners: the test writes the assignments.
class WorkerAgentTest : public testing::Test {
 protected:
  WorkerAgentTest() { this->Restart(); }

  // Replaces the agent by one of a new process.
  void Restart() {
    WorkerAgentOptions options;
    options.declared = MakeWorkerRow("w1", {4000, 8192, 0});
    options.process = StrCat(++this->processes);
    this->agent =
        std::make_unique<Agent>(options, &this->charts, &this->table,
                                &this->runtime, &this->clock, &this->clock);
  }

  void TickAfter(absl::Duration wait) {
    this->clock.Advance(wait);
    this->runtime.Advance();
    this->agent->Tick();
  }

  WorkerEntry Worker() { return ReadWorker(&this->rows, "w1"); }
  TaskEntry Task(const std::string& id) { return ReadTask(&this->rows, id); }

  template <class F>
  void Commit(F step) {
    Batch batch(&this->charts, StrCat("test/", ++this->transactions));
    ASSERT_TRUE(step(&batch));
    ASSERT_TRUE(this->rows.Commit(batch.ToTransaction()));
  }

  // Creates a task and assigns it.
  void Assign(const std::string& id, TaskKind kind) {
    this->Commit([&](Batch* batch) {
      return CreateTask(MakeTaskRow(id, kind, 1000), batch);
    });
    this->AssignAgain(id);
  }
  void AssignAgain(const std::string& id) {
    this->Commit([&](Batch* batch) {
      return Place(this->Task(id), this->Worker(), this->clock.Now(),
                   PlaceMode::kNormal, batch);
    });
    this->agent->NotifyRowChanged();
  }

  // Fences the worker and releases its tasks, as a planner does when a lease
  // has expired.
  void FenceAndRelease(const std::vector<std::string>& tasks) {
    this->Commit([&](Batch* batch) -> Status {
      const WorkerEntry worker = this->Worker();
      BOOST_OUTCOME_TRY(Fence(worker, worker.row.sequence, batch));
      for (const std::string& id : tasks) {
        BOOST_OUTCOME_TRY(ReleaseLost(this->Task(id), worker, batch));
      }
      return Ok();
    });
  }

  const TaskCharts charts = LoadTestCharts();
  ManualClock clock{FromMicros(1'000'000'000'000)};
  MemoryTable rows;
  FaultyTable table{&this->rows};
  FakeRuntime runtime{"w1", [this] { return this->clock.Now(); },
                      [](const TaskStart&) {
                        return std::pair(absl::Hours(100),
                                         AttemptEnd::kSucceeded);
                      }};
  std::unique_ptr<Agent> agent;
  int processes = 0;
  int transactions = 0;
};

// P2: guards against a stop deadline that is extended for a renewal that may
// not be committed, and against one that is not extended when the commit
// succeeded but its reply was lost.
TEST_F(WorkerAgentTest, DeadlineIsExtendedOnlyAfterAKnownCommit) {
  this->TickAfter(absl::Seconds(1));
  const absl::Time first = *this->runtime.Deadline();
  EXPECT_EQ(first, this->clock.Now() + absl::Seconds(600));
  // The renewal is committed only after the agent got an unknown outcome.
  std::vector<Transaction> late;
  this->table.delay = [&](const Transaction& one) { late.push_back(one); };
  this->table.late_commits = 1;
  this->TickAfter(absl::Seconds(20));
  EXPECT_EQ(late.size(), 1u);
  EXPECT_EQ(*this->runtime.Deadline(), first);
  const absl::Time sent_at = this->clock.Now();
  ASSERT_TRUE(this->rows.Commit(late[0]));
  this->TickAfter(absl::Seconds(5));
  EXPECT_EQ(*this->runtime.Deadline(), sent_at + absl::Seconds(600));
}

// Guards against renewals that are too rare or too frequent.
TEST_F(WorkerAgentTest, RenewsEveryTwentySeconds) {
  this->TickAfter(absl::Seconds(1));
  const uint64_t before = this->Worker().row.sequence;
  for (int i = 0; i < 200; ++i)
    this->TickAfter(absl::Seconds(1));
  EXPECT_EQ(this->Worker().row.sequence, before + 10);
}

// P1: guards against a registration under a new epoch, with no assignments,
// while a replica of the old epoch still runs on the VM.
TEST_F(WorkerAgentTest, RegistersOnlyWhenNothingRuns) {
  this->TickAfter(absl::Seconds(1));
  this->Assign("replica", TaskKind::kReplica);
  this->TickAfter(absl::Seconds(1));
  ASSERT_EQ(this->runtime.Running().size(), 1u);
  this->FenceAndRelease({"replica"});
  this->runtime.stops_fail = true;
  this->TickAfter(absl::Seconds(20));
  EXPECT_EQ(this->Worker().row.state, WorkerState::kFenced);
  this->runtime.stops_fail = false;
  this->TickAfter(absl::Seconds(20));
  EXPECT_EQ(this->Worker().row.state, WorkerState::kReady);
  EXPECT_EQ(this->Worker().row.epoch, 3u);
  EXPECT_TRUE(this->runtime.Running().empty());
}

// Guards against an agent restart that stops running attempts or starts them a
// second time.
TEST_F(WorkerAgentTest, RestartedAgentAdoptsRunningAttempts) {
  this->TickAfter(absl::Seconds(1));
  this->Assign("task", TaskKind::kBatch);
  this->TickAfter(absl::Seconds(1));
  this->Restart();
  this->TickAfter(absl::Seconds(1));
  EXPECT_EQ(this->Worker().row.epoch, 1u);
  EXPECT_EQ(this->runtime.Running().size(), 1u);
  EXPECT_EQ(this->runtime.Executions().size(), 1u);
}

// Guards against old attempts that are released only when the lease expires: a
// new boot id proves that they have ended.
TEST_F(WorkerAgentTest, NewBootIdStartsANewEpoch) {
  this->TickAfter(absl::Seconds(1));
  this->Assign("task", TaskKind::kBatch);
  this->TickAfter(absl::Seconds(1));
  this->runtime.Reboot();
  this->TickAfter(absl::Seconds(1));
  EXPECT_EQ(this->Worker().row.epoch, 2u);
  // The old attempt is not started again.
  EXPECT_TRUE(this->runtime.Running().empty());
  this->Commit([&](Batch* batch) {
    return ReleaseLost(this->Task("task"), this->Worker(), batch);
  });
  this->AssignAgain("task");
  this->TickAfter(absl::Seconds(1));
  ASSERT_EQ(this->runtime.Running().size(), 1u);
  EXPECT_EQ(this->runtime.Running()[0].attempt, 2u);
}

// P3: guards against a task that gets the output of an attempt whose worker was
// fenced before the attempt ended.
TEST_F(WorkerAgentTest, OutputOfAFencedAttemptIsDropped) {
  this->TickAfter(absl::Seconds(1));
  this->Assign("task", TaskKind::kBatch);
  this->TickAfter(absl::Seconds(1));
  this->table.failing_calls = 1;
  this->FenceAndRelease({"task"});
  this->clock.Advance(absl::Hours(101));
  this->runtime.Advance();
  for (int i = 0; i < 5; ++i)
    this->TickAfter(absl::Seconds(5));
  EXPECT_EQ(this->Task("task").row.state, TaskState::kPending);
  EXPECT_EQ(this->Task("task").row.output_object, "");
  EXPECT_TRUE(this->runtime.List().value().ended.empty());
}

// Guards against an eviction that never completes because checkpoints fail.
TEST_F(WorkerAgentTest, EvictionStopsAfterFailedCheckpoints) {
  this->TickAfter(absl::Seconds(1));
  this->Assign("task", TaskKind::kBatch);
  this->TickAfter(absl::Seconds(1));
  this->runtime.checkpoints_fail = true;
  this->Commit([&](Batch* batch) {
    return Evict(this->Task("task"), this->Worker(), "test", batch);
  });
  this->agent->NotifyRowChanged();
  this->TickAfter(absl::Seconds(1));
  EXPECT_EQ(this->Task("task").row.state, TaskState::kCheckpointing);
  for (int i = 0; i < 4; ++i)
    this->TickAfter(absl::Seconds(2));
  EXPECT_EQ(this->Task("task").row.state, TaskState::kStopped);
  EXPECT_EQ(this->Worker().row.Committed(), Size());
}

// Guards against a cancelled attempt that holds its capacity forever because it
// never started and the runtime has no record of it.
TEST_F(WorkerAgentTest, CancelledBeforeTheStartIsReleased) {
  this->TickAfter(absl::Seconds(1));
  this->Assign("task", TaskKind::kBatch);
  this->Commit([&](Batch* batch) {
    const WorkerEntry worker = this->Worker();
    return Cancel(this->Task("task"), &worker, "test", batch);
  });
  this->TickAfter(absl::Seconds(1));
  EXPECT_EQ(this->Worker().row.Committed(), Size());
  EXPECT_TRUE(this->runtime.Executions().empty());
}

// Guards against a changed assignment that the agent never reads because the
// notification was lost, and against a processor share that is not passed to
// the runtime.
TEST_F(WorkerAgentTest, PollsWithoutANotificationAndThrottles) {
  this->TickAfter(absl::Seconds(1));
  this->Assign("task", TaskKind::kBatch);
  this->TickAfter(absl::Seconds(1));
  this->Commit([&](Batch* batch) {
    return Throttle(this->Task("task"), this->Worker(), 40, batch);
  });
  for (int i = 0; i < 10; ++i)
    this->TickAfter(absl::Seconds(1));
  EXPECT_EQ(this->runtime.List().value().running[0].throttle, 0.4);
}

}  // namespace
}  // namespace cuminjunction
