// Which running tasks move to another VM.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "submission/place.h"
#include "submission/scheduler.h"

namespace cuminjunction {

namespace {

// A checkpointed task with less estimated time left stays on a draining runner.
constexpr absl::Duration kMinRemainingToMove = absl::Seconds(1);

// Interfering filling tasks are moved at most this often, a few at a time, and
// only after they have run for a while: a move costs a stop and a restore from
// a checkpoint.
constexpr absl::Duration kMoveInterval = absl::Milliseconds(300);
constexpr int kMaxMovesPerRound = 2;
constexpr absl::Duration kMinRunBeforeMove = absl::Seconds(1);

}  // namespace

// A draining runner leaves, with all its runs, no sooner than 2 s after it has
// reported that it drains. Long-running tasks move at once, and checkpointed
// ones unless they are about to end; the others may end in time.
void Scheduler::EvacuateDraining(Orders* orders, absl::Time now) {
  for (auto& [vm, worker] : this->workers) {
    if (!worker->synced || !worker->info.draining)
      continue;
    for (auto& [task, placed] : worker->placed) {
      if (placed.stopping || (!placed.long_running && !placed.checkpointed))
        continue;
      ActiveSubmission* active = this->FindActive(task.submission);
      if (active == nullptr || IsFinal(active->state) ||
          active->submission.steps[task.step].gang)
        continue;
      const absl::Duration left =
          placed.placed_at +
          absl::Milliseconds(active->submission.steps[task.step].estimate_ms) -
          now;
      if (!placed.long_running && left < kMinRemainingToMove)
        continue;
      MarkStopping(&placed);
      orders->stops.push_back({vm, task, placed.run, "draining"});
    }
  }
}

void Scheduler::MoveInterferingTasks(Orders* orders, absl::Time now) {
  if (now < this->next_move)
    return;
  this->next_move = now + kMoveInterval;
  int moves = 0;
  for (auto& [vm, worker] : this->workers) {
    if (!worker->synced || worker->serving.empty())
      continue;
    this->RefreshOutlooks(worker.get(), now);
    for (auto& [task, placed] : worker->placed) {
      if (!placed.fills || !placed.checkpointed || placed.stopping ||
          now - placed.placed_at < kMinRunBeforeMove)
        continue;
      ActiveSubmission* active = this->FindActive(task.submission);
      if (active == nullptr || IsFinal(active->state))
        continue;
      const Step& step = active->submission.steps[task.step];
      // The moves out of evacuated domains count together with these.
      if (placed.long_running && this->had_evacuations &&
          !MayStop({worker.get(), task, &step,
                    &active->occurrences[task.occurrence].steps[task.step]},
                   this->workers, now))
        continue;
      if (step.gang ||
          ExcessLatencyRatio(step, *worker, this->interference_model,
                             /*already_running=*/true) <= 0)
        continue;
      PlacementContext context;
      context.service = active->queue.service;
      context.can_wait = true;
      const TaskRef& task_ref = task;
      const bool has_better_vm = std::any_of(
          this->workers.begin(), this->workers.end(), [&](const auto& other) {
            return this->TicketFor(*active, task_ref.occurrence, task_ref.step,
                                   *other.second, now) != nullptr &&
                   this->CostOn(other.second.get(), step, context, now)
                       .has_value();
          });
      if (!has_better_vm)
        continue;
      MarkStopping(&placed);
      orders->stops.push_back({vm, task, placed.run, "disturbs"});
      if (++moves >= kMaxMovesPerRound)
        return;
    }
  }
}

bool Scheduler::HoldRoom(const ActiveSubmission& active,
                         const StepRef& step_ref,
                         absl::Time now,
                         bool* lacks_permit) {
  const Step& step = active.submission.steps[step_ref.step];
  std::map<std::string, uint32_t> same_step;
  for (const TaskSlot& slot :
       active.occurrences[step_ref.occurrence].steps[step_ref.step].tasks) {
    if (slot.phase == TaskPhase::kPlaced)
      ++same_step[slot.vm];
  }
  PlacementContext context;
  context.service = active.queue.service;
  context.can_wait = step.fills;
  context.keeps_reserved = true;
  Worker* best = nullptr;
  double best_cost = 0;
  for (auto& [vm, worker] : this->workers) {
    // What is held is not known by step, so that a step with a limit for each
    // VM gets no VM on which room is held.
    if (worker->info.cold ||
        (step.max_per_vm != 0 && worker->held_for_moves != Size{}))
      continue;
    const auto same = same_step.find(vm);
    context.same_step = same == same_step.end() ? 0 : same->second;
    const auto cost = this->CostOn(worker.get(), step, context, now);
    if (!cost)
      continue;
    if (this->TicketFor(active, step_ref.occurrence, step_ref.step, *worker,
                        now) == nullptr) {
      if (lacks_permit != nullptr)
        *lacks_permit = true;
    } else if (best == nullptr || *cost < best_cost) {
      best = worker.get();
      best_cost = *cost;
    }
  }
  if (best == nullptr)
    return false;
  best->held_for_moves = best->held_for_moves + step.size;
  return true;
}

std::optional<size_t> Scheduler::HoldRoomForMoves(absl::Time now) {
  for (auto& [vm, worker] : this->workers) {
    worker->held_for_moves = {};
    if (worker->synced && worker->usable &&
        std::exchange(worker->was_silent, false))
      DelayWork(worker.get(), now);
  }
  if (std::exchange(this->last_plan, now) < now - kMaxPlanGap)
    this->next_evacuation_move = now + kSettleAfterGap;
  if (this->evacuated_domains.names.empty())
    return std::nullopt;
  size_t moves_under_way = 0;
  bool all_have_room = true;
  for (auto& [vm, worker] : this->workers) {
    for (const auto& [task, placed] : worker->placed) {
      if (!placed.long_running || !placed.stopping)
        continue;
      ActiveSubmission* active = this->FindActive(task.submission);
      const TaskSlot* slot =
          active == nullptr ? nullptr : FindSlot(active, task);
      if (slot == nullptr || !IsPlacedOn(*slot, vm, placed.run))
        continue;
      ++moves_under_way;
      const StepRef step_ref{task.submission, task.occurrence, task.step};
      if (!this->HoldRoom(*active, step_ref, now))
        all_have_room = false;
    }
  }
  if (!all_have_room || now < this->next_evacuation_move)
    return std::nullopt;
  return moves_under_way;
}

bool Scheduler::HoldRoomForWaitingTasks(absl::Time now) {
  size_t waiting = 0;
  for (const auto& [id, active] : this->live) {
    if (!active->long_running)
      continue;
    for (uint32_t number = 0; number < active->occurrences.size(); ++number) {
      const OccurrenceSlots& occurrence = active->occurrences[number];
      for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const uint32_t idle = occurrence.steps[step].Idle();
        if (idle == 0 || !active->submission.steps[step].long_running ||
            !IsReady(*active, occurrence, step))
          continue;
        waiting += idle;
        if (waiting > kMaxMovesAtOnce)
          return false;
        for (uint32_t i = 0; i < idle; ++i)
          this->HoldRoom(*active, {id, number, step}, now);
      }
    }
  }
  return true;
}

