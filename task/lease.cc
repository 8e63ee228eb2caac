#include "task/lease.h"

#include <algorithm>

namespace cuminjunction {

void LeaseHolder::RecordSend(uint64_t sequence, absl::Time now) {
  // The first time counts: an earlier send with the same sequence number may be
  // the one that takes effect.
  this->sent.try_emplace(sequence, now);
}

std::optional<absl::Time> LeaseHolder::ConfirmRenewal(uint64_t sequence) {
  const auto found = this->sent.find(sequence);
  if (found == this->sent.end())
    return std::nullopt;
  const absl::Time candidate = found->second + this->policy.length;
  this->sent.erase(this->sent.begin(), this->sent.upper_bound(sequence));
  if (this->deadline && candidate <= *this->deadline)
    return std::nullopt;
  this->deadline = candidate;
  return candidate;
}

bool LeaseHolder::IsRenewalDue(absl::Time now) const {
  if (!this->deadline)
    return true;
  const absl::Time sent_at = *this->deadline - this->policy.length;
  return now >= sent_at + this->policy.renewal_interval;
}

void LeaseHolder::Reset() {
  this->sent.clear();
  this->deadline.reset();
}

void LeaseObserver::Track(const std::string& worker,
                          const Observation& observation) {
  const auto found = this->observations.find(worker);
  if (found != this->observations.end())
    this->by_start.erase({found->second.since, worker});
  this->observations[worker] = observation;
  this->by_start.insert({observation.since, worker});
}

void LeaseObserver::RecordRead(absl::Time now) {
  const bool gap =
      this->last_read && now - *this->last_read > this->policy.max_read_gap;
  if (this->restart || gap) {
    this->by_start.clear();
    for (auto& [worker, observation] : this->observations) {
      observation.since = now;
      observation.renewed = false;
      this->by_start.insert({now, worker});
    }
    this->restart = false;
  }
  this->last_read = now;
}

void LeaseObserver::RecordObservation(const std::string& worker,
                                      uint64_t epoch,
                                      uint64_t sequence,
                                      absl::Time now) {
  const auto found = this->observations.find(worker);
  const bool is_known = found != this->observations.end();
  if (is_known && found->second.epoch == epoch &&
      found->second.sequence == sequence)
    return;
  this->Track(worker, {epoch, sequence, now, is_known});
}

void LeaseObserver::Forget(const std::string& worker) {
  const auto found = this->observations.find(worker);
  if (found == this->observations.end())
    return;
  this->by_start.erase({found->second.since, worker});
  this->observations.erase(found);
}

std::vector<ExpiredLease> LeaseObserver::ExpiredLeases(absl::Time now) const {
  std::vector<ExpiredLease> out;
  const bool is_current = !this->restart && this->last_read &&
                          now - *this->last_read <= this->policy.max_read_gap;
  if (!is_current)
    return out;
  for (const auto& [since, worker] : this->by_start) {
    if (now - since < this->policy.ObservationPeriod())
      break;
    const Observation& observation = this->observations.at(worker);
    out.push_back({worker, observation.epoch, observation.sequence});
  }
  return out;
}

bool LeaseObserver::WasRenewedSinceRestart(const std::string& worker) const {
  const auto found = this->observations.find(worker);
  return found != this->observations.end() && found->second.renewed;
}

}  // namespace cuminjunction
