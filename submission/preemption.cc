#include "submission/preemption.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace cuminjunction {

std::optional<PreemptionChoice> ChoosePreemption(
    const Size& needed,
    const Size& free_capacity,
    std::vector<PreemptionCandidate> candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [](const PreemptionCandidate& a, const PreemptionCandidate& b) {
              return std::tuple(!a.ends_soon, -a.priority, a.lost_work,
                                a.task) <
                     std::tuple(!b.ends_soon, -b.priority, b.lost_work, b.task);
            });
  Size available = free_capacity;
  std::vector<PreemptionCandidate> chosen;
  for (PreemptionCandidate& candidate : candidates) {
    if (Fits(needed, available))
      break;
    available = available + candidate.freed;
    chosen.push_back(std::move(candidate));
  }
  if (!Fits(needed, available))
    return std::nullopt;
  // Leaves out those that free nothing that is needed, the most costly first.
  for (size_t i = chosen.size(); i-- > 0;) {
    if (!Fits(needed, available - chosen[i].freed))
      continue;
    available = available - chosen[i].freed;
    chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
  }
  PreemptionChoice choice;
  choice.cost.urgency = std::numeric_limits<int64_t>::min();
  for (const PreemptionCandidate& candidate : chosen) {
    if (candidate.ends_soon)
      continue;
    choice.victims.push_back(candidate.task);
    choice.cost.urgency = std::max(choice.cost.urgency, -candidate.priority);
    choice.cost.lost_work += candidate.lost_work;
  }
  return choice;
}

}  // namespace cuminjunction
