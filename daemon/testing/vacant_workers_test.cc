#include "daemon/vacant_workers.h"

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
  EXPECT_TRUE(vacant.StartRemoval("vm-1"));
  EXPECT_FALSE(vacant.StartRemoval("vm-1"));
  EXPECT_TRUE(vacant.Contains("vm-1"));
  EXPECT_TRUE(vacant.OnRemoved("vm-1"));
  EXPECT_FALSE(vacant.Contains("vm-1"));
}

// Guards against a removal that hides that the worker became vacant again while
// it was under way.
TEST(VacantWorkersTest, AWorkerThatIsVacantAgainKeepsItsRow) {
  VacantWorkers vacant;
  vacant.Load("vm-1");
  EXPECT_TRUE(vacant.StartRemoval("vm-1"));
  EXPECT_TRUE(vacant.Add("vm-1"));
  EXPECT_FALSE(vacant.OnRemoved("vm-1"));
  EXPECT_TRUE(vacant.Contains("vm-1"));
}

}  // namespace
}  // namespace cuminjunction
