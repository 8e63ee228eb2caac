#ifndef TASK_USAGE_H_
#define TASK_USAGE_H_

// What tasks of a job or service use, learned from late reports.
//
//   UsageModel usage((UsageOptions()));
//   usage.Observe(report);
//   Size likely = usage.Expected("packing-plan", declared);
//
// Declared sizes remain the hard limit that placements keep to; what is learned
// only ranks them. Declared run times are not used at all. Samples are weighted
// by the time that they were measured at, so that late ones count as what they
// are.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/document.h"

namespace cuminjunction {

// A running task in a worker's report.
struct TaskUsage {
  std::string task;
  // Job or service that it belongs to.
  std::string owner;
  int64_t millicores = 0;
  int64_t memory_mib = 0;
  // Share of its processors that the task may use, from 0 to 1.
  double share = 1;
  // Tail latency of a replica in milliseconds; 0 for other tasks.
  double tail_ms = 0;

  bool operator==(const TaskUsage&) const = default;
};

// What ran on a worker at a time. Reports come up to 30 s later.
struct UsageReport {
  std::string worker;
  Size capacity;
  absl::Time at;
  std::vector<TaskUsage> tasks;

  bool operator==(const UsageReport&) const = default;
};

struct UsageOptions {
  // A sample counts half after this time.
  absl::Duration half_life = absl::Minutes(30);
  // Samples, as weights, below which the declared size is expected.
  double least_weight = 5;
  // The percentile that is expected of a task.
  double expected = 0.9;
};

// Percentiles of values from 1 up, within 10%, with decay.
class DecayedHistogram {
 public:
  explicit DecayedHistogram(absl::Duration half_life) : half_life(half_life) {}

  void Add(int64_t value, absl::Time at);

  // Sum of the weights, as of the newest sample.
  double Weight() const;

  // The value below which the share `quantile` of the weight lies; 0 when
  // empty.
  int64_t Quantile(double quantile) const;

  absl::Time Newest() const { return this->newest; }

 private:
  static constexpr size_t kBuckets = 100;

  absl::Duration half_life;
  absl::Time newest = absl::InfinitePast();
  // Weights as of `newest`.
  std::array<double, kBuckets> weights = {};
};

class UsageModel {
 public:
  explicit UsageModel(const UsageOptions& options) : options(options) {}

  // A report that is not newer than the worker's last one is ignored.
  void Observe(const UsageReport& report);

  // What a task of the owner probably uses at most; never above `declared`, and
  // `declared` itself while there is too little evidence.
  Size Expected(const std::string& owner, const Size& declared) const;

  // Drops owners and workers without samples since `oldest`.
  void Forget(absl::Time oldest);

 private:
  struct OwnerUsage {
    DecayedHistogram millicores;
    DecayedHistogram memory_mib;
  };

  UsageOptions options;
  std::map<std::string, OwnerUsage> owners;
  std::map<std::string, absl::Time> reported;
};

}  // namespace cuminjunction

#endif  // TASK_USAGE_H_
