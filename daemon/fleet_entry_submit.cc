// How an entry stores a submission and answers its caller.

#include <algorithm>
#include <utility>

#include "base/strings.h"
#include "base/time.h"
#include "daemon/fleet_entry.h"
#include "daemon/fleet_entry_internal.h"
#include "platform/bodies.h"
#include "platform/calls.h"

namespace cuminjunction {

namespace {

// Limit for a row that the planner is asked to store. A planner that can't is
// known as such within 1.7 s; a caller is not held for longer than a commit and
// the way to another region take.
constexpr absl::Duration kRelayTimeout = absl::Milliseconds(700);

}  // namespace

// A submission whose row is being stored.
struct FleetEntry::Submit {
  HttpExchange* exchange = nullptr;
  Submission submission;
  absl::Time deadline;
  // A try may have been carried out, or may still be.
  bool maybe = false;
};

void FleetEntry::OnSubmit(HttpExchange* exchange,
                          const Queue& queue,
                          const std::string& id) {
  const int64_t limit = this->follower->Policy().max_body_bytes;
  if (limit > 0 && static_cast<int64_t>(exchange->body.size()) > limit) {
    this->Refuse(exchange, 413, id, "body-too-large");
    return;
  }
  // A repetition of a submission that is stored.
  if (this->states.contains(id)) {
    this->Reply(exchange, 200, "{}");
    return;
  }
  auto submission = ParseSubmission(exchange->body);
  if (!submission) {
    this->Refuse(exchange, 400, id, "bad-body");
    return;
  }
  auto submit = std::make_shared<Submit>();
  submit->exchange = exchange;
  submit->submission = std::move(submission.value());
  submit->submission.id = id;
  submit->submission.queue = queue.name;
  submit->maybe = this->doubtful.contains(id);
  submit->submission.accepted_ms = absl::ToUnixMillis(absl::Now());
  submit->deadline =
      BootClock().Now() +
      absl::Milliseconds(
          CallerPatienceMs(exchange->headers).value_or(kDefaultPatienceMs)) -
      kAnswerMargin;
  if (this->follower->IsStoreUnreachable())
    this->OnStoreUnavailable(submit);
  else
    this->SendSubmit(submit);
}

void FleetEntry::SendSubmit(const std::shared_ptr<Submit>& submit) {
  const std::string& id = submit->submission.id;
  const absl::Duration left = submit->deadline - BootClock().Now();
  this->store->Commit({.expects = {{kSubmissionTable, id, 0}},
                       .puts = {{kSubmissionTable, id,
                                 Encode(SubmissionRow{submit->submission})}}},
                      std::clamp(left, absl::Milliseconds(1), kCallTimeout),
                      [this, submit](CommitReply&& reply) {
                        this->OnSubmitReply(submit, std::move(reply));
                      });
}

void FleetEntry::OnSubmitReply(const std::shared_ptr<Submit>& submit,
                               CommitReply&& reply) {
  const std::string& id = submit->submission.id;
  // A conflict means that the row exists: by an earlier try, or by another
  // entry that got the same submission.
  if (!reply.error || reply.error == PlatformError::kConflict) {
    this->Accept(submit);
    return;
  }
  const bool refused = reply.error == PlatformError::kRefused ||
                       reply.error == PlatformError::kNotSent;
  if (!refused) {
    submit->maybe = true;
    this->NoteDoubtful(id);
  }
  // A lost reply is followed up; an outage is not waited for.
  if (refused || this->follower->IsStoreUnreachable() ||
      BootClock().Now() + kRetryPause >= submit->deadline) {
    this->OnStoreUnavailable(submit);
    return;
  }
  auto pause = std::make_shared<boost::asio::steady_timer>(
      this->thread.Context(), absl::ToChronoMilliseconds(kRetryPause));
  pause->async_wait([this, submit, pause](std::error_code error) {
    if (!error)
      this->SendSubmit(submit);
  });
}

void FleetEntry::NoteDoubtful(const std::string& id) {
  if (this->doubtful.insert(id).second)
    this->noted.emplace_back(BootClock().Now(), id);
}

void FleetEntry::OnStoreUnavailable(const std::shared_ptr<Submit>& submit) {
  const std::string& id = submit->submission.id;
  const auto done = [this, submit](bool stored) {
    if (stored) {
      this->Accept(submit);
      return;
    }
    this->NoteDoubtful(submit->submission.id);
    this->Refuse(submit->exchange, 504, submit->submission.id,
                 "outcome-unknown");
  };
  if (this->Relay(submit->submission, false, submit->deadline, done))
    return;
  // Only what was never sent certainly does not run.
  if (submit->maybe)
    this->Refuse(submit->exchange, 504, id, "outcome-unknown");
  else
    this->Refuse(submit->exchange, 503, id, "store-unavailable");
}

bool FleetEntry::Relay(const Submission& submission,
                       bool cancel,
                       absl::Time deadline,
                       std::function<void(bool stored)> done) {
  const absl::Duration left =
      std::min(deadline - BootClock().Now(), kRelayTimeout);
  if (!this->port->IsConnected() || this->view.commits_failing ||
      left <= absl::ZeroDuration())
    return false;
  const uint64_t number = this->next_relay++;
  this->relays[number] = std::move(done);
  this->port->Send(StoreRequest{number, submission, cancel});
  this->log->Write(LogLine("store_relayed")
                       .Add("submission", submission.id)
                       .Add("cancel", cancel)
                       .Add("epoch", this->port->Epoch()));
  auto timer = std::make_shared<boost::asio::steady_timer>(
      this->thread.Context(), absl::ToChronoMicroseconds(left));
  timer->async_wait([this, number, timer](std::error_code error) {
    auto waiting_relay = this->relays.extract(number);
    if (!error && !waiting_relay.empty())
      waiting_relay.mapped()(false);
  });
  return true;
}

void FleetEntry::Accept(const std::shared_ptr<Submit>& submit) {
  const Submission& submission = submit->submission;
  this->metrics.GetCounter("submissions_accepted_total").Add();
  this->log->Write(LogLine("submission_accepted")
                       .Add("submission", submission.id)
                       .Add("queue", submission.queue)
                       .Add("steps", submission.steps.size())
                       .Add("epoch", this->port->Epoch())
                       .Add("planner_connected", this->port->IsConnected()));
  this->states.emplace(submission.id, SubmissionState::kQueued);
  this->doubtful.erase(submission.id);
  this->port->Send(AcceptedNotice{submission});
  this->recent.emplace_back(BootClock().Now(), submission);
  this->Reply(submit->exchange, 200, "{}");
}

}  // namespace cuminjunction
