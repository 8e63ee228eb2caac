#include "task/blame.h"

#include <gtest/gtest.h>

#include "base/time.h"
#include "task/learned_scorer.h"
#include "task/testing/rows.h"

namespace cuminjunction {
namespace {

const absl::Time kNow = FromMicros(1'000'000'000);

class BlameTest : public testing::Test {
 protected:
  void Fail(const std::string& job, const std::string& worker) {
    this->End(job, worker, true);
  }
  void Succeed(const std::string& job, const std::string& worker) {
    this->End(job, worker, false);
  }
  void End(const std::string& job, const std::string& worker, bool failed) {
    this->blame.Ended({job + ".1.0", job, "growers", worker, failed},
                      this->now);
  }

  WorkerVerdict Judge(const std::string& worker,
                      WorkerState state = WorkerState::kReady) {
    WorkerRow row = MakeWorkerRow(worker, {16000, 60000, 0});
    row.state = state;
    return this->blame.Judge(row, this->now);
  }
  WorkerVerdict JudgeSuspect(const std::string& worker) {
    return this->Judge(worker, WorkerState::kSuspect);
  }

  // Makes the worker suspect.
  void MakeSuspect(const std::string& worker) {
    this->Fail("a", worker);
    this->Fail("b", worker);
    ASSERT_EQ(this->Judge(worker), WorkerVerdict::kSuspect);
  }

  BlameOptions options;
  Blame blame{options};
  absl::Time now = kNow;
};

// Guards against a bad job that blames the good workers it fails on, also one
// with several tasks.
TEST_F(BlameTest, BadJobDoesNotBlameWorkers) {
  for (int round = 0; round < 5; ++round) {
    for (const char* worker : {"w1", "w2", "w3"}) {
      this->Fail("bad", worker);
      EXPECT_EQ(this->Judge(worker), WorkerVerdict::kNone);
    }
  }
  EXPECT_TRUE(this->blame.IsJobAtFault("bad"));
  // One more job that fails is no case of several jobs.
  this->Fail("other", "w1");
  EXPECT_EQ(this->Judge("w1"), WorkerVerdict::kNone);
}

// Guards against a bad worker that is never found, and against one that blames
// the good jobs which fail on it.
TEST_F(BlameTest, BadWorkersDoNotBlameJobs) {
  this->MakeSuspect("w1");
  this->MakeSuspect("w2");
  EXPECT_FALSE(this->blame.IsJobAtFault("a"));
  this->Succeed("a", "w3");
  this->Succeed("b", "w3");
  EXPECT_EQ(this->Judge("w3"), WorkerVerdict::kNone);
}

// Guards against several bad workers that are never found because each job
// fails on more than one of them.
TEST_F(BlameTest, SeveralBadWorkersAreFound) {
  bool found = false;
  for (int job = 0; job < 6; ++job) {
    for (const char* worker : {"w1", "w2"}) {
      this->Fail(StrCat("j", job), worker);
      found |= this->Judge(worker) == WorkerVerdict::kSuspect;
    }
  }
  EXPECT_TRUE(found);
}

// Guards against a worker that stays suspect after single bad jobs failed on it
// first.
TEST_F(BlameTest, WorkerIsClearedWhenJobsProveBad) {
  this->MakeSuspect("w1");
  this->Fail("a", "w2");
  this->Fail("b", "w3");
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kReadmit);
}

// Guards against a worker that is never readmitted, and against probes that
// come without a pause on one that still fails.
TEST_F(BlameTest, ProbesReadmit) {
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
  // After that the first failure counts, until an attempt succeeds.
  this->Fail("f", "w1");
  EXPECT_EQ(this->Judge("w1"), WorkerVerdict::kSuspect);
}

// Guards against a suspect worker that is lost for good since no task waits
// that could probe it, and against one that only a previous planner judged.
TEST_F(BlameTest, UnprobedWorkerIsReadmitted) {
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kProbe);
  this->now += absl::Minutes(16);
  EXPECT_EQ(this->JudgeSuspect("w1"), WorkerVerdict::kReadmit);
}

// Guards against a planner that keeps placing on a worker on which the last
// attempt failed while others have room.
TEST_F(BlameTest, DoubtfulWorkerIsAvoided) {
  LearnedScorer scorer((LearnedOptions()));
  const State state;
  const TaskRow task = MakeTaskRow("t", TaskKind::kBatch, 1000);
  const WorkerRow full = MakeWorkerRow("w1", {1000, 2000, 0});
  const WorkerRow empty = MakeWorkerRow("w2", {16000, 60000, 0});
  EXPECT_GT(scorer.Score(task, full, state, kNow).Total(),
            scorer.Score(task, empty, state, kNow).Total());
  scorer.Ended({"x.1.0", "x", "growers", "w1", true}, kNow);
  EXPECT_LT(scorer.Score(task, full, state, kNow).Total(),
            scorer.Score(task, empty, state, kNow).Total());
}

}  // namespace
}  // namespace cuminjunction
