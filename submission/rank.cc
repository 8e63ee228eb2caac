#include "submission/rank.h"

namespace cuminjunction {

ObjectiveOutlook ObjectiveOutlookOf(const RankInputs& inputs) {
  if (inputs.earliest_completion <= inputs.objective_deadline)
    return ObjectiveOutlook::kInTime;
  if (inputs.earliest_completion <=
      inputs.objective_start + kLateFactor * inputs.Objective())
    return ObjectiveOutlook::kLate;
  return ObjectiveOutlook::kHopeless;
}

}  // namespace cuminjunction
