#ifndef FLEET_PLANNER_LEASE_H_
#define FLEET_PLANNER_LEASE_H_

// The planner's lease, and the planner's commits to the store under it.
//
//   PlannerLease lease(&context, &store, "erie-a-1", &log, handlers);
//   lease.Claim(/*failing_epoch=*/0);     // calls on_claimed when it is held
//   lease.Write(puts, [] { ... });        // called when the rows are stored
//
// Every commit writes the lease row with the next sequence number and expects
// the version of the previous commit. The commits of one planner are thus a
// single chain, and a planner that was replaced can't write. A commit whose
// reply was lost is sent again unchanged. If the first copy was carried out,
// the second one fails with a conflict that returns the lease row, whose
// sequence number is then that of the commit.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/codec.h"
#include "base/log.h"
#include "platform/store.h"

namespace cuminjunction {

// Content of the lease row.
struct LeaseRow {
  uint64_t epoch = 0;
  std::string holder;
  uint64_t sequence = 0;
  // The holder has released the lease; another process may claim it at once.
  bool released = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->holder, this->sequence, this->released);
  }
};

// Validity of the lease from the time at which its last successful commit was
// sent. Within it the planner may grant agents time to keep their runners
// running. The platform's `leaseMs` is 3 s on each site.
inline constexpr absl::Duration kLeasePeriod = absl::Seconds(3);

// Time for which an entry that could claim the lease leaves it to others. An
// entry with a small part of a processor waits longer, since its plans and its
// answers to 200 processes take longer; it still plans when the others are
// gone. At most 250 ms.
absl::Duration ClaimDelay(double processor_share);

struct PlannerLeaseHandlers {
  // The lease was claimed, and is held under this epoch.
  std::function<void(uint64_t epoch)> on_claimed;
  // A commit conflicted because another planner holds the lease.
  std::function<void()> on_lease_lost;
};

class PlannerLease {
 public:
  // `context`, `store` and `log` must outlive this object. `claim_delay` is the
  // result of ClaimDelay().
  PlannerLease(boost::asio::io_context* context,
               Store* store,
               std::string holder,
               absl::Duration claim_delay,
               Log* log,
               PlannerLeaseHandlers handlers);

  // Tries to claim the lease. Succeeds only if there is no lease row, or the
  // row has not changed between two calls that are far enough apart, was
  // released, names this holder (an earlier process of this VM), or has the
  // epoch `failing_epoch`, whose planner reported that its commits fail. 0
  // means that no planner has reported this. Unless the row names this holder,
  // this must have been so for the claim delay. Does nothing while a claim is
  // under way.
  void Claim(uint64_t failing_epoch);

  // Reads the lease row, at most every 300 ms, so that a claim that follows
  // knows for how long it has not changed. Does nothing while a claim is under
  // way.
  void Observe();

  // Queues rows to store and rows to remove, and calls `done` once these and
  // all rows queued before are committed. Rows that do not fit into one commit
  // are committed in the order of their tables' names. `done` is not called if
  // the lease is lost first.
  void Write(std::vector<StorePut> puts, std::function<void()> done) {
    this->Write(std::move(puts), {}, std::move(done));
  }
  void Write(std::vector<StorePut> puts,
             const std::vector<StoreRemove>& removes,
             std::function<void()> done);

  // Renews the lease with an empty commit unless another commit has done so
  // recently.
  void Renew();

  // Commits the queued rows and releases the lease with the last commit. `done`
  // is called also when the lease is lost before.
  void Release(std::function<void()> done);

  // Drops the lease and all queued rows without a write to the store, for a
  // planner that has learned that it was replaced.
  void Drop();

