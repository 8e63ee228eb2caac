#ifndef TASK_FOLLOWER_H_
#define TASK_FOLLOWER_H_

// Reads the rows of the task core as they change.
//
//   Follower follower(options);
//   follower.TakeOver();                       // another process planned
//   before Status read = follower.Read(&table, &rows); if
//   (follower.IsComplete()) ...
//
// After a take-over, the rows of workers and of jobs and services are read
// first, then the tasks of the newest commits, among which the waiting ones
// are, and then the older ones. So urgent work starts long before 17,800 rows
// have been read.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "table/table.h"
#include "task/row.h"

namespace cuminjunction {

struct FollowerOptions {
  // Rows of a page, and pages of a call. Two calls a second with two pages each
  // keep within the store's 2,000 reads a second.
  int page = 500;
  int most_pages = 2;
  // The number of newest commits whose tasks are read first.
  uint64_t recent_commits = 4000;
};

class Follower {
 public:
  explicit Follower(const FollowerOptions& options) : options(options) {}

  // The rows may have changed a lot since the last read.
  void TakeOver() { this->starting = true; }

  // Reads the next pages. Rows that were read before an error are kept in `out`
  // and not read again. Fails with the table's error.
  template <Table T>
  Status Read(T* table, std::vector<Row>* out) {
    // Workers and owners are few, so they are read to their end each time.
    BOOST_OUTCOME_TRY(this->ReadToEnd(table, std::string(kWorkerPrefix),
                                      &this->workers, out));
    BOOST_OUTCOME_TRY(
        this->ReadToEnd(table, std::string(kOwnerPrefix), &this->owners, out));
    if (this->starting)
      this->StartWithRecent();
    int pages = this->options.most_pages;
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

  // True when every row up to the last call was read.
  bool IsComplete() const {
    return !this->starting && !this->behind && this->old_tasks >= this->old_end;
  }

 private:
  // Divides the tasks that were not read yet into the newest ones and the rest.
  void StartWithRecent() {
    const uint64_t newest =
        std::max({this->workers, this->owners, this->tasks});
    const uint64_t recent = newest > this->options.recent_commits
                                ? newest - this->options.recent_commits
                                : 0;
    if (this->old_tasks >= this->old_end)
      this->old_tasks = this->tasks;
    this->old_end = std::max(this->tasks, recent);
    this->tasks = this->old_end;
    this->starting = false;
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
      this->Take(std::move(page), UINT64_MAX, cursor, out);
      if (is_last)
        return Ok();
    }
  }

  // Reads tasks up to the version `end`. Leaves at least one page when it got
  // there.
  template <Table T>
  Status ReadTasks(T* table,
                   uint64_t* cursor,
                   uint64_t end,
                   int* pages,
                   std::vector<Row>* out) {
    this->behind = end == UINT64_MAX;
    while (*pages > 0 && *cursor < end) {
      BOOST_OUTCOME_TRY(page, table->ScanSince(std::string(kTaskPrefix),
                                               *cursor, this->options.page));
      --*pages;
      const bool is_last =
          page.size() < static_cast<size_t>(this->options.page);
      this->Take(std::move(page), end, cursor, out);
      if (!is_last)
        continue;
      *pages = std::max(*pages, 1);
      break;
    }
    if (*pages > 0)
      this->behind = false;
    return Ok();
  }

  // Rows above the version `end` were read before.
  void Take(std::vector<Row> page,
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
  bool starting = true;
  // Tasks of the newest commits were not read to their end.
  bool behind = true;
  uint64_t workers = 0;
  uint64_t owners = 0;
  uint64_t tasks = 0;
  // Tasks of versions above `old_tasks` and up to `old_end` are still unread.
  uint64_t old_tasks = 0;
  uint64_t old_end = 0;
};

}  // namespace cuminjunction

#endif  // TASK_FOLLOWER_H_
