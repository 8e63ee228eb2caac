#ifndef REQUEST_TOMBSTONES_H_
#define REQUEST_TOMBSTONES_H_

// The attempts an agent has seen, so that none starts twice or after its
// refusal. No clock.
//
//   Refusal refusal = tombstones.Admit(id, deadline, now);
//   if (refusal != Refusal::kNone) ...      // refuse or ignore
//   tombstones.Bury(id, deadline, now);     // cancelled before it arrived
//
// An id is remembered until its deadline and the margin below have passed;
// Admit() refuses an attempt after its deadline by the deadline itself, so
// that forgetting an id never lets it start.

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "request/timer_queue.h"
#include "request/types.h"

namespace cuminjunction {

// Clocks of two VMs differ by this much at most.
inline constexpr absl::Duration kClockSkew = absl::Milliseconds(250);

class Tombstones {
 public:
  enum class Verdict : uint8_t {
    // Seen for the first time; it may start.
    kNew,
    // Admitted before: a duplicate, whose first copy is dealt with.
    kDuplicate,
    // Refused or cancelled before.
    kBuried,
    // Its deadline has passed.
    kLate,
  };

  // Decides whether an attempt that arrived may start, and remembers it.
  Verdict Admit(const AttemptId& id, absl::Time deadline, absl::Time now);

  // Remembers that the attempt must not start.
  void Bury(const AttemptId& id, absl::Time deadline, absl::Time now);

  size_t Count() const { return this->ids.size(); }

 private:
  // Adds the id when it is new. Returns its entry.
  bool& Remember(const AttemptId& id, absl::Time deadline);
  void Expire(absl::Time now);

  // True for buried ids, false for admitted ones.
  absl::flat_hash_map<AttemptId, bool> ids;
  TimerQueue<AttemptId> expiries;
};

}  // namespace cuminjunction

#endif  // REQUEST_TOMBSTONES_H_
