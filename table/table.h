#ifndef TABLE_TABLE_H_
#define TABLE_TABLE_H_

// The platform's transactional table.
//
// Rows are keyed strings. Each commit has a number that only grows, and a row's
// version is the number of the commit that wrote it. A transaction names the
// versions it expects and the rows it writes; it takes effect as a whole or not
// at all:
//
//   Result<Row> row = table.Read("worker/w1");
//   Transaction transaction;
//   transaction.id = "planner-7/42";
//   transaction.expects = {{"worker/w1", row.value().version}};
//   transaction.writes = {{"worker/w1", new_value}};
//   Result<uint64_t> committed = table.Commit(transaction);
//
// kUnknownOutcome means that the transaction may have taken effect or may still
// do so. The caller re-reads the rows, which are the truth, and decides anew;
// it never sends the same transaction again blindly. An expectation of a row's
// version makes a late effect harmless.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace cuminjunction {

enum class TableError {
  // An expectation did not hold. The transaction had no effect.
  kConflict = 1,
  // The table refused or could not be reached. No effect.
  kUnavailable,
  // The reply was lost or timed out. The transaction may have taken effect.
  kUnknownOutcome,
  // The row does not exist.
  kNotFound,
  // The request or the reply was malformed. No effect.
  kMalformed,
};

template <>
struct ErrorTraits<TableError> {
  static constexpr const char* kCategory = "table";
  static std::string_view Message(TableError error);
};

// A row. A deleted row is reported by ScanSince with `deleted` set and an empty
// value.
struct Row {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool deleted = false;

  auto operator<=>(const Row&) const = default;
};

// The version a row must have; 0 means that it must not exist.
struct Expectation {
  std::string key;
  uint64_t version = 0;

  auto operator<=>(const Expectation&) const = default;
};

// A new value of a row; nullopt deletes it.
struct RowWrite {
  std::string key;
  std::optional<std::string> value;

  auto operator<=>(const RowWrite&) const = default;
};

struct Transaction {
  std::string id;
  std::vector<Expectation> expects;
  std::vector<RowWrite> writes;

  bool operator==(const Transaction&) const = default;
};

// A table. Calls block; each caller uses it on a thread of its own. Errors are
// TableError.
//   Read(key): the row; kNotFound when absent.
//   ScanSince(prefix, version, limit): the rows, deleted ones included, whose
//     key begins with `prefix` and whose version is above `version`, in the
//     order of their versions, at most `limit`.
//   Commit(transaction): the version of the commit.
template <class T>
concept Table = requires(T& table,
                         const std::string& key,
                         uint64_t version,
                         int limit,
                         const Transaction& transaction) {
  { table.Read(key) } -> std::same_as<Result<Row>>;
  {
    table.ScanSince(key, version, limit)
    } -> std::same_as<Result<std::vector<Row>>>;
  { table.Commit(transaction) } -> std::same_as<Result<uint64_t>>;
};

}  // namespace cuminjunction

#endif  // TABLE_TABLE_H_
