#include "task/planner.h"

#include <gtest/gtest.h>

#include "base/time.h"
#include "table/memory_table.h"
#include "task/planner_loop.h"
#include "task/testing/rows.h"

namespace cuminjunction {
namespace {

const absl::Time kNow = FromMicros(1'000'000'000);

// A planner whose state the test fills directly, without a table.
class PlannerTest : public testing::Test {
 protected:
  void AddWorker(const std::string& id, const Size& capacity) {
    WorkerRow row = MakeWorkerRow(id, capacity);
    row.epoch = 1;
    row.rack = id;
    this->Apply(WorkerKey(id), ToText(row));
  }

  void AddTask(const std::string& id,
               const std::string& account,
               Urgency urgency,
               int64_t millicores = 1000) {
    TaskRow task = MakeTaskRow(id, TaskKind::kBatch, millicores);
    task.account = account;
    task.urgency = urgency;
    task.state = TaskState::kPending;
    task.created_us = ++this->created;
    this->Apply(TaskKey(id), ToText(task));
  }

  void Apply(const std::string& key, const std::string& value) {
    ASSERT_TRUE(this->planner.GetState()->Apply({key, value, ++this->version}));
  }

  std::vector<Batch> Round(size_t max_rows = 80) {
    RoundInput input;
    input.now = kNow;
    input.max_rows = max_rows;
    return this->planner.Round(input);
  }

  int CountPlaced(const std::string& prefix) {
    int count = 0;
    for (const auto& [id, task] : this->planner.GetState()->Tasks())
      count += id.starts_with(prefix) && task.row.IsPlaced() ? 1 : 0;
    return count;
  }

  const TaskCharts charts = LoadTestCharts();
  Planner<BestFitScorer> planner{PlannerOptions{.name = "p", .placer = {}},
                                 &charts, BestFitScorer(), nullptr};
  uint64_t version = 0;
  int64_t created = 0;
};

// Guards against an account with many tasks that starves another one of the
// same urgency.
TEST_F(PlannerTest, AccountsShareFreeCapacity) {
  this->AddWorker("w1", {8000, 80000, 0});
  for (int i = 0; i < 50; ++i)
    this->AddTask(StrCat("surge", i), "a", Urgency::kNormal);
  for (int i = 0; i < 4; ++i)
    this->AddTask(StrCat("other", i), "b", Urgency::kNormal);
  this->Round();
  EXPECT_EQ(this->CountPlaced("surge"), 4);
  EXPECT_EQ(this->CountPlaced("other"), 4);
}

// Guards against a flood of urgent work that leaves batch work no capacity, and
// against a flood of batch work that delays urgent work.
TEST_F(PlannerTest, UrgentIsPlacedFirstAndBatchKeepsAMinimum) {
  this->AddWorker("w1", {32000, 80000, 0});
  for (int i = 0; i < 100; ++i) {
    this->AddTask(StrCat("batch", i), "a", Urgency::kBatch);
    this->AddTask(StrCat("urgent", i), "a", Urgency::kUrgent);
  }
  this->Round();
  EXPECT_EQ(this->CountPlaced("urgent"), 28);
  EXPECT_EQ(this->CountPlaced("batch"), 4);
}

// Guards against batches of one round that write the same row, of which all but
// the first would conflict.
TEST_F(PlannerTest, BatchesTouchDisjointRows) {
  for (int i = 0; i < 4; ++i)
    this->AddWorker(StrCat("w", i), {4000, 80000, 0});
  for (int i = 0; i < 16; ++i)
    this->AddTask(StrCat("t", i), "a", Urgency::kNormal);
  std::set<std::string> keys;
  for (const Batch& batch : this->Round()) {
    for (const RowWrite& write : batch.ToTransaction().writes)
      EXPECT_TRUE(keys.insert(write.key).second) << write.key;
  }
  EXPECT_EQ(keys.size(), 20u);
}

// Guards against a round that writes more rows than its limit.
TEST_F(PlannerTest, RoundRespectsItsRowLimit) {
  this->AddWorker("w1", {99000, 99000, 0});
  for (int i = 0; i < 50; ++i)
    this->AddTask(StrCat("t", i), "a", Urgency::kNormal);
  size_t rows = 0;
  for (const Batch& batch : this->Round(20))
    rows += batch.size();
  EXPECT_EQ(rows, 20u);
}

// Guards against a sample of workers that misses the only one with enough free
// capacity, and against tasks without accelerators on workers that have them.
TEST_F(PlannerTest, FindsTheOnlyWorkerWithFreeCapacity) {
  for (int i = 0; i < 300; ++i)
    this->AddWorker(StrCat("small", i), {4000, 1000, 0});
  this->AddWorker("large", {4000, 9000, 0});
  this->AddWorker("accelerated", {4000, 9000, 2});
  this->AddTask("t", "a", Urgency::kNormal);
  this->Round();
  EXPECT_EQ(this->planner.GetState()->FindTask("t")->row.worker, "large");
}

// Guards against placed and waiting tasks without an explanation.
TEST_F(PlannerTest, ExplainsPlacementAndWaiting) {
  this->AddWorker("w1", {2000, 80000, 0});
  this->AddTask("placed", "a", Urgency::kNormal, 1500);
  this->AddTask("waits", "a", Urgency::kNormal, 1500);
  this->Round();
  const Explanation placed = this->planner.Explain("placed").value();
  EXPECT_EQ(placed.worker, "w1");
  EXPECT_EQ(placed.scores[0].first, "total");
  EXPECT_EQ(placed.candidates > 0, true);
  EXPECT_NE(this->planner.Explain("waits").value().why.find(
                "no worker has room for it now"),
            std::string::npos);
  EXPECT_EQ(this->planner.Explain("absent").error(),
            ExplainError::kUnknownTask);
}

// Guards against a planner with an older configuration that reverts the
// declarations of a newer one.
TEST_F(PlannerTest, OlderConfigurationChangesNothing) {
  OwnerRow owner;
  owner.name = "job";
  owner.generation = 1;
  owner.config_version = 7;
  this->Apply(OwnerKey("job"), ToText(owner));
  Document document;
  document.jobs["job"] = {
      "job", "a",  JobKind::kBatch, {1000, 100, 0}, Urgency::kNormal, {},
      3,     "run"};
  this->planner.SetDocument(6, document);
  EXPECT_TRUE(this->Round().empty());
  this->planner.SetDocument(8, document);
  EXPECT_EQ(this->Round().size(), 1u);
  // A lower version that arrives later changes nothing either.
  this->planner.SetDocument(7, Document());
  EXPECT_TRUE(this->Round().size() <= 1u);
  EXPECT_FALSE(this->planner.GetState()->FindOwner("job")->row.removed);
}

// Guards against urgent work that waits, after another planner takes over,
// until every row has been read.
TEST(FollowerTest, ReadsTheNewestTasksFirst) {
  MemoryTable table;
  for (int i = 0; i < 500; ++i)
    table.Commit({"t", {}, {{TaskKey(StrCat("old", i)), "{}"}}}).value();
  table.Commit({"t", {}, {{TaskKey("new"), "{}"}}}).value();
  table.Commit({"t", {}, {{WorkerKey("w"), "{}"}}}).value();
  Follower follower({.page = 10, .max_pages = 2, .recent_commits = 5});
  std::vector<Row> rows;
  ASSERT_TRUE(follower.Read(&table, &rows));
  EXPECT_EQ(rows.front().key, "worker/w");
  const auto newest = std::find_if(rows.begin(), rows.end(), [](const Row& r) {
    return r.key == "task/new";
  });
  ASSERT_NE(newest, rows.end());
  EXPECT_LE(newest - rows.begin(), 10);
  EXPECT_FALSE(follower.IsComplete());
  for (int i = 0; i < 100 && !follower.IsComplete(); ++i)
    ASSERT_TRUE(follower.Read(&table, &rows));
  std::set<std::string> keys;
  for (const Row& row : rows)
    EXPECT_TRUE(keys.insert(row.key).second) << row.key << " was read twice";
  EXPECT_EQ(keys.size(), 502u);
}

// Guards against two planners that plan at the same time, and against a fleet
// without a planner after the leading one stops.
TEST(PlannerLoopTest, OnePlannerLeadsAndAnotherTakesOver) {
  using Loop =
      PlannerLoop<MemoryTable, BestFitScorer, ManualClock, ManualClock>;
  const TaskCharts charts = LoadTestCharts();
  ManualClock clock(kNow);
  MemoryTable table;
  Planner<BestFitScorer> first(PlannerOptions{.name = "p1", .placer = {}},
                               &charts, BestFitScorer(), nullptr);
  Planner<BestFitScorer> second(PlannerOptions{.name = "p2", .placer = {}},
                                &charts, BestFitScorer(), nullptr);
  PlannerLoopOptions options;
  options.process = "p1";
  Loop one(options, &first, &table, &clock, &clock);
  options.process = "p2";
  Loop two(options, &second, &table, &clock, &clock);
  for (int i = 0; i < 20; ++i) {
    clock.Advance(absl::Milliseconds(500));
    one.Tick();
    two.Tick();
    EXPECT_TRUE(one.IsLeading());
    EXPECT_FALSE(two.IsLeading());
  }
  clock.Advance(absl::Milliseconds(3500));
  two.Tick();
  EXPECT_TRUE(two.IsLeading());
  one.Tick();
  EXPECT_FALSE(one.IsLeading());
}

}  // namespace
}  // namespace cuminjunction
