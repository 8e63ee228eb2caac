#include "table/memory_table.h"

#include <algorithm>

namespace cuminjunction {

std::string_view ErrorTraits<TableError>::Message(TableError error) {
  switch (error) {
    case TableError::kConflict:
      return "a row has another version than expected";
    case TableError::kUnavailable:
      return "table is unavailable";
    case TableError::kUnknownOutcome:
      return "outcome of the transaction is unknown";
    case TableError::kNotFound:
      return "row does not exist";
    case TableError::kMalformed:
      return "request or reply of the table is malformed";
  }
  return "unknown table error";
}

Result<Row> MemoryTable::Read(const std::string& key) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->rows.find(key);
  if (found == this->rows.end() || found->second.deleted)
    return TableError::kNotFound;
  return found->second;
}

Result<std::vector<Row>> MemoryTable::ScanSince(const std::string& prefix,
                                                uint64_t version,
                                                int limit) {
  absl::MutexLock lock(&this->mutex);
  std::vector<Row> out;
  for (auto it = this->keys_by_version.upper_bound(version);
       it != this->keys_by_version.end(); ++it) {
    // A commit's rows are not divided between two pages: a reader goes on from
    // the last version it saw and would miss the rest.
    if (static_cast<int>(out.size()) >= limit)
      break;
    for (const std::string& key : it->second) {
      if (key.starts_with(prefix))
        out.push_back(this->rows.at(key));
    }
  }
  return out;
}

Result<uint64_t> MemoryTable::Commit(const Transaction& transaction) {
  absl::MutexLock lock(&this->mutex);
  for (const Expectation& expectation : transaction.expects) {
    const auto found = this->rows.find(expectation.key);
    const bool present = found != this->rows.end() && !found->second.deleted;
    if ((present ? found->second.version : 0) != expectation.version)
      return TableError::kConflict;
  }
  const uint64_t version = ++this->last_version;
  for (const RowWrite& write : transaction.writes) {
    Row& row = this->rows[write.key];
    if (row.version != 0) {
      auto& keys = this->keys_by_version[row.version];
      std::erase(keys, write.key);
      if (keys.empty())
        this->keys_by_version.erase(row.version);
    }
    row = {write.key, write.value.value_or(""), version, !write.value};
    this->keys_by_version[version].push_back(write.key);
  }
  return version;
}

}  // namespace cuminjunction
