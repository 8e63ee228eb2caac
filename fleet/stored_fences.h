#ifndef FLEET_STORED_FENCES_H_
#define FLEET_STORED_FENCES_H_

// The fences in the store as a planner sees them, and which of them are old
// enough to be removed.
//
//   StoredFences fences;
//   fences.Update(reply.rows, now);       // the whole table
//   if (const auto commit = fences.Removal(now)) store->Commit(*commit, ...);
//
// A fence is kept until no copy of an earlier write can arrive any more. Its
// age counts from when this planner first saw this version of it, so that
// neither the clocks of other VMs nor a change of planner makes it older.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "platform/store.h"

namespace cuminjunction {

// The platform carries calls out up to 12 s late. The rest covers a request on
// its way to the planner and a process that was frozen meanwhile.
inline constexpr absl::Duration kFenceTime = absl::Seconds(30);

class StoredFences {
 public:
  explicit StoredFences(absl::Duration keep = kFenceTime) : keep(keep) {}

  // Sets the rows of the table. A row that was there with the same version
  // keeps its age.
  void Update(const std::vector<StoreRow>& rows, absl::Time now);

  // Returns the transaction that removes fences of sufficient age, at most
  // `kMaxRemovals` of them, or nullopt if there are none. It expects each in
  // the version that is old enough: a fence that was written anew in the
  // meantime is kept.
  std::optional<StoreCommit> Removal(absl::Time now) const;

  size_t Count() const { return this->fences.size(); }

  static constexpr size_t kMaxRemovals = 90;

 private:
  struct Fence {
    int64_t version = 0;
    absl::Time first_seen;
  };

  absl::Duration keep;
  absl::flat_hash_map<std::string, Fence> fences;
};

}  // namespace cuminjunction

#endif  // FLEET_STORED_FENCES_H_
