#ifndef BENCH_PLANNING_RULES_H_
#define BENCH_PLANNING_RULES_H_

// Planning rules that the scheduler's is compared with; see bench_overload.

#include <cstdint>
#include <vector>

#include "submission/overload.h"

namespace cuminjunction {

// Priority, outlook, earliest deadline.
struct EarliestDeadlineRule {
  static std::vector<uint32_t> Order(const PlanningInputs& inputs);
};

// Outlook, earliest deadline; priority only decides ties.
struct GlobalDeadlineRule {
  static std::vector<uint32_t> Order(const PlanningInputs& inputs);
};

// Sets a submission back as soon as the work ahead of it, at the capacity of
// its service, takes longer than its slack. In the order of priority and slack,
// the submission with the most remaining work is set back until the others are
// feasible (Moore and Hodgson). Feasible ones come first, by priority and then
// by slack or by remaining work.
struct FeasibleSlackRule {
  static std::vector<uint32_t> Order(const PlanningInputs& inputs);
};
struct FeasibleWorkRule {
  static std::vector<uint32_t> Order(const PlanningInputs& inputs);
};

}  // namespace cuminjunction

#endif  // BENCH_PLANNING_RULES_H_
