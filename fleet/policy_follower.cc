#include "fleet/policy_follower.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "base/strings.h"
#include "base/time.h"
#include "platform/bodies.h"

namespace cuminjunction {

namespace {

// A dead connection is detected shortly after this time. That leaves enough
// time to read a change within the 2.5 s that it may take to be in force.
constexpr absl::Duration kFeedWait = absl::Milliseconds(1000);

// Part of the bound on evacuations that a feed may wait. The planner orders no
// starts once its knowledge is half of the bound old. With this part, one feed
// that is lost and the read that replaces it take a third of the bound.
constexpr double kFeedWaitShare = 0.1;

// Wait of the feed after a part of the changes, so that the time which a large
// answer took does not add to the age of the knowledge.
constexpr absl::Duration kNextPartWait = absl::Milliseconds(1);
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
                               absl::Duration evacuation_bound,
                               Log* log,
                               Metrics* metrics,
                               PolicyFollowerHandlers handlers)
    : store(store),
      reads_evacuations(evacuation_bound > absl::ZeroDuration()),
      feed_wait(this->reads_evacuations
                    ? std::min(kFeedWait, evacuation_bound * kFeedWaitShare)
                    : kFeedWait),
      log(log),
      metrics(metrics),
      handlers(std::move(handlers)),
      timer(*context) {}

void PolicyFollower::Start() {
  this->Read();
}

void PolicyFollower::Read() {
  auto pages = std::make_shared<Pages>();
  pages->sent = BootClock().Now();
  this->ReadPage("", pages);
}

void PolicyFollower::ReadPage(const std::string& from,
                              const std::shared_ptr<Pages>& pages) {
  this->store->ReadOperatorRows(from, kReadTimeout,
                                [this, pages](RowsReply&& reply) {
                                  this->OnPage(std::move(reply), pages);
                                });
}

void PolicyFollower::OnPage(RowsReply&& reply,
                            const std::shared_ptr<Pages>& pages) {
  if (reply.error) {
    this->OnReadFailed(reply, pages->sent);
    return;
  }
  this->OnReadSucceeded();
  if (pages->feed_version == 0)
    pages->feed_version = reply.feed_version;
  std::move(reply.rows.begin(), reply.rows.end(),
            std::back_inserter(pages->rows));
  if (reply.more) {
    this->ReadPage(reply.next_key, pages);
    return;
  }
  this->version = pages->feed_version;
  this->as_of = pages->sent;
  this->SetEvacuations(this->ApplyEvacuations(pages->rows, {}));
  this->ApplyConfiguration(pages->rows);
  // The store is empty: there is no version from which a feed could go on.
  if (this->version == 0)
    this->Read();
  else
    this->ReadFeed(this->feed_wait);
}

void PolicyFollower::ReadFeed(absl::Duration wait) {
  this->store->FeedConfiguration(
      this->version, wait, [this, sent = BootClock().Now()](RowsReply&& reply) {
        this->OnFeed(std::move(reply), sent);
      });
}

void PolicyFollower::OnFeed(RowsReply&& reply, absl::Time sent) {
  if (reply.error) {
    this->OnReadFailed(reply, sent);
    return;
  }
  this->OnReadSucceeded();
  this->version = reply.feed_version;
  // After a part of the changes the later ones are not known yet.
  if (!reply.more)
    this->as_of = sent;
  this->SetEvacuations(this->ApplyEvacuations(reply.rows, this->evacuations));
  this->ApplyConfiguration(reply.rows);
  if (this->version == 0)
    this->Read();
  else
    this->ReadFeed(reply.more ? kNextPartWait : this->feed_wait);
}

EvacuatedDomains PolicyFollower::ApplyEvacuations(
    const std::vector<StoreRow>& rows,
    EvacuatedDomains known) const {
  if (!this->reads_evacuations)
    return {};
  for (const StoreRow& row : rows) {
    const auto domain = Store::EvacuatedDomain(row);
    if (!domain)
      continue;
    if (domain->empty()) {
      if (!row.deleted)
        this->log->Write(LogLine("evacuation_damaged", LogLevel::kWarning)
                             .Add("row_version", row.version));
    } else if (row.deleted) {
      known.names.erase(*domain);
    } else {
      known.names.insert(*domain);
    }
  }
  return known;
}

void PolicyFollower::SetEvacuations(EvacuatedDomains&& domains) {
  if (domains == this->evacuations)
    return;
  this->evacuations = std::move(domains);
  this->handlers.on_evacuations(this->evacuations);
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
  // Changes may have been missed, so the whole table is read again.
  this->timer.expires_after(kRetryDelay);
  this->timer.async_wait([this](std::error_code cancelled) {
    if (!cancelled)
      this->Read();
  });
}

void PolicyFollower::ApplyConfiguration(const std::vector<StoreRow>& rows) {
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
    this->handlers.on_policy(this->policy);
  }
}

}  // namespace cuminjunction
