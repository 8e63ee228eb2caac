// FleetEntry: cancels submissions.

#include <algorithm>
#include <utility>

#include "base/time.h"
#include "daemon/fleet_entry.h"
#include "daemon/fleet_entry_internal.h"
#include "platform/bodies.h"
#include "platform/calls.h"

namespace cuminjunction {

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
          this->Refuse(exchange, 410, id, "unknown-submission");
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
          this->port->Send(CancelledNotice{id});
          this->FinishCancel(exchange, id);
          return;
        }
        Submission cancelled;
        cancelled.id = id;
        if (reply.error == PlatformError::kRefused &&
            this->RelayToPlanner(
                cancelled, true, deadline, [this, exchange, id](bool stored) {
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

void FleetEntry::FinishCancel(HttpExchange* exchange, const std::string& id) {
  this->log->Write(LogLine("submission_cancelled").Add("submission", id));
  this->SetState(id, SubmissionState::kCancelled);
  this->Reply(exchange, 200, "{}");
}

}  // namespace cuminjunction
