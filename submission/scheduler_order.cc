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

int64_t RunningMillicores(const ActiveSubmission& active,
                          const OccurrenceSlots& occurrence) {
  int64_t millicores = 0;
  for (size_t step = 0; step < occurrence.steps.size(); ++step)
    millicores += static_cast<int64_t>(occurrence.steps[step].placed) *
                  active.submission.steps[step].size.millicores;
  return millicores;
}

}  // namespace

std::vector<Scheduler::StepCandidate> Scheduler::CollectCandidates(
    absl::Time now,
    std::vector<uint32_t>* order) {
  PlanningInputs inputs;
  inputs.now = now;
  std::vector<StepCandidate> candidates;
  // By service: millicores of the running tasks that were admitted by age.
  std::map<std::string, int64_t> running_by_age;
  // By index in `inputs.ready`: the first candidate, and the end of the last.
  std::vector<uint32_t> bounds;
  for (const auto& [id, active] : this->live) {
    for (uint32_t occurrence_index = 0;
         occurrence_index < active->occurrences.size(); ++occurrence_index) {
      OccurrenceSlots& occurrence = active->occurrences[occurrence_index];
      if (occurrence.steps_done == occurrence.steps.size())
        continue;
      if (occurrence.admitted_by_age)
        running_by_age[active->queue.service] +=
            RunningMillicores(*active, occurrence);
      const size_t first = candidates.size();
      for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        if (occurrence.steps[step].Idle() == 0 ||
            !IsReady(*active, occurrence, step))
          continue;
        absl::Time& since = occurrence.steps[step].ready_since;
        since = std::min(since, now);
        StepCandidate& candidate = candidates.emplace_back();
        candidate.active = active;
        candidate.occurrence = occurrence_index;
        candidate.step = step;
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
  // Steps that get the remaining capacity after all others.
  std::vector<uint32_t> aged;
  for (const uint32_t index : this->planning_order(inputs)) {
    const bool admitted = inputs.ready[index].admitted_by_age;
    const PlanningInputs::Service& service =
        inputs.services[inputs.ready[index].service];
    for (uint32_t i = bounds[index]; i < bounds[index + 1]; ++i) {
      order->push_back(i);
      if (!admitted)
        continue;
      StepCandidate& candidate = candidates[i];
      candidate.active->occurrences[candidate.occurrence].admitted_by_age =
          true;
      int64_t& running = running_by_age[service.name];
      candidate.max_starts = AgeingShare::MaxStarts(
          service.capacity, running, candidate.Spec().size.millicores);
      running += candidate.max_starts * candidate.Spec().size.millicores;
      if (candidate.max_starts < candidate.Slots().Idle())
        aged.push_back(i);
    }
  }
  order->insert(order->end(), aged.begin(), aged.end());
  return candidates;
}

}  // namespace cuminjunction
