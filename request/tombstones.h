#ifndef REQUEST_TOMBSTONES_H_
#define REQUEST_TOMBSTONES_H_

// Ids of the attempts that an agent has received, refused or cancelled, so that
// no attempt starts twice or after its refusal. Uses no clock.
//
//   if (tombstones.Admit(id, deadline, now) != Tombstones::Verdict::kNew)
//     ...                                   // refuse or ignore
//   tombstones.Block(id, deadline, now);    // cancelled before it arrived
//
// An id is kept until kMaxClockSkew after its deadline. Removing it then is
// safe: Admit() refuses any attempt whose deadline has passed.

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "request/timer_queue.h"
#include "request/types.h"

namespace cuminjunction {

// Largest difference between the clocks of two VMs.
inline constexpr absl::Duration kMaxClockSkew = absl::Milliseconds(250);

class Tombstones {
 public:
  enum class Verdict : uint8_t {
    // The first message about this attempt; it may start.
    kNew,
    // Admitted earlier; this copy must not start.
    kDuplicate,
    // Refused or cancelled earlier.
    kBlocked,
    // Its deadline has passed.
    kExpired,
  };

  // Decides whether an attempt that arrived may start, and stores its id.
  Verdict Admit(const AttemptId& id, absl::Time deadline, absl::Time now);

  // Prevents the attempt from starting.
  void Block(const AttemptId& id, absl::Time deadline, absl::Time now);

  size_t Count() const { return this->ids.size(); }

 private:
  // Returns the entry of the id, which is added as not blocked when it is new.
  bool& FindOrAdd(const AttemptId& id, absl::Time deadline);
  void RemoveExpired(absl::Time now);

  // True for blocked ids, false for admitted ones.
  absl::flat_hash_map<AttemptId, bool> ids;
  TimerQueue<AttemptId> expiries;
};

}  // namespace cuminjunction

#endif  // REQUEST_TOMBSTONES_H_
