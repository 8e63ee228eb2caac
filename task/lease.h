#ifndef TASK_LEASE_H_
#define TASK_LEASE_H_

// Leases of workers, seen from both sides.
//
// The holder is the worker's agent. It counts its stop deadline from the moment
// before it sent a renewal, and moves it only once it knows that the renewal is
// committed:
//
//   LeaseHolder holder(policy);
//   holder.RecordSend(sequence, steady.Now());
//   ... commit the renewal ...
//   if (committed) runtime.Extend(holder.ConfirmRenewal(sequence).value());
//
// An observer is a planner. It counts from when it first saw a sequence number,
// which is after the renewal was sent, so that its period ends after the
// holder's deadline as long as the two clocks run at rates within the margin:
//
//   LeaseObserver observer(policy);
//   observer.RecordRead(now);                       // after each successful
//   read observer.RecordObservation("w1", row.epoch, row.sequence, now); for
//   (const auto& lease : observer.ExpiredLeases(now)) ...   // fence
//
// The two clocks are never compared; only their rates must agree within the
// margin. Each side passes times of its own steady clock.

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
  absl::Duration renewal_interval = absl::Seconds(20);
  // The most by which the rates of two VMs' clocks differ.
  double clock_drift_margin = 0.01;
  // Time that the runtime needs to stop its tasks at the stop deadline.
  absl::Duration stop_margin = absl::Seconds(2);
  // An observer whose reads pause for longer restarts its observations: it
  // cannot tell whether the store was also down for the holder.
  absl::Duration max_read_gap = absl::Seconds(10);

  // Time for which an observer must see a sequence number unchanged before the
  // lease counts as expired.
  absl::Duration ObservationPeriod() const {
    return this->length * (1 + this->clock_drift_margin) + this->stop_margin;
  }
};

class LeaseHolder {
 public:
  explicit LeaseHolder(const LeasePolicy& policy) : policy(policy) {}

  // A renewal that makes the row's sequence number `sequence` is about to be
  // sent; at `now` the row still had a smaller number. An earlier one with an
  // unknown outcome stays on record.
  void RecordSend(uint64_t sequence, absl::Time now);

  // The renewal is known to be committed. Returns the new stop deadline, or
  // nullopt when this holder did not send it or it moves nothing.
  std::optional<absl::Time> ConfirmRenewal(uint64_t sequence);

  // True when the next renewal is due.
  bool IsRenewalDue(absl::Time now) const;

  // Clears the deadline and the pending renewals, for a registration under a
  // new epoch.
  void Reset();

  const std::optional<absl::Time>& StopDeadline() const {
    return this->deadline;
  }

 private:
  LeasePolicy policy;
  // Time of the first send of each sequence number whose commit is not known.
  std::map<uint64_t, absl::Time> sent;
  std::optional<absl::Time> deadline;
};

// A lease that an observer has seen unchanged for a whole period.
struct ExpiredLease {
  std::string worker;
  uint64_t epoch = 0;
  uint64_t sequence = 0;

  bool operator==(const ExpiredLease&) const = default;
};

class LeaseObserver {
 public:
  explicit LeaseObserver(const LeasePolicy& policy) : policy(policy) {}

  // All worker rows up to the present were read. After a gap in the reads every
  // observation starts anew, so that no lease expires because of an outage.
  void RecordRead(absl::Time now);

  // The store could not be read. Observations start anew at the next read.
  void RecordReadFailure() { this->restart = true; }

  // A worker row has this epoch and sequence number.
  void RecordObservation(const std::string& worker,
                         uint64_t epoch,
                         uint64_t sequence,
                         absl::Time now);

  // The worker is fenced or gone and no longer observed.
  void Forget(const std::string& worker);

  // The leases that have expired. Empty unless the store was read within the
  // longest gap.
  std::vector<ExpiredLease> ExpiredLeases(absl::Time now) const;

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
  // expired ones.
  std::set<std::pair<absl::Time, std::string>> by_start;
  std::optional<absl::Time> last_read;
  bool restart = false;
};

}  // namespace cuminjunction

#endif  // TASK_LEASE_H_
