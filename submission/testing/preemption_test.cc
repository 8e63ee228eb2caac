#include "submission/preemption.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

PreemptionCandidate Candidate(uint32_t index,
                              int64_t millicores,
                              int64_t priority,
                              int64_t lost_work) {
  return {{kId, 0, 0, index}, {millicores, 100, 0}, priority, lost_work};
}

std::vector<uint32_t> Indexes(const PreemptionChoice& choice) {
  std::vector<uint32_t> indexes;
  for (const TaskRef& task : choice.victims)
    indexes.push_back(task.index);
  return indexes;
}

constexpr Size kNeeded = {3000, 100, 0};

// Guards against stops of short urgent tasks while a batch task would make
// enough room.
TEST(PreemptionTest, TasksOfLessUrgentQueuesAreStoppedFirst) {
  const auto choice =
      ChoosePreemption(kNeeded, {1000, 1000, 0},
                       {Candidate(0, 2000, 0, 5), Candidate(1, 2000, 2, 900)});
  ASSERT_TRUE(choice);
  EXPECT_EQ(Indexes(*choice), std::vector<uint32_t>{1});
  EXPECT_EQ(choice->cost.urgency, -2);
}

// Guards against stops of filling tasks, which free memory but no processors.
TEST(PreemptionTest, TasksThatFreeNothingNeededGoOn) {
  const auto choice =
      ChoosePreemption(kNeeded, {0, 1000, 0},
                       {Candidate(0, 0, 2, 0), Candidate(1, 500, 2, 1),
                        Candidate(2, 3000, 2, 9), Candidate(3, 0, 2, 2)});
  ASSERT_TRUE(choice);
  EXPECT_EQ(Indexes(*choice), std::vector<uint32_t>{2});
  EXPECT_EQ(choice->cost.lost_work, 9);
}

TEST(PreemptionTest, TheLeastWorkIsLostWithinAQueue) {
  const auto choice =
      ChoosePreemption(kNeeded, {0, 1000, 0},
                       {Candidate(0, 3000, 1, 400), Candidate(1, 3000, 1, 30)});
  ASSERT_TRUE(choice);
  EXPECT_EQ(Indexes(*choice), std::vector<uint32_t>{1});
}

// Guards against restarts of short tasks that would have ended before a
// long-running task could start in their place.
TEST(PreemptionTest, TasksThatEndSoonAreAwaited) {
  PreemptionCandidate ending = Candidate(0, 2000, 0, 100);
  ending.ends_soon = true;
  const auto partly = ChoosePreemption(
      kNeeded, {0, 1000, 0},
      {ending, Candidate(1, 1000, 2, 7), Candidate(2, 3000, 2, 5)});
  ASSERT_TRUE(partly);
  EXPECT_EQ(Indexes(*partly), std::vector<uint32_t>{2});
  const auto whole = ChoosePreemption(kNeeded, {1000, 1000, 0},
                                      {ending, Candidate(1, 3000, 2, 0)});
  ASSERT_TRUE(whole);
  EXPECT_TRUE(whole->victims.empty());
  EXPECT_LT(whole->cost, partly->cost);
}

// Guards against stops that do not help.
TEST(PreemptionTest, NothingIsStoppedWhereAllTogetherDoNotSuffice) {
  EXPECT_FALSE(
      ChoosePreemption(kNeeded, {0, 1000, 0},
                       {Candidate(0, 1000, 2, 0), Candidate(1, 1500, 2, 0)}));
}

// Guards against a choice of the VM by lost work alone, which would stop the
// urgent task that has just started.
TEST_F(SchedulerTest, ALongRunningTaskDisplacesBatchWork) {
  FleetPolicy policy = MakePolicy();
  policy.version = 2;
  Queue batch = policy.queues.front();
  batch.name = "batch";
  batch.priority = 2;
  policy.queues.push_back(batch);
  this->scheduler.SetPolicy(policy);
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  Step step = MakeStep(1, 3500);
  step.estimate_ms = 5000;
  Submission large = MakeSubmission("00000000000000b1", {step});
  large.queue = "batch";
  this->Add(large);
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  this->now += absl::Milliseconds(500);
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  this->Add(MakeSubmission("00000000000000b2", {step}));
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  this->now += absl::Milliseconds(10);
  Step lasting = MakeStep(1, 3000);
  lasting.long_running = true;
  this->Add(MakeSubmission(kId, {lasting}));
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.stops.size(), 1u);
  EXPECT_EQ(orders.stops[0].task.submission, "00000000000000b1");
  EXPECT_EQ(orders.stops[0].reason, "preempted");
}

}  // namespace
}  // namespace cuminjunction
