// A planner's reads of the store: the tables when it starts to plan, and later
// the rows whose notices were lost with a connection.

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "base/time.h"
#include "fleet/fleet_planner.h"

namespace cuminjunction {

namespace {

// Interval of the reads for rows whose notice was lost with a connection, and
// the same while tasks wait for silent workers: the versions of the rows tell
// which submissions need not wait.
constexpr absl::Duration kReconcileInterval = absl::Milliseconds(1500);
constexpr absl::Duration kUnresolvedReconcileInterval = absl::Milliseconds(200);

// Number of submissions whose rows are removed at once: the three rows of each
// fit into one transaction.
constexpr size_t kMaxRemovals = 30;

// Interval of removals, unless there are more to remove: on the largest site 16
// submissions end in a second.
constexpr absl::Duration kRemovalInterval = absl::Seconds(1);

// How long the cancellation of a submission that was never stored is kept at
// most: no copy of the submission can be stored meanwhile. The platform carries
// calls out up to 12 s late.
constexpr absl::Duration kEarlyCancellationTime = absl::Seconds(30);
constexpr size_t kMaxCancellationRemovals = 90;

// Time in which the agents report to a new planner, so that it knows the VMs
// and their failure domains.
constexpr absl::Duration kFirstReportsTime = absl::Seconds(2);

constexpr absl::Duration kReadTimeout = absl::Seconds(2);
constexpr absl::Duration kNodeFeedWait = absl::Seconds(8);
constexpr std::chrono::milliseconds kRetryDelay(100);

}  // namespace

// The rows that a new planner has loaded so far.
struct FleetPlanner::LoadedRows {
  uint64_t term = 0;
  // Tables that are still to be read, from the last to the first.
  std::vector<std::string> remaining_tables = {kSubmissionTable, kProgressTable,
                                               kCancellationTable, kVacantTable,
                                               kNodeTable};
  std::map<std::string, std::vector<StoreRow>> rows;
  absl::Time started;
};

void FleetPlanner::OnClaimed(uint64_t epoch) {
  this->takeovers_total.Add();
  ++this->term;
  auto rows = std::make_shared<LoadedRows>();
  rows->term = this->term;
  rows->started = BootClock().Now();
  this->nodes.Start(epoch);
  this->feed_versions.clear();
  this->LoadNext(rows);
}

void FleetPlanner::LoadNext(const std::shared_ptr<LoadedRows>& rows) {
  if (rows->remaining_tables.empty()) {
    this->OnLoaded(rows);
    return;
  }
  const std::string table = rows->remaining_tables.back();
  this->ReadTable(table, [this, table, rows](RowsReply&& reply) {
    if (!reply.error) {
      this->feed_versions[table] = reply.feed_version;
      rows->rows[table] = std::move(reply.rows);
      rows->remaining_tables.pop_back();
      this->LoadNext(rows);
      return;
    }
    this->log->Write(LogLine("load_failed", LogLevel::kWarning)
                         .Add("table", table)
                         .Add("error", reply.error));
    this->plan_timer.expires_after(kRetryDelay);
    this->plan_timer.async_wait([this, rows](std::error_code error) {
      if (!error && rows->term == this->term)
        this->LoadNext(rows);
    });
  });
}

void FleetPlanner::ReadTable(const std::string& table,
                             std::function<void(RowsReply&&)> done) {
  this->ReadPage(table, "", std::make_shared<RowsReply>(), std::move(done));
}

void FleetPlanner::ReadPage(const std::string& table,
                            const std::string& from,
                            std::shared_ptr<RowsReply> pages,
                            std::function<void(RowsReply&&)> done) {
  this->store->Read(
      table, from, 0, kReadTimeout,
      [this, term = this->term, table, from, pages = std::move(pages),
       done = std::move(done)](RowsReply&& reply) {
        if (term != this->term)
          return;
        // The feed continues from the version of the first page, the oldest.
        if (from.empty()) {
          pages->version = reply.version;
          pages->feed_version = reply.feed_version;
        }
        std::move(reply.rows.begin(), reply.rows.end(),
                  std::back_inserter(pages->rows));
        pages->error = reply.error;
        if (!reply.error && reply.more) {
          this->ReadPage(table, reply.next_key, pages, done);
          return;
        }
        done(std::move(*pages));
      });
}

void FleetPlanner::ReadChanges(const std::string& table,
                               int64_t version,
                               std::function<void(RowsReply&&)> done) {
  if (version == 0)
    this->ReadTable(table, std::move(done));
  else
    this->ReadFeedPart(table, version, std::make_shared<RowsReply>(),
                       std::move(done));
}

void FleetPlanner::ReadFeedPart(const std::string& table,
                                int64_t version,
                                std::shared_ptr<RowsReply> parts,
                                std::function<void(RowsReply&&)> done) {
  this->store->Feed(table, version, absl::Milliseconds(1),
                    [this, term = this->term, table, parts = std::move(parts),
                     done = std::move(done)](RowsReply&& reply) {
                      if (term != this->term)
                        return;
                      if (!reply.error && reply.feed_version == 0) {
                        this->ReadTable(table, done);
                        return;
                      }
                      if (parts->version == 0)
                        parts->version = reply.version;
                      parts->feed_version = reply.feed_version;
                      std::move(reply.rows.begin(), reply.rows.end(),
                                std::back_inserter(parts->rows));
                      parts->error = reply.error;
                      if (!reply.error && reply.more) {
                        this->ReadFeedPart(table, reply.feed_version, parts,
                                           done);
                        return;
                      }
                      done(std::move(*parts));
                    });
}

void FleetPlanner::OnLoaded(const std::shared_ptr<LoadedRows>& loaded) {
  const absl::Time now = BootClock().Now();
  if (this->CommitsFailing(now)) {
    this->plan_timer.expires_after(kRetryDelay);
    this->plan_timer.async_wait([this, loaded](std::error_code error) {
      if (!error && loaded->term == this->term)
        this->OnLoaded(loaded);
    });
    return;
  }
  const LoadedRows& rows = *loaded;
  const absl::Time wall = SystemClock().Now();
  this->scheduler = std::make_unique<Scheduler>();
  if (this->overload_control)
    this->scheduler->SetPlanningRule(&OrderOf<WeightedWorkRule>, AgeingShare());
  this->scheduler->SetPolicy(this->policy);
  this->scheduler->SetEvacuations(this->evacuations, now);
  this->evacuated_domains.Set(
      static_cast<double>(this->evacuations.names.size()));
  this->evacuation_lines_from = now + kFirstReportsTime;
  std::map<std::string, Progress> progress;
  size_t damaged = 0;
  const auto rows_of = [&](const char* table) -> const std::vector<StoreRow>& {
    static const std::vector<StoreRow> none;
    const auto found = rows.rows.find(table);
    return found == rows.rows.end() ? none : found->second;
  };
  for (const StoreRow& row : rows_of(kProgressTable)) {
    auto decoded = Decode<Progress>(row.value);
    if (decoded)
      progress[row.key] = std::move(decoded.value());
    else
      ++damaged;
  }
  for (const StoreRow& row : rows_of(kSubmissionTable)) {
    const auto stored = Decode<SubmissionRow>(row.value);
    if (!stored) {
      ++damaged;
      continue;
    }
    const Submission& submission = stored.value().submission;
    if (IsFinal(stored.value().final_state)) {
      this->AddEnded(stored.value(), now, wall);
      continue;
    }
    const auto found_progress = progress.find(row.key);
    std::optional<Progress> stored_progress;
    if (found_progress != progress.end())
      stored_progress = found_progress->second;
    this->AddSubmission(submission, stored_progress);
  }
  for (const StoreRow& row : rows_of(kCancellationTable))
    this->scheduler->Cancel(row.key, now);
  for (const StoreRow& row : rows_of(kVacantTable))
    this->vacant.Load(row.key);
  this->long_grants_possible =
      !RulesOutLongGrants(this->last_unreachable_report, now);
  // The first pings already carry grants: a runner refuses starts without one.
  this->nodes.Tick(this->CurrentGrant(now), /*commits_failing=*/false);
  for (const StoreRow& row : rows_of(kNodeTable)) {
    const auto node = Decode<NodeRow>(row.value);
    if (!node) {
      ++damaged;
      continue;
    }
    if (node.value().is_agent && this->lease.Epoch() > 1 &&
        !this->vacant.Contains(row.key))
      this->scheduler->ExpectWorker(
          row.key, this->InheritedGrantDeadline(this->long_grants_possible));
    this->nodes.Add(row.key, node.value());
  }
  this->log->Write(
      LogLine("planner_started")
          .Add("epoch", this->lease.Epoch())
          .Add("submissions", rows_of(kSubmissionTable).size())
          .Add("version", this->feed_versions[kSubmissionTable])
          .Add("live", this->scheduler->LiveCount())
          .Add("workers_to_hear", this->scheduler->UnresolvedCount())
          .Add("damaged_rows", damaged)
          .Add("load_ms", absl::ToDoubleMilliseconds(now - rows.started)));
  this->load_seconds.Observe(now - rows.started);
  this->prior_starts = PriorStarts(this->lease.PredecessorLastCommit());
  this->next_reconcile = now + this->ReconcileInterval();
  this->next_waiting_notice = absl::InfinitePast();
  this->next_removal = now + kRemovalInterval;
  this->FollowNodeFeed();
  this->SchedulePlan();
}

void FleetPlanner::AddChangedNode(const std::string& node, const NodeRow& row) {
  const absl::Time grant_deadline =
      this->InheritedGrantDeadline(this->long_grants_possible);
  if (row.is_agent && this->lease.Epoch() > 1 && !this->nodes.Contains(node) &&
      grant_deadline > BootClock().Now())
    this->scheduler->ExpectWorker(node, grant_deadline);
  this->nodes.Add(node, row);
}

void FleetPlanner::ApplyNodeRows(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    const auto node = Decode<NodeRow>(row.value);
    if (row.deleted)
      continue;
    if (node)
      this->AddChangedNode(row.key, node.value());
    else
      this->log->Write(LogLine("node_row_damaged", LogLevel::kError)
                           .Add("node", row.key)
                           .Add("error", node.error()));
  }
}

