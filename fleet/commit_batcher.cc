#include "fleet/commit_batcher.h"

#include <algorithm>
#include <utility>

#include "base/time.h"

namespace cuminjunction {

namespace {

// Timeout of a transaction. A slow store queues up to a second of transactions
// of a part, and takes 0.3 s for each and 0.4 s for its answer.
constexpr absl::Duration kBatchTimeout = absl::Milliseconds(2500);

// A transaction that takes longer than this shows that the store is slow: it
// answers in 4 ms, and the round trip to another region takes 24 ms.
constexpr absl::Duration kSlowThreshold = absl::Milliseconds(150);

// Pause after a refusal. The store refuses transactions of a part while those
// of one second wait.
constexpr absl::Duration kRefusalPause = absl::Milliseconds(150);

// A commit that was refused is sent again if more time than this is left.
constexpr absl::Duration kMinTimeToRepeat = absl::Milliseconds(400);

// A refusal counts for this long.
constexpr absl::Duration kRefusalMemory = absl::Milliseconds(500);

// A further transaction is sent beside one that has taken this long, since a
// connection may have gone silent, but no more than this many at once.
constexpr absl::Duration kOverlapAfter = absl::Milliseconds(500);
constexpr size_t kMaxBatches = 3;

// The same with those that were sent before a call that was answered fast:
// their answers are probably lost, and do not keep others from being sent. The
// feeds and the planner's commits need the rest of the 16 connections to the
// store.
constexpr size_t kMaxBatchesInAll = 6;

}  // namespace

CommitBatcher::CommitBatcher(boost::asio::io_context* context, Store* store)
    : store(store), timer(*context) {}

CommitBatcher::~CommitBatcher() {
  *this->active = false;
}

void CommitBatcher::Commit(StoreCommit commit,
                           absl::Duration timeout,
                           Done done) {
  auto item = std::make_shared<Item>();
  item->commit = std::move(commit);
  item->deadline = BootClock().Now() + timeout;
  item->done = std::move(done);
  this->waiting.push_back(std::move(item));
  this->SendNext();
  this->SetTimer();
}

bool CommitBatcher::IsSlow(absl::Time now) const {
  if (this->last_was_slow || now - this->last_refusal < kRefusalMemory)
    return true;
  return std::any_of(this->batches.begin(), this->batches.end(),
                     [&](const auto& entry) {
                       return now - entry.second.sent_at > kSlowThreshold;
                     });
}

void CommitBatcher::RecordLatency(absl::Duration latency) {
  this->NoteLatency(latency, /*answered=*/true);
  this->SendNext();
  this->SetTimer();
}

void CommitBatcher::NoteLatency(absl::Duration latency, bool answered) {
  this->last_was_slow = latency > kSlowThreshold;
  if (answered && !this->last_was_slow)
    this->fast_answer_sent =
        std::max(this->fast_answer_sent, BootClock().Now() - latency);
}

absl::Time CommitBatcher::NextSend() const {
  const auto awaited = std::count_if(
      this->batches.begin(), this->batches.end(), [this](const auto& entry) {
        return entry.second.sent_at >= this->fast_answer_sent;
      });
  if (this->waiting.empty() || static_cast<size_t>(awaited) >= kMaxBatches ||
      this->batches.size() >= kMaxBatchesInAll)
    return absl::InfiniteFuture();
  absl::Time next = this->last_refusal + kRefusalPause;
  for (const auto& [number, batch] : this->batches)
    next = std::max(next, batch.sent_at + kOverlapAfter);
  return next;
}

void CommitBatcher::SendNext() {
  const absl::Time now = BootClock().Now();
  // A process that was frozen handles replies before its timers. What it sends
  // then could arrive after the fence of the submission was removed.
  const bool any_in_time =
      std::any_of(this->waiting.begin(), this->waiting.end(),
                  [&](const auto& item) { return item->deadline > now; });
  if (!any_in_time || now < this->NextSend())
    return;
  const uint64_t number = this->next_batch++;
  Batch& batch = this->batches[number];
  batch.sent_at = now;
  StoreCommit merged;
  for (auto next = this->waiting.begin(); next != this->waiting.end();) {
    Item& item = **next;
    const bool fits =
        item.deadline > now &&
        (item.alone ? batch.items.empty() : CanMerge(merged, item.commit));
    if (!fits) {
      ++next;
      continue;
    }
    Merge(item.commit, &merged);
    batch.items.push_back(std::move(*next));
    next = this->waiting.erase(next);
    if (batch.items.back()->alone)
      break;
  }
  this->store->Commit(
      merged, kBatchTimeout,
      [this, active = this->active, number](CommitReply&& reply) {
        if (*active)
          this->OnReply(number, reply);
      });
}

void CommitBatcher::OnReply(uint64_t number, const CommitReply& reply) {
  const Batch batch = std::move(this->batches.extract(number).mapped());
  const absl::Time now = BootClock().Now();
  this->NoteLatency(now - batch.sent_at,
                    !reply.error || reply.error == PlatformError::kConflict);
  if (reply.error == PlatformError::kRefused)
    this->last_refusal = now;
  const bool conflict = reply.error == PlatformError::kConflict;
  const bool explained = std::any_of(
      batch.items.begin(), batch.items.end(),
      [&](const auto& item) { return HasConflict(item->commit, reply.rows); });
  for (const auto& item : batch.items) {
    if (reply.error == PlatformError::kRefused && item->done &&
        item->deadline - now > kMinTimeToRepeat) {
      this->waiting.push_front(item);
      continue;
    }
    // A commit without a conflict of its own was not carried out either, except
    // perhaps by an earlier copy of the call.
    if (conflict && batch.items.size() > 1 &&
        !HasConflict(item->commit, reply.rows)) {
      if (!item->done)
        continue;
      item->alone = !explained;
      item->resent = item->resent || reply.resent;
      this->waiting.push_front(item);
      continue;
    }
    this->Finish(item.get(), ReplyTo(item->commit, reply));
  }
  this->SendNext();
  this->SetTimer();
}

void CommitBatcher::Finish(Item* item, CommitReply&& reply) {
  // The deadline has passed before.
  if (!item->done)
    return;
  if (item->resent) {
    reply.resent = true;
    if (reply.error == PlatformError::kRefused ||
        reply.error == PlatformError::kNotSent)
      reply.error = PlatformError::kUnknownOutcome;
  }
  auto done = std::exchange(item->done, nullptr);
  done(std::move(reply));
}

void CommitBatcher::OnTimer() {
  const absl::Time now = BootClock().Now();
  std::vector<std::pair<std::shared_ptr<Item>, PlatformError>> late;
  for (auto next = this->waiting.begin(); next != this->waiting.end();) {
    if ((*next)->deadline > now) {
      ++next;
      continue;
    }
    late.emplace_back(std::move(*next), PlatformError::kNotSent);
    next = this->waiting.erase(next);
  }
  for (const auto& [number, batch] : this->batches) {
    for (const auto& item : batch.items) {
      if (item->done && item->deadline <= now)
        late.emplace_back(item, PlatformError::kUnknownOutcome);
    }
  }
  for (const auto& [item, error] : late) {
    CommitReply reply;
    reply.error = error;
    this->Finish(item.get(), std::move(reply));
  }
  this->SendNext();
  this->SetTimer();
}

void CommitBatcher::SetTimer() {
  absl::Time next = this->NextSend();
  for (const auto& item : this->waiting)
    next = std::min(next, item->deadline);
  for (const auto& [number, batch] : this->batches) {
    for (const auto& item : batch.items) {
      if (item->done)
        next = std::min(next, item->deadline);
    }
  }
  this->timer.cancel();
  if (next == absl::InfiniteFuture())
    return;
  const absl::Duration left =
      std::max(next - BootClock().Now(), absl::Milliseconds(1));
  this->timer.expires_after(absl::ToChronoMicroseconds(left));
  this->timer.async_wait([this, active = this->active](std::error_code error) {
    if (!error && *active)
      this->OnTimer();
  });
}

}  // namespace cuminjunction
