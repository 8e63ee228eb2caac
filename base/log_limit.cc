#include "base/log_limit.h"

#include <algorithm>
#include <utility>

namespace cuminjunction {

bool LogLimit::Allow(std::string_view event, absl::Time now) {
  auto found = this->budgets.find(event);
  if (found == this->budgets.end())
    found = this->budgets.emplace(event, Budget{kLogBurstLines, now}).first;
  Budget& budget = found->second;
  if (now > budget.at) {
    budget.lines = std::min(
        kLogBurstLines, budget.lines + absl::ToDoubleSeconds(now - budget.at) *
                                           kLogLinesPerSecond);
    budget.at = now;
  }
  if (budget.lines < 1) {
    ++this->left_out[found->first];
    return false;
  }
  budget.lines -= 1;
  return true;
}

std::map<std::string, uint64_t> LogLimit::TakeLeftOut() {
  return std::exchange(this->left_out, {});
}

}  // namespace cuminjunction
