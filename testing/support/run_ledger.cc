#include "testing/support/run_ledger.h"

#include <algorithm>

#include "absl/time/clock.h"
#include "base/strings.h"

namespace cuminjunction {

void RunLedger::Begin(const std::string& task,
                      const RunnerStandin* runner,
                      bool late) {
  absl::MutexLock lock(&this->mutex);
  this->starts.push_back({runner, task, absl::Now(), late});
  this->started.insert(task.substr(0, task.find('.')));
  if (++this->running[task] > 1)
    this->violations.push_back(StrCat(task, " was started while it ran"));
  else if (this->confirmed.contains(task))
    this->violations.push_back(StrCat(task, " was started after its end"));
}

void RunLedger::End(const std::string& task) {
  absl::MutexLock lock(&this->mutex);
  --this->running[task];
}

void RunLedger::Crash(const std::string& task) {
  absl::MutexLock lock(&this->mutex);
  --this->running[task];
  ++this->crashes[task];
}

int RunLedger::Crashes(const std::string& submission) const {
  absl::MutexLock lock(&this->mutex);
  int most = 0;
  for (const auto& [task, count] : this->crashes) {
    if (task.starts_with(submission))
      most = std::max(most, count);
  }
  return most;
}

void RunLedger::ConfirmDone(const std::string& task) {
  absl::MutexLock lock(&this->mutex);
  this->confirmed.insert(task);
}

int RunLedger::Violations() const {
  absl::MutexLock lock(&this->mutex);
  return static_cast<int>(this->violations.size());
}

std::vector<std::string> RunLedger::ViolationTexts() const {
  absl::MutexLock lock(&this->mutex);
  return this->violations;
}

std::set<std::string> RunLedger::StartedSubmissions() const {
  absl::MutexLock lock(&this->mutex);
  return this->started;
}

int RunLedger::Confirmed() const {
  absl::MutexLock lock(&this->mutex);
  return static_cast<int>(this->confirmed.size());
}

int RunLedger::Running() const {
  absl::MutexLock lock(&this->mutex);
  int count = 0;
  for (const auto& [task, runs] : this->running)
    count += runs;
  return count;
}

int RunLedger::Starts() const {
  absl::MutexLock lock(&this->mutex);
  return static_cast<int>(this->starts.size());
}

std::vector<RunStart> RunLedger::StartList() const {
  absl::MutexLock lock(&this->mutex);
  return this->starts;
}

}  // namespace cuminjunction