void FleetPlanner::FollowNodeFeed() {
  this->store->Feed(
      kNodeTable, this->feed_versions[kNodeTable], kNodeFeedWait,
      [this, term = this->term](RowsReply&& reply) {
        if (term != this->term)
          return;
        if (reply.error == PlatformError::kHistoryGone ||
            (!reply.error && reply.feed_version == 0)) {
          // The feed does not have all changes, so the whole table is read.
          this->ReadTable(kNodeTable, [this](RowsReply&& whole) {
            if (!whole.error)
              this->feed_versions[kNodeTable] = whole.feed_version;
            this->ApplyNodeRows(whole.rows);
            this->FollowNodeFeed();
          });
          return;
        }
        if (!reply.error) {
          this->feed_versions[kNodeTable] = reply.feed_version;
          this->ApplyNodeRows(reply.rows);
          this->FollowNodeFeed();
          return;
        }
        auto pause = std::make_shared<boost::asio::steady_timer>(
            *this->context, std::chrono::milliseconds(200));
        pause->async_wait([this, term, pause](std::error_code error) {
          if (!error && term == this->term)
            this->FollowNodeFeed();
        });
      });
}

void FleetPlanner::ReconcileFromFeeds(absl::Time now) {
  if (now < this->next_reconcile)
    return;
  this->next_reconcile = now + this->ReconcileInterval();
  this->ReconcileTable(kSubmissionTable);
  this->ReconcileTable(kCancellationTable);
}

