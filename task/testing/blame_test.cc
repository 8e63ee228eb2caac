#include "task/blame.h"

#include <gtest/gtest.h>

#include "base/time.h"
#include "task/learned_scorer.h"
#include "task/testing/rows.h"

namespace cuminjunction {
namespace {

const absl::Time kNow = FromMicros(1'000'000'000);

class FaultAttributionTest : public testing::Test {
 protected:
  void Fail(const std::string& job, const std::string& worker) {
    this->RecordAttempt(job, worker, true);
  }
  void Succeed(const std::string& job, const std::string& worker) {
    this->RecordAttempt(job, worker, false);
  }
  void RecordAttempt(const std::string& job,
                     const std::string& worker,
                     bool failed) {
    this->attribution.RecordOutcome(
        {job + ".1.0", job, "growers", worker, failed}, this->now);
  }

  WorkerVerdict Judge(const std::string& worker,
                      WorkerState state = WorkerState::kReady) {
    WorkerRow row = MakeWorkerRow(worker, {16000, 60000, 0});
    row.state = state;
    return this->attribution.Judge(row, this->now);
  }
  WorkerVerdict JudgeSuspect(const std::string& worker) {
    return this->Judge(worker, WorkerState::kSuspect);
  }

  void MakeSuspect(const std::string& worker) {
    this->Fail("a", worker);
    this->Fail("b", worker);
    ASSERT_EQ(this->Judge(worker), WorkerVerdict::kSuspect);
  }

  FaultAttributionOptions options;
  FaultAttribution attribution{options};
  absl::Time now = kNow;
};

// Guards against healthy workers that become suspect because a faulty job, also
// one with several tasks, fails on them.
TEST_F(FaultAttributionTest, FailingJobDoesNotMakeWorkersSuspect) {
  for (int round = 0; round < 5; ++round) {
    for (const char* worker : {"w1", "w2", "w3"}) {
      this->Fail("bad", worker);
      EXPECT_EQ(this->Judge(worker), WorkerVerdict::kNone);
    }
  }
  EXPECT_TRUE(this->attribution.IsJobAtFault("bad"));
  // The failure of one other job is not enough to make a worker suspect.
  this->Fail("other", "w1");
  EXPECT_EQ(this->Judge("w1"), WorkerVerdict::kNone);
}

// Guards against a faulty worker that is never marked suspect, and against jobs
// that count as faulty because they fail on faulty workers.
TEST_F(FaultAttributionTest, FailingWorkersDoNotMakeJobsFaulty) {
  this->MakeSuspect("w1");
  this->MakeSuspect("w2");
  EXPECT_FALSE(this->attribution.IsJobAtFault("a"));
  this->Succeed("a", "w3");
  this->Succeed("b", "w3");
  EXPECT_EQ(this->Judge("w3"), WorkerVerdict::kNone);
}

// Guards against several faulty workers that are never marked suspect: each job
// fails on more than one of them and so counts as faulty.
TEST_F(FaultAttributionTest, SeveralFailingWorkersAreFound) {
  bool found = false;
  for (int job = 0; job < 6; ++job) {
    for (const char* worker : {"w1", "w2"}) {
      this->Fail(StrCat("j", job), worker);
      found |= this->Judge(worker) == WorkerVerdict::kSuspect;
    }
  }
  EXPECT_TRUE(found);
}

// Guards against a worker that stays suspect after the jobs that failed on it
// have failed on other workers too.
TEST_F(FaultAttributionTest, WorkerIsReadmittedWhenJobsAreAtFault) {
  this->MakeSuspect("w1");
  this->Fail("a", "w2");
  this->Fail("b", "w3");
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kReadmit);
}

// Guards against a suspect worker that is never readmitted, and against probes
// without a delay on a worker that still fails.
TEST_F(FaultAttributionTest, ProbesReadmit) {
  this->MakeSuspect("w1");
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kNone);
  this->now += absl::Seconds(21);
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kProbe);
  this->Fail("c", "w1");
  this->now += absl::Seconds(21);
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kNone);
  this->now += absl::Seconds(20);
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kProbe);
  this->Succeed("d", "w1");
  this->now += absl::Seconds(6);
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kProbe);
  this->Succeed("e", "w1");
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kReadmit);
  EXPECT_EQ(this->Judge("w1"), WorkerVerdict::kNone);
  // After that, the first failure makes the worker suspect unless an attempt
  // has succeeded.
  this->Fail("f", "w1");
  EXPECT_EQ(this->Judge("w1"), WorkerVerdict::kSuspect);
}

// Guards against a worker that stays suspect because no waiting task can probe
// it, also one that a previous planner marked suspect.
TEST_F(FaultAttributionTest, UnprobedWorkerIsReadmitted) {
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kProbe);
  this->now += absl::Minutes(16);
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kReadmit);
}

// Guards against a planner that keeps placing tasks on a worker on which the
// last attempt failed while other workers have free capacity.
TEST_F(FaultAttributionTest, WorkerWithUnexplainedFailureIsAvoided) {
  LearnedScorer scorer((LearnedOptions()));
  const State state;
  const TaskRow task = MakeTaskRow("t", TaskKind::kBatch, 1000);
  const WorkerRow full = MakeWorkerRow("w1", {1000, 2000, 0});
  const WorkerRow empty = MakeWorkerRow("w2", {16000, 60000, 0});
  EXPECT_GT(scorer.Score(task, full, state, kNow).Total(),
            scorer.Score(task, empty, state, kNow).Total());
  scorer.RecordOutcome({"x.1.0", "x", "growers", "w1", true}, kNow);
  EXPECT_LT(scorer.Score(task, full, state, kNow).Total(),
            scorer.Score(task, empty, state, kNow).Total());
}

}  // namespace
}  // namespace cuminjunction
