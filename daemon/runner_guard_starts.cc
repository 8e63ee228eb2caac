// How a guard starts and stops runs until the outcome is certain.

#include <algorithm>
#include <utility>

#include "base/time.h"
#include "daemon/runner_guard.h"

namespace cuminjunction {

namespace {

// Grants with less left than this are not used for new tasks.
constexpr absl::Duration kMinAuthority = absl::Milliseconds(300);

// Pause before an order whose answer was lost is sent again.
constexpr absl::Duration kOrderRetryPause = absl::Milliseconds(80);

}  // namespace

void RunnerGuard::StopUnexpected(
    const std::map<TaskRef, RunningFigure>& before) {
  for (const auto& [task, figure] : this->running) {
    const uint32_t run = figure.running.run;
    const auto old = before.find(task);
    const auto pending = this->starting.find(task);
    if ((old != before.end() && old->second.running.run == run) ||
        (pending != this->starting.end() && pending->second.order.run == run))
      continue;
    // An order that was given up has been carried out after all.
    this->log->Write(LogLine("unexpected_run", LogLevel::kWarning)
                         .Add("submission", task.submission)
                         .Add("step", static_cast<uint64_t>(task.step))
                         .Add("index", static_cast<uint64_t>(task.index))
                         .Add("run", static_cast<uint64_t>(run)));
    this->SendStop(task, run, false);
  }
}

void RunnerGuard::SettleStarts() {
  std::vector<PendingStart> gone;
  for (auto entry = this->starting.begin(); entry != this->starting.end();) {
    const PendingStart& start = entry->second;
    const auto listed = this->running.find(entry->first);
    const bool runs = listed != this->running.end() &&
                      listed->second.running.run == start.order.run;
    const bool has_ended = std::any_of(
        this->ended.begin(), this->ended.end(), [&](const EndedRun& end) {
          return end.task == entry->first && end.run == start.order.run;
        });
    // A list that was asked for before the start may not have it yet.
    if (!runs && !has_ended) {
      if (start.accepted >= this->hold_sent) {
        ++entry;
        continue;
      }
      gone.push_back(start);
    }
    entry = this->starting.erase(entry);
  }
  for (const PendingStart& start : gone) {
    this->descriptions.erase(start.order.task);
    this->handlers.on_refused(
        start.order.task, start.order.run,
        start.abandoned.value_or(StartOutcome::kStaleRun));
  }
}

void RunnerGuard::Start(const RunOrder& order, const std::string& text) {
  const absl::Time now = BootClock().Now();
  if (!this->alive || this->authority - now < kMinAuthority) {
    this->handlers.on_refused(order.task, order.run, StartOutcome::kRefused);
    return;
  }
  this->Describe(order);
  PendingStart pending;
  pending.order = order;
  pending.text = text;
  pending.ordered = now;
  this->starting[order.task] = std::move(pending);
  this->TryStart(order.task);
}

void RunnerGuard::TryStart(const TaskRef& task) {
  const PendingStart& pending = this->starting.at(task);
  const auto until = this->LeaseUntilMs(BootClock().Now());
  if (!until) {
    this->GiveUp(task, StartOutcome::kRefused);
    return;
  }
  RunnerStart start;
  start.task = task;
  start.run = pending.order.run;
  start.text = pending.text;
  start.checkpoint = pending.order.checkpoint;
  start.ticket = pending.order.ticket;
  start.lease_until_ms = *until;
  start.fence = this->fence;
  this->runner->Start(start, [this, open = this->open, task,
                              run = start.run](OrderReply&& reply) {
    if (*open)
      this->OnStartReply(task, run, reply);
  });
}

void RunnerGuard::RetryStart(const TaskRef& task, uint32_t run) {
  this->After(kOrderRetryPause, [this, task, run] {
    const auto found = this->starting.find(task);
    if (found != this->starting.end() && found->second.order.run == run)
      this->TryStart(task);
  });
}

void RunnerGuard::OnStartReply(const TaskRef& task,
                               uint32_t run,
                               const OrderReply& reply) {
  this->TakeClock(reply, BootClock().Now());
  const auto found = this->starting.find(task);
  if (found == this->starting.end() || found->second.order.run != run)
    return;
  PendingStart& pending = found->second;
  switch (reply.result) {
    case OrderResult::kDone:
      pending.accepted = BootClock().Now();
      this->start_seconds.Observe(pending.accepted - pending.ordered);
      this->handlers.on_started(task);
      if (pending.abandoned)
        this->SendStop(task, run, false);
      return;
    case OrderResult::kUnknownOutcome:
      pending.maybe = true;
      this->RetryStart(task, run);
      return;
    case OrderResult::kFenced:
      this->RaiseFence();
      this->RetryStart(task, run);
      return;
    case OrderResult::kLate:
      this->RetryStart(task, run);
      return;
    case OrderResult::kNoRoom:
      this->GiveUp(task, StartOutcome::kNoCapacity);
      return;
    case OrderResult::kNoTicket:
      this->GiveUp(task, StartOutcome::kInvalidTicket);
      return;
    case OrderResult::kOldRun:
      // With a lost answer before, the run may have started and ended; the next
      // list tells.
      pending.accepted = BootClock().Now();
      return;
    default:
      this->GiveUp(task, StartOutcome::kRefused);
      return;
  }
}

void RunnerGuard::GiveUp(const TaskRef& task, StartOutcome outcome) {
  const auto found = this->starting.find(task);
  PendingStart& pending = found->second;
  const uint32_t run = pending.order.run;
  if (pending.maybe) {
    // A copy of the order may still be carried out; once the run is stopped the
    // runner refuses it.
    pending.abandoned = outcome;
    this->SendStop(task, run, true);
    return;
  }
  this->starting.erase(found);
  this->descriptions.erase(task);
  this->handlers.on_refused(task, run, outcome);
}

void RunnerGuard::Stop(const TaskRef& task, uint32_t run) {
  const auto found = this->starting.find(task);
  if (found != this->starting.end() && found->second.order.run == run)
    found->second.abandoned = StartOutcome::kRefused;
  this->SendStop(task, run, false);
}

void RunnerGuard::SendStop(const TaskRef& task, uint32_t run, bool report) {
  this->runner->Stop(
      task, run, this->fence,
      [this, open = this->open, task, run, report](OrderReply&& reply) {
        if (!*open)
          return;
        this->TakeClock(reply, BootClock().Now());
        if (reply.result == OrderResult::kFenced)
          this->RaiseFence();
        const bool again = reply.result == OrderResult::kUnknownOutcome ||
                           reply.result == OrderResult::kNotSent ||
                           reply.result == OrderResult::kUnhealthy ||
                           reply.result == OrderResult::kFenced;
        if (again && this->alive) {
          this->After(kOrderRetryPause, [this, task, run, report] {
            this->SendStop(task, run, report);
          });
          return;
        }
        if (!report)
          return;
        const auto found = this->starting.find(task);
        if (found == this->starting.end() || found->second.order.run != run)
          return;
        // It may have run before it was stopped; the next list tells.
        found->second.accepted = BootClock().Now();
      });
}

}  // namespace cuminjunction
