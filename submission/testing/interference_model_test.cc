#include "submission/interference_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "submission/pace.h"
#include "submission/place.h"

namespace cuminjunction {
namespace {

const absl::Time kBegin = absl::FromUnixSeconds(100);
constexpr absl::Duration kSampleInterval = absl::Milliseconds(500);

// Many more images than estimates are kept.
constexpr int kManyImages = 20000;
constexpr size_t kMaxKept = 4001;

// More pairs than a test has.
constexpr size_t kAll = 1000000;

// A VM with one serving image, whose latency ratio follows the model exactly.
struct EmulatedVm {
  std::string vm;
  std::string serving;
  std::map<std::string, double> interference;
  double baseline = 0.5;

  double LatencyRatio(const FillingLoad& filling) const {
    double slowdown = 1;
    for (const FillingImage& filler : filling)
      slowdown += this->interference.at(filler.image) * filler.share;
    return this->baseline * slowdown;
  }
};

// Load pattern: two filling images that mostly run together, one of which
// interferes; the other also runs alone. Guards against attributing the
// interference to the wrong one of two co-located images.
TEST(InterferenceModelTest, IdentifiesTheInterferingImage) {
  const EmulatedVm vm{"vm-1", "search", {{"bad", 6}, {"good", 0}}};
  InterferenceModel interference_model;
  absl::Time now = kBegin;
  for (int sample = 0; sample < 20; ++sample) {
    for (const FillingLoad& load : {FillingLoad{{"bad", 0.2}, {"good", 0.2}},
                                    FillingLoad{{"good", 0.2}}}) {
      interference_model.AddSample("vm-1", "search", vm.LatencyRatio(load),
                                   load, now);
      now += kSampleInterval;
    }
  }
  EXPECT_NEAR(interference_model.Interference("search", "bad"), 6, 1.5);
  EXPECT_LT(interference_model.Interference("search", "good"), 1);
  // Another serving image is a separate pair.
  EXPECT_DOUBLE_EQ(interference_model.Interference("lookup", "bad"),
                   interference_model.Interference("lookup", "unseen"));
}

// Load pattern: the load of a serving task doubles and halves within seconds
// beside an image that does not interfere. Guards against attributing load
// changes to the co-located image.
TEST(InterferenceModelTest, LoadChangesAreNotAttributedToTheFillingImage) {
  EmulatedVm vm{"vm-1", "search", {{"good", 0}}};
  InterferenceModel interference_model;
  absl::Time now = kBegin;
  for (int sample = 0; sample < 120; ++sample) {
    const int phase = sample % 28;
    vm.baseline = 0.28 + 0.4 * std::min(phase, 28 - phase) / 14.0;
    const FillingLoad load{{"good", 0.1 + 0.05 * (sample % 5)}};
    interference_model.AddSample("vm-1", "search", vm.LatencyRatio(load), load,
                                 now);
    now += kSampleInterval;
  }
  EXPECT_LT(interference_model.Interference("search", "good"), 1.2);
}

// Guards against estimates that take more memory with each release of an image
// (review/11), and against the loss of those in use.
TEST(InterferenceModelTest, TheLatestEstimatesOfManyImagesAreKept) {
  InterferenceModel interference_model;
  absl::Time now = kBegin;
  for (int image = 0; image < kManyImages; ++image) {
    interference_model.AddSample("vm-1", "search", 0.5,
                                 {{std::to_string(image), 0.2}}, now);
    now += absl::Milliseconds(1);
  }
  const auto latest = interference_model.Export(3);
  ASSERT_EQ(latest.size(), 3u);
  EXPECT_EQ(latest[0].filling, std::to_string(kManyImages - 1));
  EXPECT_EQ(latest[2].filling, std::to_string(kManyImages - 3));
  EXPECT_LE(interference_model.Export(kAll).size(), kMaxKept);
}

// Guards against lowering the coefficient of an image whose effect is small
// only because it is paced: it would be raised and slowed down in turns
// indefinitely.
TEST(InterferenceModelTest, LowLatencyBesideAPacedImageKeepsItsCoefficient) {
  const EmulatedVm vm{"vm-1", "search", {{"bad", 6}}};
  InterferenceModel interference_model;
  absl::Time now = kBegin;
  for (int sample = 0; sample < 20; ++sample) {
    const FillingLoad load{{"bad", 0.3}};
    interference_model.AddSample("vm-1", "search", vm.LatencyRatio(load), load,
                                 now);
    now += kSampleInterval;
  }
  for (int sample = 0; sample < 50; ++sample) {
    const FillingLoad load{{"bad", 0.01}};
    interference_model.AddSample("vm-1", "search", vm.LatencyRatio(load), load,
                                 now);
    now += kSampleInterval;
  }
  EXPECT_GT(interference_model.Interference("search", "bad"), 4);
}

// Guards against samples of a runner that hangs: its latencies carry no
// information about interference.
TEST(InterferenceModelTest, SamplesOfAHangingRunnerAreIgnored) {
  InterferenceModel interference_model;
  interference_model.AddSample("vm-1", "search", 400, {{"good", 0.2}}, kBegin);
  EXPECT_TRUE(interference_model.Export(kAll).empty());
  EXPECT_DOUBLE_EQ(interference_model.Baseline("vm-1", "search", kBegin),
                   interference_model.Baseline("vm-2", "search", kBegin));
}

// Guards against a new planner whose priors replace the estimates of agents,
// and against agents that lose the planner's estimates.
TEST(InterferenceModelTest, MergeKeepsTheEstimateWithTheLowerVariance) {
  const EmulatedVm vm{"vm-1", "search", {{"bad", 6}}};
  InterferenceModel trained;
  absl::Time now = kBegin;
  for (int sample = 0; sample < 30; ++sample) {
    const FillingLoad load{{"bad", 0.1 + 0.1 * (sample % 3)}};
    trained.AddSample("vm-1", "search", vm.LatencyRatio(load), load, now);
    now += kSampleInterval;
  }
  const double learned = trained.Interference("search", "bad");
  InterferenceModel untrained;
  untrained.AddSample("vm-2", "search", 0.4, {{"bad", 0.01}}, now);
  ASSERT_NE(untrained.Interference("search", "bad"), learned);
  trained.Merge(untrained.Export(kAll));
  EXPECT_DOUBLE_EQ(trained.Interference("search", "bad"), learned);
  untrained.Merge(trained.Export(kAll));
  EXPECT_DOUBLE_EQ(untrained.Interference("search", "bad"), learned);
}

// Guards against decisions by a baseline older than half the period in which
// the load changes by half.
TEST(InterferenceModelTest, AnOldBaselineIsDiscarded) {
  InterferenceModel interference_model;
  for (int sample = 0; sample < 6; ++sample)
    interference_model.AddSample("vm-1", "search", 0.8, {},
                                 kBegin + sample * kSampleInterval);
  EXPECT_NEAR(interference_model.Baseline("vm-1", "search",
                                          kBegin + 5 * kSampleInterval),
              0.8, 0.1);
  EXPECT_DOUBLE_EQ(
      interference_model.Baseline("vm-1", "search", kBegin + absl::Seconds(30)),
      interference_model.Baseline("vm-2", "search", kBegin));
}

// Runs pacing against an emulated VM for `length` and returns how long the
// latency ratio was above 1.
absl::Duration RunPacing(EmulatedVm* vm,
                         const FillingLoad& full,
                         absl::Duration length,
                         InterferenceModel* interference_model,
                         absl::Time* now,
                         std::map<std::string, ImagePace>* paces) {
  constexpr absl::Duration step = absl::Milliseconds(400);
  absl::Duration over;
  absl::Time over_limit_since = absl::InfiniteFuture();
  const absl::Time end = *now + length;
  for (; *now < end; *now += step) {
    FillingLoad used = full;
    for (FillingImage& filler : used) {
      const auto pace = paces->find(filler.image);
      if (pace != paces->end())
        filler.share *= pace->second.percent / 100.0;
    }
    const double latency_ratio = vm->LatencyRatio(used);
    if (latency_ratio <= 1)
      over_limit_since = absl::InfiniteFuture();
    else
      over_limit_since = std::min(over_limit_since, *now);
    if (latency_ratio > 1)
      over += step;
    interference_model->AddSample(vm->vm, vm->serving, latency_ratio, used,
                                  *now);
    UpdatePaces(vm->vm, {{vm->serving, latency_ratio, over_limit_since}}, full,
                *interference_model, *now, paces);
  }
  return over;
}

// Load pattern: an interfering image and one that does not interfere start
// beside a serving task. Guards the users' rule that filling tasks must not
// keep a serving task over its limit for 4 s.
TEST(PaceTest, TheInterferingImageSlowsDownWithinTwoSecondsAndTheOtherDoesNot) {
  EmulatedVm vm{"vm-1", "search", {{"bad", 8}, {"good", 0}}};
  InterferenceModel interference_model;
  absl::Time now = kBegin;
  for (int sample = 0; sample < 10; ++sample) {
    const FillingLoad load{{"good", 0.3}};
    interference_model.AddSample("vm-1", "search", vm.LatencyRatio(load), load,
                                 now);
    now += kSampleInterval;
  }
  std::map<std::string, ImagePace> paces;
  const FillingLoad full{{"bad", 0.4}, {"good", 0.3}};
  const absl::Duration over =
      RunPacing(&vm, full, absl::Seconds(6), &interference_model, &now, &paces);
  EXPECT_LE(over, absl::Seconds(2));
  EXPECT_LT(paces["bad"].percent, 40);
  EXPECT_EQ(paces["good"].percent, 100);
}

// Load pattern: the load of the serving task changes by half within 7 s. Guards
// against raising the share too slowly, which wastes the capacity that is
// available at low load.
TEST(PaceTest, ASlowedImageSpeedsUpWithinTwoSecondsOfAFallingLoad) {
  EmulatedVm vm{"vm-1", "search", {{"bad", 4}}};
  InterferenceModel interference_model;
  absl::Time now = kBegin;
  std::map<std::string, ImagePace> paces;
  const FillingLoad full{{"bad", 0.4}};
  vm.baseline = 0.75;
  RunPacing(&vm, full, absl::Seconds(10), &interference_model, &now, &paces);
  EXPECT_LT(paces["bad"].percent, 35);
  vm.baseline = 0.28;
  RunPacing(&vm, full, absl::Seconds(2), &interference_model, &now, &paces);
  EXPECT_GT(paces["bad"].percent, 80);
}

// Load pattern: a serving task is near its limit because of its own load,
// beside an image that does not interfere. Guards against pacing that image
// without effect.
TEST(PaceTest, AnImageWithoutInterferenceIsNotPacedBesideABusyServingTask) {
  EmulatedVm vm{"vm-1", "search", {{"good", 0}}};
  InterferenceModel interference_model;
  absl::Time now = kBegin;
  std::map<std::string, ImagePace> paces;
  vm.baseline = 0.5;
  RunPacing(&vm, {{"good", 0.3}}, absl::Seconds(20), &interference_model, &now,
            &paces);
  vm.baseline = 0.95;
  RunPacing(&vm, {{"good", 0.3}}, absl::Seconds(10), &interference_model, &now,
            &paces);
  EXPECT_EQ(paces["good"].percent, 100);
}

// Guards against a latency ratio that stays above 1 because the model
// attributes it to other causes.
TEST(PaceTest, AllFillingImagesStopBesideALatencyThatStaysOverItsLimit) {
  const InterferenceModel interference_model;
  std::map<std::string, ImagePace> paces;
  UpdatePaces("vm-1", {{"search", 1.05, kBegin - absl::Seconds(2)}},
              {{"good", 0.01}}, interference_model, kBegin, &paces);
  EXPECT_EQ(paces["good"].percent, 0);
}

Worker MakeWorker(const std::string& vm, const std::string& serving) {
  Worker worker;
  worker.vm = vm;
  worker.info.service = "line";
  worker.info.capacity = {16000, 64000, 0};
  worker.usable = true;
  worker.synced = true;
  if (!serving.empty()) {
    PlacedTask placed;
    placed.size = {4000, 1000, 0};
    placed.serves = true;
    placed.image = serving;
    Occupy(&worker, {"00000000000000a1", 0, 0, 0}, placed);
  }
  return worker;
}

class FillingPlacementTest : public testing::Test {
 protected:
  FillingPlacementTest() {
    this->step.count = 1;
    this->step.size = {2000, 1000, 0};
    this->step.fills = true;
    this->step.image = "rebuild";
    this->context.service = "line";
  }

