#ifndef CONFIG_STORE_H_
#define CONFIG_STORE_H_

// Reads and changes the configuration in the platform's table.
//
//   ConfigStore<HttpTable> store(&table);
//   Change conflicting;
//   Result<uint64_t> version = store.Accept(submission, now, &conflicting);
//   if (!version && version.error() == ConfigError::kConflict)
//     ...   // `conflicting` was accepted first
//
// Every change writes config/head and expects the head it is based on, so at
// most one of several changes on the same base is accepted, no matter how late
// a transaction takes effect. A change on base B becomes version B + 1 or is
// never accepted, so the history row B + 1 determines the outcome after a lost
// reply.

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/document.h"
#include "config/rows.h"
#include "config/sections.h"
#include "config/state.h"
#include "table/table.h"

namespace cuminjunction {

// Rows per page of a scan.
inline constexpr int kConfigPageRows = 500;
// Maximum number of times that a transaction is sent when its reply is lost.
inline constexpr int kMaxCommitAttempts = 3;

// The position of a reader in the table.
struct StoreCursor {
  uint64_t table_version = 0;
  uint64_t config_version = 0;

  auto operator<=>(const StoreCursor&) const = default;
};

// A document that an operator submits. The caller must have checked it.
struct DocumentChange {
  Document document;
  // The version it is based on; 0 for the first one.
  uint64_t base = 0;
  std::string operator_name;
  // Unique; the same for each attempt to submit the same change.
  std::string change_id;
};

namespace config_internal {

// Collects the rows of a scan. Later rows replace earlier ones, since a commit
// between two pages may write a section again.
class UpdateBuilder {
 public:
  // Adds a row of the scan. Fails with kDamagedRow.
  Status Add(const Row& row);

  // Returns the delta from `cursor` to the head that was read. Fails with
  // kDamagedRow when the scan contained no head.
  Result<Delta> Build(const StoreCursor& cursor) const;
  uint64_t TableVersion() const { return this->table_version; }

 private:
  std::optional<ConfigHead> head;
  std::map<std::string, Section> changed;
  std::set<std::string> removed;
  uint64_t table_version = 0;
};

// The transaction that makes `next` version state.Version() + 1.
Transaction MakeTransaction(const ConfigState& state,
                            uint64_t head_table_version,
                            const SectionDiff& diff,
                            const DocumentChange& submission,
                            absl::Time now);

}  // namespace config_internal

// Reads the changes since the cursor and advances it. Returns nullopt when
// there are none. The delta ends at a version that was the head, even when
// changes are accepted during the scan, because every change writes the head
// and rows are returned in commit order. Fails with kUnavailable or
// kDamagedRow; the cursor is then unchanged.
template <Table T>
Result<std::optional<Delta>> ReadStore(T* table, StoreCursor* cursor) {
  const Result<Row> head = table->Read(kHeadKey);
  if (!head && head.error() == TableError::kNotFound)
    return std::optional<Delta>();
  if (!head)
    return ConfigError::kUnavailable;
  if (head.value().version <= cursor->table_version)
    return std::optional<Delta>();
  config_internal::UpdateBuilder builder;
  uint64_t last_version = cursor->table_version;
  for (;;) {
    const Result<std::vector<Row>> page =
        table->ScanSince(kConfigPrefix, last_version, kConfigPageRows);
    if (!page)
      return ConfigError::kUnavailable;
    for (const Row& row : page.value()) {
      BOOST_OUTCOME_TRYV(builder.Add(row));
      last_version = row.version;
    }
    if (page.value().size() < static_cast<size_t>(kConfigPageRows))
      break;
  }
  BOOST_OUTCOME_TRY(delta, builder.Build(*cursor));
  *cursor = {builder.TableVersion(), delta.to};
  return std::optional<Delta>(std::move(delta));
}

// Accepts changes. Not thread-safe. Calls block while the table does.
template <Table T>
class ConfigStore {
 public:
  // `table` must outlive this object.
  explicit ConfigStore(T* table) : table(table) {}

  // Reads the configuration from the store. Fails with kUnavailable or
  // kDamagedRow. The pointer is valid until the next call.
  Result<const ConfigState*> Load() {
    BOOST_OUTCOME_TRYV(this->Refresh());
    return &this->state;
  }

