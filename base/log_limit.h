#ifndef BASE_LOG_LIMIT_H_
#define BASE_LOG_LIMIT_H_

// A bound for the volume of a log: lines of one event beyond a rate are left
// out and counted, so that a flood of one kind of line neither fills a disk nor
// hides the others.
//
//   LogLimit limit;
//   if (limit.Allow("request_refused", now)) ...
//   for (const auto& [event, count] : limit.TakeLeftOut()) ...
//
// It has no clock and no lock.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace cuminjunction {

// Lines a second of one event. The planner of the largest site writes a line
// for each of up to 350 starts a second and for each end.
inline constexpr double kLogLinesPerSecond = 1000;

// Lines of one event at once, after a pause: the plan after a takeover may
// start a task on each core of 300 VMs.
inline constexpr double kLogBurstLines = 4000;

class LogLimit {
 public:
  // Whether a line of this event may be written at this time, which must not go
  // back by much: a jump back allows nothing new until it is made up for.
  bool Allow(std::string_view event, absl::Time now);

  // True when lines were left out since the last TakeLeftOut().
  bool HasLeftOut() const { return !this->left_out.empty(); }

  // How many lines were left out since the last call, by event.
  std::map<std::string, uint64_t> TakeLeftOut();

 private:
  struct Budget {
    double lines = kLogBurstLines;
    absl::Time at;
  };

  std::map<std::string, Budget, std::less<>> budgets;
  std::map<std::string, uint64_t> left_out;
};

}  // namespace cuminjunction

#endif  // BASE_LOG_LIMIT_H_
