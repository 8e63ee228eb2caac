// Tests of gangs, whose tasks start together. The planner's work is counted
// instead of timed, so that the verdict does not depend on the machine.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/strings.h"
#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

constexpr char kOther[] = "00000000000000b2";
constexpr int kWorkers = 8;

// As in review/12.
constexpr uint32_t kWideGang = 24000;
constexpr int64_t kMemberMillicores = 5;

Step MakeGang(uint32_t count, const Size& size) {
  Step gang;
  gang.count = count;
  gang.size = size;
  gang.estimate_ms = 1000;
  gang.gang = true;
  return gang;
}

class SchedulerGangTest : public SchedulerTest {
 protected:
  void AddWorkers(int count, const Size& capacity) {
    for (int number = 0; number < count; ++number) {
      WorkerReport report = MakeReport(StrCat("vm-", number));
      report.info.capacity = capacity;
      this->scheduler.MergeReport(report, this->now);
    }
  }
};

TEST_F(SchedulerGangTest, GangStartsWholeOrNotAtAll) {
  Step step = MakeStep(5, 1000);
  step.gang = true;
  this->scheduler.MergeReport(MakeReport("vm-1"), this->now);
  this->Add(MakeSubmission(kId, {step}));
  EXPECT_TRUE(this->Plan().starts.empty());
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 5u);
  for (const StartOrder& start : orders.starts)
    EXPECT_EQ(start.run, 1u);
  // The end of one member completes all members.
  this->End(orders.starts[2], RunOutcome::kDone);
  const auto dirty = this->scheduler.TakeDirty();
  ASSERT_EQ(dirty.size(), 1u);
  EXPECT_EQ(dirty[0].second.state, SubmissionState::kCompleted);
}

// Guards against a wide gang that stops the work of all others (review/12): a
// plan took time in proportion to the square of the members.
TEST_F(SchedulerGangTest, TheWorkOfAPlanGrowsWithTheMembers) {
  this->AddWorkers(kWorkers, {16000, 62500, 0});
  this->Add(
      MakeSubmission(kId, {MakeGang(kWideGang, {kMemberMillicores, 0, 0})}));
  this->Add(MakeSubmission(kOther, {MakeStep(1, 100)}));
  const Orders orders = this->Plan();
  EXPECT_EQ(orders.starts.size(), kWideGang + 1);
  EXPECT_LE(orders.evaluations, 2u * kWideGang);
  EXPECT_LE(orders.counted_tasks, 2u * kWideGang);
}

// Guards against the same for a gang that is larger than the fleet, in each
// plan anew.
TEST_F(SchedulerGangTest, AGangWithoutRoomCostsLittle) {
  this->AddWorkers(kWorkers, {16000, 62500, 0});
  this->Add(MakeSubmission(
      kId, {MakeGang(2 * kWideGang, {kMemberMillicores, 0, 0})}));
  this->Add(MakeSubmission(kOther, {MakeStep(1, 100)}));
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 1u);
  EXPECT_EQ(orders.starts.front().task.submission, kOther);
  EXPECT_LE(orders.evaluations, 3u * kWorkers);
  EXPECT_LE(orders.counted_tasks, 3u * kWideGang);
}

// Guards against a gang that waits although it fits, and against one that
// starts in part or beyond the capacity of a VM.
RC_GTEST_FIXTURE_PROP(SchedulerGangTest, StartsIfAndOnlyIfAllMembersFit, ()) {
  const auto count = *rc::gen::inRange<uint32_t>(1, 40);
  const Size size{*rc::gen::inRange(0, 900), *rc::gen::inRange(0, 300),
                  *rc::gen::inRange(0, 2)};
  Step gang = MakeGang(count, size);
  gang.max_per_vm = *rc::gen::inRange<uint32_t>(0, 6);
  gang.single_rack = *rc::gen::arbitrary<bool>();
  int64_t room = 0;
  std::map<std::string, Size> capacities;
  for (int number = 0; number < kWorkers; ++number) {
    const Size capacity{*rc::gen::inRange(0, 4000), *rc::gen::inRange(0, 1000),
                        *rc::gen::inRange(0, 5)};
    WorkerReport report = MakeReport(StrCat("vm-", number));
    report.info.capacity = capacity;
    report.info.labels = {"a", StrCat("rack-", number % 3)};
    this->scheduler.MergeReport(report, this->now);
    capacities[report.vm] = capacity;
    int64_t here = gang.max_per_vm == 0 ? count : gang.max_per_vm;
    for (const auto& [needed, available] :
         {std::pair(size.millicores, capacity.millicores),
          std::pair(size.memory_mib, capacity.memory_mib),
          std::pair(size.accelerators, capacity.accelerators)}) {
      if (needed > 0)
        here = std::min(here, available / needed);
    }
    room += here;
  }
  this->Add(MakeSubmission(kId, {gang}));
  const Orders orders = this->Plan();
  RC_ASSERT(orders.starts.size() == (room >= count ? count : 0));
  std::map<std::string, uint32_t> members;
  for (const StartOrder& start : orders.starts) {
    RC_ASSERT(start.run == orders.starts.front().run);
    ++members[start.vm];
  }
  for (const auto& [vm, placed] : members) {
    RC_ASSERT(gang.max_per_vm == 0 || placed <= gang.max_per_vm);
    RC_ASSERT(placed * size.millicores <= capacities[vm].millicores);
    RC_ASSERT(placed * size.memory_mib <= capacities[vm].memory_mib);
    RC_ASSERT(placed * size.accelerators <= capacities[vm].accelerators);
  }
}

// Guards against members that count as placed after the gang was given up: the
// first filling task of a VM raises the expected latency above the bound for
// the next.
TEST_F(SchedulerGangTest, AGangThatInterferesLeavesNothingPlaced) {
  WorkerReport report = MakeReport("vm-1");
  report.info.capacity = {16000, 62500, 0};
  this->scheduler.MergeReport(report, this->now);
  Step serving = MakeStep(1, 8000);
  serving.long_running = true;
  serving.latency_objective_ms = 100;
  serving.image = "search";
  this->Add(MakeSubmission(kOther, {serving}));
  ASSERT_EQ(this->Plan().starts.size(), 1u);
  Step gang = MakeGang(4, {900, 10, 0});
  gang.fills = true;
  gang.image = "rebuild";
  this->Add(MakeSubmission(kId, {gang}));
  EXPECT_TRUE(this->Plan().starts.empty());
  EXPECT_EQ(this->scheduler.FindWorker("vm-1")->placed.size(), 1u);
  EXPECT_EQ(this->scheduler.FindWorker("vm-1")->filling_millicores, 0);
  // It may no longer wait.
  this->now += absl::Seconds(3);
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 4u);
  EXPECT_EQ(orders.starts.front().run, 1u);
}

}  // namespace
}  // namespace cuminjunction
