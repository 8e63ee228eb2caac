#include "submission/rank.h"

namespace cuminjunction {

Outlook OutlookOf(const RankFacts& facts) {
  if (facts.earliest_end <= facts.objective_end)
    return Outlook::kInTime;
  const absl::Duration whole = facts.objective_end - facts.begin;
  if (facts.earliest_end <= facts.begin + kLateFactor * whole)
    return Outlook::kLate;
  return Outlook::kHopeless;
}

Rank RankOf(const RankFacts& facts) {
  const Outlook outlook = OutlookOf(facts);
  const bool hopeless = !facts.long_running && outlook == Outlook::kHopeless;
  return {!facts.long_running, hopeless, facts.priority, outlook,
          facts.work_left};
}

}  // namespace cuminjunction
