#include "task/transitions.h"

#include <gtest/gtest.h>

#include "base/time.h"
#include "table/memory_table.h"
#include "task/testing/rows.h"

namespace cuminjunction {
namespace {

const absl::Time kNow = FromMicros(1'000'000);
const RetryPolicy kPolicy;

class TransitionsTest : public testing::Test {
 protected:
  Batch NewBatch() {
    return {&this->charts, StrCat("test/", ++this->transactions)};
  }

  // Commits the batch and expects success.
  void Commit(const Batch& batch) {
    ASSERT_TRUE(this->table.Commit(batch.ToTransaction()));
  }

  TaskEntry Task(const std::string& id) { return ReadTask(&this->table, id); }
  WorkerEntry Worker(const std::string& id) {
    return ReadWorker(&this->table, id);
  }

  // Registers a worker of four cores.
  void AddWorker(const std::string& id) {
    Batch batch = this->NewBatch();
    const WorkerRow declared = MakeWorkerRow(id, {4000, 8192, 0});
    ASSERT_TRUE(Register({declared, 0}, declared, kNow, &batch));
    this->Commit(batch);
  }

  void AddTask(const std::string& id, TaskKind kind, int64_t millicores) {
    Batch batch = this->NewBatch();
    ASSERT_TRUE(CreateTask(MakeTaskRow(id, kind, millicores), &batch));
    this->Commit(batch);
  }

  void PlaceOn(const std::string& task, const std::string& worker) {
    Batch batch = this->NewBatch();
    ASSERT_TRUE(Place(this->Task(task), this->Worker(worker), kNow,
                      PlaceMode::kNormal, &batch));
    this->Commit(batch);
  }

  AttemptRef Ref(const std::string& task, const std::string& worker) {
    return {this->Task(task).row.attempt, this->Worker(worker).row.epoch};
  }

