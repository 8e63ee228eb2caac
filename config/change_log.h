#ifndef CONFIG_CHANGE_LOG_H_
#define CONFIG_CHANGE_LOG_H_

// Tracks the state of the changes that were submitted at this entry. The state
// machine is the chart charts/config.yaml.
//
//   ChangeLog log(chart);
//   log.Submit("c1");
//   log.OnCheck("c1", document.has_value());
//   log.OnCommit("c1", store.Accept(...));    // and again after
//   ResolveOutcome() log.OnMinimumVersion(lowest_version_of_all_ready_nodes);
//   log.Find("c1")->state;                    // "in_force"
//
// A transition that the chart does not define fails with ChartError.

#include <cstdint>
#include <deque>
#include <string>

#include "base/chart.h"
#include "base/error.h"

namespace cuminjunction {

// Maximum number of tracked changes; the oldest one is dropped first.
inline constexpr size_t kMaxTrackedChanges = 200;

struct TrackedChange {
  std::string change_id;
  // Name of the current state in the chart.
  std::string state;
  // The configuration version of the change; 0 until it is accepted.
  uint64_t version = 0;

  bool operator==(const TrackedChange&) const = default;
};

// Not thread-safe.
class ChangeLog {
 public:
  explicit ChangeLog(Chart chart) : chart(std::move(chart)) {}

  // Starts tracking a change. A change that is submitted again keeps its state
  // unless that state is final; then it restarts in the initial state.
  void Submit(const std::string& change_id);

  // Records the result of checking the document.
  Status OnCheck(const std::string& change_id, bool passed);

  // Records the result of ConfigStore::Accept or ResolveOutcome. An unknown
  // outcome or an outage does not change the state of a change whose outcome is
  // already unknown.
  Status OnCommit(const std::string& change_id,
                  const Result<uint64_t>& outcome);

  // Records that all ready nodes have at least this version.
  void OnMinimumVersion(uint64_t version);

  // Returns nullptr when the change was never tracked or has been dropped.
  const TrackedChange* Find(const std::string& change_id) const;

  // The tracked changes, oldest first.
  const std::deque<TrackedChange>& Changes() const { return this->changes; }

 private:
  TrackedChange* FindMutable(const std::string& change_id);
  Status ApplyEvent(TrackedChange* change, const std::string& event);

  Chart chart;
  std::deque<TrackedChange> changes;
};

}  // namespace cuminjunction

#endif  // CONFIG_CHANGE_LOG_H_
