#include "submission/early_cancellations.h"

namespace cuminjunction {

void EarlyCancellations::Add(const std::string& id, absl::Time now) {
  if (this->times.emplace(id, now).second)
    this->by_time.emplace_back(now, id);
}

std::vector<std::string> EarlyCancellations::TakeBefore(absl::Time time,
                                                        size_t max_count) {
  std::vector<std::string> taken;
  while (!this->by_time.empty() && this->by_time.front().first < time &&
         taken.size() < max_count) {
    const auto& [added, id] = this->by_time.front();
    // An id that was removed and added again has a later row of its own.
    const auto found = this->times.find(id);
    if (found != this->times.end() && found->second == added) {
      this->times.erase(found);
      taken.push_back(id);
    }
    this->by_time.pop_front();
  }
  return taken;
}

}  // namespace cuminjunction
