// A planner's commits on behalf of entries that the store refuses, and its
// removal of fences.

#include <utility>

#include "base/time.h"
#include "fleet/fleet_planner.h"
#include "fleet/submission_commit.h"

namespace cuminjunction {

namespace {

// Timeout of a commit for an entry, which waits for 2.7 s (kRelayTimeout).
constexpr absl::Duration kCommitForEntry = absl::Milliseconds(2500);

// Interval of the reads of the fences. The table is nearly always empty, so the
// whole of it is read.
constexpr absl::Duration kFenceReadInterval = absl::Seconds(5);
constexpr absl::Duration kRemovalTimeout = absl::Seconds(2);

bool IsFence(const StoreRequest& request) {
  return request.kind == static_cast<uint8_t>(StoreRequestKind::kFence);
}

}  // namespace

void FleetPlanner::OnStoreRequest(const std::string& node,
                                  const StoreRequest& request) {
  if (request.kind != static_cast<uint8_t>(StoreRequestKind::kCancel)) {
    // A planner that was frozen may have been replaced, and the next one may
    // have removed a fence that keeps this request from being stored.
    if (BootClock().Now() >= this->lease.Expiry())
      return;
    this->CommitForEntry(node, request);
    return;
  }
  const std::string& id = request.submission.id;
  this->lease.Write(
      {{kCancellationTable, id, ""}}, {},
      [this, node, id, number = request.number] {
        this->scheduler->Cancel(id, BootClock().Now());
        this->nodes.Send(node, StoreDone{this->lease.Epoch(), number});
        this->SchedulePlan();
      });
}

void FleetPlanner::CommitForEntry(const std::string& node,
                                  const StoreRequest& request) {
  // Not written with the lease's rows, since another entry may have stored or
  // cancelled the submission. The entry repeats the request: what the reply to
  // a repeat here says would not be true of the first copy.
  this->batcher.Commit(
      IsFence(request)
          ? SubmissionFence(request.submission.id)
          : SubmissionWrite(request.submission, request.fence_version),
      kCommitForEntry,
      [this, term = this->term, node, request](CommitReply&& reply) {
        if (term == this->term && this->scheduler)
          this->OnCommittedForEntry(node, request, std::move(reply));
      });
}

void FleetPlanner::OnCommittedForEntry(const std::string& node,
                                       const StoreRequest& request,
                                       CommitReply&& reply) {
  const bool may_add = !this->CommitsFailing(BootClock().Now());
  const SubmissionReply result =
      IsFence(request) ? FenceReply(reply) : WriteReply(reply);
  if (result.outcome == SubmissionOutcome::kStored) {
    if (!reply.error && may_add)
      this->AddSubmission(request.submission, std::nullopt);
    for (const StoreRow& row : reply.rows) {
      if (row.table == kSubmissionTable && may_add)
        this->AddSubmissionRow(row);
    }
    this->log->Write(LogLine("submission_stored")
                         .Add("submission", request.submission.id)
                         .Add("entry", node)
                         .Add("row_version", result.version)
                         .Add("commits_failing", !may_add));
    this->SchedulePlan();
  } else {
    this->log->Write(LogLine("submission_not_stored", LogLevel::kWarning)
                         .Add("submission", request.submission.id)
                         .Add("entry", node)
                         .Add("fence", IsFence(request))
                         .Add("outcome", static_cast<uint64_t>(result.outcome))
                         .Add("error", reply.error));
  }
  this->nodes.Send(
      node, StoreDone{this->lease.Epoch(), request.number,
                      static_cast<uint8_t>(result.outcome), result.version});
}

void FleetPlanner::RemoveFences(absl::Time now) {
  if (now < this->next_fence_read)
    return;
  this->next_fence_read = now + kFenceReadInterval;
  this->ReadTable(kFenceTable, [this](RowsReply&& reply) {
    if (reply.error)
      return;
    const absl::Time read = BootClock().Now();
    this->fences.Update(reply.rows, read);
    const auto removal = this->fences.Removal(read);
    if (!removal)
      return;
    // Not written with the lease's rows: it depends on nothing but the versions
    // of the fences. After a conflict the next read shows the new versions.
    this->store->Commit(
        *removal, kRemovalTimeout,
        [this, count = removal->removes.size()](CommitReply&& committed) {
          this->log->Write(LogLine("fences_removed")
                               .Add("count", count)
                               .Add("error", committed.error));
        });
  });
}

}  // namespace cuminjunction
