#ifndef TESTING_SUPPORT_REPLAY_TABLE_H_
#define TESTING_SUPPORT_REPLAY_TABLE_H_

// A table in memory whose faults a trace switches on and off.

#include <string>
#include <vector>

#include "table/memory_table.h"

namespace cuminjunction {

// Satisfies Table.
class ReplayTable {
 public:
  // While it is down every call fails without effect.
  bool down = false;
  // The replies of so many commits that follow are lost after they took effect.
  int lost_replies = 0;

  Result<Row> Read(const std::string& key) {
    if (this->down)
      return TableError::kUnavailable;
    return this->table.Read(key);
  }

  Result<std::vector<Row>> ScanSince(const std::string& prefix,
                                     uint64_t version,
                                     int limit) {
    if (this->down)
      return TableError::kUnavailable;
    return this->table.ScanSince(prefix, version, limit);
  }

  Result<uint64_t> Commit(const Transaction& transaction) {
    if (this->down)
      return TableError::kUnavailable;
    const Result<uint64_t> committed = this->table.Commit(transaction);
    if (this->lost_replies == 0)
      return committed;
    --this->lost_replies;
    return TableError::kUnknownOutcome;
  }

  // The table without faults.
  MemoryTable& Truth() { return this->table; }

 private:
  MemoryTable table;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_REPLAY_TABLE_H_
