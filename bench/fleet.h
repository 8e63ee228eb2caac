#ifndef BENCH_FLEET_H_
#define BENCH_FLEET_H_

// A fleet at the target size for bench_place: rows of workers and tasks, agents
// that only write rows, and a store that takes 300 rows a second. All times are
// virtual.

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "table/memory_table.h"
#include "task/transitions.h"

namespace cuminjunction {

// Processor time of the calling thread in seconds.
double ThreadSeconds();

// A table in memory whose commits take the time that a store of a limited write
// rate needs. It adds up the processor time spent within, which is the store's
// and not the caller's.
class PacedTable {
 public:
  PacedTable(MemoryTable* table, const ManualClock* clock)
      : table(table), clock(clock) {}

  Result<Row> Read(const std::string& key);
  Result<std::vector<Row>> ScanSince(const std::string& prefix,
                                     uint64_t version,
                                     int limit);
  Result<uint64_t> Commit(const Transaction& transaction);

  // When everything committed until now is done.
  absl::Time DoneAt() const { return this->done_at; }
  double StoreSeconds() const { return this->store_seconds; }
  int64_t RowsWritten() const { return this->rows_written; }

 private:
  MemoryTable* table;
  const ManualClock* clock;
  absl::Time done_at = absl::InfinitePast();
  double store_seconds = 0;
  int64_t rows_written = 0;
};

struct FleetOptions {
  int workers = 800;
  int accelerators = 1900;
  int accounts = 82;
  int services = 6000;
  int batch = 11000;
  double starts_per_second = 44;
  double urgent_per_second = 4;
  uint64_t seed = 1;
};

class Fleet {
 public:
  Fleet(const FleetOptions& options,
        const TaskCharts* charts,
        MemoryTable* rows,
        PacedTable* table,
        const ManualClock* clock);

  // Writes the rows of the workers and of what runs, without taking time.
  void Fill();

  // Adds batch tasks that wait, without taking time.
  void Flood(int tasks);

  // Agents renew leases, start, end and checkpoint what is due, and new tasks
  // arrive.
  void Step(absl::Duration step);

  // Seconds from an urgent task's creation until its worker started it.
  const std::vector<double>& UrgentStarts() const {
    return this->urgent_starts;
  }
  int64_t Starts() const { return this->starts; }
  int64_t Evictions() const { return this->evictions; }
  void ForgetStarts();

  // A task that the planner's decision is timed on.
  TaskRow MakeTask(Urgency urgency);

 private:
  struct Event {
    absl::Time time;
    std::string task;
    uint32_t attempt = 0;
    bool checkpointed = false;

    bool operator>(const Event& other) const { return this->time > other.time; }
  };

  void FillWorkers();
  void FillTasks(int count, TaskKind kind, Urgency urgency);
  void Arrive(absl::Duration step);
  void Renew(absl::Duration step);
  void TakeAssignments();
  void TakeTask(const TaskRow& task);
  void EndDue();
  void End(const Event& event);
  bool Commit(const Batch& batch);
  Batch NewBatch();

  FleetOptions options;
  const TaskCharts* charts;
  MemoryTable* rows;
  PacedTable* table;
  const ManualClock* clock;
  std::mt19937_64 random;
  std::vector<WorkerRow> initial;
  std::map<std::string, uint32_t> started;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<double> urgent_starts;
  uint64_t cursor = 0;
  uint64_t next_task = 0;
  uint64_t transactions = 0;
  int64_t starts = 0;
  int64_t evictions = 0;
  double arrivals = 0;
  double urgent_arrivals = 0;
  double renewals = 0;
  size_t next_renewal = 0;
};

}  // namespace cuminjunction

#endif  // BENCH_FLEET_H_
