#include "fleet/commit_batch.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

namespace cuminjunction {

namespace {

// The platform accepts 100 entries and 1 MB in a transaction. The values are
// sent as base64, which adds a third.
constexpr size_t kMaxEntries = 96;
constexpr size_t kMaxValueBytes = 600'000;

size_t EntryCount(const StoreCommit& commit) {
  return commit.expects.size() + commit.puts.size() + commit.removes.size();
}

size_t ValueBytes(const StoreCommit& commit) {
  size_t bytes = 0;
  for (const StorePut& put : commit.puts)
    bytes += put.value.size();
  return bytes;
}

// Calls `visit(table, key)` for each row that the commit names, until it
// returns true, and returns whether it did.
template <class Visit>
bool AnyRow(const StoreCommit& commit, Visit visit) {
  const auto visit_row = [&](const auto& row) {
    return visit(row.table, row.key);
  };
  return std::any_of(commit.expects.begin(), commit.expects.end(), visit_row) ||
         std::any_of(commit.puts.begin(), commit.puts.end(), visit_row) ||
         std::any_of(commit.removes.begin(), commit.removes.end(), visit_row);
}

bool Names(const StoreCommit& commit,
           const std::string& table,
           const std::string& key) {
  return AnyRow(commit, [&](const std::string& other_table,
                            const std::string& other_key) {
    return other_key == key && other_table == table;
  });
}

}  // namespace

bool CanMerge(const StoreCommit& batch, const StoreCommit& commit) {
  if (EntryCount(batch) == 0)
    return true;
  return EntryCount(batch) + EntryCount(commit) <= kMaxEntries &&
         ValueBytes(batch) + ValueBytes(commit) <= kMaxValueBytes &&
         !AnyRow(commit, [&](const std::string& table, const std::string& key) {
           return Names(batch, table, key);
         });
}

void Merge(const StoreCommit& commit, StoreCommit* batch) {
  batch->expects.insert(batch->expects.end(), commit.expects.begin(),
                        commit.expects.end());
  batch->puts.insert(batch->puts.end(), commit.puts.begin(), commit.puts.end());
  batch->removes.insert(batch->removes.end(), commit.removes.begin(),
                        commit.removes.end());
}

bool HasConflict(const StoreCommit& commit, const std::vector<StoreRow>& rows) {
  return std::any_of(
      commit.expects.begin(), commit.expects.end(),
      [&](const StoreExpect& expect) {
        const auto found =
            std::find_if(rows.begin(), rows.end(), [&](const StoreRow& row) {
              return row.table == expect.table && row.key == expect.key;
            });
        const int64_t version = found == rows.end() ? 0 : found->version;
        return version != expect.version;
      });
}

CommitReply ReplyTo(const StoreCommit& commit, const CommitReply& batch_reply) {
  CommitReply reply;
  reply.error = batch_reply.error;
  reply.version = batch_reply.version;
  reply.resent = batch_reply.resent;
  for (const StoreRow& row : batch_reply.rows) {
    if (std::any_of(commit.expects.begin(), commit.expects.end(),
                    [&](const StoreExpect& expect) {
                      return expect.table == row.table && expect.key == row.key;
                    }))
      reply.rows.push_back(row);
  }
  return reply;
}

}  // namespace cuminjunction
