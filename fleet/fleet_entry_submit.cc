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
  submission.value().id = id;
  submission.value().queue = queue.name;
  const bool unresolved = this->unresolved_ids.contains(id);
  // A submission whose row may be stored must not be answered as refused.
  if (!unresolved &&
      this->RefuseIfOverloaded(exchange, queue, submission.value()))
    return;
  submission.value().accepted_ms = absl::ToUnixMillis(SystemClock().Now());
  const absl::Time deadline =
      exchange->received +
      absl::Milliseconds(CallerPatienceMs(exchange->headers)
                             .value_or(kDefaultCallerTimeoutMs)) -
      kAnswerMargin;
  this->settler->Settle(
      submission.value(), exchange->body.size(), deadline, unresolved,
      [this, exchange,
       submission = submission.value()](const SettledSubmission& settled) {
        this->OnSettled(exchange, submission, settled);
      });
}

void FleetEntry::OnSettled(HttpExchange* exchange,
                           const Submission& submission,
                           const SettledSubmission& settled) {
  const std::string& id = submission.id;
  // An attempt of the same id, by a call that has been answered meanwhile, may
  // still be stored.
  if ((settled.outcome == SettledOutcome::kNotSent ||
       settled.outcome == SettledOutcome::kTooMany) &&
      this->unresolved_ids.contains(id)) {
    this->OnSettled(
        exchange, submission,
        {.outcome = SettledOutcome::kUnknown, .cause = "store_slow"});
    return;
  }
  switch (settled.outcome) {
    case SettledOutcome::kStored:
      this->AcceptSubmission(exchange, submission, settled.version);
      break;
    case SettledOutcome::kCancelled:
      // The cancellation keeps all attempts from being stored.
      this->Refuse(exchange, 410, id, "cancelled");
      break;
    case SettledOutcome::kNotSent:
      this->Refuse(exchange, 503, id, "store-unavailable",
                   this->UsefulRetry(submission));
      break;
    case SettledOutcome::kTooMany:
      this->Refuse(exchange, 503, id, "too-many-waiting",
                   this->UsefulRetry(submission));
      break;
    case SettledOutcome::kFenced:
      this->unresolved_ids.erase(id);
      this->log->Write(LogLine("submission_fenced")
                           .Add("submission", id)
                           .Add("row_version", settled.version));
      this->Refuse(exchange, 503, id, "fenced", this->UsefulRetry(submission));
      break;
    case SettledOutcome::kUnknown:
      if (this->unresolved_ids.insert(id).second)
        this->expiry_queue.emplace_back(BootClock().Now(), id);
      this->metrics
          .GetCounter("submissions_unknown_total",
                      StrCat("cause=\"", settled.cause, "\""))
          .Add();
      this->log->Write(LogLine("submission_unknown", LogLevel::kWarning)
                           .Add("submission", id)
                           .Add("cause", settled.cause));
      this->Refuse(exchange, 504, id, "outcome-unknown");
      break;
  }
}

bool FleetEntry::MayPlannerStore() const {
  // The commits of a planner also count as failing while the store is slow for
  // all.
  return this->port->IsConnected() &&
         (!this->view.commits_failing || !this->follower->IsStoreUnreachable());
}

bool FleetEntry::RelayToPlanner(
    StoreRequest request,
    absl::Time deadline,
    std::function<void(const SubmissionReply&)> done) {
  const absl::Duration left = deadline - BootClock().Now();
  if (!this->MayPlannerStore() || left <= absl::ZeroDuration())
    return false;
  const uint64_t number = this->next_relay_number++;
  this->pending_relays[number] = std::move(done);
  request.number = number;
  this->log->Write(LogLine("store_relayed")
                       .Add("submission", request.submission.id)
                       .Add("kind", static_cast<uint64_t>(request.kind))
                       .Add("epoch", this->port->Epoch()));
  this->port->Send(std::move(request));
  auto timer = std::make_shared<boost::asio::steady_timer>(
      this->thread.Context(), absl::ToChronoMicroseconds(left));
  timer->async_wait([this, number, timer](std::error_code error) {
    auto pending_relay = this->pending_relays.extract(number);
    if (!error && !pending_relay.empty())
      pending_relay.mapped()({SubmissionOutcome::kUnknown, 0});
  });
  return true;
}

void FleetEntry::AcceptSubmission(HttpExchange* exchange,
                                  const Submission& submission,
                                  int64_t row_version) {
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
  this->Reply(exchange, 200, "{}");
}

}  // namespace cuminjunction
