#ifndef BASE_TIME_H_
#define BASE_TIME_H_

// Points in time.
//
// Deadlines and time stamps are absl::Time. Decision code never asks for the
// time: it takes `now` as an argument, so that tests and replays choose it.
// Threads ask a Clock once per event and pass the answer down.

#include <concepts>
#include <cstdint>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace cuminjunction {

template <class C>
concept Clock = requires(const C& clock) {
  { clock.Now() } -> std::same_as<absl::Time>;
};

// The wall clock of this VM, within 250 ms of the clocks of other VMs. It is
// read from the system at each call: absl::Now() extrapolates from a cycle
// counter, which is off by up to a second after the VM was suspended or its
// clock was set.
class SystemClock {
 public:
  absl::Time Now() const;
};

// A clock that never jumps. Its points in time have no meaning on another VM;
// lease deadlines and timeouts of this process are measured on it.
class SteadyClock {
 public:
  absl::Time Now() const;
};

// A clock that never jumps and also counts the time for which the VM was
// suspended. Leases and grants are measured on it: a process that was suspended
// must see that they have passed.
class BootClock {
 public:
  absl::Time Now() const;
};

// A clock that a test sets by hand.
class ManualClock {
 public:
  explicit ManualClock(absl::Time start = absl::UnixEpoch()) : now(start) {}
  absl::Time Now() const { return this->now; }
  void Advance(absl::Duration step) { this->now += step; }

 private:
  absl::Time now;
};

// Microseconds since the Unix epoch, the form of a time in messages and rows.
inline int64_t ToMicros(absl::Time time) {
  return absl::ToUnixMicros(time);
}

inline absl::Time FromMicros(int64_t micros) {
  return absl::FromUnixMicros(micros);
}

}  // namespace cuminjunction

#endif  // BASE_TIME_H_
