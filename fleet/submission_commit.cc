#include "fleet/submission_commit.h"

#include <string_view>

#include "base/codec.h"
#include "fleet/node_row.h"
#include "submission/progress.h"

namespace cuminjunction {

namespace {

const StoreRow* FindRow(const CommitReply& reply, std::string_view table) {
  for (const StoreRow& row : reply.rows) {
    if (row.table == table && !row.deleted)
      return &row;
  }
  return nullptr;
}

// Interprets a reply that is neither a success nor, with a conflict, one that
// shows the submission's row or its cancellation.
SubmissionReply CommonReply(const CommitReply& reply) {
  if (reply.error == PlatformError::kConflict) {
    if (const StoreRow* row = FindRow(reply, kSubmissionTable))
      return {SubmissionOutcome::kStored, row->version};
    if (FindRow(reply, kCancellationTable) != nullptr)
      return {SubmissionOutcome::kCancelled, 0};
    // The conflict is that of the last copy. An earlier one may be carried out
    // once the row that conflicts, such as a fence, is removed.
    return {reply.resent ? SubmissionOutcome::kUnknown
                         : SubmissionOutcome::kNotDone,
            0};
  }
  if (reply.error == PlatformError::kRefused ||
      reply.error == PlatformError::kNotSent)
    return {SubmissionOutcome::kNotDone, 0};
  return {SubmissionOutcome::kUnknown, 0};
}

}  // namespace

StoreCommit SubmissionWrite(const Submission& submission,
                            int64_t fence_version) {
  const std::string& id = submission.id;
  return {.expects = {{kSubmissionTable, id, 0},
                      {kCancellationTable, id, 0},
                      {kFenceTable, id, fence_version}},
          .puts = {{kSubmissionTable, id, Encode(SubmissionRow{submission})}}};
}

StoreCommit SubmissionFence(const std::string& id) {
  return {.expects = {{kSubmissionTable, id, 0}, {kCancellationTable, id, 0}},
          .puts = {{kFenceTable, id, ""}}};
}

SubmissionReply WriteReply(const CommitReply& reply) {
  if (!reply.error)
    return {SubmissionOutcome::kStored, reply.version};
  const SubmissionReply common = CommonReply(reply);
  if (reply.error != PlatformError::kConflict ||
      common.outcome != SubmissionOutcome::kNotDone)
    return common;
  const StoreRow* fence = FindRow(reply, kFenceTable);
  return {SubmissionOutcome::kFenceChanged,
          fence == nullptr ? 0 : fence->version};
}

SubmissionReply FenceReply(const CommitReply& reply) {
  if (!reply.error)
    return {SubmissionOutcome::kFenced, reply.version};
  return CommonReply(reply);
}

}  // namespace cuminjunction
