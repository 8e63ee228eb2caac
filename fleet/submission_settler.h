#ifndef FLEET_SUBMISSION_SETTLER_H_
#define FLEET_SUBMISSION_SETTLER_H_

// Brings the submissions of an entry to a definite outcome: stores or fences
// them, directly or through the planner, until their deadlines.
//
//   SubmissionSettler settler(&context, &store, &log, &metrics, handlers);
//   settler.Settle(submission, body.size(), deadline, /*unresolved=*/false,
//                  [](const SettledSubmission& settled) { ... });
//
// StoreGate decides what is sent when; submission_commit.h has the
// transactions.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "base/log.h"
#include "base/metrics.h"
#include "fleet/commit_batcher.h"
#include "fleet/fleet_message.h"
#include "fleet/store_gate.h"
#include "fleet/submission_commit.h"
#include "platform/store.h"
#include "submission/types.h"

namespace cuminjunction {

enum class SettledOutcome : uint8_t {
  kStored,
  // Cancelled before it was stored; never runs.
  kCancelled,
  // Neither sent to the store in time nor stored; never runs.
  kNotSent,
  // Not accepted, since too many submissions wait; never runs.
  kTooMany,
  // Fenced; never runs unless it is handed in again.
  kFenced,
  // Not settled by the deadline.
  kUnknown,
};

struct SettledSubmission {
  SettledOutcome outcome = SettledOutcome::kUnknown;
  // Version of the submission's row with kStored, of its fence with kFenced.
  int64_t version = 0;
  // With kUnknown: `store_slow`, `store_lost`, `relay_lost` or `stopping`.
  std::string_view cause = {};
};

struct SubmissionSettlerHandlers {
  std::function<GateConditions()> conditions;
  // Sends a request, of which the number is set here, to the planner. `done` is
  // called once, with kUnknown if no answer comes in time, and later than this
  // call. Returns false, without a call of `done`, if none is connected.
  std::function<bool(StoreRequest request,
                     absl::Time deadline,
                     std::function<void(const SubmissionReply&)> done)>
      relay;
};

class SubmissionSettler {
 public:
  using Done = std::function<void(const SettledSubmission&)>;

  // The pointers must outlive this object, and the event loop must have stopped
  // before it is destroyed.
  SubmissionSettler(boost::asio::io_context* context,
                    Store* store,
                    Log* log,
                    Metrics* metrics,
                    SubmissionSettlerHandlers handlers);

  // Calls `done` once the outcome is known, at the latest shortly after
  // `deadline`, perhaps from within this call. `bytes` is the size of the
  // caller's body. With `unresolved` an earlier write of the submission may
  // still be carried out.
  void Settle(const Submission& submission,
              size_t bytes,
              absl::Time deadline,
              bool unresolved,
              Done done);

  // The process stops: nothing is settled after this time.
  void Stop(absl::Time latest);

 private:
  struct Pending {
    Submission submission;
    int64_t fence_version = 0;
    Done done;
  };

  void Act();
  void ScheduleAct();
  void Send(const StoreSend& send);
  void OnReply(const StoreSend& send,
               absl::Time sent,
               const SubmissionReply& reply);
  // True if a copy of an attempt with this id, by whichever call, may have
  // been, or may still be, carried out.
  bool IsUncertain(const std::string& id) const;
  void Probe();
  void Finish(uint64_t number, const SettledSubmission& settled);
  std::string_view CauseOf(const UnknownSubmission& unknown) const;
  void LogHolding();

  Store* store;
  // Sends the writes and fences.
  CommitBatcher batcher;
  Log* log;
  SubmissionSettlerHandlers handlers;
  boost::asio::steady_timer timer;
  Counter& repeats_total;
  Gauge& waiting;
  StoreGate gate;
  uint64_t next_number = 1;
  std::map<uint64_t, Pending> pending;
  bool act_scheduled = false;
  // Act() is running, and is to run once more.
  bool acting = false;
  bool act_again = false;
  bool stopping = false;
  bool reads_fail = false;
  bool was_holding = false;
};

}  // namespace cuminjunction

#endif  // FLEET_SUBMISSION_SETTLER_H_
