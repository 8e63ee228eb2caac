#include "submission/place.h"

#include <algorithm>
#include <array>
#include <utility>

#include "submission/evacuation.h"

namespace cuminjunction {

namespace {

// Weights of the cost, in units of a fully used VM. A VM with an expected
// latency ratio above the bound is worse than a full one.
constexpr double kExcessRatioWeight = 10;
constexpr double kSameStepWeight = 0.05;

// Baseline assumed for a serving task that has not started yet.
constexpr double kDefaultBaseline = 0.5;

// Share of its processors that a serving task uses at its usual load. Filling
// tasks get the rest.
constexpr double kServingUtilization = 0.5;

// Share of the VM's processors.
double ShareOf(int64_t millicores, const Worker& worker) {
  return static_cast<double>(millicores) /
         static_cast<double>(
             std::max<int64_t>(1, worker.info.capacity.millicores));
}

// Load of the filling tasks on the VM at full pace.
FillingLoad FillingLoadOn(const Worker& worker) {
  FillingLoad filling;
  filling.reserve(worker.filling.size());
  for (const auto& [image, load] : worker.filling)
    filling.push_back({image, ShareOf(load.millicores, worker)});
  return filling;
}

// Capacity for filling tasks: what other tasks are expected to leave unused.
Size FillingCapacity(const Worker& worker, absl::Time now) {
  Size free_capacity = FreeCapacity(worker, now);
  free_capacity.millicores +=
      static_cast<int64_t>((1 - kServingUtilization) *
                           static_cast<double>(worker.serving_millicores)) -
      worker.filling_millicores;
  return free_capacity;
}

// Capacity of the VM that is kept for others.
Size ReservedCapacity(const Step& step,
                      const PlacementContext& context,
                      const Worker& worker,
                      absl::Time now) {
  const bool keeps_reserved = !step.long_running || context.keeps_reserved;
  return keeps_reserved && worker.reserved_until > now
             ? worker.held_for_moves + worker.reserved
             : worker.held_for_moves;
}

// Capacity of the VM that the step's tasks may use.
Size UsableCapacity(const Step& step,
                    const PlacementContext& context,
                    const Worker& worker,
                    absl::Time now) {
  const Size free_capacity =
      step.fills ? FillingCapacity(worker, now) : FreeCapacity(worker, now);
  return free_capacity - ReservedCapacity(step, context, worker, now);
}

PlacementObstacle FindEligibilityObstacle(const Step& step,
                                          const PlacementContext& context,
                                          const Worker& worker,
                                          absl::Time now) {
  if (!worker.usable)
    return PlacementObstacle::kUnusable;
  if (!worker.synced)
    return PlacementObstacle::kNotSynced;
  if (worker.info.draining)
    return PlacementObstacle::kDraining;
  if (worker.evacuated)
    return PlacementObstacle::kEvacuated;
  if (worker.info.service != context.service)
    return PlacementObstacle::kOtherService;
  if (worker.avoid_until > now ||
      (worker.isolated_until > now && !context.ignores_isolation))
    return PlacementObstacle::kAvoided;
  const auto& labels = worker.info.labels;
  if (!step.required_label.empty() &&
      std::find(labels.begin(), labels.end(), step.required_label) ==
          labels.end())
    return PlacementObstacle::kLabel;
  if (step.max_per_vm != 0 && context.same_step >= step.max_per_vm)
    return PlacementObstacle::kMaxPerVm;
  return PlacementObstacle::kNone;
}

}  // namespace

std::string_view ToString(PlacementObstacle obstacle) {
  static constexpr std::array<std::string_view, kPlacementObstacles> names = {
      "free",          "unusable", "not_synced",  "draining",   "evacuated",
      "other_service", "avoided",  "label",       "max_per_vm", "no_permit",
      "no_capacity",   "reserved", "interference"};
  return names.at(static_cast<size_t>(obstacle));
}

double UsedShare(const Worker& worker) {
  return ShareOf(worker.used.millicores + worker.filling_millicores, worker);
}

void RefreshLatencyOutlooks(const InterferenceModel& interference_model,
                            absl::Time now,
                            Worker* worker) {
  worker->latency_outlooks.clear();
  if (worker->serving.empty())
    return;
  const FillingLoad filling = FillingLoadOn(*worker);
  for (const auto& [image, load] : worker->serving) {
    double slowdown = 1;
    for (const FillingImage& filler : filling)
      slowdown +=
          interference_model.Interference(image, filler.image) * filler.share;
    worker->latency_outlooks.push_back(
        {image, interference_model.Baseline(worker->vm, image, now), slowdown});
  }
}

double ExcessLatencyRatio(const Step& step,
                          const Worker& worker,
                          const InterferenceModel& interference_model,
                          bool already_running) {
  double max_ratio = 0;
  if (step.latency_objective_ms > 0) {
    double slowdown = 1;
    for (const FillingImage& filler : FillingLoadOn(worker))
      slowdown += interference_model.Interference(step.image, filler.image) *
                  filler.share;
    max_ratio = kDefaultBaseline * slowdown;
  } else if (step.fills) {
    const double share =
        already_running ? 0 : ShareOf(step.size.millicores, worker);
    for (const LatencyOutlook& outlook : worker.latency_outlooks) {
      // An image with negligible interference may be placed also where other
      // images already raise the latency ratio above the bound.
      const double interference =
          interference_model.Interference(outlook.image, step.image);
      if (interference >= kNegligibleInterference)
        max_ratio =
            std::max(max_ratio, outlook.baseline *
                                    (outlook.slowdown + interference * share));
    }
  }
  return std::max(0.0, max_ratio - kMaxPlacementLatencyRatio);
}

Size FreeCapacity(const Worker& worker, absl::Time now) {
  const double share = OfferedShare(worker.full_capacity_at, now);
  if (share >= 1)
    return worker.info.capacity - worker.used;
  const auto part_of = [share](int64_t amount) {
    return static_cast<int64_t>(share * static_cast<double>(amount));
  };
  const Size& whole = worker.info.capacity;
  const Size offered{part_of(whole.millicores), part_of(whole.memory_mib),
                     part_of(whole.accelerators)};
  return offered - worker.used;
}

uint32_t CountRoom(const Step& step,
                   const PlacementContext& context,
                   const Worker& worker,
                   absl::Time now,
                   uint32_t limit) {
  const Size usable = UsableCapacity(step, context, worker, now);
  int64_t count = limit;
  for (const auto& [needed, available] :
       {std::pair(step.size.millicores, usable.millicores),
        std::pair(step.size.memory_mib, usable.memory_mib),
        std::pair(step.size.accelerators, usable.accelerators)}) {
    if (available < needed)
      return 0;
    if (needed > 0)
      count = std::min(count, available / needed);
  }
  if (step.max_per_vm != 0)
    count = std::min(count, int64_t{step.max_per_vm} - context.same_step);
  return static_cast<uint32_t>(std::max<int64_t>(0, count));
}

bool IsEligible(const Step& step,
                const PlacementContext& context,
                const Worker& worker,
                absl::Time now) {
  return FindEligibilityObstacle(step, context, worker, now) ==
         PlacementObstacle::kNone;
}

PlacementObstacle FindObstacle(const Step& step,
                               const PlacementContext& context,
                               const Worker& worker,
                               const InterferenceModel& interference_model,
                               absl::Time now) {
  const PlacementObstacle obstacle =
      FindEligibilityObstacle(step, context, worker, now);
  if (obstacle != PlacementObstacle::kNone)
    return obstacle;
  const Size free_capacity =
      step.fills ? FillingCapacity(worker, now) : FreeCapacity(worker, now);
  if (!Fits(step.size, free_capacity))
    return PlacementObstacle::kNoCapacity;
  if (!Fits(step.size, UsableCapacity(step, context, worker, now)))
    return PlacementObstacle::kReserved;
  if (step.fills && context.can_wait &&
      ExcessLatencyRatio(step, worker, interference_model,
                         /*already_running=*/false) > 0)
    return PlacementObstacle::kInterference;
  return PlacementObstacle::kNone;
}

std::optional<double> PlacementCost(const Step& step,
                                    const PlacementContext& context,
                                    const Worker& worker,
                                    const InterferenceModel& interference_model,
                                    absl::Time now) {
  if (!IsEligible(step, context, worker, now))
    return std::nullopt;
  if (!Fits(step.size, UsableCapacity(step, context, worker, now)))
    return std::nullopt;
  const double excess_ratio = ExcessLatencyRatio(
      step, worker, interference_model, /*already_running=*/false);
  if (step.fills && context.can_wait && excess_ratio > 0)
    return std::nullopt;
  double cost = kSameStepWeight * context.same_step + UsedShare(worker) +
                kExcessRatioWeight * excess_ratio;
  if (step.latency_objective_ms > 0) {
    for (const auto& [image, load] : worker.serving)
      cost += image == step.image ? -kOtherImageWeight : kOtherImageWeight;
  }
  if (context.failed_here)
    cost += kFailedHereWeight;
  if (worker.info.cold)
    cost += kColdWeight;
  const std::string& rack = RackOf(worker.info);
  if (!step.data_rack.empty() && rack != step.data_rack)
    cost += kOtherRackWeight;
  if (!context.rack.empty() && rack != context.rack)
    cost += kOtherRackWeight;
  return cost;
}

}  // namespace cuminjunction
