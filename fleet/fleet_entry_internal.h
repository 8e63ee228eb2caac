#ifndef FLEET_FLEET_ENTRY_INTERNAL_H_
#define FLEET_FLEET_ENTRY_INTERNAL_H_

// Timeouts that the source files of FleetEntry share.

#include <cstdint>

#include "absl/time/time.h"

namespace cuminjunction {

// Timeout of one call to the store; a slow store answers in 240 ms.
constexpr absl::Duration kStoreCallTimeout = absl::Milliseconds(700);
constexpr absl::Duration kStoreRetryDelay = absl::Milliseconds(50);

// Assumed for callers that do not state how long they wait for an answer.
constexpr int64_t kDefaultCallerTimeoutMs = 3000;

// An answer is sent at the latest this long before the caller's timeout; a
// round trip to a caller takes 6 ms.
constexpr absl::Duration kAnswerMargin = absl::Milliseconds(150);

// Rows and states of ended submissions are kept for the period in which callers
// may query them times this factor, since the clocks of VMs differ and a
// repeated request may arrive seconds after the first.
constexpr double kRetentionFactor = 1.5;

}  // namespace cuminjunction

#endif  // FLEET_FLEET_ENTRY_INTERNAL_H_
