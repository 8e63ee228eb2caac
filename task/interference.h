#ifndef TASK_INTERFERENCE_H_
#define TASK_INTERFERENCE_H_

// Learns how much the tasks of a job or service slow down a service that runs
// on the same worker.
//
//   Interference interference((InterferenceOptions()));
//   interference.Observe("slot-check", samples, at);   // one per replica
//   double coefficient = interference.Coefficient("slot-check", "rebuild");
//
// The interference coefficient of a pair of service and neighbour is the
// relative growth of the service's tail latency when the neighbour uses the
// whole worker. The tail latency of a replica is modelled as
//
//   tail = baseline * (1 + sum over neighbours (coefficient * exposure))
//
// The baseline is the service's tail latency without neighbours at the time;
// all replicas share it. The exposure is the neighbour's usage as a share of
// the worker's processors. So a load burst on all workers changes the baseline
// and no coefficient.
//
// Each coefficient has a mean and a variance, updated by a Kalman filter
// without covariances: the difference between measured and predicted tail
// latency is attributed to the neighbours in proportion to exposure and
// variance. The variance grows with time, since interference varies with load.
// While the variance of a pair is large, its coefficient is close to that of
// the neighbour's class, the mean over all services.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace cuminjunction {

struct InterferenceOptions {
  // Coefficient of an unknown pair, and the variance of coefficients among
  // pairs.
  double prior_coefficient = 0.3;
  double prior_variance = 4;
  // Variance of a measured tail latency relative to its prediction.
  double noise_variance = 0.05;
  // Time without samples after which a pair's variance is that of an unknown
  // pair.
  absl::Duration variance_growth_time = absl::Hours(1);
  // Weight of the prior in the mean of a class, as a number of pairs.
  double prior_pairs = 1;
  // Number of replicas whose samples replace the baseline. Samples of fewer
  // replicas only move it.
  size_t min_replicas = 4;
  // With fewer replicas, the baseline moves by half of a change within this
  // time.
  absl::Duration baseline_half_life = absl::Minutes(5);
  // Half-lives of the peak's excess over the baseline and of the smoothed
  // baseline.
  absl::Duration peak_half_life = absl::Hours(1);
  absl::Duration smoothed_half_life = absl::Minutes(3);
};

// Usage of the tasks of one job or service on a worker, as a share of the
// worker's processors.
struct Exposure {
  std::string owner;
  double share = 0;

  bool operator==(const Exposure&) const = default;
};

// The tail latency of a replica and the other tasks on its worker.
struct TailLatencySample {
  double tail_ms = 0;
  std::vector<Exposure> neighbours;
};

class Interference {
 public:
  explicit Interference(const InterferenceOptions& options)
      : options(options) {}

  // Adds samples that the replicas of a service took at about the same time.
  void Observe(const std::string& service,
               const std::vector<TailLatencySample>& samples,
               absl::Time at);

  // Expected relative growth of the service's tail latency for an exposure
  // of 1.
  double Coefficient(const std::string& service,
                     const std::string& owner) const;

  // Confidence in the pair's own coefficient, from 0 to 1. The rest is the
  // weight of the class mean.
  double Confidence(const std::string& service, const std::string& owner) const;

  // Tail latency of a replica without neighbours in milliseconds; 0 when
  // unknown.
  double Baseline(const std::string& service) const;

  // The highest baseline, which decays to the present one with peak_half_life.
  // Placements use it because they outlive the present load.
  double PeakBaseline(const std::string& service) const;

  // The baseline averaged over the last minutes, which a short load burst
  // hardly changes.
  double SmoothedBaseline(const std::string& service) const;

  // Expected relative growth of the service's tail latency with these
  // neighbours.
  double ExpectedGrowth(const std::string& service,
                        const std::vector<Exposure>& neighbours) const;

  // Drops services and pairs without samples since `oldest`.
  void DropOlderThan(absl::Time oldest);

 private:
  struct Pair {
    double coefficient = 0;
    double variance = 0;
    absl::Time updated;
  };
  struct ServiceRecord {
    double baseline_ms = 0;
    double peak_baseline_ms = 0;
    double smoothed_baseline_ms = 0;
    absl::Time updated;
    std::map<std::string, Pair> pairs;
  };
  // Sums over the pairs of a neighbour, weighted by their confidence.
  struct ClassSum {
    double weighted_sum = 0;
    double weight = 0;
  };

  double ConfidenceOf(const Pair& pair) const;
  double ClassMean(const std::string& owner) const;
  void AddToClass(const std::string& owner, const Pair& pair, double sign);
  void UpdateBaseline(double present,
                      bool enough_replicas,
                      absl::Time at,
                      ServiceRecord* record) const;
  // Increases the variance with the time since the last update.
  void GrowVariance(absl::Time at, Pair* pair) const;
  void UpdatePairs(const std::string& service,
                   const TailLatencySample& sample,
                   double baseline_ms,
                   absl::Time at);

  InterferenceOptions options;
  std::map<std::string, ServiceRecord> services;
  std::map<std::string, ClassSum> classes;
};

}  // namespace cuminjunction

#endif  // TASK_INTERFERENCE_H_
