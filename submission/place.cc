#include "submission/place.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// Weights of the cost, in units of a fully used VM. A VM where the task failed
// is the last choice; a VM where it would disturb or be disturbed is worse than
// a full one; data on another rack makes the task up to three times as long.
constexpr double kFailedHere = 100;
constexpr double kDisturbance = 2;
constexpr double kOtherRack = 3;
constexpr double kSameStep = 0.05;

double UsedShare(const Worker& worker) {
  const double capacity = static_cast<double>(
      std::max<int64_t>(1, worker.info.capacity.millicores));
  return static_cast<double>(worker.used.millicores + worker.fill_millicores) /
         capacity;
}

}  // namespace

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
                                    absl::Time now) {
  if (!MayRun(step, need, worker, now))
    return std::nullopt;
  Size room = FreeRoom(worker);
  if (!step.long_running && worker.reserved_until > now)
    room = room - worker.reserved;
  // The runner does not count the processors of a filling task, but the task
  // gets only what others leave, so it is given its own room as well.
  if (!step.long_running)
    room.millicores -= worker.fill_millicores;
  const Size needed = step.fills && step.long_running
                          ? CountedSize(step.size, true)
                          : step.size;
  if (!Fits(needed, room))
    return std::nullopt;
  double cost = UsedShare(worker) + kSameStep * need.same_step;
  if (need.failed_here)
    cost += kFailedHere;
  if (step.latency_objective_ms > 0)
    cost += kDisturbance * worker.filling + worker.serving;
  if (step.fills)
    cost += kDisturbance * worker.serving;
  const std::string rack = RackOf(worker.info);
  if (!step.data_rack.empty() && rack != step.data_rack)
    cost += kOtherRack;
  if (!need.rack.empty() && rack != need.rack)
    cost += kOtherRack;
  return cost;
}

}  // namespace cuminjunction
