#include "task/blame.h"

#include <algorithm>

namespace cuminjunction {

namespace {

// Records are swept for old evidence this often.
constexpr absl::Duration kForgetEvery = absl::Minutes(1);
// Keeps the shift in ProbeWait() small; the longest wait is reached before.
constexpr int kMostDoublings = 16;

}  // namespace

void Blame::Ended(const AttemptOutcome& outcome, absl::Time now) {
  if (now >= this->next_forget) {
    this->Forget(now);
    this->next_forget = now + kForgetEvery;
  }
  if (outcome.failed)
    this->Failed(outcome, now);
  else
    this->Succeeded(outcome, now);
}

void Blame::Failed(const AttemptOutcome& outcome, absl::Time now) {
  this->jobs[outcome.owner].failed[outcome.worker] = now;
  WorkerRecord& record = this->workers[outcome.worker];
  record.failed[outcome.owner] = now;
  // The failure of a job at fault says nothing about a probed worker.
  if (!record.suspect || this->FailedElsewhere(outcome.owner, outcome.worker))
    return;
  record.good_probes = 0;
  ++record.failed_probes;
  record.next_probe = now + this->ProbeWait(record.failed_probes);
}

void Blame::Succeeded(const AttemptOutcome& outcome, absl::Time now) {
  this->jobs.erase(outcome.owner);
  WorkerRecord& record = this->workers[outcome.worker];
  record.last_success = now;
  if (record.suspect) {
    ++record.good_probes;
    return;
  }
  record.failed.clear();
  record.on_trial = false;
  record.failed_probes = 0;
}

bool Blame::IsSuspect(const std::string& worker) const {
  const auto found = this->workers.find(worker);
  return found != this->workers.end() && found->second.suspect;
}

bool Blame::FailedElsewhere(const std::string& owner,
                            const std::string& worker) const {
  const auto found = this->jobs.find(owner);
  if (found == this->jobs.end())
    return false;
  size_t elsewhere = 0;
  for (const auto& [other, time] : found->second.failed)
    elsewhere += other != worker && !this->IsSuspect(other) ? 1 : 0;
  return elsewhere + 1 >= this->options.workers_against_job;
}

bool Blame::IsJobAtFault(const std::string& owner) const {
  const auto found = this->jobs.find(owner);
  if (found == this->jobs.end())
    return false;
  size_t count = 0;
  for (const auto& [worker, time] : found->second.failed)
    count += this->IsSuspect(worker) ? 0 : 1;
  return count >= this->options.workers_against_job;
}

size_t Blame::Against(const WorkerRecord& record,
                      const std::string& worker) const {
  size_t count = 0;
  for (const auto& [owner, time] : record.failed)
    count += this->FailedElsewhere(owner, worker) ? 0 : 1;
  return count;
}

bool Blame::IsDoubtful(const std::string& worker) const {
  const auto found = this->workers.find(worker);
  return found != this->workers.end() &&
         this->Against(found->second, worker) > 0;
}

bool Blame::IsSuspicious(const WorkerRecord& record,
                         const std::string& worker,
                         absl::Time now) const {
  if (record.failed.size() >= this->options.any_jobs_against_worker)
    return true;
  const bool succeeded = record.last_success + this->options.memory > now;
  const size_t needed =
      record.on_trial ? 1
                      : this->options.jobs_against_worker + (succeeded ? 1 : 0);
  return this->Against(record, worker) >= needed;
}

absl::Duration Blame::ProbeWait(int failed_probes) const {
  const int doublings = std::clamp(failed_probes, 0, kMostDoublings);
  return std::min(
      this->options.longest_probe,
      this->options.first_probe *
          static_cast<double>(1U << static_cast<unsigned>(doublings)));
}

WorkerVerdict Blame::Judge(const WorkerRow& worker, absl::Time now) {
  WorkerRecord& record = this->workers[worker.id];
  if (worker.state == WorkerState::kSuspect) {
    if (!record.suspect) {
      record.suspect = true;
      record.inherited = !this->IsSuspicious(record, worker.id, now);
      record.unprobed_until = now + this->options.readmit_unprobed;
    }
    return this->JudgeSuspect(worker, now, &record);
  }
  record.suspect = false;
  if (worker.state != WorkerState::kReady ||
      !this->IsSuspicious(record, worker.id, now))
    return WorkerVerdict::kNone;
  record.suspect = true;
  record.inherited = false;
  record.good_probes = 0;
  record.next_probe = now + this->ProbeWait(record.failed_probes);
  record.unprobed_until = now + this->options.readmit_unprobed;
  return WorkerVerdict::kSuspect;
}

WorkerVerdict Blame::JudgeSuspect(const WorkerRow& worker,
                                  absl::Time now,
                                  WorkerRecord* record) {
  const bool cleared =
      !record->inherited && !this->IsSuspicious(*record, worker.id, now);
  const bool probed = record->good_probes >= this->options.probes_to_readmit;
  const bool idle = worker.assignments.empty();
  const bool unprobed = idle && now >= record->unprobed_until;
  if (cleared || probed || unprobed) {
    record->suspect = false;
    record->failed.clear();
    record->good_probes = 0;
    record->on_trial = !cleared;
    return WorkerVerdict::kReadmit;
  }
  if (!idle || now < record->next_probe)
    return WorkerVerdict::kNone;
  record->next_probe = now + this->options.probe_retry;
  return WorkerVerdict::kProbe;
}

void Blame::Forget(absl::Time now) {
  const absl::Time oldest = now - this->options.memory;
  const auto is_old = [&](const auto& item) { return item.second < oldest; };
  for (auto it = this->jobs.begin(); it != this->jobs.end();) {
    std::erase_if(it->second.failed, is_old);
    it = it->second.failed.empty() ? this->jobs.erase(it) : std::next(it);
  }
  // What made a worker suspect counts until it is ready again.
  for (auto& [worker, record] : this->workers) {
    if (!record.suspect)
      std::erase_if(record.failed, is_old);
  }
  std::erase_if(this->workers, [&](const auto& item) {
    const WorkerRecord& record = item.second;
    return !record.suspect && !record.on_trial && record.failed.empty() &&
           record.last_success < oldest;
  });
}

}  // namespace cuminjunction
