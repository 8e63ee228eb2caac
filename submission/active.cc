#include "submission/active.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cuminjunction {

namespace {

constexpr int kBitsPerByte = 8;

// Run numbers reserved for one planner and task: more than it can use in the
// seconds before the task's progress is stored or its successor receives
// reports.
constexpr uint32_t kRunNumbersPerPlanner = 64;

bool TestBit(const std::string& bits, size_t index) {
  const size_t byte = index / kBitsPerByte;
  return byte < bits.size() &&
         ((static_cast<unsigned char>(bits[byte]) >> (index % kBitsPerByte)) &
          1) != 0;
}

std::string DoneBits(const StepSlots& step) {
  std::string bits;
  for (size_t index = 0; index < step.tasks.size(); ++index) {
    if (step.tasks[index].phase != TaskPhase::kDone)
      continue;
    const size_t byte = index / kBitsPerByte;
    if (bits.size() <= byte)
      bits.resize(byte + 1, '\0');
    bits[byte] = static_cast<char>(static_cast<unsigned char>(bits[byte]) |
                                   (1U << (index % kBitsPerByte)));
  }
  return bits;
}

// Adds the next occurrence.
void AddOccurrence(ActiveSubmission* added_to) {
  const ActiveSubmission& active = *added_to;
  const PriorRuns& prior_runs = active.prior_runs;
  OccurrenceSlots slots;
  slots.due = DueTime(active, static_cast<uint32_t>(active.occurrences.size()));
  for (const Step& step : active.submission.steps) {
    StepSlots& tasks = slots.steps.emplace_back();
    tasks.tasks.resize(step.count);
    for (TaskSlot& task : tasks.tasks) {
      task.resolved = prior_runs.resolved;
      task.highest_run = prior_runs.max_run;
    }
  }
  added_to->occurrences.push_back(std::move(slots));
}

void ApplyDone(ActiveSubmission* active, const std::vector<std::string>& done) {
  const size_t steps = active->submission.steps.size();
  for (size_t number = 0; number < done.size(); ++number) {
    // A damaged row may name more steps than there are.
    if (number / steps >= active->occurrences.size())
      return;
    OccurrenceSlots& occurrence = active->occurrences[number / steps];
    StepSlots& step = occurrence.steps[number % steps];
    for (size_t index = 0; index < step.tasks.size(); ++index) {
      if (!TestBit(done[number], index))
        continue;
      step.tasks[index].phase = TaskPhase::kDone;
      ++step.done;
    }
    if (step.done == step.tasks.size())
      ++occurrence.steps_done;
  }
}

void ApplyTasks(ActiveSubmission* active,
                const Progress& progress,
                absl::Time now) {
  for (const TaskProgress& task : progress.tasks) {
    TaskSlot* slot = FindSlot(active, {active->submission.id, task.occurrence,
                                       task.step, task.index});
    if (slot == nullptr)
      continue;
    slot->highest_run = std::max(slot->highest_run, task.last_run);
    slot->failed_runs = task.failed_runs;
    slot->crashes = task.crashes;
    if (!task.crashes.empty()) {
      slot->crashed_at = now;
      slot->failed_vm = task.crashes.back().vm;
    }
    slot->checkpoint = task.checkpoint;
  }
}

// Estimated time until the last task of a step is done, in milliseconds. At
// least a quarter of the estimate remains for a task that is running, also if
// it runs longer than estimated.
int64_t RemainingTimeMs(const Step& step,
                        const StepSlots& tasks,
                        absl::Time now) {
  if (tasks.done == tasks.tasks.size())
    return 0;
  if (tasks.Idle() > 0)
    return step.estimate_ms;
  int64_t longest = step.estimate_ms / 4;
  for (const TaskSlot& task : tasks.tasks) {
    if (task.phase == TaskPhase::kPlaced)
      longest = std::max(longest, step.estimate_ms - absl::ToInt64Milliseconds(
                                                         now - task.placed_at));
  }
  return longest;
}

}  // namespace

PriorRuns UnresolvedRunsBefore(uint64_t epoch) {
  return {false, static_cast<uint32_t>(epoch - 1) * kRunNumbersPerPlanner};
}

uint32_t RunsOfPlannerUpTo(uint32_t run) {
  return run == 0 ? 0 : (run - 1) % kRunNumbersPerPlanner + 1;
}

absl::Time DueTime(const ActiveSubmission& active, uint32_t occurrence) {
  const Submission& submission = active.submission;
  const int64_t wall_ms =
      submission.scheduled
          ? submission.first_due_ms +
                submission.interval_ms * static_cast<int64_t>(occurrence)
          : submission.accepted_ms;
  return absl::FromUnixMillis(wall_ms) + active.clock_offset;
}

ActiveSubmission Activate(const Submission& submission,
                          const Queue& queue,
                          const std::optional<Progress>& progress,
                          PriorRuns prior_runs,
                          absl::Time now,
                          absl::Time wall) {
  ActiveSubmission active;
  active.submission = submission;
  active.queue = queue;
  active.clock_offset = now - wall;
  active.prior_runs = prior_runs;
  active.long_running =
      std::any_of(submission.steps.begin(), submission.steps.end(),
                  [](const Step& step) { return step.long_running; });
  if (progress)
    active.state = progress->state;
  if (IsFinal(active.state)) {
    active.final_stored = true;
    return active;
  }
  const size_t stored =
      progress
          ? std::min<size_t>(progress->done.size() / submission.steps.size(),
                             submission.occurrences)
          : 0;
  while (active.occurrences.size() < stored)
    AddOccurrence(&active);
  AddDueOccurrences(&active, now);
  if (progress) {
    active.started = true;
    ApplyDone(&active, progress->done);
    ApplyTasks(&active, *progress, now);
  }
  return active;
}

