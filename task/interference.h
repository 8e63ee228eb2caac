#ifndef TASK_INTERFERENCE_H_
#define TASK_INTERFERENCE_H_

// How much the tasks of a job or service slow down a service on their worker.
//
//   Interference interference((InterferenceOptions()));
//   interference.Observe("slot-check", samples, at);   // one per replica
//   double raise = interference.Raise("slot-check", "rebuild");
//
// The raise of a pair is the share by which the service's tail latency grows
// when the neighbour uses the whole worker. A replica's tail is modelled as
//
//   tail = baseline * (1 + sum over neighbours (raise * exposure))
//
// with the service's baseline at the time, which all replicas share, and the
// exposure, the neighbour's use as a share of the worker's processors. So a
// burst on all workers moves the baseline and no raise.
//
// Each raise has a mean and a variance, updated by a Kalman filter without
// covariances: what a tail exceeds the prediction by is attributed to the
// neighbours in proportion to exposure and variance. The variance grows with
// time, since interference varies with load. As long as the variance is large,
// the pair's raise is that of the neighbour's class, which is its mean over all
// services.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace cuminjunction {

struct InterferenceOptions {
  // Raise of an unknown pair, and the variance of raises among pairs.
  double prior_raise = 0.3;
  double prior_variance = 4;
  // Variance of a tail relative to its prediction.
  double noise_variance = 0.05;
  // After this time without evidence a pair's variance is that of an unknown
  // one.
  absl::Duration memory = absl::Hours(1);
  // Weight of the prior in the mean of a class, in pairs.
  double prior_pairs = 1;
  // Replicas that tell the present baseline. With fewer it is the recent one.
  size_t least_replicas = 4;
  // The recent baseline moves by half of a change within this time.
  absl::Duration baseline_half_life = absl::Minutes(5);
  absl::Duration peak_half_life = absl::Hours(1);
  absl::Duration usual_half_life = absl::Minutes(3);
};

// Use of the tasks of one job or service on a worker, as a share of the
// worker's processors.
struct Exposure {
  std::string owner;
  double share = 0;

  bool operator==(const Exposure&) const = default;
};

// The tail of a replica and what else ran on its worker.
struct TailSample {
  double tail_ms = 0;
  std::vector<Exposure> neighbours;
};

class Interference {
 public:
  explicit Interference(const InterferenceOptions& options)
      : options(options) {}

  // Takes what the replicas of a service saw at about the same time.
  void Observe(const std::string& service,
               const std::vector<TailSample>& samples,
               absl::Time at);

  // Expected growth of the service's tail, as a share, for an exposure of 1.
  double Raise(const std::string& service, const std::string& owner) const;

  // How well the pair is known, from 0 to 1.
  double Evidence(const std::string& service, const std::string& owner) const;

  // Tail of a replica without neighbours in milliseconds; 0 when unknown.
  double Baseline(const std::string& service) const;

  // The baseline in times of load: its highest value, which falls back with
  // peak_half_life. A placement outlives the present load.
  double Peak(const std::string& service) const;

  // The baseline as it has been in the last minutes, without a burst.
  double Usual(const std::string& service) const;

  // Expected growth with these neighbours.
  double TotalRaise(const std::string& service,
                    const std::vector<Exposure>& neighbours) const;

  // Drops what was not observed since `oldest`.
  void Forget(absl::Time oldest);

 private:
  struct Pair {
    double raise = 0;
    double variance = 0;
    absl::Time updated;
  };
  struct ServiceRecord {
    double baseline_ms = 0;
    double peak_ms = 0;
    double usual_ms = 0;
    absl::Time updated;
    std::map<std::string, Pair> pairs;
  };
  // Sums over the pairs of a neighbour, weighted by their evidence.
  struct ClassSum {
    double weighted = 0;
    double weight = 0;
  };

  double EvidenceOf(const Pair& pair) const;
  double ClassMean(const std::string& owner) const;
  void AddToClass(const std::string& owner, const Pair& pair, double sign);
  void MoveBaseline(double present,
                    bool enough,
                    absl::Time at,
                    ServiceRecord* record) const;
  // Lets the variance grow with the time since the last update.
  void Age(absl::Time at, Pair* pair) const;
  void Learn(const std::string& service,
             const TailSample& sample,
             double baseline_ms,
             absl::Time at);

  InterferenceOptions options;
  std::map<std::string, ServiceRecord> services;
  std::map<std::string, ClassSum> classes;
};

}  // namespace cuminjunction

#endif  // TASK_INTERFERENCE_H_