  // Adds samples of both pairs: the filling image interferes with "search" but
  // not with "lookup".
  void Learn() {
    for (int sample = 0; sample < 20; ++sample) {
      const FillingLoad load{{"rebuild", 0.1 + 0.1 * (sample % 3)}};
      const EmulatedVm affected{"vm-1", "search", {{"rebuild", 6}}};
      const EmulatedVm unaffected{"vm-2", "lookup", {{"rebuild", 0}}};
      this->interference_model.AddSample(
          "vm-1", "search", affected.LatencyRatio(load), load, this->now);
      this->interference_model.AddSample(
          "vm-2", "lookup", unaffected.LatencyRatio(load), load, this->now);
      this->now += kSampleInterval;
    }
  }

  std::optional<double> Cost(Worker worker) const {
    RefreshLatencyOutlooks(this->interference_model, this->now, &worker);
    return PlacementCost(this->step, this->context, worker,
                         this->interference_model, this->now);
  }

  Step step;
  PlacementContext context;
  InterferenceModel interference_model;
  absl::Time now = kBegin;
};

// Load pattern: a filling task arrives where some VMs serve an image that it
// interferes with and others do not. Guards against placing it on the former.
TEST_F(FillingPlacementTest, AvoidsTheImageItInterferesWith) {
  this->Learn();
  const auto affected = this->Cost(MakeWorker("vm-1", "search"));
  const auto unaffected = this->Cost(MakeWorker("vm-2", "lookup"));
  ASSERT_TRUE(affected);
  ASSERT_TRUE(unaffected);
  EXPECT_LT(*unaffected, *affected);
  // If the task can wait, the VM with the affected image is not used at all.
  this->context.can_wait = true;
  EXPECT_FALSE(this->Cost(MakeWorker("vm-1", "search")));
  EXPECT_TRUE(this->Cost(MakeWorker("vm-2", "lookup")));
}

// Load pattern: a filling image interferes with all serving images, whose loads
// vary. Guards against waiting for a VM without interference while the load of
// one is low enough.
TEST_F(FillingPlacementTest, UsesAVmWhoseServingTaskIsAtALowLoad) {
  this->Learn();
  this->context.can_wait = true;
  for (int sample = 0; sample < 6; ++sample) {
    this->interference_model.AddSample("vm-3", "search", 0.28, {}, this->now);
    this->now += kSampleInterval;
  }
  EXPECT_TRUE(this->Cost(MakeWorker("vm-3", "search")));
  // The margin below the bound is not allocated twice.
  Worker used = MakeWorker("vm-3", "search");
  PlacedTask placed;
  placed.size = {3000, 1000, 0};
  placed.fills = true;
  placed.image = "rebuild";
  Occupy(&used, {"00000000000000b2", 0, 0, 0}, placed);
  EXPECT_FALSE(this->Cost(used));
}

// Load pattern: serving tasks of several images arrive on an empty fleet.
// Guards against spreading them, which leaves no VM to filling tasks that
// interfere with some of the images.
TEST(PlaceTest, ServingTasksOfOneImageArePacked) {
  const InterferenceModel interference_model;
  Step step;
  step.count = 1;
  step.size = {4000, 1000, 0};
  step.latency_objective_ms = 50;
  step.image = "search";
  PlacementContext context;
  context.service = "line";
  const absl::Time now = kBegin;
  const auto same = PlacementCost(step, context, MakeWorker("vm-1", "search"),
                                  interference_model, now);
  const auto empty = PlacementCost(step, context, MakeWorker("vm-2", ""),
                                   interference_model, now);
  const auto other = PlacementCost(step, context, MakeWorker("vm-3", "lookup"),
                                   interference_model, now);
  EXPECT_LT(*same, *empty);
  EXPECT_LT(*empty, *other);
}

}  // namespace
}  // namespace cuminjunction
