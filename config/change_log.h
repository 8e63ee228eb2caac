#ifndef CONFIG_CHANGE_LOG_H_
#define CONFIG_CHANGE_LOG_H_

// The state of the changes that were submitted at this entry, by the chart
// charts/config.yaml.
//
//   ChangeLog log(chart);
//   log.Submit("c1");
//   log.OnCheck("c1", document.has_value());
//   log.OnCommit("c1", store.Accept(...));    // and again after Settle()
//   log.OnLeastVersion(least_version_of_all_ready_nodes);
//   log.Find("c1")->state;                    // "in_force"
//
// Every step is one that the chart has; others fail with ChartError.

#include <cstdint>
#include <deque>
#include <string>

#include "base/chart.h"
#include "base/error.h"

namespace cuminjunction {

// Changes that are remembered.
inline constexpr size_t kMaxTrackedChanges = 200;

struct TrackedChange {
  std::string change_id;
  // State of the chart.
  std::string state;
  // Its version once it is accepted.
  uint64_t version = 0;

  bool operator==(const TrackedChange&) const = default;
};

// Not thread-safe.
class ChangeLog {
 public:
  explicit ChangeLog(Chart chart) : chart(std::move(chart)) {}

  // Begins to track a change. A change that is submitted again while its
  // outcome is open stays as it is; one that ended begins anew.
  void Submit(const std::string& change_id);

  // The document was checked.
  Status OnCheck(const std::string& change_id, bool passed);

  // ConfigStore::Accept or Settle returned. An outcome that is still open is no
  // step for a change that is open already.
  Status OnCommit(const std::string& change_id,
                  const Result<uint64_t>& outcome);

  // All ready nodes have at least this version.
  void OnLeastVersion(uint64_t version);

  // nullptr when the change is not known, or no longer.
  const TrackedChange* Find(const std::string& change_id) const;

  // Oldest first.
  const std::deque<TrackedChange>& Changes() const { return this->changes; }

 private:
  TrackedChange* Get(const std::string& change_id);
  Status Step(TrackedChange* change, const std::string& event);

  Chart chart;
  std::deque<TrackedChange> changes;
};

}  // namespace cuminjunction

#endif  // CONFIG_CHANGE_LOG_H_
