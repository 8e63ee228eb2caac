#include <gtest/gtest.h>

#include "base/time.h"
#include "task/operate.h"
#include "task/planner_loop.h"
#include "task/testing/fake_runtime.h"
#include "task/testing/rows.h"
#include "task/worker_agent.h"

namespace cuminjunction {
namespace {

static_assert(Scorer<BestFitScorer>);
static_assert(Runtime<FakeRuntime>);

using Agent = WorkerAgent<MemoryTable, FakeRuntime, ManualClock, ManualClock>;
using Loop = PlannerLoop<MemoryTable, BestFitScorer, ManualClock, ManualClock>;

Document MakeDocument() {
  Document document;
  document.accounts["growers"] = {"growers", 1, {100000, 100000, 10}};
  document.jobs["stock"] = {
      "stock", "growers", JobKind::kBatch, {1000, 100, 0}, Urgency::kBatch,
      {},      2,         "count"};
  document.jobs["plan"] = {
      "plan",    "growers", JobKind::kBatch, {2000, 100, 0}, Urgency::kBatch,
      {"stock"}, 1,         "pack"};
  document.jobs["watch"] = {"watch",
                            "growers",
                            JobKind::kWatcher,
                            {500, 100, 0},
                            Urgency::kNormal,
                            {},
                            2,
                            "watch"};
  document.services["check"].name = "check";
  document.services["check"].account = "growers";
  document.services["check"].replicas = 2;
  document.services["check"].size = {500, 100, 0};
  document.services["check"].urgency = Urgency::kUrgent;
  return document;
}

// Two workers with an agent each and one planner, without faults.
class LoopTest : public testing::Test {
 protected:
  LoopTest() {
    this->planner.SetDocument(1, MakeDocument());
    for (const std::string id : {"w1", "w2"}) {
      this->runtimes.push_back(std::make_unique<FakeRuntime>(
          id, [this] { return this->clock.Now(); },
          [](const TaskStart& start) {
            const bool ends = start.job == "stock" || start.job == "plan";
            return std::pair(ends ? absl::Seconds(60) : absl::Hours(10000),
                             AttemptEnd::kSucceeded);
          }));
      WorkerAgentOptions options;
      options.declared = MakeWorkerRow(id, {4000, 8192, 0});
      options.process = "1";
      this->agents.push_back(std::make_unique<Agent>(
          options, &this->charts, &this->table, this->runtimes.back().get(),
          &this->clock, &this->clock));
    }
  }

  void Run(absl::Duration duration) {
    const absl::Time end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->clock.Advance(absl::Seconds(1));
      for (auto& runtime : this->runtimes)
        runtime->Advance();
      this->loop.Tick();
      for (auto& agent : this->agents)
        agent->Tick();
    }
  }

  const TaskRow Task(const std::string& id) {
    return ReadTask(&this->table, id).row;
  }

  ManualClock clock{FromMicros(1'000'000'000'000)};
  const TaskCharts charts = LoadTestCharts();
  MemoryTable table;
  Planner<BestFitScorer> planner{PlannerOptions{.name = "p1", .placer = {}},
                                 &charts, BestFitScorer(), nullptr};
  Loop loop{
      PlannerLoopOptions{.process = "p1", .worker_lease = {}, .follower = {}},
      &planner, &table, &clock, &clock};
  std::vector<std::unique_ptr<FakeRuntime>> runtimes;
  std::vector<std::unique_ptr<Agent>> agents;
};

// Guards against a fault anywhere between the configuration document and
// finished tasks, with planner and agents together.
TEST_F(LoopTest, RunsAllDeclaredJobsAndServices) {
  this->Run(absl::Seconds(40));
  EXPECT_EQ(this->Task("plan.1.0").state, TaskState::kBlocked);
  this->Run(absl::Seconds(60));
  EXPECT_EQ(this->Task("stock.1.0").state, TaskState::kFinished);
  EXPECT_EQ(this->Task("stock.1.1").state, TaskState::kFinished);
  EXPECT_TRUE(this->Task("plan.1.0").IsPlaced());
  this->Run(absl::Seconds(80));
  EXPECT_EQ(this->Task("plan.1.0").state, TaskState::kFinished);
  for (const std::string id :
       {"watch.1.0", "watch.1.1", "check.1.0", "check.1.1"})
    EXPECT_TRUE(this->Task(id).IsPlaced()) << id;
  EXPECT_EQ(
      this->runtimes[0]->Running().size() + this->runtimes[1]->Running().size(),
      4u);
}

}  // namespace
}  // namespace cuminjunction