  bool IsHeld() const { return this->held; }
  // A claim is under way.
  bool IsClaiming() const { return this->claiming; }
  uint64_t Epoch() const { return this->row.epoch; }
  // True once the commit that releases the lease was sent: another entry may
  // hold the lease, though this one has had no reply.
  bool MayBeReleased() const { return this->held && this->row.released; }
  // Expiry of the lease by the boot clock.
  absl::Time Expiry() const { return this->last_commit_time + kLeasePeriod; }
  // Upper bound of the time of the last commit of all previous holders, by the
  // boot clock.
  absl::Time PredecessorLastCommit() const {
    return this->predecessor_last_commit;
  }
  // True if no earlier planner made a grant after PredecessorLastCommit(). The
  // previous holder was then an earlier process of this VM, which had ended,
  // and had held the lease for longer than those before it could grant.
  bool NoGrantAfterLastCommit() const {
    return this->no_grant_after_last_commit;
  }
  // Time at which the last successful commit was sent, by the boot clock; if a
  // repetition showed that an earlier copy was carried out, that of the first.
  absl::Time LastCommitTime() const { return this->last_commit_time; }

 private:
  // A lease row of another holder, and when this process first read this
  // version of it.
  struct Observation {
    int64_t version = 0;
    absl::Time first_seen;
  };

  void OnRead(RowsReply&& reply, uint64_t failing_epoch);
  // Notes when this process first read this version of another holder's row.
  void NoteVersion(int64_t read_version, absl::Time now);
  // Returns true once the lease with this row version, 0 for none, has been
  // free for the claim delay.
  bool HasWaited(int64_t free_version, absl::Time now);
  void SendClaim();
  void ScheduleCommit();
  void SendCommit();
  // Sends the commit under way, or sends it again.
  void SendCopy();
  // True if the commit with this lease row is under way. Drop() does not end
  // calls, so that the answer to an earlier commit may arrive later.
  bool IsInFlight(uint64_t epoch, uint64_t sequence) const;
  void OnCommitReply(CommitReply&& reply, absl::Time sent);
  void OnCommitted(int64_t version, absl::Time sent);
  void ScheduleRetry();
  // Returns the decoded lease row and its version from the rows of a conflict.
  std::optional<std::pair<LeaseRow, int64_t>> FindLeaseRow(
      const std::vector<StoreRow>& rows) const;

  Store* store;
  std::string holder;
  absl::Duration claim_delay;
  Log* log;
  PlannerLeaseHandlers handlers;
  boost::asio::steady_timer timer;
  const absl::Time process_started;
  // This process has tried to claim the lease, so that a row with its name may
  // be its own.
  bool claim_sent = false;
  // The last epoch that this process has tried to claim, and the first time.
  uint64_t first_claim_epoch = 0;
  absl::Time first_claim_sent = absl::InfinitePast();
  bool no_grant_after_last_commit = false;
  absl::Time next_observation = absl::InfinitePast();
  std::optional<Observation> observed;
  // When this process first could have claimed the lease.
  std::optional<Observation> first_free;
  absl::Time predecessor_last_commit = absl::InfinitePast();
  bool claiming = false;
  bool held = false;
  // Lease row that the commit under way writes, or that the last one wrote.
  LeaseRow row;
  // Version of the lease row that the commit under way expects.
  int64_t version = 0;
  absl::Time last_commit_time = absl::InfinitePast();
  absl::Time last_sent = absl::InfinitePast();
  // The commit under way with its callbacks, and the queue for later commits.
  bool in_flight = false;
  // The last commit had no answer in time, or a late one.
  bool store_is_slow = false;
  bool commit_scheduled = false;
  bool releasing = false;
  StoreCommit commit;
  // When its first copy was sent.
  absl::Time commit_sent = absl::InfinitePast();
  std::vector<std::function<void()>> commit_callbacks;
  // Values by table and key; a row without a value is to be removed.
  std::map<std::pair<std::string, std::string>, std::optional<std::string>>
      queued;
  std::vector<std::function<void()>> queued_callbacks;
  std::function<void()> on_released;
};

}  // namespace cuminjunction

#endif  // FLEET_PLANNER_LEASE_H_
