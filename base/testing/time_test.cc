#include "base/time.h"

#include <gtest/gtest.h>

#include <ctime>

namespace cuminjunction {
namespace {

absl::Time SystemTime() {
  timespec time = {};
  clock_gettime(CLOCK_REALTIME, &time);
  return absl::TimeFromTimespec(time);
}

// Guards against a wall clock that is extrapolated instead of read: schedules
// started up to 0.9 s before their time (kowhai-coop with timed submissions).
TEST(SystemClockTest, EachTimeIsReadFromTheSystem) {
  // absl::Now() begins to extrapolate once it has two readings 2 s apart.
  const absl::Time end = SteadyClock().Now() + absl::Seconds(4);
  const SystemClock clock;
  while (SteadyClock().Now() < end) {
    const absl::Time before = SystemTime();
    const absl::Time now = clock.Now();
    ASSERT_LE(before, now);
    ASSERT_LE(now, SystemTime());
  }
}

}  // namespace
}  // namespace cuminjunction
