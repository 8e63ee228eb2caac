#ifndef SUBMISSION_PACE_H_
#define SUBMISSION_PACE_H_

// How fast the filling tasks of one image may work beside tasks that serve.
//
//   std::map<std::string, Pace> paces;
//   UpdatePaces(serving, filling, neighbours, now, &paces);
//
// Load pattern: filling tasks disturb serving tasks on the same VM by amounts
// that depend on both images and change within seconds. As soon as a serving
// task nears its limit, the filling images that are most suspect are slowed
// down by half or more, the others not; they speed up in small steps while all
// tails are well below their limits. The gap between the two keeps the share
// from swinging.

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "submission/neighbours.h"

namespace cuminjunction {

// Tail of a serving task, as a share of its limit, below which filling tasks
// may speed up.
inline constexpr double kSpeedUpBelow = 0.88;

// Pause between two steps of an image: the figures cover half a second, and a
// change takes effect after 100 ms.
inline constexpr absl::Duration kPaceInterval = absl::Milliseconds(600);

// The share at which an image works, in percent.
struct Pace {
  int percent = 100;
  absl::Time next_step = absl::InfinitePast();
};

// A serving task on the VM.
struct ServingTail {
  std::string image;
  // Tail as a share of the limit.
  double share = 0;
};

// Takes the next step of every filling image on the VM.
void UpdatePaces(const std::vector<ServingTail>& serving,
                 const FillingLoad& filling,
                 const Neighbours& neighbours,
                 absl::Time now,
                 std::map<std::string, Pace>* paces);

}  // namespace cuminjunction

#endif  // SUBMISSION_PACE_H_
