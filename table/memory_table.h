#ifndef TABLE_MEMORY_TABLE_H_
#define TABLE_MEMORY_TABLE_H_

// A table in memory, for tests, benches and the platform stand-in.

#include <map>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "table/table.h"

namespace cuminjunction {

// Callable from any thread.
class MemoryTable {
 public:
  Result<Row> Read(const std::string& key);
  Result<std::vector<Row>> ScanSince(const std::string& prefix,
                                     uint64_t version,
                                     int limit);
  Result<uint64_t> Commit(const Transaction& transaction);

 private:
  absl::Mutex mutex;
  std::map<std::string, Row> rows;
  // Keys by the version that wrote them last, so that a scan reads only what
  // changed.
  std::map<uint64_t, std::vector<std::string>> keys_by_version;
  uint64_t last_version = 0;
};

}  // namespace cuminjunction

#endif  // TABLE_MEMORY_TABLE_H_
