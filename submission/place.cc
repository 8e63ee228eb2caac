#include "submission/place.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// Weights of the cost, in units of a fully used VM. A VM where the task failed
// is the last choice; a VM where it would disturb or be disturbed is worse than
// a full one; data on another rack makes the task up to three times as long.
constexpr double kFailedHere = 100;
constexpr double kDisturbance = 10;
constexpr double kOtherRack = 3;
constexpr double kSameStep = 0.05;

// Serving tasks of one image are gathered, so that filling images find VMs
// where they disturb nobody. The weight makes a nearly full VM with the image
// better than an empty one.
constexpr double kOtherImage = 1.5;

// Share of its processors that a serving task uses at its usual load. Filling
// tasks get what it leaves.
constexpr double kServingUse = 0.5;

double UsedShare(const Worker& worker) {
  const double capacity = static_cast<double>(
      std::max<int64_t>(1, worker.info.capacity.millicores));
  return static_cast<double>(worker.used.millicores + worker.fill_millicores) /
         capacity;
}

// The room for filling tasks: what others are expected to leave unused.
Size LeftOver(const Worker& worker) {
  Size room = FreeRoom(worker);
  room.millicores +=
      static_cast<int64_t>((1 - kServingUse) *
                           static_cast<double>(worker.serving_millicores)) -
      worker.fill_millicores;
  return room;
}

}  // namespace

double HarmOn(const Step& step,
              const Worker& worker,
              const Neighbours& neighbours) {
  double harm = 0;
  if (step.latency_objective_ms > 0) {
    for (const auto& [image, count] : worker.filling)
      harm = std::max(harm, neighbours.Harm(step.image, image));
  } else if (step.fills) {
    for (const auto& [image, count] : worker.serving)
      harm = std::max(harm, neighbours.Harm(image, step.image));
  }
  return harm;
}

Size FreeRoom(const Worker& worker) {
  return worker.info.capacity - worker.used;
}

bool MayRun(const Step& step,
            const PlacementNeed& need,
            const Worker& worker,
            absl::Time now) {
  if (!worker.usable || !worker.synced || worker.info.draining ||
      worker.info.service != need.service || worker.avoid_until > now)
    return false;
  const auto& labels = worker.info.labels;
  if (!step.required_label.empty() &&
      std::find(labels.begin(), labels.end(), step.required_label) ==
          labels.end())
    return false;
  return step.max_per_vm == 0 || need.same_step < step.max_per_vm;
}

std::optional<double> PlacementCost(const Step& step,
                                    const PlacementNeed& need,
                                    const Worker& worker,
                                    const Neighbours& neighbours,
                                    absl::Time now) {
  if (!MayRun(step, need, worker, now))
    return std::nullopt;
  Size room = step.fills ? LeftOver(worker) : FreeRoom(worker);
  if (!step.long_running && worker.reserved_until > now)
    room = room - worker.reserved;
  if (!Fits(step.size, room))
    return std::nullopt;
  const double harm = HarmOn(step, worker, neighbours);
  if (step.fills && need.can_wait && harm > kAcceptedHarm)
    return std::nullopt;
  double cost =
      kSameStep * need.same_step + UsedShare(worker) + kDisturbance * harm;
  if (step.latency_objective_ms > 0) {
    for (const auto& [image, count] : worker.serving)
      cost += image == step.image ? -kOtherImage : kOtherImage;
  }
  if (need.failed_here)
    cost += kFailedHere;
  const std::string rack = RackOf(worker.info);
  if (!step.data_rack.empty() && rack != step.data_rack)
    cost += kOtherRack;
  if (!need.rack.empty() && rack != need.rack)
    cost += kOtherRack;
  return cost;
}

}  // namespace cuminjunction
