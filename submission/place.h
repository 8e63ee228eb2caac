#ifndef SUBMISSION_PLACE_H_
#define SUBMISSION_PLACE_H_

// Placement: the cost of running a task on a VM.
//
//   std::optional<double> cost =
//       PlacementCost(step, context, worker, interference_model, now);
//
// The VM with the lowest cost gets the task; nullopt means that the task must
// not run there or does not fit.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "submission/interference_model.h"
#include "submission/types.h"
#include "submission/worker.h"

namespace cuminjunction {

// Weights of the cost, in units of a fully used VM.

// A VM where the task failed is the last choice.
inline constexpr double kFailedHereWeight = 100;

// Data on another rack makes the task take up to three times as long.
inline constexpr double kOtherRackWeight = 3;

// Serving tasks of one image are packed together, so that filling tasks find
// VMs without images that they interfere with. The weight makes a nearly full
// VM with the same image cheaper than an empty one.
inline constexpr double kOtherImageWeight = 1.5;

// A cold runner is chosen after warm ones with room, and before a VM where the
// task has failed.
inline constexpr double kColdWeight = 50;

// State of the task that the placement depends on, besides its step.
struct PlacementContext {
  std::string service;
  // Tasks of the same step and occurrence that are already on the VM.
  uint32_t same_step = 0;
  // A run of the task failed on the VM.
  bool failed_here = false;
  // A filling task may wait for a VM where its interference is acceptable.
  bool can_wait = false;
  // The task does not wait until a suspect on the VM is no longer kept apart.
  bool ignores_isolation = false;
  // The task leaves alone what is reserved for tasks that wait, as a task that
  // does not run for long does.
  bool keeps_reserved = false;
  // Rack of the step's other tasks if the step wants a single rack; else empty.
  std::string rack;
};

// Why a VM can't take a task, in the order in which the causes are checked.
enum class PlacementObstacle : uint8_t {
  kNone,
  kUnusable,
  kNotSynced,
  kDraining,
  // The operator has evacuated the VM's failure domain.
  kEvacuated,
  kOtherService,
  kAvoided,
  kLabel,
  kMaxPerVm,
  kNoPermit,
  kNoCapacity,
  // The free capacity is reserved for another task.
  kReserved,
  // A filling task that may wait would interfere with serving tasks.
  kInterference,
};

inline constexpr size_t kPlacementObstacles =
    static_cast<size_t>(PlacementObstacle::kInterference) + 1;

// Name of the obstacle in logs.
std::string_view ToString(PlacementObstacle obstacle);

// Returns what keeps the task from the VM, kNone if nothing does. Has no
// knowledge of permits. Requires RefreshLatencyOutlooks() as PlacementCost().
PlacementObstacle FindObstacle(const Step& step,
                               const PlacementContext& context,
                               const Worker& worker,
                               const InterferenceModel& interference_model,
                               absl::Time now);

// Returns nullopt if the task must not run on the VM or does not fit. Requires
// RefreshLatencyOutlooks() since the last change of the VM's tasks or samples.
std::optional<double> PlacementCost(const Step& step,
                                    const PlacementContext& context,
                                    const Worker& worker,
                                    const InterferenceModel& interference_model,
                                    absl::Time now);

// Share of the VM's processors that its tasks have. The cost is never lower,
// except for a serving task: by at most kOtherImageWeight.
double UsedShare(const Worker& worker);

// True if the VM may run the task, regardless of its free capacity.
bool IsEligible(const Step& step,
                const PlacementContext& context,
                const Worker& worker,
                absl::Time now);

// Computes the latency outlook of the serving images on the VM. It is valid
// until the VM's tasks or the samples change. The worker caches it, since each
// planning round weighs every step against every VM.
void RefreshLatencyOutlooks(const InterferenceModel& interference_model,
                            absl::Time now,
                            Worker* worker);

// Returns how many more tasks of the step the VM has room for, at most `limit`.
// Takes no account of eligibility and interference.
uint32_t CountRoom(const Step& step,
                   const PlacementContext& context,
                   const Worker& worker,
                   absl::Time now,
                   uint32_t limit);

// By how much the highest expected latency ratio on the VM would exceed
// kMaxPlacementLatencyRatio with one more task of the step, or 0. Set
// `already_running` for a filling task that runs there, so that it is not
// counted twice.
double ExcessLatencyRatio(const Step& step,
                          const Worker& worker,
                          const InterferenceModel& interference_model,
                          bool already_running);

// Capacity that the VM offers to new tasks; negative for a VM of a returning
// domain that runs more than it offers.
Size FreeCapacity(const Worker& worker, absl::Time now);

}  // namespace cuminjunction

#endif  // SUBMISSION_PLACE_H_