absl::Duration FleetPlanner::ReconcileInterval() const {
  return this->scheduler->UnresolvedCount() > 0 ? kUnresolvedReconcileInterval
                                                : kReconcileInterval;
}

void FleetPlanner::ResolveIfNew(const StoreRow& row) {
  if (this->prior_starts.RulesOut(row.version))
    this->scheduler->Resolve(row.key);
}

void FleetPlanner::ReconcileTable(const std::string& table) {
  if (!this->feeds_in_progress.insert(table).second)
    return;
  const auto on_reply = [this, table, term = this->term,
                         sent = BootClock().Now()](RowsReply&& reply) {
    if (term != this->term)
      return;
    this->feeds_in_progress.erase(table);
    // The same rows are read again once commits succeed.
    if (this->CommitsFailing(BootClock().Now()))
      return;
    if (reply.error == PlatformError::kHistoryGone) {
      // With version 0 the next call of ReconcileTable() reads the whole table.
      this->feed_versions[table] = 0;
      return;
    }
    if (reply.error)
      return;
    this->feed_versions[table] = reply.feed_version;
    this->prior_starts.OnStoreVersion(reply.version, sent);
    for (const StoreRow& row : reply.rows) {
      if (row.deleted)
        continue;
      if (table == kCancellationTable)
        this->scheduler->Cancel(row.key, BootClock().Now());
      else
        this->AddSubmissionRow(row);
    }
    if (!reply.rows.empty())
      this->SchedulePlan();
  };
  this->ReadChanges(table, this->feed_versions[table], on_reply);
}

