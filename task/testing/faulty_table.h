#ifndef TASK_TESTING_FAULTY_TABLE_H_
#define TASK_TESTING_FAULTY_TABLE_H_

// One process's view of the shared table, with faults.

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "table/memory_table.h"

namespace cuminjunction {

class FaultyTable {
 public:
  explicit FaultyTable(MemoryTable* table) : table(table) {}

  Result<Row> Read(const std::string& key) {
    if (this->Enter())
      return TableError::kUnavailable;
    return this->table->Read(key);
  }

  Result<std::vector<Row>> ScanSince(const std::string& prefix,
                                     uint64_t version,
                                     int limit) {
    if (this->Enter())
      return TableError::kUnavailable;
    return this->table->ScanSince(prefix, version, limit);
  }

  Result<uint64_t> Commit(const Transaction& transaction) {
    if (this->Enter())
      return TableError::kUnavailable;
    if (this->late_commits > 0) {
      --this->late_commits;
      this->delay(transaction);
      return TableError::kUnknownOutcome;
    }
    const Result<uint64_t> committed = this->table->Commit(transaction);
    if (this->lost_replies > 0) {
      --this->lost_replies;
      return TableError::kUnknownOutcome;
    }
    return committed;
  }

  // Called at the begin of each call, which may take long.
  std::function<void()> on_call;
  // Takes a transaction that is to take effect later.
  std::function<void(const Transaction&)> delay;
  // True while the store is down for this process.
  std::function<bool()> is_down;
  // Numbers of coming calls that are unavailable, of commits whose reply is
  // lost, and of commits that take effect later.
  int failing_calls = 0;
  int lost_replies = 0;
  int late_commits = 0;

 private:
  // True when the call fails.
  bool Enter() {
    if (this->on_call)
      this->on_call();
    if (this->failing_calls > 0) {
      --this->failing_calls;
      return true;
    }
    return this->is_down && this->is_down();
  }

  MemoryTable* table;
};

}  // namespace cuminjunction

#endif  // TASK_TESTING_FAULTY_TABLE_H_
