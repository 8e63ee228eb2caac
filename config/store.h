#ifndef CONFIG_STORE_H_
#define CONFIG_STORE_H_

// The configuration in the platform's table.
//
//   ConfigStore<HttpTable> store(&table);
//   Change other;
//   Result<uint64_t> version = store.Accept(submission, now, &other);
//   if (!version && version.error() == ConfigError::kConflict)
//     ...   // `other` is the change that came first
//
// Every change writes config/head and expects the head it is based on, so of
// two changes on one base at most one is accepted, however late a transaction
// takes effect. A change on base B becomes version B + 1 or never, so the
// history row B + 1 settles what a lost reply left open.

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

// Rows that are read at a time.
inline constexpr int kConfigPageRows = 500;
// Times that a transaction with a lost reply is sent again.
inline constexpr int kMaxSettleRounds = 3;

// How far a reader has followed the table.
struct StoreCursor {
  uint64_t table_version = 0;
  uint64_t config_version = 0;

  auto operator<=>(const StoreCursor&) const = default;
};

// A document that an operator submits. It must have been checked.
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
  // Fails with kDamagedRow.
  Status Add(const Row& row);

  // The delta from `cursor` to the head that was read.
  Result<Delta> Finish(const StoreCursor& cursor) const;
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

// Reads what changed since the cursor and moves it. Returns nullopt when
// nothing did. The delta ends at a version that was the head, even when changes
// are accepted meanwhile, because every change writes the head and rows come in
// the order of commits. Fails with kUnavailable or kDamagedRow; the cursor
// stays then.
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
  uint64_t seen = cursor->table_version;
  for (;;) {
    const Result<std::vector<Row>> page =
        table->ScanSince(kConfigPrefix, seen, kConfigPageRows);
    if (!page)
      return ConfigError::kUnavailable;
    for (const Row& row : page.value()) {
      BOOST_OUTCOME_TRYV(builder.Add(row));
      seen = row.version;
    }
    if (page.value().size() < static_cast<size_t>(kConfigPageRows))
      break;
  }
  BOOST_OUTCOME_TRY(delta, builder.Finish(*cursor));
  *cursor = {builder.TableVersion(), delta.to};
  return std::optional<Delta>(std::move(delta));
}

// Accepts changes. Not thread-safe; blocks as the table does.
template <Table T>
class ConfigStore {
 public:
  // `table` must outlive this object.
  explicit ConfigStore(T* table) : table(table) {}

  // The configuration as the store has it. Fails with kUnavailable or
  // kDamagedRow. The pointer is valid until the next call.
  Result<const ConfigState*> Load() {
    BOOST_OUTCOME_TRYV(this->Refresh());
    return &this->state;
  }

  // Accepts a change and returns its version; the version held when the change
  // changes nothing. Fails with kConflict, when another change has the base
  // already, which `other` then describes; with kUnavailable, when the change
  // certainly has no effect; with kUnknownOutcome, when Settle() must tell
  // later.
  Result<uint64_t> Accept(const DocumentChange& submission,
                          absl::Time now,
                          Change* other) {
    if (!this->Refresh())
      return ConfigError::kUnavailable;
    if (this->state.Version() != submission.base) {
      const Result<uint64_t> settled = this->Settle(submission, other);
      if (settled || settled.error() != ConfigError::kUnknownOutcome)
        return settled;
      // A base above the head is a conflict with what the head is.
      BOOST_OUTCOME_TRY(head, this->ReadHead());
      *other = DescribeHead(head);
      return ConfigError::kConflict;
    }
    const SectionDiff diff =
        DiffSections(this->state.Texts(), ToSections(submission.document));
    if (diff.IsEmpty())
      return submission.base;
    return this->CommitAndSettle(
        config_internal::MakeTransaction(
            this->state, this->cursor.table_version, diff, submission, now),
        submission, other);
  }

  // What became of a submission whose outcome was unknown: its version; or
  // kConflict, when another change took its place, so that it never takes
  // effect; or kUnknownOutcome, when the base is still the head; or
  // kUnavailable.
  Result<uint64_t> Settle(const DocumentChange& submission, Change* other) {
    // The head comes first: a change that is accepted between the two reads is
    // then unknown and not taken for another one.
    const Result<ConfigHead> head = this->ReadHead();
    if (!head)
      return head.error();
    if (head.value().version <= submission.base)
      return ConfigError::kUnknownOutcome;
    const Result<Change> next = this->ReadChange(submission.base + 1);
    if (!next && next.error() == TableError::kNotFound) {
      // Dropped from the history for its age.
      *other = DescribeHead(head.value());
      return ConfigError::kConflict;
    }
    if (!next)
      return ConfigError::kUnavailable;
    if (next.value().change_id == submission.change_id)
      return next.value().version;
    *other = next.value();
    return ConfigError::kConflict;
  }

  // The last changes, newest first, at most `limit`.
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
    // The copy held here or the rows are damaged: read all of them anew.
    this->cursor = {};
    this->state = {};
    return applied.error();
  }

  Result<Change> ReadChange(uint64_t version) {
    BOOST_OUTCOME_TRY(row, this->table->Read(HistoryKey(version)));
    return Decode<Change>(row.value);
  }

  // The head; version 0 when nothing was accepted yet.
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

  // Sends the transaction until its outcome is known. It may be sent again,
  // since it expects the head of its base: at most one of the copies takes
  // effect.
  Result<uint64_t> CommitAndSettle(const Transaction& transaction,
                                   const DocumentChange& submission,
                                   Change* other) {
    bool maybe_sent = false;
    for (int round = 0; round < kMaxSettleRounds; ++round) {
      const Result<uint64_t> committed = this->table->Commit(transaction);
      if (committed)
        return submission.base + 1;
      if (committed.error() != TableError::kConflict &&
          committed.error() != TableError::kUnknownOutcome) {
        return maybe_sent ? ConfigError::kUnknownOutcome
                          : ConfigError::kUnavailable;
      }
      maybe_sent = true;
      const Result<uint64_t> settled = this->Settle(submission, other);
      if (settled || settled.error() == ConfigError::kConflict)
        return settled;
    }
    return ConfigError::kUnknownOutcome;
  }

  T* table;
  StoreCursor cursor;
  ConfigState state;
};

}  // namespace cuminjunction

#endif  // CONFIG_STORE_H_
