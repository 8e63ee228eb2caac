#include "task/blame.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// How often records are searched for old evidence.
constexpr absl::Duration kSweepInterval = absl::Minutes(1);
// Keeps the shift in ProbeDelay() small. The maximum delay is reached before.
constexpr int kMaxDoublings = 16;

}  // namespace

void FaultAttribution::RecordOutcome(const AttemptOutcome& outcome,
                                     absl::Time now) {
  if (now >= this->next_sweep) {
    this->DropOldEvidence(now);
    this->next_sweep = now + kSweepInterval;
  }
  if (outcome.failed)
    this->RecordFailure(outcome, now);
  else
    this->RecordSuccess(outcome, now);
}

void FaultAttribution::RecordFailure(const AttemptOutcome& outcome,
                                     absl::Time now) {
  this->jobs[outcome.owner].failed[outcome.worker] = now;
  WorkerRecord& record = this->workers[outcome.worker];
  record.failed[outcome.owner] = now;
  // The failure of a job at fault is no evidence against a probed worker.
  if (!record.suspect ||
      this->HasFailedElsewhere(outcome.owner, outcome.worker))
    return;
  record.passed_probes = 0;
  ++record.failed_probes;
  record.next_probe = now + this->ProbeDelay(record.failed_probes);
}

void FaultAttribution::RecordSuccess(const AttemptOutcome& outcome,
                                     absl::Time now) {
  this->jobs.erase(outcome.owner);
  WorkerRecord& record = this->workers[outcome.worker];
  record.last_success = now;
  if (record.suspect) {
    ++record.passed_probes;
    return;
  }
  record.failed.clear();
  record.on_probation = false;
  record.failed_probes = 0;
}

bool FaultAttribution::IsSuspect(const std::string& worker) const {
  const auto found = this->workers.find(worker);
  return found != this->workers.end() && found->second.suspect;
}

bool FaultAttribution::HasFailedElsewhere(const std::string& owner,
                                          const std::string& worker) const {
  const auto found = this->jobs.find(owner);
  if (found == this->jobs.end())
    return false;
  size_t other_workers = 0;
  for (const auto& [other, time] : found->second.failed)
    other_workers += other != worker && !this->IsSuspect(other) ? 1 : 0;
  return other_workers + 1 >= this->options.workers_to_fault_job;
}

bool FaultAttribution::IsJobAtFault(const std::string& owner) const {
  const auto found = this->jobs.find(owner);
  if (found == this->jobs.end())
    return false;
  size_t count = 0;
  for (const auto& [worker, time] : found->second.failed)
    count += this->IsSuspect(worker) ? 0 : 1;
  return count >= this->options.workers_to_fault_job;
}

size_t FaultAttribution::CountEvidenceAgainst(const WorkerRecord& record,
                                              const std::string& worker) const {
  size_t count = 0;
  for (const auto& [owner, time] : record.failed)
    count += this->HasFailedElsewhere(owner, worker) ? 0 : 1;
  return count;
}

bool FaultAttribution::HasEvidenceAgainst(const std::string& worker) const {
  const auto found = this->workers.find(worker);
  return found != this->workers.end() &&
         this->CountEvidenceAgainst(found->second, worker) > 0;
}

bool FaultAttribution::ShouldSuspect(const WorkerRecord& record,
                                     const std::string& worker,
                                     absl::Time now) const {
  if (record.failed.size() >= this->options.any_jobs_to_suspect)
    return true;
  const bool succeeded = record.last_success + this->options.retention > now;
  const size_t needed =
      record.on_probation
          ? 1
          : this->options.good_jobs_to_suspect + (succeeded ? 1 : 0);
  return this->CountEvidenceAgainst(record, worker) >= needed;
}

absl::Duration FaultAttribution::ProbeDelay(int failed_probes) const {
  const int doublings = std::clamp(failed_probes, 0, kMaxDoublings);
  return std::min(
      this->options.max_probe_delay,
      this->options.first_probe_delay *
          static_cast<double>(1U << static_cast<unsigned>(doublings)));
}

WorkerVerdict FaultAttribution::Judge(const WorkerRow& worker, absl::Time now) {
  WorkerRecord& record = this->workers[worker.id];
  if (worker.state == WorkerState::kSuspect) {
    if (!record.suspect) {
      record.suspect = true;
      record.suspected_by_predecessor =
          !this->ShouldSuspect(record, worker.id, now);
      record.unprobed_deadline = now + this->options.unprobed_readmit_delay;
    }
    return this->JudgeSuspect(worker, now, &record);
  }
  record.suspect = false;
  if (worker.state != WorkerState::kReady ||
      !this->ShouldSuspect(record, worker.id, now))
    return WorkerVerdict::kNone;
  record.suspect = true;
  record.suspected_by_predecessor = false;
  record.passed_probes = 0;
  record.next_probe = now + this->ProbeDelay(record.failed_probes);
  record.unprobed_deadline = now + this->options.unprobed_readmit_delay;
  return WorkerVerdict::kSuspect;
}

WorkerVerdict FaultAttribution::JudgeSuspect(const WorkerRow& worker,
                                             absl::Time now,
                                             WorkerRecord* record) {
  const bool cleared = !record->suspected_by_predecessor &&
                       !this->ShouldSuspect(*record, worker.id, now);
  const bool probed = record->passed_probes >= this->options.probes_to_readmit;
  const bool idle = worker.assignments.empty();
  const bool unprobed = idle && now >= record->unprobed_deadline;
  if (cleared || probed || unprobed) {
    record->suspect = false;
    record->failed.clear();
    record->passed_probes = 0;
    record->on_probation = !cleared;
    return WorkerVerdict::kReadmit;
  }
  if (!idle || now < record->next_probe)
    return WorkerVerdict::kNone;
  record->next_probe = now + this->options.probe_retry_delay;
  return WorkerVerdict::kProbe;
}

void FaultAttribution::DropOldEvidence(absl::Time now) {
  const absl::Time oldest = now - this->options.retention;
  const auto is_old = [&](const auto& item) { return item.second < oldest; };
  for (auto it = this->jobs.begin(); it != this->jobs.end();) {
    std::erase_if(it->second.failed, is_old);
    it = it->second.failed.empty() ? this->jobs.erase(it) : std::next(it);
  }
  // The evidence that made a worker suspect is kept until it is readmitted.
  for (auto& [worker, record] : this->workers) {
    if (!record.suspect)
      std::erase_if(record.failed, is_old);
  }
  std::erase_if(this->workers, [&](const auto& item) {
    const WorkerRecord& record = item.second;
    return !record.suspect && !record.on_probation && record.failed.empty() &&
           record.last_success < oldest;
  });
}

}  // namespace cuminjunction
