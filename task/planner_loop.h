#ifndef TASK_PLANNER_LOOP_H_
#define TASK_PLANNER_LOOP_H_

// Runs a planner on the table: reads changed rows and commits decisions.
//
//   PlannerLoop loop(options, &planner, &table, &steady, &wall, &log);
//   loop.SetWorkerChangedCallback([&](const std::string& worker) { ... });
//   every options.tick:  loop.Tick();
//
// A tick makes blocking calls, so the loop needs a thread of its own. A tick
// acquires or renews the planner lease, reads the changed rows, runs a round of
// the planner and commits the batches. Any number of loops may run at the same
// time: the lease only avoids conflicts between them.
//
// After a failed commit, the batch's rows are read again and the planner
// decides again on the rows as stored. This is also correct after an unknown
// outcome: if the transaction took effect, the rows show it; if it takes effect
// later, its expected versions make it commit as a whole or not at all.

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
  absl::Duration lease_duration = absl::Seconds(3);
  // How long before its expiry the planner lease is renewed.
  absl::Duration lease_renewal_margin = absl::Seconds(2);
  absl::Duration tick = absl::Milliseconds(500);
  LeasePolicy worker_lease;
  FollowerOptions follower;
  // Rows per second that the planner may write. Of the store's 300, lease
  // renewals take 40 and reported outcomes 88 at the target fleet size.
  double rows_per_second = 160;
  double rows_burst = 100;
};

template <Table T, Scorer S, Clock Steady, Clock Wall>
class PlannerLoop {
 public:
  using WorkerChangedCallback = std::function<void(const std::string& worker)>;

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
        row_budget(options.rows_per_second, options.rows_burst) {}

  // Sets a callback that is called with each worker whose row a commit has
  // changed.
  void SetWorkerChangedCallback(const WorkerChangedCallback& callback) {
    this->on_worker_changed = callback;
  }

  // Reads the changed rows, runs one round and commits its batches, if this
  // loop holds the planner lease.
  void Tick() {
    if (!this->EnsurePlannerLease())
      return;
    if (!this->ReloadUnresolvedRows() || !this->ReadChanges()) {
      this->observer.RecordReadFailure();
      return;
    }
    const absl::Time now = this->steady->Now();
    this->row_budget.Refill(now);
    RoundInput input;
    input.now = this->wall->Now();
    input.expired_leases = this->observer.ExpiredLeases(now);
    input.complete = this->follower.IsComplete();
    input.may_place = this->MayPlace(now);
    input.max_rows =
        static_cast<size_t>(std::max(this->row_budget.Tokens(), 0.0));
    const std::vector<Batch> batches = this->planner->Round(input);
    for (size_t i = 0; i < batches.size(); ++i) {
      if (this->Commit(batches[i]))
        continue;
      // The store does not answer. The remaining batches are dropped, and their
      // rows are read again before the next round.
      for (size_t rest = i; rest < batches.size(); ++rest)
        this->MarkForReload(batches[rest]);
      break;
    }
  }

  // True when this loop held the planner lease in its last tick.
  bool IsLeading() const { return this->leading; }

  // True when the planner's state holds every row.
  bool IsComplete() const { return this->follower.IsComplete(); }

 private:
  // Acquires or renews the planner lease. Returns false while another process
  // holds it or the store does not answer.
  bool EnsurePlannerLease() {
    const absl::Time now = this->wall->Now();
    if (this->leading &&
        now < this->planner_lease_expiry - this->options.lease_renewal_margin)
      return true;
    this->leading = false;
    const std::string key = PlannerKey(this->options.lease_name);
    const Result<Row> row = this->table->Read(key);
    const bool is_absent = !row && row.error() == TableError::kNotFound;
    if (!row && !is_absent) {
      this->RecordOutage();
      return false;
    }
    if (row && this->IsHeldByAnotherProcess(row.value(), now)) {
      this->has_taken_over = false;
      return false;
    }
    PlannerRow renewed;
    renewed.name = this->options.lease_name;
    renewed.holder = this->options.process;
    renewed.deadline_us = ToMicros(now + this->options.lease_duration);
    renewed.transaction = this->NextTransactionId();
    Transaction transaction;
    transaction.id = renewed.transaction;
    transaction.expects = {{key, is_absent ? 0 : row.value().version}};
    transaction.writes = {{key, ToText(renewed)}};
    if (!this->table->Commit(transaction))
      return false;
    this->planner_lease_expiry = now + this->options.lease_duration;
    this->leading = true;
    return true;
  }

  bool IsHeldByAnotherProcess(const Row& row, absl::Time now) const {
    // A lease row that does not parse counts as not held.
    const Result<PlannerRow> held = ParsePlanner(row);
    return held && held.value().holder != this->options.process &&
           FromMicros(held.value().deadline_us) > now;
  }

