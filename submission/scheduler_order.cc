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

std::vector<ServiceLoad> Scheduler::ServiceLoads(absl::Time now) const {
  std::map<std::string, ServiceLoad> loads;
  // The capacity of a VM that has not reported yet, as after a takeover, is not
  // known, so that nothing can be said for certain.
  bool complete = true;
  for (const auto& [vm, worker] : this->workers) {
    if (worker->info.service.empty()) {
      complete = false;
      continue;
    }
    if (worker->info.capacity.millicores <= 0)
      continue;
    ServiceLoad& load = loads[worker->info.service];
    load.capacity_millicores = std::min(
        kMaxAmount, load.capacity_millicores +
                        std::min(worker->info.capacity.millicores, kMaxAmount));
  }
  for (const auto& [id, active] : this->live) {
    if (active->long_running)
      continue;
    const auto load = loads.find(active->queue.service);
    if (load == loads.end())
      continue;
    for (const OccurrenceSlots& occurrence : active->occurrences) {
      const RankInputs inputs = RankInputsOf(*active, occurrence, now);
      if (inputs.unstarted_work <= 0)
        continue;
      QueuedWork queued;
      queued.priority = inputs.priority;
      queued.stays_ahead_ms = absl::ToInt64Milliseconds(
          inputs.objective_start + kLateFactor * inputs.Objective() -
          inputs.earliest_completion);
      queued.work = static_cast<int64_t>(std::min(
          1000 * inputs.unstarted_work, static_cast<double>(kMaxAmount)));
      for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        if (complete && IsReady(*active, occurrence, step))
          this->AddBlockingWork(*active, active->submission.steps[step],
                                occurrence.steps[step], now, &queued);
      }
      AddQueuedWork(queued, &load->second);
    }
  }
  std::vector<ServiceLoad> result;
  for (auto& [service, load] : loads) {
    load.service = service;
    result.push_back(std::move(load));
  }
  return result;
}

void Scheduler::AddBlockingWork(const ActiveSubmission& active,
                                const Step& step,
                                const StepSlots& slots,
                                absl::Time now,
                                QueuedWork* queued) const {
  if (active.queue.advice.required || step.fills || step.gang ||
      !step.required_label.empty() || step.max_per_vm > 0)
    return;
  double work = 0;
  for (const TaskSlot& slot : slots.tasks) {
    if (this->MayStart(slot, now) && slot.failed_vm.empty() &&
        slot.crashes.empty())
      work += static_cast<double>(step.size.millicores) *
              static_cast<double>(step.estimate_ms);
  }
  if (work <= 0)
    return;
  queued->blocking_work = static_cast<int64_t>(
      std::min(static_cast<double>(queued->blocking_work) + work,
               static_cast<double>(kMaxAmount)));
  Size& largest = queued->largest_blocking;
  largest.millicores = std::max(largest.millicores, step.size.millicores);
  largest.memory_mib = std::max(largest.memory_mib, step.size.memory_mib);
  largest.accelerators = std::max(largest.accelerators, step.size.accelerators);
  queued->longest_blocking_ms =
      std::max(queued->longest_blocking_ms, step.estimate_ms);
}

}  // namespace cuminjunction
