#ifndef TESTING_SUPPORT_FAULTY_STORE_H_
#define TESTING_SUPPORT_FAULTY_STORE_H_

// Faults of the platform's table and object store, with seeded randomness and
// without sockets or clocks: the caller passes the time.
//
//   FaultyTable table(seed);
//   table.SetFaults({.lost_reply_share = 0.1});
//   table.SetNow(now);
//   Result<uint64_t> committed = table.Commit(transaction);
//   absl::Time reply_arrives = table.ReplyAt();
//
// The platform stand-in serves the same faults over HTTP.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "table/memory_table.h"
#include "table/table.h"

namespace cuminjunction {

struct StoreFaults {
  // Refuses everything without effect.
  bool down = false;
  // Added to each call, in milliseconds.
  int64_t delay_ms = 0;
  // Share of writes whose reply is lost after they took effect, 0 to 1.
  double lost_reply_share = 0;
  // Share of writes without a reply that take effect `late_write_ms` later.
  double late_write_share = 0;
  int64_t late_write_ms = 2000;
  // Rows a second; above them calls are delayed.
  int64_t writes_per_second = 300;
  int64_t reads_per_second = 2000;

  bool operator==(const StoreFaults&) const = default;
};

// What happens to one call.
enum class CallFate {
  kNormal,
  // No effect, and the caller is told so.
  kRefused,
  // Takes effect, but the reply is lost.
  kReplyLost,
  // The reply is lost and the effect comes later.
  kLate,
};

struct CallDecision {
  CallFate fate = CallFate::kNormal;
  // When the call takes effect and its reply leaves.
  absl::Time when;
};

// Decides the fate of calls. Not thread-safe.
class StoreFaultPlan {
 public:
  explicit StoreFaultPlan(uint64_t seed) : random(seed) {}

  void SetFaults(const StoreFaults& faults) { this->faults = faults; }
  const StoreFaults& Faults() const { return this->faults; }

  // A read that returns `rows` rows. Never kReplyLost or kLate.
  CallDecision Read(int64_t rows, absl::Time now);
  // A write of `rows` rows.
  CallDecision Write(int64_t rows, absl::Time now);

 private:
  double Draw();

  StoreFaults faults;
  std::mt19937_64 random;
  // When the calls admitted so far are within the limits.
  absl::Time reads_busy_until = absl::InfinitePast();
  absl::Time writes_busy_until = absl::InfinitePast();
};

// A table in memory with faults. Satisfies Table. Not thread-safe.
class FaultyTable {
 public:
  explicit FaultyTable(uint64_t seed) : plan(seed) {}

  void SetFaults(const StoreFaults& faults) { this->plan.SetFaults(faults); }
  const StoreFaults& Faults() const { return this->plan.Faults(); }

  // Sets the time of the calls that follow; late writes that are due by then
  // take effect.
  void SetNow(absl::Time now);

  // When the reply of the last call reaches its caller.
  absl::Time ReplyAt() const { return this->reply_at; }

  Result<Row> Read(const std::string& key);
  Result<std::vector<Row>> ScanSince(const std::string& prefix,
                                     uint64_t version,
                                     int limit);
  Result<uint64_t> Commit(const Transaction& transaction);

  // The table without faults, for checks.
  MemoryTable& Truth() { return this->table; }

 private:
  StoreFaultPlan plan;
  MemoryTable table;
  absl::Time now = absl::UnixEpoch();
  absl::Time reply_at = absl::UnixEpoch();
  std::multimap<absl::Time, Transaction> late;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_FAULTY_STORE_H_