void AddDueOccurrences(ActiveSubmission* active, absl::Time now) {
  while (active->occurrences.size() < active->submission.occurrences) {
    const auto next = static_cast<uint32_t>(active->occurrences.size());
    if (active->submission.scheduled && DueTime(*active, next) > now)
      return;
    AddOccurrence(active);
  }
}

void AddStartedOccurrences(ActiveSubmission* active, uint32_t occurrence) {
  if (IsFinal(active->state) || occurrence >= active->submission.occurrences)
    return;
  while (active->occurrences.size() <= occurrence)
    AddOccurrence(active);
}

bool IsReady(const ActiveSubmission& active,
             const OccurrenceSlots& slots,
             uint32_t step) {
  const auto& after = active.submission.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](uint32_t earlier) {
    return slots.steps[earlier].done == slots.steps[earlier].tasks.size();
  });
}

bool IsComplete(const ActiveSubmission& active) {
  return active.occurrences.size() == active.submission.occurrences &&
         std::all_of(active.occurrences.begin(), active.occurrences.end(),
                     [](const OccurrenceSlots& slots) {
                       return slots.steps_done == slots.steps.size();
                     });
}

TaskSlot* FindSlot(ActiveSubmission* active, const TaskRef& task) {
  if (task.occurrence >= active->occurrences.size())
    return nullptr;
  OccurrenceSlots& occurrence = active->occurrences[task.occurrence];
  if (task.step >= occurrence.steps.size() ||
      task.index >= occurrence.steps[task.step].tasks.size())
    return nullptr;
  return &occurrence.steps[task.step].tasks[task.index];
}

Progress ToProgress(const ActiveSubmission& active) {
  Progress progress;
  progress.state = active.state;
  if (IsFinal(active.state))
    return progress;
  for (uint32_t occurrence_index = 0;
       occurrence_index < active.occurrences.size(); ++occurrence_index) {
    const OccurrenceSlots& occurrence = active.occurrences[occurrence_index];
    for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const StepSlots& slots = occurrence.steps[step];
      progress.done.push_back(DoneBits(slots));
      for (uint32_t index = 0; index < slots.tasks.size(); ++index) {
        const TaskSlot& task = slots.tasks[index];
        if (task.phase == TaskPhase::kDone ||
            (task.failed_runs.empty() && task.crashes.empty() &&
             task.checkpoint.empty()))
          continue;
        progress.tasks.push_back({occurrence_index, step, index, task.run,
                                  task.failed_runs, task.crashes,
                                  task.checkpoint});
      }
    }
  }
  return progress;
}

RankInputs RankInputsOf(const ActiveSubmission& active,
                        const OccurrenceSlots& slots,
                        absl::Time now) {
  const auto& steps = active.submission.steps;
  // By step: estimated time of the longest chain of steps that ends with it, in
  // total and for the tasks that are not done.
  std::vector<int64_t> total_ms(steps.size());
  std::vector<int64_t> remaining_ms(steps.size());
  RankInputs inputs;
  int64_t longest_total_ms = 0;
  int64_t longest_remaining_ms = 0;
  for (size_t step_index = 0; step_index < steps.size(); ++step_index) {
    const Step& step = steps[step_index];
    const StepSlots& tasks = slots.steps[step_index];
    int64_t before_total_ms = 0;
    int64_t before_remaining_ms = 0;
    for (const uint32_t earlier : step.after) {
      before_total_ms = std::max(before_total_ms, total_ms[earlier]);
      before_remaining_ms =
          std::max(before_remaining_ms, remaining_ms[earlier]);
    }
    const auto unfinished =
        static_cast<int64_t>(tasks.tasks.size() - tasks.done);
    total_ms[step_index] = before_total_ms + step.estimate_ms;
    remaining_ms[step_index] =
        before_remaining_ms + RemainingTimeMs(step, tasks, now);
    longest_total_ms = std::max(longest_total_ms, total_ms[step_index]);
    longest_remaining_ms =
        std::max(longest_remaining_ms, remaining_ms[step_index]);
    const double task_work = static_cast<double>(step.size.millicores) *
                             static_cast<double>(step.estimate_ms) / 1000.0;
    const double remaining_work = static_cast<double>(unfinished) * task_work;
    inputs.total_work += static_cast<double>(tasks.tasks.size()) * task_work;
    inputs.remaining_work += remaining_work;
    inputs.unstarted_work += static_cast<double>(tasks.Idle()) * task_work;
    if (step.fills)
      inputs.remaining_filling_work += remaining_work;
  }
  inputs.long_running = active.long_running;
  inputs.admitted_by_age = slots.admitted_by_age;
  inputs.priority = active.queue.priority;
  inputs.objective_start = slots.due;
  inputs.objective_deadline =
      slots.due +
      absl::Milliseconds(active.queue.stretch *
                             static_cast<double>(longest_total_ms) +
                         static_cast<double>(active.queue.objective_ms));
  inputs.earliest_completion = now + absl::Milliseconds(longest_remaining_ms);
  return inputs;
}

}  // namespace cuminjunction
