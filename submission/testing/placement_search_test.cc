#include "submission/placement_search.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "base/strings.h"

namespace cuminjunction {
namespace {

constexpr int64_t kCapacity = 1000;

std::unique_ptr<Worker> MakeWorker(int number, int64_t used, int rack) {
  auto worker = std::make_unique<Worker>();
  worker->vm = StrCat("vm-", absl::Dec(number, absl::kZeroPad3));
  worker->info.capacity = {kCapacity, kCapacity, 0};
  worker->info.labels = {"a", StrCat("rack-", rack)};
  worker->used = {used, used, 0};
  return worker;
}

// Cost as PlacementCost() composes it: never below the load of the VM, and
// higher off the preferred rack.
std::optional<double> Cost(const Worker& worker,
                           const std::string& rack,
                           int64_t size) {
  if (worker.used.millicores + size > kCapacity)
    return std::nullopt;
  return UsedShare(worker) +
         (rack.empty() || RackOf(worker.info) == rack ? 0 : kOtherRackWeight);
}

// Guards against a search that stops too early: each choice must cost as little
// as the cheapest VM of a full scan.
RC_GTEST_PROP(PlacementSearchTest, ChoosesAsCheaplyAsAFullScan, ()) {
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<Worker*> all;
  const auto count = *rc::gen::inRange(1, 12);
  for (int number = 0; number < count; ++number) {
    workers.push_back(MakeWorker(number,
                                 *rc::gen::inRange<int64_t>(0, kCapacity),
                                 *rc::gen::inRange(0, 3)));
    all.push_back(workers.back().get());
  }
  WorkerOrder order;
  order.Reset(all);
  const auto steps = *rc::gen::inRange(1, 5);
  for (int step = 0; step < steps; ++step) {
    const std::string rack = *rc::gen::element<std::string>("", "rack-0");
    const auto size = *rc::gen::inRange<int64_t>(1, 300);
    const auto evaluate = [&](Worker* worker) {
      return Cost(*worker, rack, size);
    };
    PlacementSearch search(&order, rack, /*serves=*/false);
    std::vector<Worker*> changed;
    const auto tasks = *rc::gen::inRange(1, 20);
    for (int task = 0; task < tasks; ++task) {
      std::optional<double> cheapest;
      for (const Worker* worker : all) {
        const auto cost = Cost(*worker, rack, size);
        if (cost && (!cheapest || *cost < *cheapest))
          cheapest = cost;
      }
      const auto choice = search.Cheapest(evaluate);
      RC_ASSERT(choice.has_value() == cheapest.has_value());
      if (!choice)
        break;
      RC_ASSERT(choice->cost == *cheapest);
      choice->worker->used.millicores += size;
      changed.push_back(choice->worker);
      search.OnPlaced(*choice, evaluate);
    }
    order.Reposition(changed);
  }
}

// Guards against a task that runs again where it has just failed although
// another VM has room, and against one that waits when none has.
TEST(PlacementSearchTest, TheVmOfAFailureIsTheLastChoice) {
  const auto idle = MakeWorker(1, 0, 0);
  const auto busy = MakeWorker(2, 500, 0);
  WorkerOrder order;
  order.Reset({idle.get(), busy.get()});
  const std::string rack;
  const auto evaluate = [&](Worker* worker) {
    return Cost(*worker, rack, 400);
  };
  PlacementSearch search(&order, rack, /*serves=*/false);
  auto choice = search.CheapestExcept("vm-001", evaluate);
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->worker, busy.get());
  busy->used.millicores += 400;
  search.OnPlaced(*choice, evaluate);
  choice = search.CheapestExcept("vm-001", evaluate);
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->worker, idle.get());
  EXPECT_GE(choice->cost, kFailedHereWeight);
}

// Guards against a step that is taken for hopeless because of another shape.
TEST(UnplaceableShapesTest, CoversOnlyWhatNeedsAsMuchOrMore) {
  UnplaceableShapes shapes;
  shapes.Add({"line", {500, 100, 0}, false, ""});
  EXPECT_TRUE(shapes.Covers({"line", {500, 100, 0}, false, ""}));
  EXPECT_TRUE(shapes.Covers({"line", {600, 100, 1}, false, ""}));
  EXPECT_FALSE(shapes.Covers({"line", {600, 90, 0}, false, ""}));
  EXPECT_FALSE(shapes.Covers({"other", {500, 100, 0}, false, ""}));
  EXPECT_FALSE(shapes.Covers({"line", {500, 100, 0}, true, ""}));
  // This image was to wait for a VM where it does not interfere; others fit,
  // and so does this one once it no longer waits.
  shapes.Add({"line", {500, 100, 0}, true, "plan-1"});
  EXPECT_TRUE(shapes.Covers({"line", {500, 100, 0}, true, "plan-1"}));
  EXPECT_FALSE(shapes.Covers({"line", {500, 100, 0}, true, "plan-2"}));
  EXPECT_FALSE(shapes.Covers({"line", {500, 100, 0}, true, ""}));
}

}  // namespace
}  // namespace cuminjunction
