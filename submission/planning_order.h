#ifndef SUBMISSION_PLANNING_ORDER_H_
#define SUBMISSION_PLANNING_ORDER_H_

// Helpers of the planning rules in overload.h.
//
//   return OrderByKey(inputs, [&](uint32_t index) {
//     return inputs.ready[index].objective_deadline;
//   });

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "submission/overload.h"
#include "submission/rank.h"

namespace cuminjunction {

// Returns the indexes of the ready submissions in ascending order of their
// keys.
template <class KeyOf>
std::vector<uint32_t> OrderByKey(const PlanningInputs& inputs,
                                 const KeyOf& key_of) {
  std::vector<std::pair<decltype(key_of(0)), uint32_t>> keyed;
  keyed.reserve(inputs.ready.size());
  for (uint32_t index = 0; index < inputs.ready.size(); ++index)
    keyed.emplace_back(key_of(index), index);
  std::sort(keyed.begin(), keyed.end());
  std::vector<uint32_t> order;
  order.reserve(keyed.size());
  for (const auto& [key, index] : keyed)
    order.push_back(index);
  return order;
}

// True for a submission that ends and is expected to be of no use when it does.
inline bool IsHopeless(const RankInputs& ready) {
  return !ready.long_running &&
         ObjectiveOutlookOf(ready) == ObjectiveOutlook::kHopeless;
}

}  // namespace cuminjunction

#endif  // SUBMISSION_PLANNING_ORDER_H_
