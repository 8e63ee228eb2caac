#include "fleet/vacant_workers.h"

#include <gtest/gtest.h>

namespace cuminjunction {
namespace {

// Guards against a grant to a worker whose row still says that nothing runs
// there: the next planner would not wait for it.
TEST(VacantWorkersTest, AWorkerIsVacantUntilTheRemovalIsStored) {
  VacantWorkers vacant;
  EXPECT_FALSE(vacant.Contains("vm-1"));
  EXPECT_FALSE(vacant.StartRemoval("vm-1"));
  EXPECT_TRUE(vacant.Add("vm-1"));
  EXPECT_FALSE(vacant.Add("vm-1"));
  const auto removal = vacant.StartRemoval("vm-1");
  ASSERT_TRUE(removal);
  EXPECT_FALSE(vacant.StartRemoval("vm-1"));
  EXPECT_TRUE(vacant.Contains("vm-1"));
  EXPECT_TRUE(vacant.OnRemoved("vm-1", *removal));
  EXPECT_FALSE(vacant.Contains("vm-1"));
}

// Guards against a removal that hides that the worker became vacant again while
// it was under way.
TEST(VacantWorkersTest, AWorkerThatIsVacantAgainKeepsItsRow) {
  VacantWorkers vacant;
  vacant.Load("vm-1");
  const auto removal = vacant.StartRemoval("vm-1");
  ASSERT_TRUE(removal);
  EXPECT_TRUE(vacant.Add("vm-1"));
  EXPECT_FALSE(vacant.OnRemoved("vm-1", *removal));
  EXPECT_TRUE(vacant.Contains("vm-1"));
}

// Guards against a grant to a worker whose row is stored: the removal of an
// earlier row was taken for the one that is under way.
TEST(VacantWorkersTest, AnEarlierRemovalDoesNotAllowGrants) {
  VacantWorkers vacant;
  vacant.Load("vm-1");
  const auto first = vacant.StartRemoval("vm-1");
  ASSERT_TRUE(first);
  EXPECT_TRUE(vacant.Add("vm-1"));
  const auto second = vacant.StartRemoval("vm-1");
  ASSERT_TRUE(second);
  EXPECT_FALSE(vacant.OnRemoved("vm-1", *first));
  EXPECT_TRUE(vacant.Contains("vm-1"));
  EXPECT_TRUE(vacant.OnRemoved("vm-1", *second));
  EXPECT_FALSE(vacant.Contains("vm-1"));
}

}  // namespace
}  // namespace cuminjunction