void Scheduler::MoveEvacuated(size_t moves_under_way,
                              Orders* orders,
                              absl::Time now) {
  std::vector<MoveCandidate> candidates;
  for (auto& [vm, worker] : this->workers) {
    if (!worker->evacuated || !worker->synced || !worker->usable)
      continue;
    for (const auto& [task, placed] : worker->placed) {
      if (!placed.long_running)
        continue;
      ActiveSubmission* active = this->FindActive(task.submission);
      if (active != nullptr && FindSlot(active, task) != nullptr)
        candidates.push_back(
            {worker.get(), task, &active->submission.steps[task.step],
             &active->occurrences[task.occurrence].steps[task.step]});
    }
  }
  if (candidates.empty() || !this->HoldRoomForWaitingTasks(now))
    return;
  // Steps without room: none of their tasks has any in this plan.
  std::set<StepRef> full_steps;
  const auto hold_room = [&](const MoveCandidate& candidate) {
    const TaskRef& task = candidate.task;
    const StepRef step_ref{task.submission, task.occurrence, task.step};
    if (full_steps.contains(step_ref))
      return false;
    const ActiveSubmission& active = *this->FindActive(task.submission);
    bool lacks_permit = false;
    if (this->HoldRoom(active, step_ref, now, &lacks_permit))
      return true;
    full_steps.insert(step_ref);
    if (lacks_permit)
      this->QueryPermits(active, step_ref, orders, now);
    return false;
  };
  const auto moves =
      StopForMoves(candidates, moves_under_way, this->workers, now, hold_room);
  for (const MoveCandidate& move : moves)
    orders->stops.push_back({move.worker->vm, move.task,
                             move.worker->placed.at(move.task).run,
                             kEvacuatedReason});
}

}  // namespace cuminjunction
