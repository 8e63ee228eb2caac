#ifndef TASK_PLANNER_LOOP_H_
#define TASK_PLANNER_LOOP_H_

// Runs a planner against the table.
//
//   PlannerLoop loop(options, &planner, &table, &steady, &wall, &log);
//   loop.SetNudge([&](const std::string& worker) { ... });
//   every options.tick:  loop.Tick();
//
// A tick makes blocking calls, so the loop has a thread of its own. It takes
// the planner lease, follows the rows, has the planner decide, and commits the
// batches. Any number of loops may run at the same time: the lease only keeps
// them from colliding.
//
// After a commit without success, the batch's rows are re-read and the planner
// decides anew on what they hold. That is also right after an unknown outcome:
// if the transaction took effect the rows say so, and if it does so later, its
// expectations make it either win as a whole or have no effect.

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/strings.h"
#include "base/time.h"
#include "table/table.h"
#include "task/follower.h"
#include "task/planner.h"

namespace cuminjunction {

struct PlannerLoopOptions {
  // Unique among processes and restarts.
  std::string process;
  // Name of the planner lease that this loop competes for.
  std::string lease_name = "fleet";
  absl::Duration lease_length = absl::Seconds(3);
  // How long before its end the planner lease is renewed.
  absl::Duration lease_reserve = absl::Seconds(2);
  absl::Duration tick = absl::Milliseconds(500);
  LeasePolicy worker_lease;
  FollowerOptions follower;
  // Rows a second that the planner writes. The rest of the store's 300 is for
  // lease renewals (40) and reported ends (88) at the target size.
  double rows_per_second = 160;
  double rows_burst = 100;
};

template <Table T, Scorer S, Clock Steady, Clock Wall>
class PlannerLoop {
 public:
  using Nudge = std::function<void(const std::string& worker)>;

  // The pointers must outlive the loop; `log` may be null.
  PlannerLoop(const PlannerLoopOptions& options,
              Planner<S>* planner,
              T* table,
              const Steady* steady,
              const Wall* wall,
              Log* log = nullptr)
      : options(options),
        planner(planner),
        table(table),
        steady(steady),
        wall(wall),
        log(log),
        follower(options.follower),
        observer(options.worker_lease),
        rows(options.rows_per_second, options.rows_burst) {}

  // Called with each worker whose row a commit has changed.
  void SetNudge(const Nudge& callback) { this->nudge = callback; }

  // Follows, decides and commits once.
  void Tick() {
    if (!this->HoldLease())
      return;
    if (!this->Settle() || !this->Follow()) {
      this->observer.RecordReadFailure();
      return;
    }
    const absl::Time now = this->steady->Now();
    this->rows.Refill(now);
    RoundInput input;
    input.now = this->wall->Now();
    input.lapsed = this->observer.ExpiredLeases(now);
    input.complete = this->follower.IsComplete();
    input.may_place = this->MayPlace(now);
    input.most_rows = static_cast<size_t>(std::max(this->rows.Tokens(), 0.0));
    const std::vector<Batch> batches = this->planner->Round(input);
    for (size_t i = 0; i < batches.size(); ++i) {
      if (this->Commit(batches[i]))
        continue;
      // The store does not answer: the rest is decided anew.
      for (size_t rest = i; rest < batches.size(); ++rest)
        this->Unsettle(batches[rest]);
      break;
    }
  }

  // True when this loop planned in its last tick.
  bool IsLeading() const { return this->leading; }

  // True when the picture holds every row.
  bool IsComplete() const { return this->follower.IsComplete(); }

 private:
  // Takes or renews the planner lease. False while another process holds it or
  // the store does not answer.
  bool HoldLease() {
    const absl::Time now = this->wall->Now();
    if (this->leading && now < this->lease_until - this->options.lease_reserve)
      return true;
    this->leading = false;
    const std::string key = PlannerKey(this->options.lease_name);
    const Result<Row> row = this->table->Read(key);
    const bool is_absent = !row && row.error() == TableError::kNotFound;
    if (!row && !is_absent) {
      this->NoteOutage();
      return false;
    }
    if (row && this->IsHeldByAnother(row.value(), now)) {
      this->is_following = false;
      return false;
    }
    PlannerRow mine;
    mine.name = this->options.lease_name;
    mine.holder = this->options.process;
    mine.deadline_us = ToMicros(now + this->options.lease_length);
    mine.transaction = this->NextId();
    Transaction transaction;
    transaction.id = mine.transaction;
    transaction.expects = {{key, is_absent ? 0 : row.value().version}};
    transaction.writes = {{key, ToText(mine)}};
    if (!this->table->Commit(transaction))
      return false;
    this->lease_until = now + this->options.lease_length;
    this->leading = true;
    return true;
  }

  bool IsHeldByAnother(const Row& row, absl::Time now) const {
    // A damaged lease row is taken over.
    const Result<PlannerRow> held = ParsePlanner(row);
    return held && held.value().holder != this->options.process &&
           FromMicros(held.value().deadline_us) > now;
  }

