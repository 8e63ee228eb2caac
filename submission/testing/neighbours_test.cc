#include "submission/neighbours.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "submission/pace.h"
#include "submission/place.h"

namespace cuminjunction {
namespace {

// Load pattern: two filling images always seen together, one of which disturbs;
// the other is also seen alone.
TEST(NeighboursTest, TellsTheDisturbingImageFromItsCompany) {
  Neighbours neighbours;
  for (int look = 0; look < 20; ++look) {
    neighbours.Observe("search", 1.5, {{"bad", 2, true}, {"good", 2, true}});
    neighbours.Observe("search", 0.4, {{"good", 2, true}});
  }
  EXPECT_GT(neighbours.Harm("search", "bad"), 0.6);
  EXPECT_LT(neighbours.Harm("search", "good"), 0.2);
  // Another serving image is another pair.
  EXPECT_DOUBLE_EQ(neighbours.Harm("lookup", "bad"),
                   neighbours.Harm("lookup", "unseen"));
}

// Guards against clearing an image that is quiet only because it is slowed
// down: the pair would then be used and slowed down in turns for ever.
TEST(NeighboursTest, AQuietTailBesideASlowedImageClearsNobody) {
  Neighbours neighbours;
  for (int look = 0; look < 10; ++look)
    neighbours.Observe("search", 1.5, {{"bad", 2, true}});
  const double harm = neighbours.Harm("search", "bad");
  for (int look = 0; look < 50; ++look)
    neighbours.Observe("search", 0.4, {{"bad", 0.5, false}});
  EXPECT_DOUBLE_EQ(neighbours.Harm("search", "bad"), harm);
}

TEST(NeighboursTest, ExportedEvidenceGivesTheSameHarm) {
  Neighbours teacher;
  for (int look = 0; look < 10; ++look)
    teacher.Observe("search", 1.5, {{"bad", 2, true}});
  Neighbours pupil;
  pupil.Adopt(teacher.Export());
  EXPECT_NEAR(pupil.Harm("search", "bad"), teacher.Harm("search", "bad"), 1e-6);
}

// Guards against the users' rule that a serving task must not stay over its
// limit for 4 s because of what fills beside it.
TEST(PaceTest, TheSuspectImageSlowsDownWithinTwoSecondsAndTheOtherDoesNot) {
  Neighbours neighbours;
  for (int look = 0; look < 10; ++look) {
    neighbours.Observe("search", 1.5, {{"bad", 2, true}});
    neighbours.Observe("search", 0.4, {{"good", 2, true}});
  }
  std::map<std::string, Pace> paces;
  absl::Time now = absl::FromUnixSeconds(100);
  const absl::Time begin = now;
  while (now < begin + absl::Seconds(2)) {
    UpdatePaces({{"search", 2.0}}, {{"bad", 2, true}, {"good", 2, true}},
                neighbours, now, &paces);
    now += absl::Milliseconds(400);
  }
  EXPECT_LT(paces["bad"].percent, 15);
  EXPECT_EQ(paces["good"].percent, 100);
  // It speeds up again once the tail is well below the limit.
  while (now < begin + absl::Seconds(10)) {
    UpdatePaces({{"search", 0.4}}, {{"bad", 2, true}}, neighbours, now, &paces);
    now += absl::Milliseconds(400);
  }
  EXPECT_EQ(paces["bad"].percent, 100);
}

Worker MakeWorker(const std::string& vm, const std::string& serving) {
  Worker worker;
  worker.vm = vm;
  worker.info.service = "line";
  worker.info.capacity = {16000, 64000, 0};
  worker.usable = true;
  worker.synced = true;
  if (!serving.empty()) {
    Placed placed;
    placed.size = {4000, 1000, 0};
    placed.serves = true;
    placed.image = serving;
    Occupy(&worker, {"00000000000000a1", 0, 0, 0}, placed);
  }
  return worker;
}

// Load pattern: a filling task arrives where some VMs serve an image that it
// disturbs and others do not.
TEST(PlaceTest, FillingTaskAvoidsTheImageItDisturbs) {
  Neighbours neighbours;
  for (int look = 0; look < 10; ++look) {
    neighbours.Observe("search", 1.5, {{"rebuild", 2, true}});
    neighbours.Observe("lookup", 0.4, {{"rebuild", 2, true}});
  }
  Step step;
  step.count = 1;
  step.size = {2000, 1000, 0};
  step.fills = true;
  step.image = "rebuild";
  PlacementNeed need;
  need.service = "line";
  const absl::Time now = absl::FromUnixSeconds(100);
  const auto harmed =
      PlacementCost(step, need, MakeWorker("vm-1", "search"), neighbours, now);
  const auto spared =
      PlacementCost(step, need, MakeWorker("vm-2", "lookup"), neighbours, now);
  ASSERT_TRUE(harmed);
  ASSERT_TRUE(spared);
  EXPECT_LT(*spared, *harmed);
  // With time to wait, the harmful VM is not used at all.
  need.can_wait = true;
  EXPECT_FALSE(
      PlacementCost(step, need, MakeWorker("vm-1", "search"), neighbours, now));
  EXPECT_TRUE(
      PlacementCost(step, need, MakeWorker("vm-2", "lookup"), neighbours, now));
}

// Load pattern: serving tasks of several images arrive on an empty fleet.
TEST(PlaceTest, ServingTasksOfOneImageAreGathered) {
  const Neighbours neighbours;
  Step step;
  step.count = 1;
  step.size = {4000, 1000, 0};
  step.latency_objective_ms = 50;
  step.image = "search";
  PlacementNeed need;
  need.service = "line";
  const absl::Time now = absl::FromUnixSeconds(100);
  const auto same =
      PlacementCost(step, need, MakeWorker("vm-1", "search"), neighbours, now);
  const auto empty =
      PlacementCost(step, need, MakeWorker("vm-2", ""), neighbours, now);
  const auto other =
      PlacementCost(step, need, MakeWorker("vm-3", "lookup"), neighbours, now);
  EXPECT_LT(*same, *empty);
  EXPECT_LT(*empty, *other);
}

}  // namespace
}  // namespace cuminjunction
