#include "testing/support/emulated_worker.h"

#include <gtest/gtest.h>

#include "testing/support/task_command.h"

namespace cuminjunction {
namespace {

absl::Time At(int64_t seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

TaskStart MakeStart(const std::string& command, uint32_t attempt = 1) {
  TaskStart start;
  start.task = "t1";
  start.attempt = attempt;
  start.command = command;
  start.size = {2000, 1024, 0};
  return start;
}

class EmulatedWorkerTest : public testing::Test {
 protected:
  EmulatedWorkerTest() {
    EmulatedWorkerOptions options;
    options.name = "w1";
    options.capacity = {3000, 4096, 0};
    this->worker = std::make_unique<EmulatedWorker>(options, &this->objects);
    EXPECT_TRUE(this->worker->Extend(At(100), At(0)));
  }

  MemoryObjectStore objects;
  std::unique_ptr<EmulatedWorker> worker;
};

TEST_F(EmulatedWorkerTest, ResumedTaskGoesOnFromItsCheckpoint) {
  ASSERT_TRUE(this->worker->Start(MakeStart("sleep 10s"), At(0)));
  const std::string object = this->worker->Checkpoint("t1", 1, At(4)).value();
  ASSERT_TRUE(this->worker->Stop("t1", 1, At(5)));
  TaskStart resumed = MakeStart("sleep 10s", 2);
  resumed.resume_object = object;
  ASSERT_TRUE(this->worker->Start(resumed, At(10)));
  EXPECT_EQ(this->worker->List(At(15)).value().running.size(), 1u);
  EXPECT_EQ(this->worker->List(At(16)).value().ended.back().end,
            AttemptEnd::kSucceeded);
  EXPECT_EQ(this->worker->Records().back().resumed_ms, 4000);
}

// Guards against an exclusive task that outlives its lease.
TEST_F(EmulatedWorkerTest, ExclusiveTaskStopsAtTheStopDeadline) {
  ASSERT_TRUE(this->worker->Start(MakeStart("forever"), At(0)));
  TaskStart replica = MakeStart("forever");
  replica.task = "r1";
  replica.exclusive = false;
  ASSERT_TRUE(this->worker->Start(replica, At(0)));
  // The deadline does not go back.
  ASSERT_TRUE(this->worker->Extend(At(50), At(1)));
  EXPECT_EQ(this->worker->List(At(99)).value().running.size(), 2u);
  const RuntimeState state = this->worker->List(At(500)).value();
  ASSERT_EQ(state.running.size(), 1u);
  EXPECT_EQ(state.running[0].task, "r1");
  EXPECT_EQ(this->worker->Records()[0].ended, At(100));
}

// Guards against a start command that arrives late or twice.
TEST_F(EmulatedWorkerTest, AnAttemptRunsOnce) {
  ASSERT_TRUE(this->worker->Start(MakeStart("fail after 1s", 2), At(0)));
  EXPECT_TRUE(this->worker->Start(MakeStart("fail after 1s", 2), At(2)));
  EXPECT_EQ(this->worker->Start(MakeStart("forever", 1), At(2)).error(),
            RuntimeError::kNotFound);
  EXPECT_EQ(this->worker->Records().size(), 1u);
  EXPECT_EQ(this->worker->Records()[0].end, "failed");
}

TEST_F(EmulatedWorkerTest, UsageIsLateAndFollowsTheThrottle) {
  ASSERT_TRUE(this->worker->Start(MakeStart("forever cores 1.5"), At(0)));
  ASSERT_TRUE(this->worker->Throttle("t1", 1, 0.5, At(10)));
  const auto used = [&](int64_t at) {
    return this->worker->List(At(at)).value().running.at(0).used_millicores;
  };
  EXPECT_EQ(used(29), 0);
  EXPECT_EQ(used(35), 1500);
  EXPECT_EQ(used(41), 750);
}

TEST_F(EmulatedWorkerTest, CrashLosesTasksAndBootIsNew) {
  ASSERT_TRUE(this->worker->Start(MakeStart("forever"), At(0)));
  const std::string boot_id = this->worker->BootId();
  this->worker->Crash(At(1));
  EXPECT_EQ(this->worker->List(At(2)).error(), RuntimeError::kUnavailable);
  this->worker->Boot(At(3));
  EXPECT_NE(this->worker->List(At(4)).value().boot_id, boot_id);
  EXPECT_TRUE(this->worker->List(At(4)).value().running.empty());
  EXPECT_EQ(this->worker->Records()[0].end, "lost");
}

// Guards against checks that can't see a broken promise.
TEST_F(EmulatedWorkerTest, RecordsShowOverlapsAndOvercommits) {
  EmulatedWorkerOptions options;
  options.name = "w2";
  options.capacity = {8000, 8192, 0};
  EmulatedWorker other(options, &this->objects);
  ASSERT_TRUE(other.Extend(At(100), At(0)));
  ASSERT_TRUE(this->worker->Start(MakeStart("sleep 2s"), At(0)));
  ASSERT_TRUE(other.Start(MakeStart("sleep 2s", 2), At(2)));
  this->worker->Advance(At(5));
  other.Advance(At(5));
  std::vector<AttemptRecord> records = {this->worker->Records()[0],
                                        other.Records()[0]};
  EXPECT_TRUE(FindOverlaps(records).empty());
  records[1].started = At(1);
  EXPECT_EQ(FindOverlaps(records).size(), 1u);
  EXPECT_EQ(this->worker->Overcommits(), 0);
  TaskStart second = MakeStart("forever", 3);
  ASSERT_TRUE(this->worker->Start(second, At(6)));
  second.task = "t2";
  ASSERT_TRUE(this->worker->Start(second, At(6)));
  EXPECT_EQ(this->worker->Overcommits(), 1);
}

TEST(TaskCommandTest, UnreadableCommandNeverStarts) {
  EXPECT_EQ(ParseTaskCommand("sleep 1500ms").length_ms, 1500);
  EXPECT_EQ(ParseTaskCommand("").action, TaskAction::kRunForever);
  for (const char* text : {"never starts", "sleep", "sleep x", "fail after",
                           "forever cores", "forever cores -1"})
    EXPECT_EQ(ParseTaskCommand(text).action, TaskAction::kNeverStart) << text;
}

}  // namespace
}  // namespace cuminjunction
