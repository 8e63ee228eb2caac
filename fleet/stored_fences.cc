#include "fleet/stored_fences.h"

#include <utility>

#include "fleet/node_row.h"

namespace cuminjunction {

void StoredFences::Update(const std::vector<StoreRow>& rows, absl::Time now) {
  absl::flat_hash_map<std::string, Fence> updated;
  for (const StoreRow& row : rows) {
    if (row.deleted)
      continue;
    const auto known = this->fences.find(row.key);
    const bool same =
        known != this->fences.end() && known->second.version == row.version;
    updated[row.key] = {row.version, same ? known->second.first_seen : now};
  }
  this->fences = std::move(updated);
}

std::optional<StoreCommit> StoredFences::Removal(absl::Time now) const {
  StoreCommit commit;
  for (const auto& [key, fence] : this->fences) {
    if (now - fence.first_seen < this->keep)
      continue;
    commit.expects.push_back({kFenceTable, key, fence.version});
    commit.removes.push_back({kFenceTable, key});
    if (commit.removes.size() >= kMaxRemovals)
      break;
  }
  if (commit.removes.empty())
    return std::nullopt;
  return commit;
}

}  // namespace cuminjunction
