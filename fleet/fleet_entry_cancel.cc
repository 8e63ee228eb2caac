// FleetEntry: cancels submissions.

#include <algorithm>
#include <utility>

#include "base/time.h"
#include "fleet/fleet_entry.h"
#include "fleet/fleet_entry_internal.h"
#include "platform/bodies.h"
#include "platform/calls.h"

namespace cuminjunction {

namespace {

// Cancels of unknown submissions are stored together, at most this many rows in
// a commit and one commit in this time. A flood of them then leaves the store
// to the planner: ten entries make 100 of 300 commits a second.
constexpr size_t kMaxUnknownCancels = 90;
constexpr absl::Duration kUnknownCancelInterval = absl::Milliseconds(100);

// Shortest timeout of such a commit: within kAnswerMargin, so that a cancel
// with little time left does not make the others fail.
constexpr absl::Duration kMinUnknownCancelTimeout = absl::Milliseconds(100);

// Timeout of a request that the planner store a cancellation. An entry detects
// a planner without a store within 1.7 s; a caller waits no longer than a
// commit and the round trip to another region take.
constexpr absl::Duration kCancelRelayTimeout = absl::Milliseconds(700);

}  // namespace

void FleetEntry::OnCancel(HttpExchange* exchange, const std::string& id) {
  const absl::Time deadline =
      BootClock().Now() +
      absl::Milliseconds(CallerPatienceMs(exchange->headers)
                             .value_or(kDefaultCallerTimeoutMs)) -
      kAnswerMargin;
  const auto found = this->states.find(id);
  if (found != this->states.end()) {
    if (IsFinal(found->second))
      this->Reply(exchange, 200, "{}");
    else
      this->SendCancel(exchange, id, deadline);
    return;
  }
  this->ReadState(
      id, [this, exchange, id, deadline](std::error_code error,
                                         std::optional<SubmissionState> state) {
        if (error) {
          this->Refuse(exchange, 503, id, "store-unavailable");
        } else if (!state) {
          this->unknown_cancels.push_back(
              {.exchange = exchange, .id = id, .deadline = deadline});
          this->StoreUnknownCancels();
        } else {
          this->SetState(id, *state);
          if (IsFinal(*state))
            this->Reply(exchange, 200, "{}");
          else
            this->SendCancel(exchange, id, deadline);
        }
      });
}

void FleetEntry::SendCancel(HttpExchange* exchange,
                            const std::string& id,
                            absl::Time deadline) {
  const absl::Duration left = deadline - BootClock().Now();
  this->store->Commit(
      {.expects = {}, .puts = {{kCancellationTable, id, ""}}},
      std::clamp(left, absl::Milliseconds(1), kStoreCallTimeout),
      [this, exchange, id, deadline](CommitReply&& reply) {
        if (!reply.error) {
          // Dropped while no planner is connected.
          this->port->Send(CancelledNotice{id});
          this->recently_cancelled.emplace_back(BootClock().Now(), id);
          this->FinishCancel(exchange, id);
          return;
        }
        if (reply.error == PlatformError::kRefused &&
            this->RelayCancel(id, deadline, [this, exchange, id](bool stored) {
              if (stored)
                this->FinishCancel(exchange, id);
              else
                this->Refuse(exchange, 504, id, "outcome-unknown");
            }))
          return;
        if (BootClock().Now() + kStoreRetryDelay >= deadline) {
          this->Refuse(exchange, 504, id, "outcome-unknown");
          return;
        }
        auto retry_timer = std::make_shared<boost::asio::steady_timer>(
            this->thread.Context(),
            absl::ToChronoMilliseconds(kStoreRetryDelay));
        retry_timer->async_wait(
            [this, exchange, id, deadline, retry_timer](std::error_code error) {
              if (!error)
                this->SendCancel(exchange, id, deadline);
            });
      });
}

bool FleetEntry::RelayCancel(const std::string& id,
                             absl::Time deadline,
                             std::function<void(bool stored)> done) {
  StoreRequest request;
  request.submission.id = id;
  request.kind = static_cast<uint8_t>(StoreRequestKind::kCancel);
  return this->RelayToPlanner(
      std::move(request),
      std::min(deadline, BootClock().Now() + kCancelRelayTimeout),
      [done = std::move(done)](const SubmissionReply& reply) {
        done(reply.outcome == SubmissionOutcome::kStored);
      });
}

void FleetEntry::FinishCancel(HttpExchange* exchange, const std::string& id) {
  this->log->Write(LogLine("submission_cancelled").Add("submission", id));
  this->SetState(id, SubmissionState::kCancelled);
  this->Reply(exchange, 200, "{}");
}

void FleetEntry::StoreUnknownCancels() {
  if (this->unknown_cancels.empty() || this->unknown_commit_scheduled)
    return;
  const absl::Time now = BootClock().Now();
  if (now < this->next_unknown_commit) {
    this->unknown_commit_scheduled = true;
    auto timer = std::make_shared<boost::asio::steady_timer>(
        this->thread.Context(),
        absl::ToChronoMicroseconds(this->next_unknown_commit - now));
    timer->async_wait([this, timer](std::error_code error) {
      this->unknown_commit_scheduled = false;
      if (!error)
        this->StoreUnknownCancels();
    });
    return;
  }
  this->next_unknown_commit = now + kUnknownCancelInterval;
  StoreCommit commit;
  std::vector<UnknownCancel> cancels;
  absl::Duration timeout = kStoreCallTimeout;
  while (!this->unknown_cancels.empty() &&
         cancels.size() < kMaxUnknownCancels) {
    UnknownCancel& cancel = this->unknown_cancels.front();
    timeout = std::min(timeout, cancel.deadline - now);
    commit.puts.push_back({kCancellationTable, cancel.id, ""});
    cancels.push_back(std::move(cancel));
    this->unknown_cancels.pop_front();
  }
  this->store->Commit(
      commit, std::max(timeout, kMinUnknownCancelTimeout),
      [this, cancels = std::move(cancels)](CommitReply&& reply) mutable {
        this->OnUnknownCancelsReply(std::move(cancels), reply.error);
      });
  this->StoreUnknownCancels();
}

void FleetEntry::OnUnknownCancelsReply(std::vector<UnknownCancel>&& cancels,
                                       std::error_code error) {
  const bool refused =
      error == PlatformError::kRefused || error == PlatformError::kNotSent;
  const absl::Time now = BootClock().Now();
  for (UnknownCancel& cancel : cancels) {
    if (!error) {
      this->FinishUnknownCancel(cancel);
      continue;
    }
    if (refused && this->RelayCancel(
                       cancel.id, cancel.deadline, [this, cancel](bool stored) {
                         if (stored)
                           this->FinishUnknownCancel(cancel);
                         else
                           this->Refuse(cancel.exchange, 504, cancel.id,
                                        "outcome-unknown");
                       }))
      continue;
    cancel.unresolved = cancel.unresolved || !refused;
    if (!cancel.unresolved)
      this->Refuse(cancel.exchange, 503, cancel.id, "store-unavailable");
    else if (now + kStoreRetryDelay >= cancel.deadline)
      this->Refuse(cancel.exchange, 504, cancel.id, "outcome-unknown");
    else
      this->unknown_cancels.push_back(std::move(cancel));
  }
  this->StoreUnknownCancels();
}

void FleetEntry::FinishUnknownCancel(const UnknownCancel& cancel) {
  this->port->Send(CancelledNotice{cancel.id});
  // The submission may have been stored since its row was looked for.
  if (this->states.contains(cancel.id))
    this->FinishCancel(cancel.exchange, cancel.id);
  else
    this->Refuse(cancel.exchange, 410, cancel.id, "unknown-submission");
}

}  // namespace cuminjunction
