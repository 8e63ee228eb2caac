#include "fleet/policy_follower.h"

#include <chrono>
#include <utility>

#include "base/strings.h"
#include "base/time.h"
#include "platform/bodies.h"

namespace cuminjunction {

namespace {

// A dead connection is detected shortly after this time. That leaves enough
// time to read a change within the 2.5 s that it may take to be in force.
constexpr absl::Duration kFeedWait = absl::Milliseconds(1000);
constexpr absl::Duration kReadTimeout = absl::Milliseconds(800);
constexpr std::chrono::milliseconds kRetryDelay(100);

// True if an answer began, which shows that the store is reachable, but was
// not received whole.
bool IsIncomplete(const RowsReply& reply) {
  return reply.received_bytes > 0 &&
         (reply.error == PlatformError::kTimedOut ||
          reply.error == PlatformError::kConnectionLost ||
          reply.error == PlatformError::kTooLarge);
}

}  // namespace

PolicyFollower::PolicyFollower(boost::asio::io_context* context,
                               Store* store,
                               Log* log,
                               Metrics* metrics,
                               Handler handler)
    : store(store),
      log(log),
      metrics(metrics),
      handler(std::move(handler)),
      timer(*context) {}

void PolicyFollower::Start() {
  this->Read();
}

void PolicyFollower::Read() {
  this->store->ReadConfiguration(
      kReadTimeout, [this, sent = BootClock().Now()](RowsReply&& reply) {
        this->OnReply(std::move(reply), sent);
      });
}

void PolicyFollower::ReadFeed() {
  this->store->FeedConfiguration(
      this->version, kFeedWait,
      [this, sent = BootClock().Now()](RowsReply&& reply) {
        this->OnReply(std::move(reply), sent);
      });
}

void PolicyFollower::OnReply(RowsReply&& reply, absl::Time sent) {
  if (reply.error) {
    this->OnReadFailed(reply, sent);
    return;
  }
  this->OnReadSucceeded();
  this->version = reply.feed_version;
  this->ApplyRows(reply.rows);
  if (this->version == 0)
    this->Read();
  else
    this->ReadFeed();
}

void PolicyFollower::OnReadSucceeded() {
  if (std::exchange(this->store_unreachable, false))
    this->log->Write(LogLine("store_regained")
                         .Add("failures", std::exchange(this->failures, 0)));
}

void PolicyFollower::OnReadFailed(const RowsReply& reply, absl::Time sent) {
  ++this->failures;
  this->metrics
      ->GetCounter("configuration_read_failures_total",
                   StrCat("error=\"", reply.error.message(), "\""))
      .Add();
  if (IsIncomplete(reply))
    this->log->Write(
        LogLine("configuration_read_incomplete", LogLevel::kWarning)
            .Add("error", reply.error)
            .Add("received_bytes", reply.received_bytes)
            .Add("elapsed_ms",
                 absl::ToInt64Milliseconds(BootClock().Now() - sent)));
  if (!std::exchange(this->store_unreachable, true))
    this->log->Write(
        LogLine("store_lost", LogLevel::kWarning).Add("error", reply.error));
  // Changes may have been missed, so the whole configuration is read again.
  this->timer.expires_after(kRetryDelay);
  this->timer.async_wait([this](std::error_code cancelled) {
    if (!cancelled)
      this->Read();
  });
}

void PolicyFollower::ApplyRows(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    if (!Store::IsConfiguration(row))
      continue;
    auto parsed = ParsePolicy(row.value);
    if (!parsed) {
      this->log->Write(LogLine("configuration_damaged", LogLevel::kError)
                           .Add("row_version", row.version)
                           .Add("error", parsed.error()));
      continue;
    }
    // Ignores older versions.
    if (parsed.value().version <= this->policy.version)
      continue;
    this->log->Write(LogLine("configuration_taken")
                         .Add("version", parsed.value().version)
                         .Add("previous", this->policy.version)
                         .Add("queues", parsed.value().queues.size()));
    this->policy = std::move(parsed.value());
    this->metrics->GetGauge("configuration_version")
        .Set(static_cast<double>(this->policy.version));
    this->handler(this->policy);
  }
}

}  // namespace cuminjunction
