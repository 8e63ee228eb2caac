#ifndef TASK_FOLLOWER_H_
#define TASK_FOLLOWER_H_

// Reads the rows of the task core as they change, page by page.
//
//   Follower follower(options);
//   // This process becomes the planner.
//   follower.ReadNewestFirst();
//   std::vector<Row> rows;
//   Status read = follower.Read(&table, &rows);
//   // Apply `rows`, and repeat until all rows have been read.
//   bool complete = follower.IsComplete();
//
// When a planner takes over from another process, the rows of workers, jobs and
// services are read first, then the tasks of the newest commits, which include
// the waiting tasks, and then the older tasks. So urgent tasks are placed long
// before all rows, for example 17,800, have been read.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "table/table.h"
#include "task/row.h"

namespace cuminjunction {

struct FollowerOptions {
  // Rows per page, and maximum number of task pages per call of Read(). Two
  // calls a second with two pages each stay within the store's limit of 2,000
  // reads a second.
  int page = 500;
  int max_pages = 2;
  // Number of newest commits whose tasks are read before the older tasks.
  uint64_t recent_commits = 4000;
};

class Follower {
 public:
  explicit Follower(const FollowerOptions& options) : options(options) {}

  // Makes the next Read() start with the tasks of the newest commits. Called
  // when many rows may have changed since the last read.
  void ReadNewestFirst() { this->newest_first_requested = true; }

  // Reads the next pages and appends their rows to `out`. Rows that were read
  // before an error stay in `out` and are not read again. Fails with the
  // table's error.
  template <Table T>
  Status Read(T* table, std::vector<Row>* out) {
    // Worker and owner rows are few, so each call reads all new ones.
    BOOST_OUTCOME_TRY(this->ReadToEnd(table, std::string(kWorkerPrefix),
                                      &this->workers, out));
    BOOST_OUTCOME_TRY(
        this->ReadToEnd(table, std::string(kOwnerPrefix), &this->owners, out));
    if (this->newest_first_requested)
      this->SplitOldAndRecent();
    int pages = this->options.max_pages;
    BOOST_OUTCOME_TRY(
        this->ReadTasks(table, &this->tasks, UINT64_MAX, &pages, out));
    if (pages == 0)
      return Ok();
    BOOST_OUTCOME_TRY(
        this->ReadTasks(table, &this->old_tasks, this->old_end, &pages, out));
    if (pages > 0)
      this->old_tasks = this->old_end;
    return Ok();
  }

  // True when every row that existed at the last Read() has been read.
  bool IsComplete() const {
    return !this->newest_first_requested && !this->recent_tasks_unread &&
           this->old_tasks >= this->old_end;
  }

 private:
  // Splits the unread task rows into those of the newest commits and the older
  // ones.
  void SplitOldAndRecent() {
    const uint64_t newest =
        std::max({this->workers, this->owners, this->tasks});
    const uint64_t recent = newest > this->options.recent_commits
                                ? newest - this->options.recent_commits
                                : 0;
    if (this->old_tasks >= this->old_end)
      this->old_tasks = this->tasks;
    this->old_end = std::max(this->tasks, recent);
    this->tasks = this->old_end;
    this->newest_first_requested = false;
  }

  template <Table T>
  Status ReadToEnd(T* table,
                   const std::string& prefix,
                   uint64_t* cursor,
                   std::vector<Row>* out) {
    for (;;) {
      BOOST_OUTCOME_TRY(page,
                        table->ScanSince(prefix, *cursor, this->options.page));
      const bool is_last =
          page.size() < static_cast<size_t>(this->options.page);
      this->AppendPage(std::move(page), UINT64_MAX, cursor, out);
      if (is_last)
        return Ok();
    }
  }

  // Reads task rows up to the version `end`, at most `*pages` pages, and
  // subtracts the pages that it reads. Leaves `*pages` at 1 or more when the
  // last page was not full, so that the caller can tell that no row is left.
  template <Table T>
  Status ReadTasks(T* table,
                   uint64_t* cursor,
                   uint64_t end,
                   int* pages,
                   std::vector<Row>* out) {
    this->recent_tasks_unread = end == UINT64_MAX;
    while (*pages > 0 && *cursor < end) {
      BOOST_OUTCOME_TRY(page, table->ScanSince(std::string(kTaskPrefix),
                                               *cursor, this->options.page));
      --*pages;
      const bool is_last =
          page.size() < static_cast<size_t>(this->options.page);
      this->AppendPage(std::move(page), end, cursor, out);
      if (!is_last)
        continue;
      *pages = std::max(*pages, 1);
      break;
    }
    if (*pages > 0)
      this->recent_tasks_unread = false;
    return Ok();
  }

  // Advances the cursor past the page and appends its rows to `out`, except
  // those above the version `end`, which were read before.
  void AppendPage(std::vector<Row> page,
                  uint64_t end,
                  uint64_t* cursor,
                  std::vector<Row>* out) {
    for (Row& row : page) {
      *cursor = std::max(*cursor, row.version);
      if (row.version > end)
        continue;
      out->push_back(std::move(row));
    }
  }

  FollowerOptions options;
  bool newest_first_requested = true;
  // True while task rows of the newest commits may be unread.
  bool recent_tasks_unread = true;
  // Versions up to which the rows of each kind have been read.
  uint64_t workers = 0;
  uint64_t owners = 0;
  uint64_t tasks = 0;
  // Task rows of versions above `old_tasks` and up to `old_end` are unread.
  uint64_t old_tasks = 0;
  uint64_t old_end = 0;
};

}  // namespace cuminjunction

#endif  // TASK_FOLLOWER_H_
