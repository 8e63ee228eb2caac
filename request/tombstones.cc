#include "request/tombstones.h"

#include <algorithm>

namespace cuminjunction {

Tombstones::Verdict Tombstones::Admit(const AttemptId& id,
                                      absl::Time deadline,
                                      absl::Time now) {
  this->RemoveExpired(now);
  const auto found = this->ids.find(id);
  if (found != this->ids.end())
    return found->second ? Verdict::kBlocked : Verdict::kDuplicate;
  const bool is_expired = now >= deadline;
  this->FindOrAdd(id, std::max(deadline, now)) = is_expired;
  return is_expired ? Verdict::kExpired : Verdict::kNew;
}

void Tombstones::Block(const AttemptId& id,
                       absl::Time deadline,
                       absl::Time now) {
  this->RemoveExpired(now);
  this->FindOrAdd(id, std::max(deadline, now)) = true;
}

bool& Tombstones::FindOrAdd(const AttemptId& id, absl::Time deadline) {
  const auto [entry, is_new] = this->ids.try_emplace(id, false);
  if (is_new)
    this->expiries.Add(deadline + kMaxClockSkew, id);
  return entry->second;
}

void Tombstones::RemoveExpired(absl::Time now) {
  while (const std::optional<AttemptId> id = this->expiries.PopDue(now))
    this->ids.erase(*id);
}

}  // namespace cuminjunction