void FleetPlanner::AddSubmissionRow(const StoreRow& row) {
  if (row.deleted)
    return;
  if (this->scheduler->HasSubmission(row.key)) {
    this->ResolveIfNew(row);
    return;
  }
  const auto stored = Decode<SubmissionRow>(row.value);
  if (!stored) {
    this->log->Write(LogLine("submission_row_damaged", LogLevel::kError)
                         .Add("submission", row.key)
                         .Add("error", stored.error()));
    return;
  }
  if (IsFinal(stored.value().final_state)) {
    this->AddEnded(stored.value(), BootClock().Now(), SystemClock().Now());
    return;
  }
  // The entry may have announced the submission to an earlier planner, which
  // may still reach a worker that this one does not reach.
  this->AddSubmission(stored.value().submission, std::nullopt);
  this->ResolveIfNew(row);
}

void FleetPlanner::AddSubmission(const Submission& submission,
                                 const std::optional<Progress>& progress) {
  if (!this->scheduler->Add(submission, progress,
                            UnresolvedRunsBefore(this->lease.Epoch()),
                            BootClock().Now(), SystemClock().Now()))
    this->log->Write(LogLine("submission_malformed", LogLevel::kError)
                         .Add("submission", submission.id));
}

void FleetPlanner::AddEnded(const SubmissionRow& row,
                            absl::Time now,
                            absl::Time wall) {
  const absl::Time ended = absl::FromUnixMillis(row.ended_ms);
  this->scheduler->AddEnded(row.submission.id, row.submission.queue,
                            row.final_state,
                            std::min(now, now - (wall - ended)));
}

void FleetPlanner::RemoveExpiredSubmissions(absl::Time now) {
  if (now < this->next_removal)
    return;
  const bool more_cancellations = this->RemoveEarlyCancellations(now);
  auto ids =
      this->scheduler->TakeEndedBefore(now - this->retention, kMaxRemovals);
  if (ids.size() < kMaxRemovals && !more_cancellations)
    this->next_removal = now + kRemovalInterval;
  if (ids.empty())
    return;
  std::vector<StoreRemove> removes;
  for (const std::string& id : ids) {
    for (const char* table :
         {kSubmissionTable, kProgressTable, kCancellationTable})
      removes.push_back({table, id});
  }
  this->log->Write(LogLine("submissions_removed")
                       .Add("first", ids.front())
                       .Add("count", ids.size()));
  this->lease.Write({}, removes, [this, ids = std::move(ids)] {
    for (const std::string& id : ids)
      this->scheduler->Forget(id);
  });
}

bool FleetPlanner::RemoveEarlyCancellations(absl::Time now) {
  const auto ids = this->scheduler->TakeEarlyCancellationsBefore(
      now - std::min(kEarlyCancellationTime, this->retention),
      kMaxCancellationRemovals);
  if (ids.empty())
    return false;
  std::vector<StoreRemove> removes;
  removes.reserve(ids.size());
  for (const std::string& id : ids)
    removes.push_back({kCancellationTable, id});
  this->lease.Write({}, removes, [] {});
  return ids.size() == kMaxCancellationRemovals;
}

void FleetPlanner::ReadUnknownSubmissions() {
  if (std::exchange(this->reading_submissions, true))
    return;
  const uint64_t read = ++this->submission_reads;
  const auto on_reply = [this, term = this->term, read](RowsReply&& reply) {
    if (term != this->term)
      return;
    this->reading_submissions = false;
    const bool may_add = !this->CommitsFailing(BootClock().Now());
    if (may_add) {
      for (const StoreRow& row : reply.rows)
        this->AddSubmissionRow(row);
    }
    if (!reply.error && may_add) {
      this->HandleDeferredMessages(read);
      return;
    }
    if (reply.error == PlatformError::kHistoryGone)
      this->feed_versions[kSubmissionTable] = 0;
    auto pause = std::make_shared<boost::asio::steady_timer>(
        *this->context, std::chrono::milliseconds(50));
    pause->async_wait([this, term, pause](std::error_code error) {
      if (!error && term == this->term)
        this->ReadUnknownSubmissions();
    });
  };
  this->ReadChanges(kSubmissionTable, this->feed_versions[kSubmissionTable],
                    on_reply);
}

}  // namespace cuminjunction
