#ifndef TASK_WORKER_AGENT_INTERNAL_H_
#define TASK_WORKER_AGENT_INTERNAL_H_

// Helpers of task/worker_agent.h.

#include <algorithm>

#include "table/runtime.h"
#include "task/row.h"

namespace cuminjunction::worker_agent_internal {

// Less than one percent, the unit of processor shares in worker rows.
inline constexpr double kShareTolerance = 0.005;

// True when the runtime lists the assigned attempt as ended.
inline bool HasEnded(const RuntimeState& state, const Assignment& assignment) {
  return std::any_of(state.ended.begin(), state.ended.end(),
                     [&](const EndedTask& ended) {
                       return ended.task == assignment.task &&
                              ended.attempt == assignment.attempt;
                     });
}

}  // namespace cuminjunction::worker_agent_internal

#endif  // TASK_WORKER_AGENT_INTERNAL_H_
