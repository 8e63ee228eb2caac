// RunnerGuard: starts and stops runs, and repeats each order until its outcome
// is certain.

#include <set>
#include <utility>

#include "base/time.h"
#include "fleet/runner_guard.h"

namespace cuminjunction {

namespace {

// No run is started when the grant has less time left than this.
constexpr absl::Duration kMinGrantLeft = absl::Milliseconds(300);

// Delay before an order whose answer was lost is sent again.
constexpr absl::Duration kOrderRetryDelay = absl::Milliseconds(80);

}  // namespace

void RunnerGuard::StopUnexpectedRuns(
    const std::map<TaskRef, RunningFigure>& before) {
  for (const auto& [task, figure] : this->running) {
    const uint32_t run = figure.running.run;
    const auto old = before.find(task);
    const auto pending = this->starting.find(task);
    if ((old != before.end() && old->second.running.run == run) ||
        (pending != this->starting.end() && pending->second.order.run == run))
      continue;
    // The runner has carried out an order that was abandoned.
    this->log->Write(LogLine("unexpected_run", LogLevel::kWarning)
                         .Add("submission", task.submission)
                         .Add("step", static_cast<uint64_t>(task.step))
                         .Add("index", static_cast<uint64_t>(task.index))
                         .Add("run", static_cast<uint64_t>(run)));
    this->SendStop(task, run, false);
  }
}

void RunnerGuard::ResolveStarts() {
  std::set<std::pair<TaskRef, uint32_t>> ended_runs;
  for (const EndedRun& end : this->ended)
    ended_runs.emplace(end.task, end.run);
  std::vector<PendingStart> not_running;
  std::vector<PendingStart*> to_stop;
  for (auto entry = this->starting.begin(); entry != this->starting.end();) {
    PendingStart& start = entry->second;
    const auto listed = this->running.find(entry->first);
    const bool runs = listed != this->running.end() &&
                      listed->second.running.run == start.order.run;
    if (runs || ended_runs.contains({entry->first, start.order.run})) {
      entry = this->starting.erase(entry);
      continue;
    }
    // A report that was requested before the start was confirmed may not list
    // the run yet, and the end of the run may follow in a later one.
    if (start.accepted_at >= this->renewal_sent_at || this->more_ends) {
      ++entry;
      continue;
    }
    if (start.stopped) {
      not_running.push_back(std::move(start));
      entry = this->starting.erase(entry);
      continue;
    }
    start.accepted_at = absl::InfiniteFuture();
    if (!start.abandon_outcome)
      to_stop.push_back(&start);
    ++entry;
  }
  for (PendingStart* start : to_stop) {
    start->abandon_outcome = StartOutcome::kStaleRun;
    this->SendStop(start->order.task, start->order.run, true);
  }
  for (const PendingStart& start : not_running) {
    this->descriptions.erase(start.order.task);
    this->handlers.on_refused(
        start.order.task, start.order.run,
        start.abandon_outcome.value_or(StartOutcome::kStaleRun));
  }
}

std::optional<StartOutcome> RunnerGuard::ForbiddenStart(
    absl::Time deadline) const {
  if (this->evacuated)
    return StartOutcome::kEvacuated;
  if (BootClock().Now() > deadline)
    return StartOutcome::kExpired;
  return std::nullopt;
}

void RunnerGuard::Start(int64_t ordered_born_ms,
                        const RunOrder& order,
                        const std::string& text,
                        absl::Time deadline) {
  const absl::Time now = BootClock().Now();
  if (const auto forbidden = this->ForbiddenStart(deadline)) {
    this->handlers.on_refused(order.task, order.run, *forbidden);
    return;
  }
  if (!this->alive || ordered_born_ms != this->born_ms || this->IsDraining() ||
      this->IncarnationId().empty() ||
      this->grant_deadline - now < kMinGrantLeft) {
    this->handlers.on_refused(order.task, order.run, StartOutcome::kRefused);
    return;
  }
  // An earlier run may still start here, or is not listed as ended yet.
  const auto earlier = this->starting.find(order.task);
  if (earlier != this->starting.end() && earlier->second.order.run < order.run)
    this->SendStop(order.task, earlier->second.order.run, false);
  const auto listed = this->running.find(order.task);
  if (listed != this->running.end() && listed->second.running.run < order.run &&
      !this->stopping.contains({order.task, listed->second.running.run}))
    this->SendStop(order.task, listed->second.running.run, false);
  PendingStart pending;
  pending.order = order;
  pending.text = text;
  pending.incarnation = this->IncarnationId();
  pending.ordered_at = now;
  pending.deadline = deadline;
  this->starting[order.task] = std::move(pending);
  this->SendStart(order.task);
}

void RunnerGuard::SendStart(const TaskRef& task) {
  PendingStart& pending = this->starting.at(task);
  // The stop that is under way resolves the start.
  if (pending.abandon_outcome)
    return;
  if (this->MayEarlierRunExist(task, pending.order.run)) {
    this->RetryStart(task, pending.order.run);
    return;
  }
  // The end of an earlier run has removed its description.
  this->Describe(pending.order);
  ++pending.attempts;
  const auto lease_expiry_ms = this->NextLeaseExpiryMs(BootClock().Now());
  if (!lease_expiry_ms) {
    this->AbandonStart(task, StartOutcome::kRefused);
    return;
  }
  RunnerStart start;
  start.task = task;
  start.run = pending.order.run;
  start.text = pending.text;
  start.checkpoint = pending.order.checkpoint;
  start.ticket = pending.order.ticket;
  start.lease_until_ms = *lease_expiry_ms;
  const OrderAddress address{pending.incarnation, this->fence};
  this->runner->Start(address, start,
                      [this, active = this->active, task, run = start.run,
                       fence = address.fence](OrderReply&& reply) {
                        if (!*active)
                          return;
                        if (reply.result == OrderResult::kFenced)
                          this->RaiseFenceAbove(fence);
                        this->OnStartReply(task, run, reply);
                      });
}

void RunnerGuard::RetryStart(const TaskRef& task, uint32_t run) {
  this->RunAfter(kOrderRetryDelay, [this, task, run] {
    const auto found = this->starting.find(task);
    if (found == this->starting.end() || found->second.order.run != run)
      return;
    const PendingStart& pending = found->second;
    const auto forbidden = this->ForbiddenStart(pending.deadline);
    const bool may_stop = this->alive && !this->IncarnationId().empty();
    // A start that the runner may have carried out has to be stopped there. The
    // planner may start the task elsewhere once it hears of the refusal, so an
    // earlier run must have ended.
    if (forbidden && (may_stop || !pending.unresolved) &&
        !this->MayEarlierRunExist(task, run))
      this->AbandonStart(task, *forbidden);
    // The first list of the next incarnation tells whether the run is there. A
    // heartbeat may have told of it before the list.
    else if (!may_stop)
      this->RetryStart(task, run);
    else if (this->IsDraining())
      this->AbandonStart(task, StartOutcome::kRefused);
    else
      this->SendStart(task);
  });
}

bool RunnerGuard::MayEarlierRunExist(const TaskRef& task, uint32_t run) const {
  const auto listed = this->running.find(task);
  if (listed != this->running.end() && listed->second.running.run < run)
    return true;
  const auto stop = this->stopping.lower_bound({task, 0});
  return stop != this->stopping.end() && stop->first == task &&
         stop->second < run;
}

void RunnerGuard::OnStartReply(const TaskRef& task,
                               uint32_t run,
                               const OrderReply& reply) {
  this->RecordClock(reply, BootClock().Now());
  const auto found = this->starting.find(task);
  if (found == this->starting.end() || found->second.order.run != run)
    return;
  PendingStart& pending = found->second;
  pending.unresolved = pending.unresolved || reply.resent;
  switch (reply.result) {
    case OrderResult::kDone:
      pending.accepted_at = BootClock().Now();
      pending.confirmed = true;
      this->descriptions[task].started_at = pending.accepted_at;
      this->start_seconds.Observe(pending.accepted_at - pending.ordered_at);
      this->handlers.on_started(task);
      if (pending.abandon_outcome)
        this->SendStop(task, run, false);
      return;
    case OrderResult::kUnknownOutcome:
      pending.unresolved = true;
      this->RetryStart(task, run);
      return;
    case OrderResult::kFenced:
    case OrderResult::kLate:
      this->RetryStart(task, run);
      return;
    case OrderResult::kNoRoom:
      this->AbandonStart(task, StartOutcome::kNoCapacity);
      return;
    case OrderResult::kNoTicket:
      this->AbandonStart(task, StartOutcome::kInvalidTicket);
      return;
    case OrderResult::kOldRun:
    case OrderResult::kOtherIncarnation:
      // After a lost answer the run may have started; the next report shows
      // whether it did.
      pending.accepted_at = BootClock().Now();
      return;
    default:
      this->AbandonStart(task, StartOutcome::kRefused);
      return;
  }
}

void RunnerGuard::AbandonStart(const TaskRef& task, StartOutcome outcome) {
  const auto found = this->starting.find(task);
  PendingStart& pending = found->second;
  if (pending.abandon_outcome)
    return;
  const uint32_t run = pending.order.run;
  if (pending.unresolved) {
    // The runner may still carry out a copy of the order; it refuses the run
    // once a stop has reached it.
    pending.abandon_outcome = outcome;
    this->SendStop(task, run, true);
    return;
  }
  this->starting.erase(found);
  this->descriptions.erase(task);
  this->handlers.on_refused(task, run, outcome);
}

void RunnerGuard::Stop(const TaskRef& task, uint32_t run) {
  const auto found = this->starting.find(task);
  const bool pending =
      found != this->starting.end() && found->second.order.run == run;
  if (pending)
    found->second.abandon_outcome = StartOutcome::kRefused;
  this->SendStop(task, run, pending);
}

void RunnerGuard::SendStop(const TaskRef& task,
                           uint32_t run,
                           bool resolve_start) {
  this->stopping.emplace(task, run);
  const OrderAddress address = this->Address();
  this->runner->Stop(
      address, task, run,
      [this, active = this->active, task, run, resolve_start,
       fence = address.fence](OrderReply&& reply) {
        if (!*active)
          return;
        this->RecordClock(reply, BootClock().Now());
        if (reply.result == OrderResult::kFenced)
          this->RaiseFenceAbove(fence);
        const bool should_retry =
            reply.result == OrderResult::kUnknownOutcome ||
            reply.result == OrderResult::kNotSent ||
            reply.result == OrderResult::kUnhealthy ||
            reply.result == OrderResult::kFenced;
        if (should_retry && this->alive) {
          this->RunAfter(kOrderRetryDelay, [this, task, run, resolve_start] {
            this->SendStop(task, run, resolve_start);
          });
          return;
        }
        this->stopping.erase({task, run});
        if (!resolve_start)
          return;
        const auto found = this->starting.find(task);
        if (found == this->starting.end() || found->second.order.run != run)
          return;
        // The run may have started before the stop; the next report shows
        // whether it did.
        found->second.stopped = true;
        found->second.accepted_at = BootClock().Now();
      });
}

}  // namespace cuminjunction