  // Accepts a change and returns its version, or the base version when the
  // document is unchanged. Fails with
  // - kConflict when another change on this base was accepted, which
  //   `conflicting` then describes,
  // - kUnavailable when the change certainly has no effect,
  // - kUnknownOutcome when ResolveOutcome() must determine the outcome later.
  Result<uint64_t> Accept(const DocumentChange& submission,
                          absl::Time now,
                          Change* conflicting) {
    if (!this->Refresh())
      return ConfigError::kUnavailable;
    if (this->state.Version() != submission.base) {
      const Result<uint64_t> resolved =
          this->ResolveOutcome(submission, conflicting);
      if (resolved || resolved.error() != ConfigError::kUnknownOutcome)
        return resolved;
      // A base above the head is a conflict with the head.
      BOOST_OUTCOME_TRY(head, this->ReadHead());
      *conflicting = DescribeHead(head);
      return ConfigError::kConflict;
    }
    const SectionDiff diff =
        DiffSections(this->state.Texts(), ToSections(submission.document));
    if (diff.IsEmpty())
      return submission.base;
    return this->CommitAndResolve(
        config_internal::MakeTransaction(
            this->state, this->cursor.table_version, diff, submission, now),
        submission, conflicting);
  }

  // Determines the outcome of a submission. Returns its version if it was
  // accepted. Fails with
  // - kConflict when another change on this base was accepted, so that this one
  //   never takes effect; `conflicting` then describes it,
  // - kUnknownOutcome while the base is still the head,
  // - kUnavailable when the store can't be read.
  Result<uint64_t> ResolveOutcome(const DocumentChange& submission,
                                  Change* conflicting) {
    // The head must be read first: if the change is accepted between the two
    // reads, the outcome is then unknown instead of a false conflict.
    const Result<ConfigHead> head = this->ReadHead();
    if (!head)
      return head.error();
    if (head.value().version <= submission.base)
      return ConfigError::kUnknownOutcome;
    const Result<Change> next = this->ReadChange(submission.base + 1);
    if (!next && next.error() == TableError::kNotFound) {
      // The row is older than the retained history.
      *conflicting = DescribeHead(head.value());
      return ConfigError::kConflict;
    }
    if (!next)
      return ConfigError::kUnavailable;
    if (next.value().change_id == submission.change_id)
      return next.value().version;
    *conflicting = next.value();
    return ConfigError::kConflict;
  }

  // Returns at most `limit` of the latest changes, newest first.
  Result<std::vector<Change>> History(int limit) {
    std::vector<Change> out;
    BOOST_OUTCOME_TRY(head, this->ReadHead());
    for (uint64_t version = head.version;
         version > 0 && static_cast<int>(out.size()) < limit; --version) {
      Result<Change> change = this->ReadChange(version);
      if (!change && change.error() == TableError::kNotFound)
        break;
      if (!change)
        return ConfigError::kUnavailable;
      out.push_back(std::move(change).value());
    }
    return out;
  }

 private:
  Status Refresh() {
    Result<std::optional<Delta>> delta = ReadStore(this->table, &this->cursor);
    if (!delta)
      return delta.error();
    if (!delta.value())
      return Ok();
    const Result<bool> applied = this->state.Apply(*delta.value());
    if (applied)
      return Ok();
    // The local copy or the rows are damaged; the next call reads all rows.
    this->cursor = {};
    this->state = {};
    return applied.error();
  }

  Result<Change> ReadChange(uint64_t version) {
    BOOST_OUTCOME_TRY(row, this->table->Read(HistoryKey(version)));
    return Decode<Change>(row.value);
  }

  // Returns the head, with version 0 when no change was accepted yet.
  Result<ConfigHead> ReadHead() {
    const Result<Row> row = this->table->Read(kHeadKey);
    if (!row && row.error() == TableError::kNotFound)
      return ConfigHead{};
    if (!row)
      return ConfigError::kUnavailable;
    const Result<ConfigHead> head = Decode<ConfigHead>(row.value().value);
    if (!head)
      return ConfigError::kDamagedRow;
    return head.value();
  }

  static Change DescribeHead(const ConfigHead& head) {
    return {
        head.version, head.operator_name, head.time_us, head.change_id, {}, 0};
  }

  // Sends the transaction until its outcome is known, at most
  // kMaxCommitAttempts times. Sending it again is safe: each copy expects the
  // head of its base, so at most one of them takes effect.
  Result<uint64_t> CommitAndResolve(const Transaction& transaction,
                                    const DocumentChange& submission,
                                    Change* conflicting) {
    bool maybe_sent = false;
    for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
      const Result<uint64_t> committed = this->table->Commit(transaction);
      if (committed)
        return submission.base + 1;
      if (committed.error() != TableError::kConflict &&
          committed.error() != TableError::kUnknownOutcome) {
        return maybe_sent ? ConfigError::kUnknownOutcome
                          : ConfigError::kUnavailable;
      }
      maybe_sent = true;
      const Result<uint64_t> resolved =
          this->ResolveOutcome(submission, conflicting);
      if (resolved || resolved.error() == ConfigError::kConflict)
        return resolved;
    }
    return ConfigError::kUnknownOutcome;
  }

  T* table;
  StoreCursor cursor;
  ConfigState state;
};

}  // namespace cuminjunction

#endif  // CONFIG_STORE_H_
