// Which running tasks move to another VM.

#include <algorithm>

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
      placed.stopping = true;
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
      placed.stopping = true;
      orders->stops.push_back({vm, task, placed.run, "disturbs"});
      if (++moves >= kMaxMovesPerRound)
        return;
    }
  }
}

}  // namespace cuminjunction
