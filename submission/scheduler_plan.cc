#include <algorithm>
#include <utility>

#include "submission/place.h"
#include "submission/preemption.h"
#include "submission/scheduler.h"
#include "submission/step_candidate.h"

namespace cuminjunction {

namespace {

// How long capacity is reserved for a long-running task after others were
// stopped for it: longer than a stop takes on either site (900 ms).
constexpr absl::Duration kReservationDuration = absl::Seconds(2);

// How long a step without running tasks waits for a VM where its filling tasks
// do not interfere. The platform's rules require work to start within 3 s where
// there is capacity.
constexpr absl::Duration kMaxPlacementWait = absl::Milliseconds(2200);

// True if the step's filling tasks may wait for a VM where they do not
// interfere. Tasks that last must all run, whether others of the step do or
// not.
bool CanWait(const Step& step, const StepSlots& slots, absl::Time now) {
  return (slots.placed > 0 && !step.long_running) ||
         now - slots.ready_since < kMaxPlacementWait;
}

}  // namespace

Orders Scheduler::Plan(absl::Time now) {
  Orders orders;
  this->AddOccurrences(now);
  this->StopUnwanted(&orders);
  if (this->starts_held)
    return orders;
  this->EvacuateDraining(&orders, now);
  ++this->plan_number;
  std::optional<size_t> moves_under_way = this->HoldRoomForMoves(now);
  std::vector<Worker*> by_name;
  by_name.reserve(this->workers.size());
  for (auto& [vm, worker] : this->workers)
    by_name.push_back(worker.get());
  WorkerOrder order;
  order.Reset(by_name);
  UnplaceableShapes unplaceable;
  std::vector<uint32_t> step_order;
  std::vector<StepCandidate> candidates =
      this->CollectCandidates(now, &step_order);
  for (const uint32_t index : step_order) {
    StepCandidate& candidate = candidates[index];
    // Moved tasks need room before work that does not last, and after
    // long-running tasks that wait.
    if (moves_under_way && !candidate.active->long_running)
      this->MoveEvacuated(*std::exchange(moves_under_way, std::nullopt),
                          &orders, now);
    if (orders.starts.size() >= kMaxStartsInPlan) {
      orders.more = true;
      return orders;
    }
    if (candidate.Spec().gang) {
      this->StartGang(&candidate, order, &orders, now);
      order.Reset(by_name);
    } else {
      this->StartStep(&candidate, &order, &unplaceable, &orders, now);
    }
    // An aged step is in the order twice, at the end without a limit.
    candidate.max_starts = std::numeric_limits<uint32_t>::max();
    if (candidate.active->queue.advice.required && candidate.Slots().Idle() > 0)
      this->QueryPermits(*candidate.active,
                         {candidate.active->submission.id, candidate.occurrence,
                          candidate.step},
                         &orders, now);
  }
  if (moves_under_way)
    this->MoveEvacuated(*moves_under_way, &orders, now);
  this->MoveInterferingTasks(&orders, now);
  return orders;
}

void Scheduler::AddOccurrences(absl::Time now) {
  for (const auto& [id, active] : this->live) {
    if (active->submission.scheduled)
      AddDueOccurrences(active, now);
  }
}

void Scheduler::StopUnwanted(Orders* orders) {
  for (StopOrder& stop : this->unwanted) {
    Worker& worker = this->GetOrAddWorker(stop.vm);
    // A disconnected worker receives the stop after its next report.
    if (!worker.synced)
      continue;
    const auto placed = worker.placed.find(stop.task);
    if (placed != worker.placed.end())
      MarkStopping(&placed->second);
    orders->stops.push_back(std::move(stop));
  }
  this->unwanted.clear();
}

void Scheduler::RefreshOutlooks(Worker* worker, absl::Time now) {
  if (std::exchange(worker->outlooks_plan, this->plan_number) !=
      this->plan_number)
    RefreshLatencyOutlooks(this->interference_model, now, worker);
}

std::optional<double> Scheduler::CostOn(Worker* worker,
                                        const Step& step,
                                        const PlacementContext& context,
                                        absl::Time now) {
  this->RefreshOutlooks(worker, now);
  return PlacementCost(step, context, *worker, this->interference_model, now);
}

bool Scheduler::MayStart(const TaskSlot& slot, absl::Time now) const {
  return slot.phase == TaskPhase::kIdle && slot.not_before <= now &&
         slot.stale_runs == 0 && (slot.resolved || this->unresolved.empty());
}

uint64_t Scheduler::CountPlaced(StepCandidate* candidate) {
  candidate->same_step.clear();
  candidate->rack.clear();
  for (const TaskSlot& other : candidate->Slots().tasks) {
    if (other.phase != TaskPhase::kPlaced)
      continue;
    ++candidate->same_step[other.vm];
    if (candidate->Spec().single_rack && candidate->rack.empty())
      candidate->rack = RackOf(this->GetOrAddWorker(other.vm).info);
  }
  return candidate->Slots().tasks.size();
}

std::optional<double> Scheduler::Evaluate(const StepCandidate& candidate,
                                          PlacementContext* context,
                                          Worker* worker,
                                          Orders* orders,
                                          absl::Time now) {
  ++orders->evaluations;
  if (this->TicketFor(*candidate.active, candidate.occurrence, candidate.step,
                      *worker, now) == nullptr)
    return std::nullopt;
  const auto same = candidate.same_step.find(worker->vm);
  context->same_step = same == candidate.same_step.end() ? 0 : same->second;
  return this->CostOn(worker, candidate.Spec(), *context, now);
}

void Scheduler::StartStep(StepCandidate* candidate,
                          WorkerOrder* order,
                          UnplaceableShapes* unplaceable,
                          Orders* orders,
                          absl::Time now) {
  StepSlots& slots = candidate->Slots();
  const Step& step = candidate->Spec();
  // A step that not every VM may run, or that may use reserved capacity, tells
  // nothing about others.
  const bool typical = !step.long_running && step.required_label.empty() &&
                       step.max_per_vm == 0 &&
                       !candidate->active->queue.advice.required;
  PlacementContext context;
  context.service = candidate->active->queue.service;
  const auto evaluate = [&](Worker* worker) {
    return this->Evaluate(*candidate, &context, worker, orders, now);
  };
  std::optional<PlacementSearch> search;
  std::vector<Worker*> changed;
  bool has_preempted = false;
  bool counted = false;
  const auto count_placed_once = [&] {
    if (!std::exchange(counted, true))
      orders->counted_tasks += this->CountPlaced(candidate);
  };
  const uint32_t placed_before = slots.placed;
  for (uint32_t index = 0; index < slots.tasks.size(); ++index) {
    TaskSlot& slot = slots.tasks[index];
    if (!this->MayStart(slot, now))
      continue;
    if (slots.placed - placed_before >= candidate->max_starts)
      break;
    if (orders->starts.size() >= kMaxStartsInPlan) {
      orders->more = true;
      break;
    }
    const bool can_wait = CanWait(step, slots, now);
    if (IsSuspect(slot.crashes)) {
      count_placed_once();
      context.can_wait = can_wait;
      context.rack = candidate->rack;
      double cost = 0;
      context.ignores_isolation =
          step.long_running &&
          now - slot.crashed_at >= kMaxLongRunningSuspectWait;
      Worker* worker =
          this->ChooseWorkerForSuspect(slot, evaluate, orders, now, &cost);
      context.ignores_isolation = false;
      if (worker == nullptr) {
        if (step.long_running && !has_preempted &&
            now - slot.crashed_at >= kMaxSuspectWait &&
            !this->FitsAfterIsolation(*candidate, now)) {
          has_preempted = true;
          this->Preempt(*candidate, orders, now);
        }
        continue;
      }
      this->OrderStart(candidate, index, worker, slot.highest_run + 1, cost,
                       orders, now);
      worker->isolated_until = now + kSuspectIsolation;
      changed.push_back(worker);
      search.reset();
      continue;
    }
    UnplaceableShapes::Shape shape{
        context.service, step.size, step.fills,
        step.fills && can_wait ? step.image : std::string()};
    if (typical && unplaceable->Covers(shape))
      break;
    // The costs of all VMs change when the step gets its rack, and when it may
    // wait for a VM because its first task has started.
    if (!search || can_wait != context.can_wait ||
        candidate->rack != context.rack) {
      count_placed_once();
      context.can_wait = can_wait;
      context.rack = candidate->rack;
      order->Reposition(changed);
      search.emplace(order,
                     step.data_rack.empty() ? context.rack : step.data_rack,
                     step.latency_objective_ms > 0);
    }
    const auto choice = search->CheapestExcept(slot.failed_vm, evaluate);
    if (!choice) {
      if (typical)
        unplaceable->Add(std::move(shape));
      if (step.long_running)
        this->Preempt(*candidate, orders, now);
      break;
    }
    this->OrderStart(candidate, index, choice->worker, slot.highest_run + 1,
                     choice->cost, orders, now);
    changed.push_back(choice->worker);
    search->OnPlaced(*choice, evaluate);
  }
  order->Reposition(changed);
}

bool Scheduler::HasRoomForGang(const StepCandidate& candidate,
                               PlacementContext context,
                               Orders* orders,
                               absl::Time now) {
  auto missing = static_cast<uint32_t>(candidate.Slots().tasks.size());
  for (auto& [vm, worker] : this->workers) {
    if (!this->Evaluate(candidate, &context, worker.get(), orders, now))
      continue;
    missing -= CountRoom(candidate.Spec(), context, *worker, now, missing);
    if (missing == 0)
      return true;
  }
  return false;
}

void Scheduler::StartGang(StepCandidate* candidate,
                          const WorkerOrder& order,
                          Orders* orders,
                          absl::Time now) {
  StepSlots& slots = candidate->Slots();
  const Step& step = candidate->Spec();
  // All members of a gang start together, with one run number above all that
  // were used.
  uint32_t run = 0;
  for (const TaskSlot& slot : slots.tasks) {
    if (!this->MayStart(slot, now))
      return;
    run = std::max(run, slot.highest_run + 1);
  }
  orders->counted_tasks += this->CountPlaced(candidate);
  PlacementContext context;
  context.service = candidate->active->queue.service;
  context.can_wait = CanWait(step, slots, now);
  if (!this->HasRoomForGang(*candidate, context, orders, now))
    return;
  const auto evaluate = [&](Worker* worker) {
    return this->Evaluate(*candidate, &context, worker, orders, now);
  };
  struct Member {
    Worker* worker = nullptr;
    double cost = 0;
    uint32_t last_run = 0;
  };
  std::vector<Member> members;
  members.reserve(slots.tasks.size());
  std::optional<PlacementSearch> search;
  for (uint32_t index = 0; index < slots.tasks.size(); ++index) {
    // The costs of all VMs change when the step gets its rack.
    if (!search || context.rack != candidate->rack) {
      context.rack = candidate->rack;
      search.emplace(&order,
                     step.data_rack.empty() ? context.rack : step.data_rack,
                     step.latency_objective_ms > 0);
    }
    const auto choice =
        search->CheapestExcept(slots.tasks[index].failed_vm, evaluate);
    if (!choice)
      break;
    members.push_back(
        {choice->worker, choice->cost, slots.tasks[index].highest_run});
    this->PlaceCandidate(candidate, index, choice->worker, run, now);
    search->OnPlaced(*choice, evaluate);
  }
  if (members.size() < slots.tasks.size()) {
    for (uint32_t index = 0; index < members.size(); ++index) {
      const TaskRef task = candidate->Task(index);
      Vacate(members[index].worker, task);
      this->Release(candidate->active, task, &slots.tasks[index]);
      slots.tasks[index].highest_run = members[index].last_run;
      members[index].worker->outlooks_plan = 0;
      members[index].worker->crash_risk_plan = 0;
    }
    return;
  }
  // All members of a gang resume from the same checkpoint.
  const std::string checkpoint = slots.tasks.front().checkpoint;
  for (uint32_t index = 0; index < members.size(); ++index) {
    slots.tasks[index].checkpoint = checkpoint;
    this->AppendStart(*candidate, index, *members[index].worker,
                      members[index].cost, orders, now);
  }
}

void Scheduler::PlaceCandidate(StepCandidate* candidate,
                               uint32_t index,
                               Worker* worker,
                               uint32_t run,
                               absl::Time now) {
  this->Place(candidate->active, candidate->Task(index),
              &candidate->Slots().tasks[index], worker, run, now);
  worker->outlooks_plan = 0;
  worker->crash_risk_plan = 0;
  ++candidate->same_step[worker->vm];
  if (candidate->Spec().single_rack && candidate->rack.empty())
    candidate->rack = RackOf(worker->info);
}

void Scheduler::AppendStart(const StepCandidate& candidate,
                            uint32_t index,
                            const Worker& worker,
                            double cost,
                            Orders* orders,
                            absl::Time now) {
  ActiveSubmission* active = candidate.active;
  const TaskSlot& slot = candidate.Slots().tasks[index];
  orders->starts.push_back({worker.vm, candidate.Task(index), slot.run,
                            &active->submission.text, &candidate.Spec(),
                            slot.checkpoint,
                            *this->TicketFor(*active, candidate.occurrence,
                                             candidate.step, worker, now),
                            candidate.Slots().ready_since, cost});
  if (active->state == SubmissionState::kQueued) {
    active->state = SubmissionState::kRunning;
    this->changes.push_back({active->submission.id, active->state});
  }
}

void Scheduler::OrderStart(StepCandidate* candidate,
                           uint32_t index,
                           Worker* worker,
                           uint32_t run,
                           double cost,
                           Orders* orders,
                           absl::Time now) {
  this->PlaceCandidate(candidate, index, worker, run, now);
  this->AppendStart(*candidate, index, *worker, cost, orders, now);
}

bool Scheduler::FitsAfterIsolation(const StepCandidate& candidate,
                                   absl::Time now) const {
  PlacementContext context;
  context.service = candidate.active->queue.service;
  return std::any_of(
      this->workers.begin(), this->workers.end(), [&](const auto& entry) {
        const Worker& worker = *entry.second;
        const auto same = candidate.same_step.find(worker.vm);
        context.same_step =
            same == candidate.same_step.end() ? 0 : same->second;
        return this->TicketFor(*candidate.active, candidate.occurrence,
                               candidate.step, worker, now) != nullptr &&
               FindObstacle(
                   candidate.Spec(), context, worker, this->interference_model,
                   now + kSuspectIsolation) == PlacementObstacle::kNone;
      });
}

std::vector<PreemptionCandidate> Scheduler::PreemptionCandidates(
    const Worker& worker,
    absl::Time now) {
  std::vector<PreemptionCandidate> candidates;
  for (const auto& [task, placed] : worker.placed) {
    if (placed.long_running || placed.stopping)
      continue;
    const ActiveSubmission* active = this->FindActive(task.submission);
    PreemptionCandidate candidate;
    candidate.task = task;
    candidate.freed = CountedSize(placed.size, placed.fills);
    candidate.priority = active == nullptr ? 0 : active->queue.priority;
    // A checkpointed task saves its progress when it is stopped.
    if (!placed.checkpointed)
      candidate.lost_work = placed.size.millicores *
                            absl::ToInt64Milliseconds(now - placed.placed_at);
    if (active != nullptr && !placed.fills) {
      const Step& step = active->submission.steps[task.step];
      const absl::Duration left =
          placed.placed_at + absl::Milliseconds(step.estimate_ms) - now;
      candidate.ends_soon =
          left > absl::ZeroDuration() && left < kMaxAwaitedEnd;
    }
    // The other members of a gang end with the one that is stopped.
    if (active != nullptr && active->submission.steps[task.step].gang)
      candidate.lost_work *= active->submission.steps[task.step].count;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void Scheduler::Preempt(const StepCandidate& candidate,
                        Orders* orders,
                        absl::Time now) {
  const Step& step = candidate.Spec();
  PlacementContext context;
  context.service = candidate.active->queue.service;
  Worker* best = nullptr;
  std::optional<PreemptionChoice> best_choice;
  for (auto& [vm, worker] : this->workers) {
    const auto same = candidate.same_step.find(vm);
    context.same_step = same == candidate.same_step.end() ? 0 : same->second;
    if (!IsEligible(step, context, *worker, now) ||
        this->TicketFor(*candidate.active, candidate.occurrence, candidate.step,
                        *worker, now) == nullptr)
      continue;
    // Capacity of a worker is reserved for one task at a time. A VM of a
    // returning domain offers more capacity without stopping work.
    if (worker->reserved_until > now || worker->full_capacity_at > now)
      continue;
    auto choice = ChoosePreemption(
        step.size, FreeCapacity(*worker, now) - worker->held_for_moves,
        this->PreemptionCandidates(*worker, now));
    if (choice && (!best_choice || choice->cost < best_choice->cost)) {
      best = worker.get();
      best_choice = std::move(choice);
    }
  }
  if (best == nullptr)
    return;
  best->reserved = step.size;
  best->reserved_until = now + kReservationDuration;
  for (const TaskRef& task : best_choice->victims) {
    PlacedTask& placed = best->placed.at(task);
    MarkStopping(&placed);
    orders->stops.push_back({best->vm, task, placed.run, "preempted"});
  }
}

ObstacleCounts Scheduler::CountObstacles(const TaskRef& task, absl::Time now) {
  ObstacleCounts counts = {};
  ActiveSubmission* active = this->FindActive(task.submission);
  const TaskSlot* slot = active == nullptr ? nullptr : FindSlot(active, task);
  if (slot == nullptr)
    return counts;
  StepCandidate candidate;
  candidate.active = active;
  candidate.occurrence = task.occurrence;
  candidate.step = task.step;
  this->CountPlaced(&candidate);
  PlacementContext context;
  context.service = active->queue.service;
  context.can_wait = CanWait(candidate.Spec(), candidate.Slots(), now);
  for (auto& [vm, worker] : this->workers) {
    const auto same = candidate.same_step.find(vm);
    context.same_step = same == candidate.same_step.end() ? 0 : same->second;
    this->RefreshOutlooks(worker.get(), now);
    PlacementObstacle obstacle = FindObstacle(
        candidate.Spec(), context, *worker, this->interference_model, now);
    if (IsEligible(candidate.Spec(), context, *worker, now) &&
        this->TicketFor(*active, task.occurrence, task.step, *worker, now) ==
            nullptr)
      obstacle = PlacementObstacle::kNoPermit;
    ++counts.at(static_cast<size_t>(obstacle));
  }
  return counts;
}

}  // namespace cuminjunction
