#include "base/time.h"

#include <ctime>

#include <chrono>

namespace cuminjunction {

absl::Time SteadyClock::Now() const {
  return absl::UnixEpoch() +
         absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

absl::Time SystemClock::Now() const {
  timespec time = {};
  clock_gettime(CLOCK_REALTIME, &time);
  return absl::TimeFromTimespec(time);
}

absl::Time BootClock::Now() const {
  timespec time = {};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return absl::TimeFromTimespec(time);
}

}  // namespace cuminjunction
