#ifndef TESTING_SUPPORT_EMULATED_WORKER_H_
#define TESTING_SUPPORT_EMULATED_WORKER_H_

// A worker's runtime with emulated tasks, without sockets or clocks: every call
// takes the time, which only grows.
//
//   EmulatedWorker worker({.name = "w1", .capacity = {16000, 60 << 10, 0}},
//                         &objects);
//   worker.Extend(now + absl::Seconds(600), now);
//   worker.Start(start, now);       // start.command is "sleep 2s"
//   worker.List(now + absl::Seconds(3));   // has ended
//
// Commands of tasks:
//   sleep DURATION       succeeds after that much progress
//   fail after DURATION  fails after that much progress
//   never starts         fails at once
//   forever, or nothing  runs until it is stopped
// followed by `cores N` and `memory_mib N` for the usage, which is otherwise
// the declared size. A task makes progress at the rate of its throttle; a
// checkpoint holds the progress, and a task that resumes goes on from there.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "table/object_store.h"
#include "table/runtime.h"

namespace cuminjunction {

// One attempt from its start to its end, for checks.
struct AttemptRecord {
  std::string task;
  uint32_t attempt = 0;
  std::string job;
  std::string worker;
  std::string boot_id;
  Size size;
  bool exclusive = true;
  absl::Time started;
  // InfiniteFuture while it runs.
  absl::Time ended = absl::InfiniteFuture();
  // "succeeded", "failed", "stopped", "lost" (VM failed) or "" while it runs.
  std::string end;
  // Progress in milliseconds at the start and at the end.
  int64_t resumed_ms = 0;
  int64_t progress_ms = 0;
};

// Pairs of attempts of one exclusive task that ran at the same time; empty
// unless promise P2 is broken.
std::vector<std::pair<AttemptRecord, AttemptRecord>> FindOverlaps(
    const std::vector<AttemptRecord>& records);

struct EmulatedWorkerOptions {
  std::string name;
  Size capacity;
  std::string rack;
  std::string failure_domain;
  std::string region;
  // How late usage figures are, in milliseconds.
  int64_t usage_lag_ms = 30000;
};

// Satisfies Runtime but for the time that each call takes. Not thread-safe.
class EmulatedWorker {
 public:
  // `objects` must outlive this object.
  EmulatedWorker(EmulatedWorkerOptions options, MemoryObjectStore* objects);

  Status Start(const TaskStart& start, absl::Time now);
  Status Stop(const std::string& task, uint32_t attempt, absl::Time now);
  Result<std::string> Checkpoint(const std::string& task,
                                 uint32_t attempt,
                                 absl::Time now);
  Status Throttle(const std::string& task,
                  uint32_t attempt,
                  double share,
                  absl::Time now);
  Status Extend(absl::Time deadline, absl::Time now);
  Result<RuntimeState> List(absl::Time now);
  Status Forget(const std::string& task, uint32_t attempt, absl::Time now);

  // The VM fails: what runs is lost, and calls fail until Boot().
  void Crash(absl::Time now);
  // The VM starts with a new boot id; after Crash() or at any time.
  void Boot(absl::Time now);
  // Starts fail from now on, or no longer.
  void FailStarts(bool fail) { this->fails_starts = fail; }
  // The object store can't be reached from here.
  void SetStoreDown(bool down) { this->store_down = down; }
  void SetUsageLag(int64_t lag_ms) { this->options.usage_lag_ms = lag_ms; }

  // Ends the attempts that are due by `now`.
  void Advance(absl::Time now);

  const EmulatedWorkerOptions& Options() const { return this->options; }
  const std::string& BootId() const { return this->boot_id; }
  const std::vector<AttemptRecord>& Records() const { return this->records; }
  // Starts that took the committed sizes above the capacity; 0 unless promise
  // P1 is broken.
  int64_t Overcommits() const { return this->overcommits; }

 private:
  struct Attempt {
    TaskStart start;
    size_t record = 0;
    // Progress at which it ends; nullopt for a task without an end.
    std::optional<int64_t> length_ms;
    AttemptEnd end = AttemptEnd::kSucceeded;
    Size usage;
    double progress_ms = 0;
    absl::Time progress_at;
    // Throttle from each time on.
    std::map<absl::Time, double> throttles;
  };

  Attempt* Find(const std::string& task, uint32_t attempt);
  Result<Attempt> MakeAttempt(const TaskStart& start, absl::Time now);
  double ProgressAt(const Attempt& attempt, absl::Time now) const;
  absl::Time FinishTime(const Attempt& attempt) const;
  RunningTask Report(const Attempt& attempt, absl::Time now) const;
  void End(Attempt* attempt, AttemptEnd end, absl::Time at);
  void Record(const Attempt& attempt, const std::string& end, absl::Time at);
  void CountOvercommit();

  EmulatedWorkerOptions options;
  MemoryObjectStore* objects;
  bool down = false;
  bool fails_starts = false;
  bool store_down = false;
  int boots = 0;
  std::string boot_id;
  absl::Time stop_deadline = absl::InfinitePast();
  std::map<std::string, Attempt> running;
  std::vector<EndedTask> ended;
  // The newest attempt of each task that was started since the boot.
  std::map<std::string, uint32_t> newest;
  std::vector<AttemptRecord> records;
  int64_t overcommits = 0;
};

}  // namespace cuminjunction

#endif  // TESTING_SUPPORT_EMULATED_WORKER_H_
