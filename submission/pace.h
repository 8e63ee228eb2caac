#ifndef SUBMISSION_PACE_H_
#define SUBMISSION_PACE_H_

// Pacing: limits the processor share of the filling tasks of each image, so
// that the latency of co-located serving tasks stays below its limit.
//
//   std::map<std::string, ImagePace> paces;
//   UpdatePaces(vm, serving, filling, interference_model, now, &paces);
//
// Load pattern: filling tasks interfere with serving tasks on the same VM by
// amounts that depend on both images, and the load of the serving tasks changes
// within seconds. Each filling image gets the share at which every expected
// latency ratio stays below kTargetLatencyRatio. The images that cause most of
// the excess are slowed down at once, the others are not, and all speed up as
// soon as the load allows it.

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "submission/interference_model.h"

namespace cuminjunction {

// Shortest time between a change of an image's share and the next raise: a
// change takes effect after 100 ms and then shows in half of the next sample.
inline constexpr absl::Duration kPaceInterval = absl::Milliseconds(400);

// The share, in percent of its full speed, at which the tasks of a filling
// image run.
struct ImagePace {
  int percent = 100;
  absl::Time next_raise = absl::InfinitePast();
};

// Latency of a serving image on the VM.
struct ServingLatency {
  std::string image;
  // Latency ratio: tail latency divided by its limit.
  double ratio = 0;
  // Time since which every sample has been above the limit; infinite future if
  // the last one was not.
  absl::Time over_limit_since = absl::InfiniteFuture();
};

// Updates the pace of every filling image on the VM. `filling` is the load that
// the images would have at full speed.
void UpdatePaces(const std::string& vm,
                 const std::vector<ServingLatency>& serving,
                 const FillingLoad& filling,
                 const InterferenceModel& interference_model,
                 absl::Time now,
                 std::map<std::string, ImagePace>* paces);

}  // namespace cuminjunction

#endif  // SUBMISSION_PACE_H_
