#ifndef FLEET_EVACUATION_GUARD_H_
#define FLEET_EVACUATION_GUARD_H_

// Decisions that keep starts out of an evacuated failure domain although its
// evacuation is not known everywhere yet, or an order is late.
//
//   if (MayOrderStarts(as_of, now, no_entry_reaches_store, bound)) ...
//   const absl::Time deadline = StartDeadline(echoed_timestamp_us, now, bound);
//   if (now > deadline) refuse(StartOutcome::kExpired);
//
// `bound` is FleetSettings::evacuate_ms, the time from the operator's
// evacuation of a domain to the last start there; zero turns these rules off.
// Half of it is for the planner's knowledge, a quarter for the order on its way
// to the agent, and the rest for the agent's call to its runner, which takes up
// to 800 ms.

#include <cstdint>

#include "absl/time/time.h"
#include "base/time.h"

namespace cuminjunction {

// True if a planner that knows the evacuations as of the time `known_as_of` may
// order starts. While no entry reaches the store nobody can read of a new
// evacuation, and accepted work continues.
inline bool MayOrderStarts(absl::Time known_as_of,
                           absl::Time now,
                           bool no_entry_reaches_store,
                           absl::Duration bound) {
  return bound <= absl::ZeroDuration() || no_entry_reaches_store ||
         now - known_as_of <= bound / 2;
}

// The time by which the agent must have delivered a start to its runner.
// `echoed_timestamp_us` is StartRuns::echoed_timestamp_us, by the agent's boot
// clock as `now` is. A time that is still to come is of an earlier boot of the
// VM, and such an order has expired.
inline absl::Time StartDeadline(int64_t echoed_timestamp_us,
                                absl::Time now,
                                absl::Duration bound) {
  if (bound <= absl::ZeroDuration())
    return absl::InfiniteFuture();
  const absl::Time echoed = FromMicros(echoed_timestamp_us);
  return echoed > now ? absl::InfinitePast() : echoed + bound / 4;
}

}  // namespace cuminjunction

#endif  // FLEET_EVACUATION_GUARD_H_
