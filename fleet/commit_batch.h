#ifndef FLEET_COMMIT_BATCH_H_
#define FLEET_COMMIT_BATCH_H_

// Combines independent commits into one transaction of the store, and splits
// its reply.
//
//   StoreCommit batch;
//   if (CanMerge(batch, commit))
//     Merge(commit, &batch);
//   ...
//   if (HasConflict(commit, reply.rows)) ...
//
// Load pattern: a store that takes hundreds of milliseconds for a transaction
// carries those of one part out one after another, three to five a second. A
// transaction for each submission then fills the store's queue, and the store
// refuses the planner's commits as well. One transaction takes as long for 20
// submissions as for one.

#include <vector>

#include "platform/store.h"

namespace cuminjunction {

// True if the batch has room for the commit, and the two share no row: the
// outcome of one must not depend on the other.
bool CanMerge(const StoreCommit& batch, const StoreCommit& commit);

// Appends the rows of the commit to the batch.
void Merge(const StoreCommit& commit, StoreCommit* batch);

// True if a row that the commit expects is not in the expected version. `rows`
// are the expected rows of a refused batch that exist.
bool HasConflict(const StoreCommit& commit, const std::vector<StoreRow>& rows);

// The reply to one commit of a batch: that of the batch, with the rows that the
// commit expects.
CommitReply ReplyTo(const StoreCommit& commit, const CommitReply& batch_reply);

}  // namespace cuminjunction

#endif  // FLEET_COMMIT_BATCH_H_
