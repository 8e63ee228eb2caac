#ifndef SUBMISSION_EVACUATION_H_
#define SUBMISSION_EVACUATION_H_

// Failure domains that the operator has evacuated: no task starts there until
// the evacuation has ended.
//
//   EvacuatedDomains domains{{"erie-a"}};
//   scheduler.SetEvacuations(domains, now);
//   if (domains.Contains(info.failure_domain)) ...
//
// The operator's rows in the store are the only lasting state. Entries read
// them, a planner uses the set of its own entry and sends it to all agents.

#include <set>
#include <string>

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

}  // namespace cuminjunction

#endif  // SUBMISSION_EVACUATION_H_