  std::string NextTransactionId() {
    return StrCat("loop-", this->options.process, "/",
                  ++this->transaction_count);
  }

  // Reads the rows of failed and unresolved commits again. Returns false when
  // the store does not answer.
  bool ReloadUnresolvedRows() {
    while (!this->rows_to_reload.empty()) {
      const std::string key = *this->rows_to_reload.begin();
      const Result<Row> row = this->table->Read(key);
      if (row)
        this->LogIfBad(row.value(), this->GetState()->Restore(row.value()));
      else if (row.error() == TableError::kNotFound)
        this->GetState()->Remove(key);
      else
        return this->RecordOutage();
      this->rows_to_reload.erase(key);
    }
    return true;
  }

  // Reads the changed rows. Lease observations use the time after the read, so
  // that none starts before the renewal was sent. Returns false when the store
  // does not answer.
  bool ReadChanges() {
    if (!this->has_taken_over) {
      this->follower.ReadNewestFirst();
      this->has_taken_over = true;
    }
    std::vector<Row> changed;
    const Status read = this->follower.Read(this->table, &changed);
    const absl::Time now = this->steady->Now();
    if (read) {
      this->EndOutage(now);
      this->observer.RecordRead(now);
    }
    for (const Row& row : changed) {
      this->LogIfBad(row, this->GetState()->Apply(row));
      if (row.key.starts_with(kWorkerPrefix))
        this->Observe(row.key.substr(kWorkerPrefix.size()), now);
    }
    return read ? true : this->RecordOutage();
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

  // Logs a row that could not be applied to the state, for instance because it
  // does not parse.
  void LogIfBad(const Row& row, const Status& applied) {
    if (!applied && this->log != nullptr) {
      this->log->Write(LogLine("bad-row", LogLevel::kWarning)
                           .Add("key", row.key)
                           .Add("error", applied.error()));
    }
  }

  // Commits a batch. Returns false when the store did not answer.
  bool Commit(const Batch& batch) {
    this->row_budget.ForceConsume(static_cast<double>(batch.size()));
    const Result<uint64_t> version = this->table->Commit(batch.ToTransaction());
    if (!version) {
      this->LogCommit(batch, version.error());
      if (version.error() != TableError::kConflict)
        return false;
      this->MarkForReload(batch);
      return this->ReloadUnresolvedRows();
    }
    this->GetState()->Apply(batch, version.value());
    if (this->on_worker_changed) {
      for (const auto& [id, worker] : batch.Workers())
        this->on_worker_changed(id);
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

  // Has the batch's rows read again before the next round.
  void MarkForReload(const Batch& batch) {
    for (const auto& [id, entry] : batch.Tasks())
      this->rows_to_reload.insert(TaskKey(id));
    for (const auto& [id, entry] : batch.Workers())
      this->rows_to_reload.insert(WorkerKey(id));
    for (const auto& [name, entry] : batch.Owners())
      this->rows_to_reload.insert(OwnerKey(name));
    for (const auto& [id, version] : batch.Deleted())
      this->rows_to_reload.insert(TaskKey(id));
  }

  // Records that the store did not answer. Returns false.
  bool RecordOutage() {
    if (!this->outage_since)
      this->outage_since = this->steady->Now();
    this->observer.RecordReadFailure();
    return false;
  }

  // Ends an outage. Agents could not renew their leases during an outage longer
  // than a renewal interval, so their renewals take precedence over placements.
  void EndOutage(absl::Time now) {
    const absl::Duration renewal = this->options.worker_lease.renewal_interval;
    if (this->outage_since && now - *this->outage_since >= renewal)
      this->placement_pause_end = now + renewal;
    this->outage_since.reset();
  }

  // False after an outage until all workers have renewed their leases, or the
  // renewal interval has passed.
  bool MayPlace(absl::Time now) {
    if (now >= this->placement_pause_end)
      return true;
    for (const auto& [id, worker] : this->GetState()->Workers()) {
      if (worker.row.state != WorkerState::kFenced &&
          !this->observer.WasRenewedSinceRestart(id))
        return false;
    }
    this->placement_pause_end = now;
    return true;
  }

  PlannerLoopOptions options;
  Planner<S>* planner;
  T* table;
  const Steady* steady;
  const Wall* wall;
  Log* log;
  WorkerChangedCallback on_worker_changed;
  Follower follower;
  LeaseObserver observer;
  TokenBucket row_budget;
  bool leading = false;
  bool has_taken_over = false;
  absl::Time planner_lease_expiry = absl::InfinitePast();
  uint64_t transaction_count = 0;
  std::set<std::string> rows_to_reload;
  std::optional<absl::Time> outage_since;
  absl::Time placement_pause_end = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // TASK_PLANNER_LOOP_H_
