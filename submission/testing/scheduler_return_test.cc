// Tests of the return of a failure domain after its evacuation.

#include <gtest/gtest.h>

#include <string>

#include "base/strings.h"
#include "submission/testing/scheduler_fixture.h"

namespace cuminjunction {
namespace {

WorkerReport MakeReportIn(const std::string& vm, const std::string& domain) {
  WorkerReport report = MakeReport(vm);
  report.info.failure_domain = domain;
  return report;
}

class SchedulerReturnTest : public SchedulerTest {
 protected:
  // Starts batch tasks of a tenth of a VM until nothing fits, and returns how
  // many were started.
  size_t Fill() {
    this->Add(MakeSubmission(StrCat("00000000000000", ++this->number),
                             {MakeStep(20, 400)}));
    return this->Plan().starts.size();
  }

  int number = 10;
};

// Guards against a burst of which all tasks start on the empty and cold VMs of
// a domain that has just returned.
TEST_F(SchedulerReturnTest, AReturningDomainOffersAGrowingShare) {
  this->scheduler.MergeReport(MakeReportIn("vm-1", "erie-a"), this->now);
  this->scheduler.SetEvacuations({{"erie-a", "erie-b"}}, this->now);
  EXPECT_EQ(this->Fill(), 0u);
  this->scheduler.SetEvacuations({{"erie-b"}}, this->now);
  EXPECT_EQ(this->Plan().starts.size(), 2u);
  // Neither the same set again, nor a report, begins the return anew.
  this->now += absl::Seconds(2);
  this->scheduler.SetEvacuations({{"erie-b"}}, this->now);
  this->scheduler.UpdateInfo("vm-1", MakeReportIn("vm-1", "erie-a").info, true);
  EXPECT_EQ(this->Plan().starts.size(), 4u);
  this->now += absl::Seconds(2);
  EXPECT_EQ(this->Plan().starts.size(), 4u);
}

// Guards against a domain that is taken for returned during its second
// evacuation, and against a second return without a limit.
TEST_F(SchedulerReturnTest, ADomainThatIsEvacuatedAgainReturnsAgain) {
  this->scheduler.MergeReport(MakeReportIn("vm-1", "erie-a"), this->now);
  this->scheduler.SetEvacuations({{"erie-a"}}, this->now);
  this->scheduler.SetEvacuations({}, this->now);
  this->now += absl::Seconds(1);
  this->scheduler.SetEvacuations({{"erie-a"}}, this->now);
  this->now += absl::Seconds(9);
  EXPECT_EQ(this->Fill(), 0u);
  this->scheduler.SetEvacuations({}, this->now);
  EXPECT_EQ(this->Plan().starts.size(), 2u);
}

// Guards against work that is stopped for room on a VM that offers more of its
// capacity a moment later.
TEST_F(SchedulerReturnTest, NothingIsPreemptedInAReturningDomain) {
  this->scheduler.MergeReport(MakeReportIn("vm-1", "erie-a"), this->now);
  EXPECT_EQ(this->Fill(), 10u);
  this->scheduler.SetEvacuations({{"erie-a"}}, this->now);
  Step step = MakeStep(1, 900);
  step.long_running = true;
  this->Add(MakeSubmission(kId, {step}));
  EXPECT_TRUE(this->Plan().stops.empty());
  this->scheduler.SetEvacuations({}, this->now);
  EXPECT_TRUE(this->Plan().stops.empty());
  this->now += kReturnDuration;
  EXPECT_EQ(this->Plan().stops.size(), 3u);
}

// Guards against tasks that start on a cold runner while a warm one has room,
// and against a cold one that is left idle when no other has.
TEST_F(SchedulerReturnTest, ColdRunnersAreChosenLast) {
  WorkerReport cold = MakeReport("vm-1");
  cold.info.cold = true;
  this->scheduler.MergeReport(cold, this->now);
  this->scheduler.MergeReport(MakeReport("vm-2"), this->now);
  this->Add(MakeSubmission(kId, {MakeStep(12, 400)}));
  const Orders orders = this->Plan();
  ASSERT_EQ(orders.starts.size(), 12u);
  for (size_t i = 0; i < 12; ++i)
    EXPECT_EQ(orders.starts[i].vm, i < 10 ? "vm-2" : "vm-1");
}

// Guards against VMs of a returning domain that stay limited under a planner
// that has taken over and can't know when the evacuation ended.
TEST_F(SchedulerReturnTest, ANewPlannerDoesNotLimitADomainItDidNotKnow) {
  this->scheduler.SetEvacuations({{"erie-b"}}, this->now);
  this->scheduler.MergeReport(MakeReportIn("vm-1", "erie-a"), this->now);
  EXPECT_EQ(this->Fill(), 10u);
}

}  // namespace
}  // namespace cuminjunction
