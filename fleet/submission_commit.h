#ifndef FLEET_SUBMISSION_COMMIT_H_
#define FLEET_SUBMISSION_COMMIT_H_

// The transactions that store or fence a submission, and what their replies
// say.
//
//   store->Commit(SubmissionWrite(submission, fence_version), timeout,
//                 [](CommitReply&& reply) {
//                   switch (WriteReply(reply).outcome) ...
//                 });
//   store->Commit(SubmissionFence(id), timeout, ...);   // FenceReply(reply)
//
// A write expects neither a row nor a cancellation of the submission, and its
// fence in the version that the writer knows. A fence expects neither a row nor
// a cancellation. Once a fence is stored, no copy of an earlier write can take
// effect; a later write names the fence's version.

#include <cstdint>
#include <string>

#include "platform/store.h"
#include "submission/types.h"

namespace cuminjunction {

// The values are sent in StoreDone::outcome.
enum class SubmissionOutcome : uint8_t {
  // The submission's row is stored, by this transaction or another one.
  kStored = 0,
  // A cancellation is stored, so that no write takes effect.
  kCancelled = 1,
  // The fence is stored, so that no earlier write takes effect.
  kFenced = 2,
  // This write did nothing, since the fence has another version.
  kFenceChanged = 3,
  // This transaction did nothing: the store refused or did not receive it.
  kNotDone = 4,
  // This transaction may have been carried out, or may still be.
  kUnknown = 5,
};

struct SubmissionReply {
  SubmissionOutcome outcome = SubmissionOutcome::kUnknown;
  // Version of the submission's row with kStored and of the fence, 0 for none,
  // with kFenced and kFenceChanged; else 0.
  int64_t version = 0;
};

// `fence_version` is the version of the submission's fence; 0 for none.
StoreCommit SubmissionWrite(const Submission& submission,
                            int64_t fence_version);

StoreCommit SubmissionFence(const std::string& id);

// Interprets the reply to a SubmissionWrite().
SubmissionReply WriteReply(const CommitReply& reply);

// Interprets the reply to a SubmissionFence(). Never kFenceChanged.
SubmissionReply FenceReply(const CommitReply& reply);

}  // namespace cuminjunction

#endif  // FLEET_SUBMISSION_COMMIT_H_
