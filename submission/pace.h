#ifndef SUBMISSION_PACE_H_
#define SUBMISSION_PACE_H_

// How fast filling tasks may work beside tasks that serve.
//
//   Pacer pacer;
//   int percent = pacer.Next(worst_tail_share, now);
//
// Load pattern: filling tasks disturb a serving task on the same VM by an
// amount that is unknown beforehand and changes within seconds. The share is
// cut by half as soon as a serving task nears its limit, and raised in small
// steps while all are well below it, with a gap between the two so that it does
// not swing.

#include <algorithm>

#include "absl/time/time.h"

namespace cuminjunction {

// Tail of the response times, as a share of the limit, above which filling
// tasks slow down, and below which they speed up.
inline constexpr double kSlowDownAbove = 0.85;
inline constexpr double kSpeedUpBelow = 0.6;

// Percentage points by which the share rises in a step.
inline constexpr int kRaise = 15;

// Pause between two steps: the figures cover half a second, and a change takes
// effect after 100 ms.
inline constexpr absl::Duration kPaceInterval = absl::Milliseconds(600);

class Pacer {
 public:
  // The share in percent, given the largest tail of a serving task on the VM as
  // a share of its limit.
  int Next(double tail_share, absl::Time now) {
    if (now < this->next_step)
      return this->percent;
    if (tail_share > 1.0)
      this->percent = tail_share > 2.0 ? 0 : this->percent / 3;
    else if (tail_share > kSlowDownAbove)
      this->percent /= 2;
    else if (tail_share < kSpeedUpBelow)
      this->percent = std::min(100, this->percent + kRaise);
    else
      return this->percent;
    this->next_step = now + kPaceInterval;
    return this->percent;
  }

 private:
  int percent = 100;
  absl::Time next_step = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // SUBMISSION_PACE_H_
