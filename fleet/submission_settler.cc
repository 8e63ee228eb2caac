#include "fleet/submission_settler.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "base/time.h"
#include "fleet/fleet_entry_internal.h"
#include "fleet/node_row.h"

namespace cuminjunction {

namespace {

// Interval of the decisions while submissions are pending. Replies and new
// submissions are handled at once.
constexpr std::chrono::milliseconds kActInterval(20);

// Timeout of a request to the planner. It includes a commit and the round trip
// to another region.
constexpr absl::Duration kRelayTimeout = absl::Milliseconds(2700);

// CommitBatcher combines the writes that wait, so that many of them make few
// transactions.
constexpr size_t kMaxWaitingWrites = 48;
constexpr size_t kMaxUnsettledWrites = 24;

// Timeout of a write or a fence; see CommitBatcher.
constexpr absl::Duration kWriteTimeout = absl::Milliseconds(2500);

// Timeout of a read that finds out whether the store answers; a slow one
// answers in 240 ms.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(400);

}  // namespace

SubmissionSettler::SubmissionSettler(boost::asio::io_context* context,
                                     Store* store,
                                     Log* log,
                                     Metrics* metrics,
                                     SubmissionSettlerHandlers handlers)
    : store(store),
      batcher(context, store),
      log(log),
      handlers(std::move(handlers)),
      timer(*context),
      repeats_total(metrics->GetCounter("submission_store_repeats_total")),
      waiting(metrics->GetGauge("submissions_pending")),
      gate({.max_in_flight = kMaxWaitingWrites,
            .max_in_flight_repeats = kMaxWaitingWrites,
            .max_unsettled = kMaxUnsettledWrites}) {}

void SubmissionSettler::Settle(const Submission& submission,
                               size_t bytes,
                               absl::Time deadline,
                               bool unresolved,
                               Done done) {
  const uint64_t number = this->next_number++;
  if (!this->gate.Add(number, deadline, bytes, unresolved)) {
    // An earlier write may be carried out, so the outcome is not a refusal.
    if (unresolved || this->IsUncertain(submission.id))
      done({.outcome = SettledOutcome::kUnknown, .cause = "store_slow"});
    else
      done({.outcome = SettledOutcome::kTooMany});
    return;
  }
  this->pending[number] = {submission, 0, std::move(done)};
  this->Act();
}

void SubmissionSettler::Stop(absl::Time latest) {
  this->stopping = true;
  this->gate.LimitDeadlines(latest);
}

void SubmissionSettler::ScheduleAct() {
  if (this->pending.empty() || std::exchange(this->act_scheduled, true))
    return;
  this->timer.expires_after(kActInterval);
  this->timer.async_wait([this](std::error_code error) {
    this->act_scheduled = false;
    if (!error)
      this->Act();
  });
}

void SubmissionSettler::Act() {
  // Finish() calls back, and the caller may hand in a submission.
  this->act_again = true;
  if (std::exchange(this->acting, true))
    return;
  while (std::exchange(this->act_again, false)) {
    GateConditions conditions = this->handlers.conditions();
    conditions.store_is_slow = this->batcher.IsSlow(BootClock().Now());
    this->reads_fail = conditions.reads_fail;
    const GateDecisions decisions =
        this->gate.Decide(conditions, BootClock().Now());
    for (const StoreSend& send : decisions.sends)
      this->Send(send);
    if (decisions.probe)
      this->Probe();
    // Before the refusals, which are not true of an id with an unknown attempt.
    for (const UnknownSubmission& unknown : decisions.unknown)
      this->Finish(unknown.submission, {.outcome = SettledOutcome::kUnknown,
                                        .cause = this->CauseOf(unknown)});
    for (const uint64_t number : decisions.refused)
      this->Finish(number, {.outcome = SettledOutcome::kNotSent});
  }
  this->acting = false;
  this->waiting.Set(static_cast<double>(this->pending.size()));
  this->LogHolding();
  this->ScheduleAct();
}

std::string_view SubmissionSettler::CauseOf(
    const UnknownSubmission& unknown) const {
  if (this->stopping)
    return "stopping";
  if (unknown.only_relayed)
    return "relay_lost";
  return this->reads_fail ? "store_lost" : "store_slow";
}

void SubmissionSettler::LogHolding() {
  const bool holding = this->gate.IsHolding();
  if (std::exchange(this->was_holding, holding) == holding)
    return;
  this->log->Write(
      LogLine(holding ? "submissions_held" : "submissions_released",
              holding ? LogLevel::kWarning : LogLevel::kInfo)
          .Add("pending", this->pending.size())
          .Add("store_reads_fail", this->reads_fail));
}

void SubmissionSettler::Send(const StoreSend& send) {
  const Pending& entry = this->pending.at(send.submission);
  const absl::Time now = BootClock().Now();
  const auto on_reply = [this, send, now](const SubmissionReply& reply) {
    this->OnReply(send, now, reply);
  };
  if (send.route == StoreRoute::kPlanner) {
    StoreRequest request;
    request.fence_version = entry.fence_version;
    if (send.step == StoreStep::kFence) {
      request.kind = static_cast<uint8_t>(StoreRequestKind::kFence);
      request.submission.id = entry.submission.id;
    } else {
      request.submission = entry.submission;
    }
    if (!this->handlers.relay(std::move(request),
                              std::min(send.deadline, now + kRelayTimeout),
                              on_reply))
      boost::asio::post(this->timer.get_executor(), [on_reply] {
        on_reply({SubmissionOutcome::kNotDone, 0});
      });
    return;
  }
  const absl::Duration timeout =
      std::clamp(send.deadline - now, absl::Milliseconds(1), kWriteTimeout);
  if (send.step == StoreStep::kFence)
    this->batcher.Commit(
        SubmissionFence(entry.submission.id), timeout,
        [on_reply](CommitReply&& reply) { on_reply(FenceReply(reply)); });
  else
    this->batcher.Commit(
        SubmissionWrite(entry.submission, entry.fence_version), timeout,
        [on_reply](CommitReply&& reply) { on_reply(WriteReply(reply)); });
}

void SubmissionSettler::OnReply(const StoreSend& send,
                                absl::Time sent,
                                const SubmissionReply& reply) {
  SendResult result = SendResult::kAnswered;
  if (reply.outcome == SubmissionOutcome::kUnknown)
    result = SendResult::kUnknown;
  else if (reply.outcome == SubmissionOutcome::kNotDone)
    result = SendResult::kNotDone;
  if (result != SendResult::kAnswered)
    this->repeats_total.Add();
  this->gate.OnReply(send, sent, result, BootClock().Now());
  const auto found = this->pending.find(send.submission);
  if (found != this->pending.end()) {
    switch (reply.outcome) {
      case SubmissionOutcome::kStored:
        this->Finish(send.submission, {.outcome = SettledOutcome::kStored,
                                       .version = reply.version});
        break;
      case SubmissionOutcome::kCancelled:
        this->Finish(send.submission, {.outcome = SettledOutcome::kCancelled});
        break;
      case SubmissionOutcome::kFenced:
        this->Finish(send.submission, {.outcome = SettledOutcome::kFenced,
                                       .version = reply.version});
        break;
      case SubmissionOutcome::kFenceChanged:
        found->second.fence_version = reply.version;
        break;
      case SubmissionOutcome::kNotDone:
      case SubmissionOutcome::kUnknown:
        break;
    }
  }
  this->Act();
}

void SubmissionSettler::Probe() {
  // A read has no effect, so that it makes no submission unresolved.
  this->store->ReadOne(kFenceTable, this->pending.begin()->second.submission.id,
                       kProbeTimeout,
                       [this, sent = BootClock().Now()](RowsReply&& reply) {
                         const absl::Time now = BootClock().Now();
                         if (!reply.error)
                           this->batcher.RecordLatency(now - sent);
                         this->gate.OnProbe(!reply.error, sent, now);
                         this->Act();
                       });
}

void SubmissionSettler::Finish(uint64_t number,
                               const SettledSubmission& settled) {
  auto node = this->pending.extract(number);
  this->gate.Remove(number);
  if (node.empty())
    return;
  if (settled.outcome == SettledOutcome::kNotSent &&
      this->IsUncertain(node.mapped().submission.id))
    node.mapped().done(
        {.outcome = SettledOutcome::kUnknown,
         .cause = this->reads_fail ? "store_lost" : "store_slow"});
  else
    node.mapped().done(settled);
}

bool SubmissionSettler::IsUncertain(const std::string& id) const {
  return std::any_of(this->pending.begin(), this->pending.end(),
                     [&](const auto& each) {
                       return each.second.submission.id == id &&
                              this->gate.IsUncertain(each.first);
                     });
}

}  // namespace cuminjunction
