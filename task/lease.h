#ifndef TASK_LEASE_H_
#define TASK_LEASE_H_

// Leases of workers, seen from both sides.
//
// The holder is the worker's agent. It counts its stop deadline from the moment
// before it sent a renewal, and moves it only once it knows that the renewal is
// committed:
//
//   LeaseHolder holder(policy);
//   holder.Sending(sequence, steady.Now());
//   ... commit the renewal ...
//   if (committed) runtime.Extend(holder.Committed(sequence).value());
//
// An observer is a planner. It counts from when it first saw a sequence number,
// which is after the renewal was sent, so that its period ends after the
// holder's deadline as long as the two clocks run at rates within the margin:
//
//   LeaseObserver observer(policy);
//   observer.Readable(now);                       // after each successful read
//   observer.Saw("w1", row.epoch, row.sequence, now);
//   for (const auto& lapse : observer.Lapsed(now)) ...   // fence
//
// Clocks are never compared, only their rates are trusted. Both sides pass
// points in time of their own steady clock.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace cuminjunction {

struct LeasePolicy {
  absl::Duration length = absl::Seconds(600);
  absl::Duration renew_every = absl::Seconds(20);
  // The most by which the rates of two VMs' clocks differ.
  double rate_margin = 0.01;
  // Time that the runtime needs to stop its tasks at the stop deadline.
  absl::Duration slack = absl::Seconds(2);
  // An observer that has not read the store for longer starts anew: it can't
  // tell whether the store was down for the holder.
  absl::Duration longest_gap = absl::Seconds(10);

  // How long an observer has to see a sequence number unchanged.
  absl::Duration ObservedPeriod() const {
    return this->length * (1 + this->rate_margin) + this->slack;
  }
};

class LeaseHolder {
 public:
  explicit LeaseHolder(const LeasePolicy& policy) : policy(policy) {}

  // A renewal that makes the row's sequence number `sequence` is about to be
  // sent; at `now` the row still had a smaller number. An earlier one with an
  // unknown outcome stays on record.
  void Sending(uint64_t sequence, absl::Time now);

  // The renewal is known to be committed. Returns the new stop deadline, or
  // nullopt when this holder did not send it or it moves nothing.
  std::optional<absl::Time> Committed(uint64_t sequence);

  // True when the next renewal is due.
  bool IsRenewalDue(absl::Time now) const;

  // Forgets everything, for a registration under a new epoch.
  void Reset();

  const std::optional<absl::Time>& StopDeadline() const {
    return this->deadline;
  }

 private:
  LeasePolicy policy;
  // For each sequence number sent and not settled, when it was first sent.
  std::map<uint64_t, absl::Time> sent;
  std::optional<absl::Time> deadline;
};

// A lease that an observer has seen unchanged for a whole period.
struct LeaseLapse {
  std::string worker;
  uint64_t epoch = 0;
  uint64_t sequence = 0;

  bool operator==(const LeaseLapse&) const = default;
};

class LeaseObserver {
 public:
  explicit LeaseObserver(const LeasePolicy& policy) : policy(policy) {}

  // All worker rows up to the present were read. After a gap in the reads every
  // observation starts anew, so that no lease lapses because of an outage.
  void Readable(absl::Time now);

  // The store could not be read. Observations start anew at the next read.
  void Unreadable() { this->restart = true; }

  // A worker row has this epoch and sequence number.
  void Saw(const std::string& worker,
           uint64_t epoch,
           uint64_t sequence,
           absl::Time now);

  // The worker is fenced or gone and no longer observed.
  void Forget(const std::string& worker);

  // The leases that have lapsed. Empty unless the store was read within the
  // longest gap.
  std::vector<LeaseLapse> Lapsed(absl::Time now) const;

  // True when the worker's lease was seen to change since the last restart of
  // the observations.
  bool WasRenewedSinceRestart(const std::string& worker) const;

 private:
  struct Observation {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    absl::Time since;
    bool renewed = false;
  };

  void Track(const std::string& worker, const Observation& observation);

  LeasePolicy policy;
  std::map<std::string, Observation> observations;
  // The same observations by their start, so that a check reads only the
  // lapsed ones.
  std::set<std::pair<absl::Time, std::string>> by_start;
  std::optional<absl::Time> last_read;
  bool restart = false;
};

}  // namespace cuminjunction

#endif  // TASK_LEASE_H_
