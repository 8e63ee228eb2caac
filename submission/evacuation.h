#ifndef SUBMISSION_EVACUATION_H_
#define SUBMISSION_EVACUATION_H_

// Failure domains that the operator has evacuated: no task starts there until
// the evacuation has ended, and fewer than usual for a few seconds after it.
//
//   EvacuatedDomains domains{{"erie-a"}};
//   scheduler.SetEvacuations(domains, now);
//   if (domains.Contains(info.failure_domain)) ...
//
//   const DomainReturns returns = returns_before.After(before, domains, now);
//   worker.full_capacity_at = returns.FullCapacityAt(info.failure_domain);
//   const double share = OfferedShare(worker.full_capacity_at, now);
//
// Load pattern of the return: all VMs of the domain are empty and many runners
// are cold, so that without a limit every task of a burst would start on them.
//
// The operator's rows in the store are the only lasting state. Entries read
// them, a planner uses the set of its own entry and sends it to all agents.

#include <map>
#include <set>
#include <string>

#include "absl/time/time.h"

namespace cuminjunction {

struct EvacuatedDomains {
  std::set<std::string> names;

  bool operator==(const EvacuatedDomains&) const = default;

  bool Contains(const std::string& failure_domain) const {
    return this->names.contains(failure_domain);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->names);
  }
};

// How long after the end of an evacuation the VMs of the domain offer a part of
// their capacity, and the part that they offer at first; see rule 5 of part 1
// in docs/evacuation-and-overload.md.
inline constexpr absl::Duration kReturnDuration = absl::Seconds(4);
inline constexpr double kFirstOfferedShare = 0.25;

// Failure domains whose evacuation ended a short time ago. An immutable value.
struct DomainReturns {
  // By domain: when its VMs offer their whole capacity again.
  std::map<std::string, absl::Time> full_capacity_at;

  bool operator==(const DomainReturns&) const = default;

  // The value after the set of evacuated domains has changed at `now`. A domain
  // that is evacuated again is left out, as are those that have returned.
  DomainReturns After(const EvacuatedDomains& before,
                      const EvacuatedDomains& after,
                      absl::Time now) const;

  // InfinitePast() for a domain that is not returning.
  absl::Time FullCapacityAt(const std::string& failure_domain) const;
};

// Share of its capacity that a VM offers to new tasks: kFirstOfferedShare at
// the end of the evacuation, growing to 1 at `full_capacity_at`.
double OfferedShare(absl::Time full_capacity_at, absl::Time now);

}  // namespace cuminjunction

#endif  // SUBMISSION_EVACUATION_H_
