#include "fleet/planner_lease.h"

#include <algorithm>
#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

constexpr char kLeaseTable[] = "lease";
constexpr char kLeaseKey[] = "planner";

// Timeout of one call. A slow store answers in 240 ms (60 times 4 ms).
constexpr absl::Duration kCallTimeout = absl::Milliseconds(500);

// Timeout after a call without an answer: a store that carries transactions out
// one after another may take a second, and each further copy adds to its queue.
constexpr absl::Duration kSlowCallTimeout = absl::Milliseconds(2500);

// A lease row that has not changed for this long has no running holder: a
// holder renews it every kRenewInterval.
constexpr absl::Duration kStaleAfter = absl::Milliseconds(1100);
constexpr absl::Duration kRenewInterval = absl::Milliseconds(500);
constexpr absl::Duration kObservationInterval = absl::Milliseconds(300);

// Minimum time between two commits, so that runs that end at nearly the same
// time share a commit: a call costs as much as 25 KB of rows.
constexpr absl::Duration kCommitInterval = absl::Milliseconds(15);

constexpr std::chrono::milliseconds kRetryDelay(60);

// A read that takes longer than this shows that the store is slow: it answers
// in 4 ms, and the round trip to another region takes 24 ms.
constexpr absl::Duration kSlowReadThreshold = absl::Milliseconds(120);

// Limit of the rows in a commit beside the lease row. The platform accepts 100
// entries, and the lease row counts twice: as a put and as an expectation.
constexpr size_t kMaxRowsPerCommit = 90;

// Claim delay of an entry with a whole processor, and the longest one.
constexpr absl::Duration kBaseClaimDelay = absl::Milliseconds(30);
constexpr absl::Duration kMaxClaimDelay = absl::Milliseconds(250);

// Without a lease row the system starts for the first time. Its processes start
// within some 300 ms of each other, and nothing waits for a planner yet.
constexpr int kFirstStartFactor = 4;

}  // namespace

absl::Duration ClaimDelay(double processor_share) {
  return std::min(kMaxClaimDelay, kBaseClaimDelay / processor_share);
}

PlannerLease::PlannerLease(boost::asio::io_context* context,
                           Store* store,
                           std::string holder,
                           absl::Duration claim_delay,
                           Log* log,
                           PlannerLeaseHandlers handlers)
    : store(store),
      holder(std::move(holder)),
      claim_delay(claim_delay),
      log(log),
      handlers(std::move(handlers)),
      timer(*context),
      process_started(BootClock().Now()) {}

void PlannerLease::Claim(uint64_t failing_epoch) {
  if (this->held || this->claiming)
    return;
  this->claiming = true;
  const absl::Time read_start = BootClock().Now();
  this->store->ReadOne(
      kLeaseTable, kLeaseKey, kCallTimeout,
      [this, failing_epoch, read_start](RowsReply&& reply) {
        // If the store is slow for this process as well, replacing the planner
        // does not help.
        const bool slow = BootClock().Now() - read_start > kSlowReadThreshold;
        this->OnRead(std::move(reply), slow ? 0 : failing_epoch);
      });
}

void PlannerLease::Observe() {
  const absl::Time now = BootClock().Now();
  if (this->held || this->claiming || now < this->next_observation)
    return;
  this->next_observation = now + kObservationInterval;
  this->store->ReadOne(
      kLeaseTable, kLeaseKey, kCallTimeout, [this](RowsReply&& reply) {
        if (!reply.error && !reply.rows.empty())
          this->NoteVersion(reply.rows.front().version, BootClock().Now());
      });
}

void PlannerLease::NoteVersion(int64_t read_version, absl::Time now) {
  if (!this->observed || this->observed->version != read_version)
    this->observed = Observation{read_version, now};
}