  std::string NextId() {
    return StrCat("loop-", this->options.process, "/", ++this->transactions);
  }

  // Re-reads rows whose commit had no known success.
  bool Settle() {
    while (!this->unsettled.empty()) {
      const std::string key = *this->unsettled.begin();
      const Result<Row> row = this->table->Read(key);
      if (row)
        this->Check(row.value(), this->GetState()->Restore(row.value()));
      else if (row.error() == TableError::kNotFound)
        this->GetState()->Remove(key);
      else
        return this->NoteOutage();
      this->unsettled.erase(key);
    }
    return true;
  }

  // Reads what changed. Lease observations are of a time after the read, so
  // that they never begin before the renewal was sent.
  bool Follow() {
    if (!this->is_following) {
      this->follower.TakeOver();
      this->is_following = true;
    }
    std::vector<Row> changed;
    const Status read = this->follower.Read(this->table, &changed);
    const absl::Time now = this->steady->Now();
    if (read) {
      this->NoteReadable(now);
      this->observer.RecordRead(now);
    }
    for (const Row& row : changed) {
      this->Check(row, this->GetState()->Apply(row));
      if (row.key.starts_with(kWorkerPrefix))
        this->Observe(row.key.substr(kWorkerPrefix.size()), now);
    }
    return read ? true : this->NoteOutage();
  }

  void Observe(const std::string& id, absl::Time now) {
    const WorkerEntry* worker = this->GetState()->FindWorker(id);
    if (worker == nullptr || worker->row.state == WorkerState::kFenced)
      this->observer.Forget(id);
    else
      this->observer.RecordObservation(id, worker->row.epoch,
                                       worker->row.sequence, now);
  }

  State* GetState() { return this->planner->GetState(); }

  // Logs a row that could not be read.
  void Check(const Row& row, const Status& applied) {
    if (!applied && this->log != nullptr) {
      this->log->Write(LogLine("bad-row", LogLevel::kWarning)
                           .Add("key", row.key)
                           .Add("error", applied.error()));
    }
  }

  // False when the store did not answer.
  bool Commit(const Batch& batch) {
    this->rows.Spend(static_cast<double>(batch.size()));
    const Result<uint64_t> version = this->table->Commit(batch.ToTransaction());
    if (!version) {
      this->LogCommit(batch, version.error());
      if (version.error() != TableError::kConflict)
        return false;
      this->Unsettle(batch);
      return this->Settle();
    }
    this->GetState()->Apply(batch, version.value());
    if (this->nudge) {
      for (const auto& [id, worker] : batch.Workers())
        this->nudge(id);
    }
    return true;
  }

  void LogCommit(const Batch& batch, std::error_code error) {
    if (this->log != nullptr) {
      this->log->Write(LogLine("commit-failed", LogLevel::kWarning)
                           .Add("transaction", batch.Id())
                           .Add("rows", static_cast<uint64_t>(batch.size()))
                           .Add("error", error));
    }
  }

  void Unsettle(const Batch& batch) {
    for (const auto& [id, entry] : batch.Tasks())
      this->unsettled.insert(TaskKey(id));
    for (const auto& [id, entry] : batch.Workers())
      this->unsettled.insert(WorkerKey(id));
    for (const auto& [name, entry] : batch.Owners())
      this->unsettled.insert(OwnerKey(name));
    for (const auto& [id, version] : batch.Deleted())
      this->unsettled.insert(TaskKey(id));
  }

  // The store did not answer. Returns false.
  bool NoteOutage() {
    if (!this->outage_since)
      this->outage_since = this->steady->Now();
    this->observer.RecordReadFailure();
    return false;
  }

  // Agents could not renew during an outage of more than a renewal interval;
  // they go first when the store returns.
  void NoteReadable(absl::Time now) {
    const absl::Duration renewal = this->options.worker_lease.renewal_interval;
    if (this->outage_since && now - *this->outage_since >= renewal)
      this->paused_until = now + renewal;
    this->outage_since.reset();
  }

  // False after an outage until all workers have renewed their leases, or had
  // the time to.
  bool MayPlace(absl::Time now) {
    if (now >= this->paused_until)
      return true;
    for (const auto& [id, worker] : this->GetState()->Workers()) {
      if (worker.row.state != WorkerState::kFenced &&
          !this->observer.WasRenewedSinceRestart(id))
        return false;
    }
    this->paused_until = now;
    return true;
  }

  PlannerLoopOptions options;
  Planner<S>* planner;
  T* table;
  const Steady* steady;
  const Wall* wall;
  Log* log;
  Nudge nudge;
  Follower follower;
  LeaseObserver observer;
  TokenBucket rows;
  bool leading = false;
  bool is_following = false;
  absl::Time lease_until = absl::InfinitePast();
  uint64_t transactions = 0;
  std::set<std::string> unsettled;
  std::optional<absl::Time> outage_since;
  absl::Time paused_until = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // TASK_PLANNER_LOOP_H_
