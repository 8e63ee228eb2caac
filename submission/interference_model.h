#ifndef SUBMISSION_INTERFERENCE_MODEL_H_
#define SUBMISSION_INTERFERENCE_MODEL_H_

// Model of the interference between images on one VM: how much each filling
// image raises the latency of each serving image. It is learned from latency
// samples of the serving tasks.
//
//   InterferenceModel model;
//   model.AddSample("vm-1", "search", 0.7, {{"rebuild", 0.2}}, now);
//   double coefficient = model.Interference("search", "rebuild");
//   double ratio = model.ExpectedLatencyRatio("vm-1", "search", load, now);
//
// Load pattern: filling and serving tasks of many images share all VMs. Some
// pairs of images interfere strongly, others hardly at all, and the load of
// each serving task changes within seconds. The latency ratio of a serving
// image is its tail latency divided by its limit. The model of it is
//
//   ratio = baseline * (1 + sum over filling images (interference * share))
//
// where `baseline` belongs to a serving image on one VM and follows its load,
// `interference` is a coefficient of a pair of images, and `share` is the part
// of the VM's processors that the filling image uses. Each sample corrects all
// of these estimates in proportion to their variances, as an extended Kalman
// filter with a diagonal covariance does.

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace cuminjunction {

// Pacing keeps the latency ratio of serving tasks below this. The rest is a
// margin for load changes between two samples.
inline constexpr double kTargetLatencyRatio = 0.9;

// Highest expected latency ratio at which a filling task is placed beside a
// serving task. A task runs for seconds, in which the load of the serving task
// may rise by half.
inline constexpr double kMaxPlacementLatencyRatio = 0.62;

// Filling images with a lower coefficient are not paced or kept off a VM: a
// whole VM of such tasks raises the latency ratio by less than the load changes
// do.
inline constexpr double kNegligibleInterference = 1.2;

struct FillingImage {
  std::string image;
  // Part of the VM's processors that it uses, from 0 to 1.
  double share = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->image, this->share);
  }
};

using FillingLoad = std::vector<FillingImage>;

// Estimated interference coefficient of a pair of images, with its variance.
struct InterferenceEstimate {
  std::string serving;
  std::string filling;
  double interference = 0;
  double variance = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->serving, this->filling, this->interference, this->variance);
  }
};

class InterferenceModel {
 public:
  // Updates the estimates from one sample: the latency ratio of a serving image
  // on a VM and the load of the co-located filling tasks. Samples with a
  // latency ratio above 8 are ignored.
  void AddSample(const std::string& vm,
                 const std::string& serving,
                 double latency_ratio,
                 const FillingLoad& filling,
                 absl::Time now);

  // Interference coefficient: the relative growth of the serving image's
  // latency ratio if the filling image used the whole VM. Returns a prior for a
  // pair without samples.
  double Interference(const std::string& serving,
                      const std::string& filling) const;

  // Latency ratio of the serving image on the VM without filling tasks. Returns
  // a prior if the last sample is older than 4 s.
  double Baseline(const std::string& vm,
                  const std::string& serving,
                  absl::Time now) const;

  // Expected latency ratio of the serving image on the VM beside this filling
  // load.
  double ExpectedLatencyRatio(const std::string& vm,
                              const std::string& serving,
                              const FillingLoad& filling,
                              absl::Time now) const;

  // Estimate of one pair; no value without samples.
  std::optional<InterferenceEstimate> Find(const std::string& serving,
                                           const std::string& filling) const;

  // Estimates to be sent to another process: at most `max_count`, those with
  // the latest samples first.
  std::vector<InterferenceEstimate> Export(size_t max_count) const;

  // Replaces the estimate of each pair for which the received one has a lower
  // variance.
  void Merge(const std::vector<InterferenceEstimate>& received);

 private:
  struct Estimate {
    double value = 0;
    double variance = 0;
    absl::Time last_sample = absl::InfinitePast();
  };
  using Key = std::pair<std::string, std::string>;

  // Drops old estimates, and half of all if there are still too many.
  static void Prune(std::map<Key, Estimate>* estimates, absl::Time now);

  // Interference coefficients by serving and filling image.
  std::map<Key, Estimate> coefficients;
  // Baselines by VM and serving image.
  std::map<Key, Estimate> baselines;
};

}  // namespace cuminjunction

#endif  // SUBMISSION_INTERFERENCE_MODEL_H_
