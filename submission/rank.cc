#include "submission/rank.h"

namespace cuminjunction {

ObjectiveOutlook ObjectiveOutlookOf(const RankInputs& inputs) {
  if (inputs.earliest_completion <= inputs.objective_deadline)
    return ObjectiveOutlook::kInTime;
  const absl::Duration objective =
      inputs.objective_deadline - inputs.objective_start;
  if (inputs.earliest_completion <=
      inputs.objective_start + kLateFactor * objective)
    return ObjectiveOutlook::kLate;
  return ObjectiveOutlook::kHopeless;
}

Rank RankOf(const RankInputs& inputs) {
  const ObjectiveOutlook outlook = ObjectiveOutlookOf(inputs);
  const bool hopeless =
      !inputs.long_running && outlook == ObjectiveOutlook::kHopeless;
  return {!inputs.long_running, hopeless, inputs.priority, outlook,
          inputs.remaining_work};
}

}  // namespace cuminjunction
