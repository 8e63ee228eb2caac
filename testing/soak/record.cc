#include "testing/soak/record.h"

#include <algorithm>

#include "base/strings.h"

namespace cuminjunction {
namespace {

// The platform's rules let a task be given up after so many crashes.
constexpr int kCrashesToGiveUp = 2;

bool IsFinal(const std::string& state) {
  return state == "completed" || state == "failed" || state == "cancelled";
}

}  // namespace

void Record::Accept(const std::string& id) {
  absl::MutexLock lock(&this->mutex);
  this->accepted[id];
}

bool Record::IsAccepted(const std::string& id) const {
  absl::MutexLock lock(&this->mutex);
  return this->accepted.contains(id);
}

void Record::Refuse(const std::string& id) {
  absl::MutexLock lock(&this->mutex);
  this->refused.insert(id);
}

void Record::Break(const std::string& what) {
  absl::MutexLock lock(&this->mutex);
  this->broken.push_back(what);
}

void Record::Show(const std::string& id,
                  const std::string& state,
                  int crashes) {
  absl::MutexLock lock(&this->mutex);
  std::string& known = this->accepted[id];
  if (IsFinal(known) && state != known)
    this->broken.push_back(StrCat(id, " went from ", known, " to ", state));
  const bool cancel = this->cancel_sent.contains(id);
  if ((state == "cancelled" && !cancel) ||
      (state == "failed" && crashes < kCrashesToGiveUp))
    this->broken.push_back(StrCat(id, " is shown as ", state));
  known = state;
}

void Record::SendCancel(const std::string& id) {
  absl::MutexLock lock(&this->mutex);
  this->cancel_sent.insert(id);
}

void Record::AcknowledgeCancel(const std::string& id, absl::Time at) {
  absl::MutexLock lock(&this->mutex);
  this->cancelled.emplace(id, at);
}

std::map<std::string, absl::Time> Record::Cancelled() const {
  absl::MutexLock lock(&this->mutex);
  return this->cancelled;
}

bool Record::IsCancelSent(const std::string& id) const {
  absl::MutexLock lock(&this->mutex);
  return this->cancel_sent.contains(id);
}

std::vector<std::string> Record::Unfinished() const {
  absl::MutexLock lock(&this->mutex);
  std::vector<std::string> ids;
  for (const auto& [id, state] : this->accepted) {
    if (!IsFinal(state))
      ids.push_back(id);
  }
  return ids;
}

size_t Record::AcceptedCount() const {
  absl::MutexLock lock(&this->mutex);
  return this->accepted.size();
}

size_t Record::FailedCount() const {
  absl::MutexLock lock(&this->mutex);
  return static_cast<size_t>(
      std::count_if(this->accepted.begin(), this->accepted.end(),
                    [](const auto& one) { return one.second == "failed"; }));
}

std::set<std::string> Record::Refused() const {
  absl::MutexLock lock(&this->mutex);
  return this->refused;
}

std::vector<std::string> Record::Broken() const {
  absl::MutexLock lock(&this->mutex);
  return this->broken;
}

}  // namespace cuminjunction
