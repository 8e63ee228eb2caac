#include "task/row.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminjunction {
namespace {

TaskRow MakeTask() {
  TaskRow task;
  task.id = "plan.1.0";
  task.account = "growers";
  task.owner = "plan";
  task.kind = TaskKind::kWatcher;
  task.urgency = Urgency::kNormal;
  task.size = {4000, 8192, 1};
  task.command = "pack \"all\"";
  task.depends_on = {"stock"};
  task.created_us = 17;
  task.config_version = 3;
  task.state = TaskState::kCheckpointing;
  task.attempt = 2;
  task.worker = "w1";
  task.resume_object = "o1";
  task.not_before_us = -5;
  task.failed_on = {"w2"};
  task.failures = 1;
  task.park_reason = ParkReason::kOperator;
  task.transaction = "t/1";
  return task;
}

WorkerRow MakeWorker() {
  WorkerRow worker;
  worker.id = "w1";
  worker.capacity = {16000, 61440, 2};
  worker.rack = "r1";
  worker.epoch = 4;
  worker.sequence = 99;
  worker.state = WorkerState::kDraining;
  worker.assignments = {{"a", 1, {1, 2, 0}, 4, AssignmentAction::kRun},
                        {"b", 3, {4, 5, 1}, 3, AssignmentAction::kEvict}};
  return worker;
}

TEST(RowTest, ReadsBackWhatItWrote) {
  const TaskRow task = MakeTask();
  EXPECT_EQ(ParseTask({TaskKey(task.id), ToText(task)}).value(), task);
  const WorkerRow worker = MakeWorker();
  EXPECT_EQ(ParseWorker({WorkerKey("w1"), ToText(worker)}).value(), worker);
  EXPECT_EQ(worker.Committed(), (Size{5, 7, 1}));
  const OwnerRow owner = {"plan", TaskKind::kBatch, 2, 7, 5, 9, true, true,
                          "t"};
  EXPECT_EQ(ParseOwner({OwnerKey("plan"), ToText(owner)}).value(), owner);
  const PlannerRow planner = {"erie", "entry-1", 12, "t"};
  EXPECT_EQ(ParsePlanner({PlannerKey("erie"), ToText(planner)}).value(),
            planner);
}

// Guards against a row of another kind, or one that an operator damaged, being
// taken for a task with default values.
TEST(RowTest, DamagedRowsAreTypedErrors) {
  const std::string text = ToText(MakeTask());
  EXPECT_EQ(ParseTask({"worker/w1", text}).error(), RowError::kWrongKey);
  EXPECT_EQ(ParseTask({"task/", text}).error(), RowError::kWrongKey);
  EXPECT_EQ(ParseTask({"task/x", "["}).error(), RowError::kNotJson);
  EXPECT_EQ(ParseTask({"task/x", "{}"}).error(), RowError::kMissingField);
  std::string negative = text;
  negative.replace(negative.find("[4000"), 5, "[-400");
  EXPECT_EQ(ParseTask({"task/x", negative}).error(), RowError::kBadField);
  std::string state = text;
  state.replace(state.find("checkpointing"), 13, "checkpointed!");
  EXPECT_EQ(ParseTask({"task/x", state}).error(), RowError::kBadField);
  std::string attempt = text;
  attempt.replace(attempt.find("\"attempt\":2"), 11, "\"attempt\":99999999999");
  EXPECT_EQ(ParseTask({"task/x", attempt}).error(), RowError::kBadField);
}

// Guards against any bytes in a row ending the process.
RC_GTEST_PROP(RowTest, CutTextNeverThrows, ()) {
  const std::string text = ToText(MakeWorker());
  std::string damaged = text;
  const auto at = *rc::gen::inRange<size_t>(0, text.size());
  damaged[at] = static_cast<char>(*rc::gen::arbitrary<uint8_t>());
  const Result<WorkerRow> row = ParseWorker({"worker/w1", damaged});
  if (row)
    RC_ASSERT(ParseWorker({"worker/w1", ToText(row.value())}));
}

}  // namespace
}  // namespace cuminjunction