void PlannerLease::OnRead(RowsReply&& reply, uint64_t failing_epoch) {
  if (reply.error) {
    this->claiming = false;
    this->observed.reset();
    return;
  }
  const absl::Time now = BootClock().Now();
  LeaseRow current;
  this->version = 0;
  if (!reply.rows.empty()) {
    const StoreRow& found = reply.rows.front();
    this->version = found.version;
    auto decoded = Decode<LeaseRow>(found.value);
    if (decoded) {
      current = std::move(decoded.value());
    } else {
      // A row that can't be decoded counts as a lease without a holder. Its
      // epoch is unknown, and the row's version replaces it, as it only grows.
      current.epoch = static_cast<uint64_t>(found.version);
      this->log->Write(LogLine("lease_row_damaged", LogLevel::kError)
                           .Add("error", decoded.error()));
    }
    this->predecessor_last_commit =
        this->observed && this->observed->version == found.version
            ? this->observed->first_seen
            : now;
    const bool stale = this->observed &&
                       this->observed->version == found.version &&
                       now - this->observed->first_seen >= kStaleAfter;
    // The holder is an earlier process of this VM, which has ended, or this
    // process itself by a claim whose reply was lost.
    const bool is_own_row = current.holder == this->holder;
    // An earlier process of this VM has made no commit since this one started.
    const bool predecessor_has_ended = is_own_row && !this->claim_sent;
    if (predecessor_has_ended)
      this->predecessor_last_commit =
          std::min(this->predecessor_last_commit, this->process_started);
    // Two commits are at least kCommitInterval apart.
    this->no_grant_after_last_commit =
        predecessor_has_ended &&
        kCommitInterval * static_cast<double>(current.sequence) >= kLeasePeriod;
    // False if another entry has already replaced the failing planner.
    const bool holder_fails =
        failing_epoch != 0 && current.epoch == failing_epoch;
    if (!holder_fails && !stale && !is_own_row && !current.released) {
      this->NoteVersion(found.version, now);
      this->claiming = false;
      return;
    }
    if (!is_own_row && !this->HasWaited(found.version, now)) {
      this->claiming = false;
      return;
    }
  } else if (!this->HasWaited(0, now)) {
    this->claiming = false;
    return;
  }
  this->row = {current.epoch + 1, this->holder, 1, false};
  this->SendClaim();
}

bool PlannerLease::HasWaited(int64_t free_version, absl::Time now) {
  if (!this->first_free || this->first_free->version != free_version)
    this->first_free = Observation{free_version, now};
  const int factor = free_version == 0 ? kFirstStartFactor : 1;
  return now - this->first_free->first_seen >= this->claim_delay * factor;
}

void PlannerLease::SendClaim() {
  this->claim_sent = true;
  const absl::Time sent = BootClock().Now();
  if (this->first_claim_epoch != this->row.epoch) {
    this->first_claim_epoch = this->row.epoch;
    this->first_claim_sent = sent;
  }
  StoreCommit claim;
  claim.expects = {{kLeaseTable, kLeaseKey, this->version}};
  claim.puts = {{kLeaseTable, kLeaseKey, Encode(this->row)}};
  this->store->Commit(claim, kCallTimeout, [this, sent](CommitReply&& reply) {
    this->claiming = false;
    this->observed.reset();
    this->first_free.reset();
    int64_t lease_version = reply.version;
    absl::Time commit_time = sent;
    if (reply.error == PlatformError::kConflict) {
      // An earlier claim of this process may have been carried out late.
      const auto found = this->FindLeaseRow(reply.rows);
      if (!found || found->first.epoch != this->row.epoch ||
          found->first.holder != this->holder)
        return;
      lease_version = found->second;
      commit_time = this->first_claim_sent;
    } else if (reply.error) {
      this->log->Write(LogLine("lease_claim_failed", LogLevel::kWarning)
                           .Add("epoch", this->row.epoch)
                           .Add("error", reply.error));
      return;
    }
    this->held = true;
    this->version = lease_version;
    this->last_commit_time = commit_time;
    this->last_sent = sent;
    this->log->Write(LogLine("lease_claimed").Add("epoch", this->row.epoch));
    this->handlers.on_claimed(this->row.epoch);
  });
}

void PlannerLease::Write(std::vector<StorePut> puts,
                         const std::vector<StoreRemove>& removes,
                         std::function<void()> done) {
  if (!this->held)
    return;
  if (puts.empty() && removes.empty() && !this->in_flight &&
      this->queued.empty()) {
    done();
    return;
  }
  for (StorePut& put : puts)
    this->queued[{put.table, put.key}] = std::move(put.value);
  for (const StoreRemove& remove : removes)
    this->queued[{remove.table, remove.key}] = std::nullopt;
  this->queued_callbacks.push_back(std::move(done));
  this->ScheduleCommit();
}

void PlannerLease::Renew() {
  if (this->held && !this->in_flight && this->queued.empty() &&
      BootClock().Now() - this->last_sent >= kRenewInterval)
    this->SendCommit();
}

void PlannerLease::Release(std::function<void()> done) {
  if (!this->held) {
    done();
    return;
  }
  this->releasing = true;
  this->on_released = std::move(done);
  this->ScheduleCommit();
}

void PlannerLease::Drop() {
  this->held = false;
  this->in_flight = false;
  this->queued.clear();
  this->queued_callbacks.clear();
  this->commit_callbacks.clear();
  this->timer.cancel();
  if (this->on_released)
    std::exchange(this->on_released, nullptr)();
}

void PlannerLease::ScheduleCommit() {
  if (!this->held || this->in_flight || this->commit_scheduled)
    return;
  const absl::Duration elapsed = BootClock().Now() - this->last_sent;
  if (elapsed >= kCommitInterval) {
    this->SendCommit();
    return;
  }
  this->commit_scheduled = true;
  this->timer.expires_after(
      absl::ToChronoMicroseconds(kCommitInterval - elapsed));
  this->timer.async_wait([this](std::error_code error) {
    this->commit_scheduled = false;
    if (!error && this->held && !this->in_flight)
      this->SendCommit();
  });
}

