#include "daemon/policy_follower.h"

#include <chrono>
#include <utility>

#include "platform/bodies.h"

namespace cuminjunction {

namespace {

// A dead connection is detected shortly after this time. That leaves enough
// time to read a change within the 2.5 s that it may take to be in force.
constexpr absl::Duration kFeedWait = absl::Milliseconds(1000);
constexpr absl::Duration kReadTimeout = absl::Milliseconds(800);
constexpr std::chrono::milliseconds kRetryDelay(100);

}  // namespace

PolicyFollower::PolicyFollower(boost::asio::io_context* context,
                               Store* store,
                               Log* log,
                               Handler handler)
    : store(store), log(log), handler(std::move(handler)), timer(*context) {}

void PolicyFollower::Start() {
  this->Read();
}

void PolicyFollower::Read() {
  this->store->ReadConfiguration(kReadTimeout, [this](RowsReply&& reply) {
    if (reply.error) {
      this->OnReadFailed(reply.error);
      return;
    }
    this->OnReadSucceeded();
    this->version = reply.version;
    this->ApplyRows(reply.rows);
    this->ReadFeed();
  });
}

void PolicyFollower::ReadFeed() {
  this->store->FeedConfiguration(this->version, kFeedWait,
                                 [this](RowsReply&& reply) {
                                   if (reply.error) {
                                     this->OnReadFailed(reply.error);
                                     return;
                                   }
                                   this->OnReadSucceeded();
                                   this->version = reply.version;
                                   this->ApplyRows(reply.rows);
                                   this->ReadFeed();
                                 });
}

void PolicyFollower::OnReadSucceeded() {
  if (std::exchange(this->store_unreachable, false))
    this->log->Write(LogLine("store_regained"));
}

void PolicyFollower::OnReadFailed(std::error_code error) {
  if (!std::exchange(this->store_unreachable, true))
    this->log->Write(
        LogLine("store_lost", LogLevel::kWarning).Add("error", error));
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
    this->handler(this->policy);
  }
}

}  // namespace cuminjunction
