#include "submission/evacuation.h"

#include <algorithm>

namespace cuminjunction {

DomainReturns DomainReturns::After(const EvacuatedDomains& before,
                                   const EvacuatedDomains& after,
                                   absl::Time now) const {
  DomainReturns returns;
  for (const auto& [domain, time] : this->full_capacity_at) {
    if (time > now && !after.Contains(domain))
      returns.full_capacity_at.emplace(domain, time);
  }
  for (const std::string& domain : before.names) {
    if (!after.Contains(domain))
      returns.full_capacity_at[domain] = now + kReturnDuration;
  }
  return returns;
}

absl::Time DomainReturns::FullCapacityAt(
    const std::string& failure_domain) const {
  const auto found = this->full_capacity_at.find(failure_domain);
  return found == this->full_capacity_at.end() ? absl::InfinitePast()
                                               : found->second;
}

double OfferedShare(absl::Time full_capacity_at, absl::Time now) {
  if (full_capacity_at <= now)
    return 1;
  const double left = std::min(
      1.0, absl::FDivDuration(full_capacity_at - now, kReturnDuration));
  return 1 - left * (1 - kFirstOfferedShare);
}

}  // namespace cuminjunction
