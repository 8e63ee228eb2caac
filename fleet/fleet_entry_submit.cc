// FleetEntry: stores submissions and answers their callers.

#include <algorithm>
#include <utility>

#include "base/strings.h"
#include "base/time.h"
#include "fleet/fleet_entry.h"
#include "fleet/fleet_entry_internal.h"
#include "platform/bodies.h"
#include "platform/calls.h"

namespace cuminjunction {

namespace {

// Timeout of a request that the planner store a row. An entry detects a planner
// without a store within 1.7 s; a caller waits no longer than a commit and the
// round trip to another region take.
constexpr absl::Duration kRelayTimeout = absl::Milliseconds(700);

}  // namespace

// A submission whose row is being stored.
struct FleetEntry::PendingSubmission {
  HttpExchange* exchange = nullptr;
  Submission submission;
  absl::Time deadline;
  // The answer of the store to an attempt was lost: the row may be stored, or
  // may still become so.
  bool unresolved = false;
};

void FleetEntry::OnSubmit(HttpExchange* exchange,
                          const Queue& queue,
                          const std::string& id) {
  const int64_t limit = this->follower->Policy().max_body_bytes;
  if (limit > 0 && static_cast<int64_t>(exchange->body.size()) > limit) {
    this->Refuse(exchange, 413, id, "body-too-large");
    return;
  }
  // A repeated request for a submission that is stored.
  if (this->states.contains(id)) {
    this->Reply(exchange, 200, "{}");
    return;
  }
  auto submission = ParseSubmission(exchange->body);
  if (!submission) {
    this->Refuse(exchange, 400, id, "bad-body");
    return;
  }
  auto pending = std::make_shared<PendingSubmission>();
  pending->exchange = exchange;
  pending->submission = std::move(submission.value());
  pending->submission.id = id;
  pending->submission.queue = queue.name;
  pending->unresolved = this->unresolved_ids.contains(id);
  // A submission whose row may be stored must not be answered as refused.
  if (!pending->unresolved &&
      this->RefuseIfOverloaded(exchange, queue, pending->submission))
    return;
  pending->submission.accepted_ms = absl::ToUnixMillis(SystemClock().Now());
  pending->deadline =
      BootClock().Now() +
      absl::Milliseconds(CallerPatienceMs(exchange->headers)
                             .value_or(kDefaultCallerTimeoutMs)) -
      kAnswerMargin;
  if (this->follower->IsStoreUnreachable())
    this->OnStoreUnavailable(pending);
  else
    this->SendSubmit(pending);
}

void FleetEntry::SendSubmit(const std::shared_ptr<PendingSubmission>& pending) {
  const std::string& id = pending->submission.id;
  const absl::Duration left = pending->deadline - BootClock().Now();
  this->store->Commit(
      {.expects = {{kSubmissionTable, id, 0}, {kCancellationTable, id, 0}},
       .puts = {{kSubmissionTable, id,
                 Encode(SubmissionRow{pending->submission})}}},
      std::clamp(left, absl::Milliseconds(1), kStoreCallTimeout),
      [this, pending](CommitReply&& reply) {
        this->OnSubmitReply(pending, std::move(reply));
      });
}

void FleetEntry::OnSubmitReply(
    const std::shared_ptr<PendingSubmission>& pending,
    CommitReply&& reply) {
  const std::string& id = pending->submission.id;
  const auto has_row = [&](std::string_view table) {
    return std::any_of(reply.rows.begin(), reply.rows.end(),
                       [&](const StoreRow& row) { return row.table == table; });
  };
  // A conflict with the submission's row means that an earlier attempt, or
  // another entry that received the same submission, has stored it.
  const bool conflict = reply.error == PlatformError::kConflict;
  if (!reply.error || (conflict && has_row(kSubmissionTable))) {
    this->AcceptSubmission(pending, RowVersion(reply, kSubmissionTable));
    return;
  }
  // The cancellation keeps all attempts from being stored.
  if (conflict && has_row(kCancellationTable)) {
    this->Refuse(pending->exchange, 410, id, "cancelled");
    return;
  }
  const bool refused = reply.error == PlatformError::kRefused ||
                       reply.error == PlatformError::kNotSent;
  if (!refused) {
    pending->unresolved = true;
    this->MarkUnresolved(id);
  }
  // The commit is repeated after a lost reply, but not during an outage.
  if (refused || this->follower->IsStoreUnreachable() ||
      BootClock().Now() + kStoreRetryDelay >= pending->deadline) {
    this->OnStoreUnavailable(pending);
    return;
  }
  auto retry_timer = std::make_shared<boost::asio::steady_timer>(
      this->thread.Context(), absl::ToChronoMilliseconds(kStoreRetryDelay));
  retry_timer->async_wait([this, pending, retry_timer](std::error_code error) {
    if (!error)
      this->SendSubmit(pending);
  });
}

void FleetEntry::MarkUnresolved(const std::string& id) {
  if (this->unresolved_ids.insert(id).second)
    this->expiry_queue.emplace_back(BootClock().Now(), id);
}

void FleetEntry::OnStoreUnavailable(
    const std::shared_ptr<PendingSubmission>& pending) {
  const std::string& id = pending->submission.id;
  const auto done = [this, pending](bool stored) {
    if (stored) {
      this->AcceptSubmission(pending, 0);
      return;
    }
    this->MarkUnresolved(pending->submission.id);
    this->Refuse(pending->exchange, 504, pending->submission.id,
                 "outcome-unknown");
  };
  if (this->RelayToPlanner(pending->submission, false, pending->deadline, done))
    return;
  // Only a submission whose row cannot have been stored is reported as refused.
  if (pending->unresolved)
    this->Refuse(pending->exchange, 504, id, "outcome-unknown");
  else
    this->Refuse(pending->exchange, 503, id, "store-unavailable",
                 this->UsefulRetry(pending->submission));
}

bool FleetEntry::RelayToPlanner(const Submission& submission,
                                bool cancel,
                                absl::Time deadline,
                                std::function<void(bool stored)> done) {
  const absl::Duration left =
      std::min(deadline - BootClock().Now(), kRelayTimeout);
  if (!this->port->IsConnected() || this->view.commits_failing ||
      left <= absl::ZeroDuration())
    return false;
  const uint64_t number = this->next_relay_number++;
  this->pending_relays[number] = std::move(done);
  this->port->Send(StoreRequest{number, submission, cancel});
  this->log->Write(LogLine("store_relayed")
                       .Add("submission", submission.id)
                       .Add("cancel", cancel)
                       .Add("epoch", this->port->Epoch()));
  auto timer = std::make_shared<boost::asio::steady_timer>(
      this->thread.Context(), absl::ToChronoMicroseconds(left));
  timer->async_wait([this, number, timer](std::error_code error) {
    auto pending_relay = this->pending_relays.extract(number);
    if (!error && !pending_relay.empty())
      pending_relay.mapped()(false);
  });
  return true;
}

void FleetEntry::AcceptSubmission(
    const std::shared_ptr<PendingSubmission>& pending,
    int64_t row_version) {
  const Submission& submission = pending->submission;
  this->metrics.GetCounter("submissions_accepted_total").Add();
  this->log->Write(LogLine("submission_accepted")
                       .Add("submission", submission.id)
                       .Add("queue", submission.queue)
                       .Add("steps", submission.steps.size())
                       .Add("row_version", row_version)
                       .Add("epoch", this->port->Epoch())
                       .Add("planner_connected", this->port->IsConnected()));
  this->states.emplace(submission.id, SubmissionState::kQueued);
  this->unresolved_ids.erase(submission.id);
  this->port->Send(AcceptedNotice{submission});
  this->recently_accepted.emplace_back(BootClock().Now(), submission);
  this->Reply(pending->exchange, 200, "{}");
}

}  // namespace cuminjunction
