// FleetEntry: refusals, and when their callers should return.

#include <algorithm>
#include <utility>

#include "absl/random/random.h"
#include "base/strings.h"
#include "base/time.h"
#include "fleet/fleet_entry.h"
#include "submission/overload.h"

namespace cuminjunction {

namespace {

// A notice without a successor for this long is not used: two are then missing.
constexpr absl::Duration kMaxLoadAge = absl::Seconds(2);

// Retry-After without overload control. An outage of the store lasts 4 to 9 s,
// and callers retry four times.
constexpr int64_t kRetryAfterS = 2;

}  // namespace

void FleetEntry::OnCapacityNotice(CapacityNotice&& notice) {
  if (notice.epoch < this->loads_epoch)
    return;
  this->loads_epoch = notice.epoch;
  this->loads.clear();
  for (ServiceLoad& load : notice.services) {
    if (!IsPlausible(load)) {
      this->log->Write(LogLine("capacity_notice_damaged", LogLevel::kWarning)
                           .Add("epoch", notice.epoch)
                           .Add("service", load.service));
      this->loads.clear();
      return;
    }
    this->loads[load.service] = std::move(load);
  }
  this->loads_received_at = BootClock().Now();
  this->loads_sent_after = this->last_echo;
}

bool FleetEntry::RefuseIfOverloaded(HttpExchange* exchange,
                                    const Queue& queue,
                                    const Submission& submission) {
  if (!this->settings.fleet.overload_control)
    return false;
  const absl::Time now = BootClock().Now();
  const auto load = this->loads.find(queue.service);
  if (load == this->loads.end() || now - this->loads_received_at > kMaxLoadAge)
    return false;
  const auto backlog = FindCertainBacklog(submission, queue, &load->second,
                                          now - this->loads_sent_after);
  if (!backlog)
    return false;
  this->SendRefusal(
      exchange, 503, submission.id, "overloaded",
      RetryAfterOverload(*backlog, absl::Uniform(this->random, 0.0, 1.0)));
  return true;
}

void FleetEntry::FollowStoreOutage(absl::Time now) {
  this->store_unavailable_since =
      this->follower->IsStoreUnreachable()
          ? std::min(this->store_unavailable_since, now)
          : absl::InfiniteFuture();
}

absl::Duration FleetEntry::UsefulRetry(const Submission& submission) const {
  const Queue* queue = this->follower->Policy().FindByName(submission.queue);
  // The objective of a scheduled occurrence begins when it becomes due.
  if (queue == nullptr || submission.scheduled)
    return absl::InfiniteDuration();
  return LatestUsefulStart(submission, *queue);
}

void FleetEntry::Refuse(HttpExchange* exchange,
                        unsigned status,
                        const std::string& id,
                        std::string_view reason,
                        absl::Duration useful_within) {
  int64_t retry_after_s = 0;
  // Also reasons other than an outage of the store are temporary, and their
  // callers must not return together.
  if (status == 503 || status == 429)
    retry_after_s =
        this->settings.fleet.overload_control
            ? RetryAfterOutage(
                  BootClock().Now() - this->store_unavailable_since,
                  useful_within, absl::Uniform(this->random, 0.0, 1.0))
            : kRetryAfterS;
  this->SendRefusal(exchange, status, id, reason, retry_after_s);
}

void FleetEntry::SendRefusal(HttpExchange* exchange,
                             unsigned status,
                             const std::string& id,
                             std::string_view reason,
                             int64_t retry_after_s) {
  this->RecordAnswer(*exchange, status);
  this->metrics
      .GetCounter("submissions_refused_total",
                  StrCat("reason=\"", reason, "\""))
      .Add();
  LogLine line("request_refused");
  line.Add("submission", id)
      .Add("method", exchange->method)
      .Add("status", static_cast<uint64_t>(status))
      .Add("configuration", this->follower->Policy().version)
      .Add("reason", reason);
  if (retry_after_s > 0)
    line.Add("retry_after_s", retry_after_s);
  this->log->Write(line);
  HttpReply reply;
  reply.status = status;
  reply.headers = {{"Content-Type", "application/json"}};
  if (retry_after_s > 0)
    reply.headers.emplace_back("Retry-After", StrCat(retry_after_s));
  reply.body = StrCat("{\"error\":\"", reason, "\"}");
  this->front->Answer(exchange, std::move(reply));
}

}  // namespace cuminjunction
