// Which long-running tasks do not run, and why.

#include <algorithm>

#include "submission/scheduler.h"

namespace cuminjunction {

std::vector<HeldTask> Scheduler::HeldTasks(absl::Time now) const {
  std::vector<HeldTask> held_tasks;
  for (const auto& [id, active] : this->live) {
    if (!active->long_running)
      continue;
    for (uint32_t occurrence_index = 0;
         occurrence_index < active->occurrences.size(); ++occurrence_index) {
      const OccurrenceSlots& occurrence = active->occurrences[occurrence_index];
      for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        if (active->submission.steps[step].long_running &&
            IsReady(*active, occurrence, step))
          this->AddHeldTasks(*active, {id, occurrence_index, step}, now,
                             &held_tasks);
      }
    }
  }
  return held_tasks;
}

void Scheduler::AddHeldTasks(const ActiveSubmission& active,
                             const StepRef& step_ref,
                             absl::Time now,
                             std::vector<HeldTask>* held_tasks) const {
  const StepSlots& slots =
      active.occurrences[step_ref.occurrence].steps[step_ref.step];
  for (uint32_t index = 0; index < slots.tasks.size(); ++index) {
    const TaskSlot& slot = slots.tasks[index];
    const absl::Time since = slot.without_run_since == absl::InfiniteFuture()
                                 ? slots.ready_since
                                 : slot.without_run_since;
    const bool ordered = slot.phase == TaskPhase::kPlaced;
    if (slot.phase == TaskPhase::kDone || now - since < kHeldAfter ||
        (ordered &&
         (slot.refused_starts == 0 || now - slot.placed_at >= kHeldAfter)))
      continue;
    HeldTask& held = held_tasks->emplace_back();
    held.task = {step_ref.submission, step_ref.occurrence, step_ref.step,
                 index};
    held.since = since;
    held.last_run = slot.run;
    held.last_vm = slot.vm;
    held.ordered = ordered;
    held.placed_at = slot.placed_at;
    held.refused_starts = slot.refused_starts;
    held.suspect = IsSuspect(slot.crashes);
    held.unresolved = !slot.resolved && !this->unresolved.empty();
  }
}

}  // namespace cuminjunction
