#ifndef TASK_USAGE_H_
#define TASK_USAGE_H_

// Estimates the resource usage of tasks of a job or service from usage reports,
// which may be late.
//
//   UsageModel usage((UsageOptions()));
//   usage.Observe(report);
//   Size likely = usage.Expected("packing-plan", declared);
//
// Declared sizes remain the hard limit of placements; estimates only rank
// placements. Declared run times are not used. Samples are weighted by the age
// of the measurement, so a late sample counts no more than its age allows.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/document.h"

namespace cuminjunction {

// Usage of a running task in a worker's report.
struct TaskUsage {
  std::string task;
  // Job or service that the task belongs to.
  std::string owner;
  int64_t millicores = 0;
  int64_t memory_mib = 0;
  // Share of its processors that the task may use, from 0 to 1.
  double share = 1;
  // Tail latency of a replica in milliseconds; 0 for other tasks.
  double tail_ms = 0;

  bool operator==(const TaskUsage&) const = default;
};

// The tasks running on a worker at time `at`. Reports arrive up to 30 s later.
struct UsageReport {
  std::string worker;
  Size capacity;
  absl::Time at;
  std::vector<TaskUsage> tasks;

  bool operator==(const UsageReport&) const = default;
};

struct UsageOptions {
  // Age at which a sample counts half.
  absl::Duration half_life = absl::Minutes(30);
  // Sum of sample weights below which the declared size is expected.
  double min_weight = 5;
  // Quantile of the samples that is expected of a task.
  double expected_quantile = 0.9;
};

// Quantiles of values from 1 up, within 10%, with exponential decay by age.
class DecayedHistogram {
 public:
  explicit DecayedHistogram(absl::Duration half_life) : half_life(half_life) {}

  void Add(int64_t value, absl::Time at);

  // Sum of the sample weights at the time of the newest sample.
  double Weight() const;

  // The value below which the share `quantile` of the weight lies. Returns 0
  // when empty.
  int64_t Quantile(double quantile) const;

  absl::Time Newest() const { return this->newest; }

 private:
  static constexpr size_t kBuckets = 100;

  absl::Duration half_life;
  absl::Time newest = absl::InfinitePast();
  // Weights at the time `newest`.
  std::array<double, kBuckets> weights = {};
};

class UsageModel {
 public:
  explicit UsageModel(const UsageOptions& options) : options(options) {}

  // Adds a report. Ignored when it is not newer than the worker's last one.
  void Observe(const UsageReport& report);

  // Expected usage of a task of the owner: never above `declared`, and equal to
  // `declared` while there are too few samples.
  Size Expected(const std::string& owner, const Size& declared) const;

  // Drops owners and workers without samples since `oldest`.
  void DropOlderThan(absl::Time oldest);

 private:
  struct OwnerUsage {
    DecayedHistogram millicores;
    DecayedHistogram memory_mib;
  };

  UsageOptions options;
  std::map<std::string, OwnerUsage> owners;
  std::map<std::string, absl::Time> newest_reports;
};

}  // namespace cuminjunction

#endif  // TASK_USAGE_H_