void PlannerLease::SendCommit() {
  this->in_flight = true;
  ++this->row.sequence;
  this->commit = {};
  auto next = this->queued.begin();
  while (next != this->queued.end() &&
         this->commit.puts.size() + this->commit.removes.size() <
             kMaxRowsPerCommit) {
    const auto& [table, key] = next->first;
    if (next->second)
      this->commit.puts.push_back({table, key, std::move(*next->second)});
    else
      this->commit.removes.push_back({table, key});
    next = this->queued.erase(next);
  }
  // If rows remain in the queue, the callbacks wait for the commit of the last
  // one.
  this->commit_callbacks.clear();
  if (this->queued.empty())
    this->commit_callbacks.swap(this->queued_callbacks);
  this->row.released = this->releasing && this->queued.empty();
  this->commit.expects = {{kLeaseTable, kLeaseKey, this->version}};
  this->commit.puts.push_back({kLeaseTable, kLeaseKey, Encode(this->row)});
  this->last_sent = BootClock().Now();
  this->commit_sent = this->last_sent;
  this->SendCopy();
}

void PlannerLease::SendCopy() {
  this->store->Commit(
      this->commit, this->store_is_slow ? kSlowCallTimeout : kCallTimeout,
      [this, epoch = this->row.epoch, sequence = this->row.sequence,
       sent = BootClock().Now()](CommitReply&& reply) {
        if (this->IsInFlight(epoch, sequence))
          this->OnCommitReply(std::move(reply), sent);
      });
}

bool PlannerLease::IsInFlight(uint64_t epoch, uint64_t sequence) const {
  return this->held && this->in_flight && this->row.epoch == epoch &&
         this->row.sequence == sequence;
}

void PlannerLease::OnCommitReply(CommitReply&& reply, absl::Time sent) {
  if (!reply.error) {
    this->OnCommitted(reply.version, sent);
    return;
  }
  if (reply.error == PlatformError::kConflict) {
    const auto found = this->FindLeaseRow(reply.rows);
    if (found && found->first.epoch == this->row.epoch &&
        found->first.sequence == this->row.sequence) {
      // Any of the copies may have been carried out. Other entries count from
      // that time.
      this->OnCommitted(found->second, this->commit_sent);
      return;
    }
    if (found) {
      this->log->Write(LogLine("lease_lost", LogLevel::kWarning)
                           .Add("epoch", this->row.epoch)
                           .Add("sequence", this->row.sequence)
                           .Add("expected_version", this->version)
                           .Add("holder", found->first.holder)
                           .Add("holder_epoch", found->first.epoch)
                           .Add("holder_sequence", found->first.sequence)
                           .Add("row_version", found->second));
      this->Drop();
      this->handlers.on_lease_lost();
      return;
    }
  }
  this->log->Write(LogLine("commit_failed", LogLevel::kWarning)
                       .Add("epoch", this->row.epoch)
                       .Add("sequence", this->row.sequence)
                       .Add("error", reply.error));
  if (reply.error == PlatformError::kUnknownOutcome)
    this->store_is_slow = true;
  this->ScheduleRetry();
}

void PlannerLease::ScheduleRetry() {
  this->timer.expires_after(kRetryDelay);
  this->timer.async_wait(
      [this, epoch = this->row.epoch,
       sequence = this->row.sequence](std::error_code error) {
        // Sends the commit unchanged: since it expects the row's old version,
        // at most one copy is carried out.
        if (!error && this->IsInFlight(epoch, sequence))
          this->SendCopy();
      });
}

void PlannerLease::OnCommitted(int64_t committed_version, absl::Time sent) {
  this->in_flight = false;
  this->store_is_slow = BootClock().Now() - sent > kSlowReadThreshold;
  this->version = committed_version;
  this->last_commit_time = sent;
  std::vector<std::function<void()>> done;
  done.swap(this->commit_callbacks);
  if (this->row.released) {
    this->Drop();
    return;
  }
  for (const auto& callback : done)
    callback();
  if (!this->queued.empty() || !this->queued_callbacks.empty() ||
      this->releasing)
    this->ScheduleCommit();
}

std::optional<std::pair<LeaseRow, int64_t>> PlannerLease::FindLeaseRow(
    const std::vector<StoreRow>& rows) const {
  for (const StoreRow& found : rows) {
    if (found.table != kLeaseTable || found.key != kLeaseKey)
      continue;
    auto decoded = Decode<LeaseRow>(found.value);
    if (decoded)
      return std::pair(std::move(decoded.value()), found.version);
  }
  return std::nullopt;
}

}  // namespace cuminjunction
