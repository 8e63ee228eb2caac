#include "request/tombstones.h"

#include <algorithm>

namespace cuminjunction {

Tombstones::Verdict Tombstones::Admit(const AttemptId& id,
                                      absl::Time deadline,
                                      absl::Time now) {
  this->Expire(now);
  const auto found = this->ids.find(id);
  if (found != this->ids.end())
    return found->second ? Verdict::kBuried : Verdict::kDuplicate;
  const bool is_late = now >= deadline;
  this->Remember(id, std::max(deadline, now)) = is_late;
  return is_late ? Verdict::kLate : Verdict::kNew;
}

void Tombstones::Bury(const AttemptId& id,
                      absl::Time deadline,
                      absl::Time now) {
  this->Expire(now);
  this->Remember(id, std::max(deadline, now)) = true;
}

bool& Tombstones::Remember(const AttemptId& id, absl::Time deadline) {
  const auto [entry, is_new] = this->ids.try_emplace(id, false);
  if (is_new)
    this->expiries.Add(deadline + kClockSkew, id);
  return entry->second;
}

void Tombstones::Expire(absl::Time now) {
  while (const std::optional<AttemptId> id = this->expiries.PopDue(now))
    this->ids.erase(*id);
}

}  // namespace cuminjunction
