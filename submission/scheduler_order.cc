// Scheduler: the order in which ready steps are given capacity.

#include <algorithm>
#include <utility>

#include "submission/overload.h"
#include "submission/scheduler.h"
#include "submission/step_candidate.h"

namespace cuminjunction {

namespace {

// Share of its processors that a serving task uses at its usual load; filling
// tasks may use the others.
constexpr double kServingUtilization = 0.5;

// Index of the service, which is added if it is new.
uint32_t IndexOf(const std::string& name,
                 std::vector<PlanningInputs::Service>* services) {
  uint32_t index = 0;
  while (index < services->size() && (*services)[index].name != name)
    ++index;
  if (index == services->size())
    services->push_back({name});
  return index;
}

// Adds the capacity of a VM to its service, if that has ready submissions.
void AddCapacity(const Worker& worker,
                 std::vector<PlanningInputs::Service>* services) {
  if (!worker.usable || worker.info.draining || worker.evacuated)
    return;
  const auto service = std::find_if(
      services->begin(), services->end(),
      [&](const auto& each) { return each.name == worker.info.service; });
  if (service == services->end())
    return;
  service->capacity += static_cast<double>(std::max<int64_t>(
      0, worker.info.capacity.millicores - worker.long_running_millicores));
  service->filling_capacity += (1 - kServingUtilization) *
                               static_cast<double>(worker.serving_millicores);
}

}  // namespace

std::vector<Scheduler::StepCandidate> Scheduler::CollectCandidates(
    absl::Time now,
    std::vector<uint32_t>* order) {
  PlanningInputs inputs;
  inputs.now = now;
  std::vector<StepCandidate> candidates;
  // By index in `inputs.ready`: the first candidate, and the end of the last.
  std::vector<uint32_t> bounds;
  for (const auto& [id, active] : this->live) {
    for (uint32_t occurrence_index = 0;
         occurrence_index < active->occurrences.size(); ++occurrence_index) {
      OccurrenceSlots& occurrence = active->occurrences[occurrence_index];
      if (occurrence.steps_done == occurrence.steps.size())
        continue;
      const size_t first = candidates.size();
      for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        if (occurrence.steps[step].Idle() == 0 ||
            !IsReady(*active, occurrence, step))
          continue;
        absl::Time& since = occurrence.steps[step].ready_since;
        since = std::min(since, now);
        candidates.push_back({active, occurrence_index, step, {}, {}});
      }
      if (candidates.size() == first)
        continue;
      bounds.push_back(static_cast<uint32_t>(first));
      inputs.ready.push_back(RankInputsOf(*active, occurrence, now));
      inputs.ready.back().service =
          IndexOf(active->queue.service, &inputs.services);
    }
  }
  bounds.push_back(static_cast<uint32_t>(candidates.size()));
  for (const auto& [vm, worker] : this->workers)
    AddCapacity(*worker, &inputs.services);
  this->ageing.Admit(&inputs);
  for (const uint32_t index : this->planning_order(inputs)) {
    const StepCandidate& first = candidates[bounds[index]];
    first.active->occurrences[first.occurrence].admitted_by_age =
        inputs.ready[index].admitted_by_age;
    for (uint32_t i = bounds[index]; i < bounds[index + 1]; ++i)
      order->push_back(i);
  }
  return candidates;
}

}  // namespace cuminjunction
