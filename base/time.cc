#include "base/time.h"

#include <chrono>

namespace cuminjunction {

absl::Time SteadyClock::Now() const {
  return absl::UnixEpoch() +
         absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace cuminjunction
