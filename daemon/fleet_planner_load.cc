// What a planner reads from the store: the tables at its start, and what its
// connections may have lost.

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "base/time.h"
#include "daemon/fleet_planner.h"

namespace cuminjunction {

namespace {

// How often the tables are read for what a connection lost.
constexpr absl::Duration kRepairInterval = absl::Milliseconds(1500);

// Rows of submissions that ended long ago are removed for this many at once:
// three rows each fit into one transaction.
constexpr size_t kMostRemovals = 30;

// Pause between removals, unless there are more: the largest site ends 16
// submissions a second.
constexpr absl::Duration kRemovalInterval = absl::Seconds(1);

constexpr absl::Duration kReadTimeout = absl::Seconds(2);
constexpr absl::Duration kNodeFeedWait = absl::Seconds(8);
constexpr std::chrono::milliseconds kRetryPause(100);

}  // namespace

// The tables that a new planner reads, from the last to the first.
struct FleetPlanner::LoadedRows {
  uint64_t term = 0;
  std::vector<std::string> left = {kSubmissionTable, kProgressTable,
                                   kCancellationTable, kNodeTable};
  std::map<std::string, std::vector<StoreRow>> rows;
  absl::Time started;
};

void FleetPlanner::OnClaimed(uint64_t epoch) {
  this->takeovers_total.Add();
  ++this->term;
  auto rows = std::make_shared<LoadedRows>();
  rows->term = this->term;
  rows->started = BootClock().Now();
  this->nodes.Begin(epoch);
  this->feed_versions.clear();
  this->LoadNext(rows);
}

void FleetPlanner::LoadNext(const std::shared_ptr<LoadedRows>& rows) {
  if (rows->left.empty()) {
    this->OnLoaded(*rows);
    return;
  }
  const std::string table = rows->left.back();
  this->ReadTable(table, [this, table, rows](RowsReply&& reply) {
    if (!reply.error) {
      this->feed_versions[table] = reply.version;
      rows->rows[table] = std::move(reply.rows);
      rows->left.pop_back();
      this->LoadNext(rows);
      return;
    }
    this->log->Write(LogLine("load_failed", LogLevel::kWarning)
                         .Add("table", table)
                         .Add("error", reply.error));
    this->run_timer.expires_after(kRetryPause);
    this->run_timer.async_wait([this, rows](std::error_code error) {
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
        // The feed goes on from the first page, which is the oldest.
        if (from.empty())
          pages->version = reply.version;
        std::move(reply.rows.begin(), reply.rows.end(),
                  std::back_inserter(pages->rows));
        pages->error = reply.error;
        if (!reply.error && reply.more && !pages->rows.empty()) {
          // The least key after the last one.
          const std::string next = pages->rows.back().key + '\0';
          this->ReadPage(table, next, pages, done);
          return;
        }
        done(std::move(*pages));
      });
}

void FleetPlanner::OnLoaded(const LoadedRows& rows) {
  const absl::Time now = BootClock().Now();
  const absl::Time wall = absl::Now();
  this->scheduler = std::make_unique<Scheduler>();
  this->scheduler->SetPolicy(this->policy);
  std::map<std::string, Progress> progress;
  size_t damaged = 0;
  const auto find = [&](const char* table) -> const std::vector<StoreRow>& {
    static const std::vector<StoreRow> none;
    const auto found = rows.rows.find(table);
    return found == rows.rows.end() ? none : found->second;
  };
  for (const StoreRow& row : find(kProgressTable)) {
    auto decoded = Decode<Progress>(row.value);
    if (decoded)
      progress[row.key] = std::move(decoded.value());
    else
      ++damaged;
  }
  for (const StoreRow& row : find(kSubmissionTable)) {
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
    const auto known = progress.find(row.key);
    std::optional<Progress> kept;
    if (known != progress.end())
      kept = known->second;
    this->scheduler->Add(submission, kept,
                         UnresolvedRunsBefore(this->lease.Epoch()), now, wall);
  }
  for (const StoreRow& row : find(kCancellationTable))
    this->scheduler->Cancel(row.key);
  this->long_grants = !RulesOutLongGrants(this->last_lost_report, now);
  for (const StoreRow& row : find(kNodeTable)) {
    const auto node = Decode<NodeRow>(row.value);
    if (!node) {
      ++damaged;
      continue;
    }
    if (node.value().agent && this->lease.Epoch() > 1)
      this->scheduler->ExpectWorker(
          row.key, this->EarlierAuthorityEnd(this->long_grants));
    this->nodes.Add(row.key, node.value());
  }
  this->log->Write(
      LogLine("planner_started")
          .Add("epoch", this->lease.Epoch())
          .Add("submissions", find(kSubmissionTable).size())
          .Add("live", this->scheduler->LiveCount())
          .Add("workers_to_hear", this->scheduler->UnresolvedCount())
          .Add("damaged_rows", damaged)
          .Add("load_ms", absl::ToDoubleMilliseconds(now - rows.started)));
  this->load_seconds.Observe(now - rows.started);
  this->next_repair = now + kRepairInterval;
  this->next_waiting = absl::InfinitePast();
  this->next_removal = now + kRemovalInterval;
  this->FollowNodes();
  this->ScheduleRun();
}

void FleetPlanner::TakeNodeRows(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    const auto node = Decode<NodeRow>(row.value);
    if (row.deleted)
      continue;
    if (node)
      this->nodes.Add(row.key, node.value());
    else
      this->log->Write(LogLine("node_row_damaged", LogLevel::kError)
                           .Add("node", row.key)
                           .Add("error", node.error()));
  }
}

void FleetPlanner::FollowNodes() {
  this->store->Feed(
      kNodeTable, this->feed_versions[kNodeTable], kNodeFeedWait,
      [this, term = this->term](RowsReply&& reply) {
        if (term != this->term)
          return;
        if (reply.error == PlatformError::kHistoryGone) {
          // Rows that changed meanwhile are told again by a whole read.
          this->ReadTable(kNodeTable, [this](RowsReply&& whole) {
            if (!whole.error)
              this->feed_versions[kNodeTable] = whole.version;
            this->TakeNodeRows(whole.rows);
            this->FollowNodes();
          });
          return;
        }
        if (!reply.error) {
          this->feed_versions[kNodeTable] = reply.version;
          this->TakeNodeRows(reply.rows);
          this->FollowNodes();
          return;
        }
        auto pause = std::make_shared<boost::asio::steady_timer>(
            *this->context, std::chrono::milliseconds(200));
        pause->async_wait([this, term, pause](std::error_code error) {
          if (!error && term == this->term)
            this->FollowNodes();
        });
      });
}

void FleetPlanner::RepairFromFeeds(absl::Time now) {
  if (now < this->next_repair)
    return;
  this->next_repair = now + kRepairInterval;
  this->RepairTable(kSubmissionTable);
  this->RepairTable(kCancellationTable);
}

void FleetPlanner::RepairTable(const std::string& table) {
  if (!this->feeds_running.insert(table).second)
    return;
  const auto take = [this, table, term = this->term](RowsReply&& reply) {
    if (term != this->term)
      return;
    this->feeds_running.erase(table);
    if (reply.error == PlatformError::kHistoryGone) {
      // Version 0 makes the next repair read the whole table.
      this->feed_versions[table] = 0;
      return;
    }
    if (reply.error)
      return;
    this->feed_versions[table] = reply.version;
    for (const StoreRow& row : reply.rows) {
      if (row.deleted)
        continue;
      if (table == kCancellationTable)
        this->scheduler->Cancel(row.key);
      else
        this->TakeSubmissionRow(row);
    }
    if (!reply.rows.empty())
      this->ScheduleRun();
  };
  if (this->feed_versions[table] == 0)
    this->ReadTable(table, take);
  else
    this->store->Feed(table, this->feed_versions[table], absl::Milliseconds(1),
                      take);
}

void FleetPlanner::TakeSubmissionRow(const StoreRow& row) {
  if (row.deleted || this->scheduler->HasSubmission(row.key))
    return;
  const auto stored = Decode<SubmissionRow>(row.value);
  if (!stored) {
    this->log->Write(LogLine("submission_row_damaged", LogLevel::kError)
                         .Add("submission", row.key)
                         .Add("error", stored.error()));
    return;
  }
  const absl::Time now = BootClock().Now();
  if (IsFinal(stored.value().final_state)) {
    this->AddEnded(stored.value(), now, absl::Now());
    return;
  }
  // Its entry may have told an earlier planner that still reaches a worker
  // which this one does not.
  this->scheduler->Add(stored.value().submission, std::nullopt,
                       UnresolvedRunsBefore(this->lease.Epoch()), now,
                       absl::Now());
}

void FleetPlanner::AddEnded(const SubmissionRow& row,
                            absl::Time now,
                            absl::Time wall) {
  const absl::Time ended = absl::FromUnixMillis(row.ended_ms);
  this->scheduler->AddEnded(row.submission.id, row.submission.queue,
                            row.final_state,
                            std::min(now, now - (wall - ended)));
}

void FleetPlanner::RemoveOutdated(absl::Time now) {
  if (now < this->next_removal)
    return;
  auto ids =
      this->scheduler->TakeEndedBefore(now - this->retention, kMostRemovals);
  if (ids.size() < kMostRemovals)
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

void FleetPlanner::ReadUnknown() {
  if (std::exchange(this->reading_unknown, true))
    return;
  const auto take = [this, term = this->term](RowsReply&& reply) {
    if (term != this->term)
      return;
    this->reading_unknown = false;
    for (const StoreRow& row : reply.rows)
      this->TakeSubmissionRow(row);
    if (!reply.error) {
      this->TakePutOff();
      return;
    }
    if (reply.error == PlatformError::kHistoryGone)
      this->feed_versions[kSubmissionTable] = 0;
    auto pause = std::make_shared<boost::asio::steady_timer>(
        *this->context, std::chrono::milliseconds(50));
    pause->async_wait([this, term, pause](std::error_code error) {
      if (!error && term == this->term)
        this->ReadUnknown();
    });
  };
  const int64_t version = this->feed_versions[kSubmissionTable];
  if (version == 0)
    this->ReadTable(kSubmissionTable, take);
  else
    this->store->Feed(kSubmissionTable, version, absl::Milliseconds(1), take);
}

}  // namespace cuminjunction