  const TaskCharts charts = LoadTestCharts();
  MemoryTable table;
  int transactions = 0;
};

// P1: guards against one batch placing more than the worker holds.
TEST_F(TransitionsTest, BatchOfPlacementsStaysWithinTheCapacity) {
  this->AddWorker("w1");
  this->AddTask("a", TaskKind::kBatch, 3000);
  this->AddTask("b", TaskKind::kBatch, 3000);
  Batch batch = this->NewBatch();
  EXPECT_TRUE(Place(this->Task("a"), this->Worker("w1"), kNow,
                    PlaceMode::kNormal, &batch));
  EXPECT_EQ(Place(this->Task("b"), this->Worker("w1"), kNow, PlaceMode::kNormal,
                  &batch)
                .error(),
            TransitionError::kNoCapacity);
  EXPECT_EQ(batch.size(), 2u);
}

// P1: guards against two planners that each see free capacity for their own
// task.
TEST_F(TransitionsTest, OfTwoPlannersOnOneWorkerOneGetsAConflict) {
  this->AddWorker("w1");
  this->AddTask("a", TaskKind::kBatch, 3000);
  this->AddTask("b", TaskKind::kBatch, 3000);
  Batch first = this->NewBatch();
  Batch second = this->NewBatch();
  ASSERT_TRUE(Place(this->Task("a"), this->Worker("w1"), kNow,
                    PlaceMode::kNormal, &first));
  ASSERT_TRUE(Place(this->Task("b"), this->Worker("w1"), kNow,
                    PlaceMode::kNormal, &second));
  this->Commit(first);
  EXPECT_EQ(this->table.Commit(second.ToTransaction()).error(),
            TableError::kConflict);
  EXPECT_EQ(this->Task("b").row.state, TaskState::kPending);
}

// P2: guards against a second placement of a task that holds capacity, also
// while its attempt is being checkpointed or stopped.
TEST_F(TransitionsTest, PlacedTaskIsNotPlacedAgain) {
  this->AddWorker("w1");
  this->AddWorker("w2");
  this->AddTask("a", TaskKind::kBatch, 1000);
  this->PlaceOn("a", "w1");
  const auto place = [&] {
    Batch batch = this->NewBatch();
    return Place(this->Task("a"), this->Worker("w2"), kNow, PlaceMode::kNormal,
                 &batch);
  };
  EXPECT_EQ(place().error(), TransitionError::kAlreadyPlaced);
  Batch evict = this->NewBatch();
  ASSERT_TRUE(Evict(this->Task("a"), this->Worker("w1"), "test", &evict));
  this->Commit(evict);
  EXPECT_EQ(place().error(), TransitionError::kAlreadyPlaced);
}

// P3: guards against evicted work that resumes twice, or from the start.
TEST_F(TransitionsTest, EvictedTaskResumesOnceFromItsCheckpoint) {
  this->AddWorker("w1");
  this->AddTask("a", TaskKind::kBatch, 1000);
  this->PlaceOn("a", "w1");
  Batch evict = this->NewBatch();
  ASSERT_TRUE(Evict(this->Task("a"), this->Worker("w1"), "test", &evict));
  this->Commit(evict);
  const AttemptRef ref = this->Ref("a", "w1");
  Batch report = this->NewBatch();
  ASSERT_TRUE(ReportStopped(this->Task("a"), this->Worker("w1"), ref,
                            "checkpoint-1", &report));
  this->Commit(report);
  EXPECT_EQ(this->Task("a").row.state, TaskState::kStopped);
  this->PlaceOn("a", "w1");
  EXPECT_EQ(this->Task("a").row.state, TaskState::kResumed);
  EXPECT_EQ(this->Task("a").row.attempt, 2u);
  EXPECT_EQ(this->Task("a").row.resume_object, "checkpoint-1");
  // The old attempt's report, repeated.
  Batch again = this->NewBatch();
  EXPECT_EQ(ReportStopped(this->Task("a"), this->Worker("w1"), ref,
                          "checkpoint-1", &again)
                .error(),
            TransitionError::kStaleAttempt);
}

// Guards against a cancelled task that finishes, fails or resumes: cancellation
// wins from the moment it is committed, in whatever order the reports come.
TEST_F(TransitionsTest, CancelledTaskStaysCancelled) {
  this->AddWorker("w1");
  for (const std::string id : {"finish", "fail", "stop"}) {
    this->AddTask(id, TaskKind::kBatch, 1000);
    this->PlaceOn(id, "w1");
    Batch batch = this->NewBatch();
    const WorkerEntry worker = this->Worker("w1");
    ASSERT_TRUE(Cancel(this->Task(id), &worker, "operator", &batch));
    this->Commit(batch);
  }
  EXPECT_EQ(this->Worker("w1").row.Committed().millicores, 3000);
  Batch batch = this->NewBatch();
  const WorkerEntry worker = this->Worker("w1");
  ASSERT_TRUE(ReportFinished(this->Task("finish"), worker,
                             this->Ref("finish", "w1"), "out", kNow, kPolicy,
                             &batch));
  ASSERT_TRUE(ReportFailed(this->Task("fail"), worker, this->Ref("fail", "w1"),
                           "x", kNow, kPolicy, &batch));
  ASSERT_TRUE(ReportStopped(this->Task("stop"), worker, this->Ref("stop", "w1"),
                            "object", &batch));
  this->Commit(batch);
  for (const std::string id : {"finish", "fail", "stop"}) {
    EXPECT_EQ(this->Task(id).row.state, TaskState::kCancelled);
    EXPECT_EQ(this->Task(id).row.output_object, "");
    Batch place = this->NewBatch();
    EXPECT_FALSE(Place(this->Task(id), this->Worker("w1"), kNow,
                       PlaceMode::kNormal, &place));
  }
  EXPECT_EQ(this->Worker("w1").row.Committed(), Size());
}

// Guards against a cancellation that overtakes the placement: the canceller saw
// the task without a worker.
TEST_F(TransitionsTest, CancellationOfAnOldRowConflictsWithThePlacement) {
  this->AddWorker("w1");
  this->AddTask("a", TaskKind::kBatch, 1000);
  Batch cancel = this->NewBatch();
  ASSERT_TRUE(Cancel(this->Task("a"), nullptr, "operator", &cancel));
  this->PlaceOn("a", "w1");
  EXPECT_EQ(this->table.Commit(cancel.ToTransaction()).error(),
            TableError::kConflict);
}

// P2: guards against tasks that move while the worker may still run them, and
// against a fence that races a renewal.
TEST_F(TransitionsTest, TasksMoveOnlyAfterTheFence) {
  this->AddWorker("w1");
  this->AddTask("job", TaskKind::kBatch, 1000);
  this->AddTask("replica", TaskKind::kReplica, 1000);
  this->PlaceOn("job", "w1");
  this->PlaceOn("replica", "w1");
  const AttemptRef old_ref = this->Ref("job", "w1");
  Batch batch = this->NewBatch();
  EXPECT_EQ(ReleaseLost(this->Task("job"), this->Worker("w1"), &batch).error(),
            TransitionError::kStillRunning);
  const uint64_t sequence = this->Worker("w1").row.sequence;
  EXPECT_EQ(Fence(this->Worker("w1"), sequence - 1, &batch).error(),
            TransitionError::kLeaseRenewed);
  ASSERT_TRUE(Fence(this->Worker("w1"), sequence, &batch));
  ASSERT_TRUE(ReleaseLost(this->Task("job"), this->Worker("w1"), &batch));
  ASSERT_TRUE(ReleaseLost(this->Task("replica"), this->Worker("w1"), &batch));
  this->Commit(batch);
  EXPECT_EQ(this->Task("job").row.state, TaskState::kPending);
  EXPECT_EQ(this->Task("replica").row.state, TaskState::kCancelled);
  // The paused agent's renewal and report.
  Batch late = this->NewBatch();
  EXPECT_EQ(Renew(this->Worker("w1"), old_ref.epoch, kNow, &late).error(),
            TransitionError::kFenced);
  EXPECT_EQ(ReportFinished(this->Task("job"), this->Worker("w1"), old_ref,
                           "out", kNow, kPolicy, &late)
                .error(),
            TransitionError::kFenced);
}

// Guards against a drain that is forgotten when the worker is fenced.
TEST_F(TransitionsTest, DrainOutlivesTheFence) {
  this->AddWorker("w1");
  Batch batch = this->NewBatch();
  ASSERT_TRUE(Drain(this->Worker("w1"), &batch));
  ASSERT_TRUE(
      Fence(this->Worker("w1"), this->Worker("w1").row.sequence, &batch));
  ASSERT_TRUE(
      Register(this->Worker("w1"), this->Worker("w1").row, kNow, &batch));
  this->Commit(batch);
  EXPECT_EQ(this->Worker("w1").row.state, WorkerState::kDraining);
  this->AddTask("a", TaskKind::kBatch, 1000);
  Batch place = this->NewBatch();
  EXPECT_EQ(Place(this->Task("a"), this->Worker("w1"), kNow, PlaceMode::kNormal,
                  &place)
                .error(),
            TransitionError::kWorkerNotReady);
}

// Guards against a job that can never run being tried for ever, and against a
// watcher that is given up.
TEST_F(TransitionsTest, FailingBatchTaskIsParkedAndAWatcherIsNot) {
  this->AddWorker("w1");
  this->AddTask("job", TaskKind::kBatch, 1000);
  this->AddTask("watcher", TaskKind::kWatcher, 1000);
  absl::Time now = kNow;
  for (uint32_t i = 0; i < kPolicy.max_attempts; ++i) {
    for (const std::string id : {"job", "watcher"}) {
      now += kPolicy.max_backoff;
      Batch batch = this->NewBatch();
      ASSERT_TRUE(Place(this->Task(id), this->Worker("w1"), now,
                        PlaceMode::kNormal, &batch));
      this->Commit(batch);
      Batch report = this->NewBatch();
      ASSERT_TRUE(ReportFailed(this->Task(id), this->Worker("w1"),
                               this->Ref(id, "w1"), "exit 1", now, kPolicy,
                               &report));
      this->Commit(report);
    }
  }
  EXPECT_EQ(this->Task("job").row.state, TaskState::kParked);
  EXPECT_EQ(this->Task("job").row.park_reason, ParkReason::kFailures);
  EXPECT_EQ(this->Task("watcher").row.state, TaskState::kFailed);
  Batch early = this->NewBatch();
  EXPECT_EQ(Place(this->Task("watcher"), this->Worker("w1"), now,
                  PlaceMode::kNormal, &early)
                .error(),
            TransitionError::kInBackoff);
}

// Guards against charts that name states the rows lack.
TEST(TaskChartsTest, EveryChartStateHasARowState) {
  const TaskCharts charts = LoadTestCharts();
  EXPECT_EQ(charts.task.transitions.size(), 11u);
  EXPECT_EQ(charts.worker.transitions.size(), 4u);
}

}  // namespace
}  // namespace cuminjunction
