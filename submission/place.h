#ifndef SUBMISSION_PLACE_H_
#define SUBMISSION_PLACE_H_

// The choice of a VM for one task.
//
//   std::optional<double> cost = PlacementCost(step, need, worker, neighbours,
//   now);
//
// The VM with the lowest cost gets the task; nullopt means that it must not or
// does not fit.

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "submission/neighbours.h"
#include "submission/types.h"
#include "submission/worker.h"

namespace cuminjunction {

// What placing a task depends on besides its step.
struct PlacementNeed {
  std::string service;
  // Tasks of the same step and occurrence on the VM already.
  uint32_t same_step = 0;
  // A run of the task failed on the VM.
  bool failed_here = false;
  // The rack of the step's other tasks, where that matters; empty without.
  std::string rack;
};

// Nullopt when the task must not run on the VM or does not fit.
std::optional<double> PlacementCost(const Step& step,
                                    const PlacementNeed& need,
                                    const Worker& worker,
                                    const Neighbours& neighbours,
                                    absl::Time now);

// True when the VM may run the task at all, whatever runs there now.
bool MayRun(const Step& step,
            const PlacementNeed& need,
            const Worker& worker,
            absl::Time now);

// The room that is left on a VM.
Size FreeRoom(const Worker& worker);

}  // namespace cuminjunction

#endif  // SUBMISSION_PLACE_H_
