#ifndef FLEET_STORE_GATE_H_
#define FLEET_STORE_GATE_H_

// Decides when an entry sends which submission to the store, directly or
// through the planner, without a network, threads or clocks.
//
//   StoreGate gate;
//   if (!gate.Add(number, deadline, bytes, /*unresolved=*/false)) ...  // 503
//   const GateDecisions decisions = gate.Decide(conditions, now);
//   for (const StoreSend& send : decisions.sends) ...  // later gate.OnReply()
//
// Load pattern: the store answers slowly or not at all, while callers go on to
// hand submissions in. A submission that is sent then may end without a known
// outcome, so only a few are; the others wait, in the order of their deadlines,
// until the store has answered. One that was never sent is refused when the
// time left is too short for a slow store to answer. One whose outcome is
// unknown is sent again until its deadline, at last as a fence.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace cuminjunction {

struct StoreGateOptions {
  // The most sends without an answer on one route after which a submission is
  // sent for the first time. At 28 ms an answer from the other region, 8 of
  // them allow 285 a second.
  size_t max_in_flight = 8;
  // The same for repeats. The 16 connections to the store also serve the feeds
  // and the planner's commits.
  size_t max_in_flight_repeats = 12;
  // A submission without an answer for longer than this is late. Answers take
  // about 4 ms, and 28 ms from the other region.
  absl::Duration late_after = absl::Milliseconds(100);
  // A submission without an answer for longer than this is sent to the planner
  // as well, and those that wait are sent there instead; at once if an earlier
  // answer was lost and none came since. A slow store answers in 240 ms: the
  // planner would not be faster, and have the load of all entries.
  absl::Duration relay_after = absl::Milliseconds(300);
  // No further submission is sent on a route while this many of those sent are
  // late or have lost their answers.
  size_t max_unsettled = 2;
  // Limits of what waits, including what is sent: 0.1 of an entry's 160 MB.
  size_t max_pending = 256;
  size_t max_pending_bytes = 16 * 1024 * 1024;
  // A submission that was never sent is refused when less time is left: a slow
  // store answers in 240 ms.
  absl::Duration min_store_time = absl::Milliseconds(300);
  // A submission whose outcome is unknown is fenced instead of written when
  // less time is left. The row has up to 64 KiB, which take 52 ms at 10 Mbit/s.
  absl::Duration fence_time = absl::Milliseconds(300);
  // Shortest interval of repeats on one route, over all submissions: 40 a
  // second take about 0.01 of a core.
  absl::Duration repeat_interval = absl::Milliseconds(25);
  // Shortest time from a lost answer or a refusal to the submission's repeat.
  absl::Duration retry_delay = absl::Milliseconds(50);
  // How long a route is avoided after a refusal.
  absl::Duration refused_delay = absl::Milliseconds(100);
  // How long the planner is avoided after a request without an answer.
  absl::Duration planner_lost_delay = absl::Seconds(1);
  // The planner is avoided, also while the store is slow, if it has answered
  // nothing for this long while a request waits. A transaction of a slow store
  // takes 0.7 s, and a request may have to wait for the one before.
  absl::Duration planner_silent_after = absl::Milliseconds(1200);
  // Interval of reads that find out whether the store answers again.
  absl::Duration probe_interval = absl::Milliseconds(150);
  // How long after the deadline a reply that is due at the deadline is awaited.
  absl::Duration reply_slack = absl::Milliseconds(30);
};

enum class StoreRoute : uint8_t { kDirect = 0, kPlanner = 1 };
enum class StoreStep : uint8_t { kWrite, kFence };

struct StoreSend {
  uint64_t submission = 0;
  // Unique among all sends of a gate.
  uint64_t attempt = 0;
  StoreRoute route = StoreRoute::kDirect;
  StoreStep step = StoreStep::kWrite;
  absl::Time deadline;
};

// What the reply to a send says of the route and of the submission.
enum class SendResult : uint8_t {
  // The store decided on the transaction.
  kAnswered,
  // The store refused or did not receive it; it has no effect.
  kNotDone,
  // It may have been carried out, or may still be.
  kUnknown,
};

struct UnknownSubmission {
  uint64_t submission = 0;
  // Only requests to the planner are without an answer.
  bool only_relayed = false;
};

struct GateConditions {
  // The entry's reads of the store fail.
  bool reads_fail = false;
  // A planner is connected and its commits succeed.
  bool planner_available = false;
  // The planner is in this process, and reaches the store no better.
  bool planner_is_own = false;
  // Transactions take long, so that their number matters: all go to the
  // planner, which combines those of all entries, as long as it answers.
  bool store_is_slow = false;
};

// The submissions in `refused` and `unknown` are removed from the gate.
struct GateDecisions {
  std::vector<StoreSend> sends;
  // Never sent, or certainly not carried out.
  std::vector<uint64_t> refused;
  // Not settled by the deadline.
  std::vector<UnknownSubmission> unknown;
  // Read from the store, and report the result to OnProbe().
  bool probe = false;
};

class StoreGate {
 public:
  explicit StoreGate(const StoreGateOptions& options = {}) : options(options) {}

  // Adds a submission under a number that no other one has. Returns false if
  // too many wait already. With `unresolved` an earlier write of it may still
  // be carried out.
  bool Add(uint64_t submission,
           absl::Time deadline,
           size_t bytes,
           bool unresolved);

  // Removes a submission that is settled. Does nothing if it is not there.
  void Remove(uint64_t submission);

  // Moves all deadlines after this time, also of submissions that are added
  // later, to this time.
  void LimitDeadlines(absl::Time latest);

  GateDecisions Decide(const GateConditions& conditions, absl::Time now);

  // Reports the reply to a send that was made at `sent`, also of a submission
  // that was removed.
  void OnReply(const StoreSend& send,
               absl::Time sent,
               SendResult result,
               absl::Time now);

  // Reports whether the read that Decide() asked for, sent at `sent`, was
  // answered.
  void OnProbe(bool answered, absl::Time sent, absl::Time now);

  // True if a copy of the submission may have been, or may still be, carried
  // out. False if it is not there.
  bool IsUncertain(uint64_t submission) const;

  size_t PendingCount() const { return this->pending.size(); }
  // True if submissions that were never sent wait for the store's answer.
  bool IsHolding() const { return this->holding; }

 private:
  static constexpr size_t kRoutes = 2;

  // The last send of a submission on one route.
  struct Attempt {
    uint64_t number = 0;
    absl::Time sent = absl::InfinitePast();
    StoreStep step = StoreStep::kWrite;
    bool in_flight = false;
    // The answer was lost.
    bool lost = false;
    absl::Time next_send = absl::InfinitePast();
  };
  struct Pending {
    size_t bytes = 0;
    // An earlier write may have been, or may still be, carried out.
    bool unresolved = false;
    // A direct send is without an answer.
    bool direct_unknown = false;
    // Sends without a reply, on all routes.
    int outstanding = 0;
    std::array<Attempt, kRoutes> attempts;
  };
  struct Route {
    // Nothing shows that the store answers: a reply was lost, or reads fail.
    bool silent = false;
    // No first send before.
    absl::Time next_first = absl::InfinitePast();
    absl::Time next_repeat = absl::InfinitePast();
    // When the latest answer came.
    absl::Time last_answer = absl::InfinitePast();
    // The planner does not answer, and is not preferred before this time.
    absl::Time avoided_until = absl::InfinitePast();
    // Send time of the latest call that was answered.
    absl::Time proof = absl::InfinitePast();
    // Sends without a reply.
    size_t outstanding = 0;
    // Submissions that are late or have lost their answer.
    size_t unsettled = 0;
    // One of them has been sent longer ago than `relay_after`.
    bool stalled = false;
  };
  // Deadline and number.
  using Key = std::pair<absl::Time, uint64_t>;

  Pending* Find(uint64_t submission);
  bool IsLate(const Attempt& attempt, absl::Time now) const;
  void CountUnsettled(absl::Time now);
  // Finds out whether the planner has left a request without an answer.
  void WatchPlanner(absl::Time now);
  // True if a submission that was never sent may be sent on the route.
  bool IsOpen(const Route& route, absl::Time now) const;
  bool MaySend(const Key& key,
               const Pending& entry,
               StoreRoute route,
               StoreStep step,
               absl::Time now) const;
  StoreSend Send(const Key& key,
                 Pending* entry,
                 StoreRoute route,
                 StoreStep step,
                 absl::Time now);
  // Sends the submission on a route on which it may be sent. Returns false if
  // there is none.
  bool TrySend(const Key& key,
               Pending* entry,
               const GateConditions& conditions,
               absl::Time now,
               std::vector<StoreSend>* sends);

  StoreGateOptions options;
  std::map<Key, Pending> pending;
  absl::flat_hash_map<uint64_t, absl::Time> deadlines;
  size_t pending_bytes = 0;
  std::array<Route, kRoutes> routes;
  absl::Time latest_deadline = absl::InfiniteFuture();
  uint64_t next_attempt = 1;
  bool reads_failed = false;
  bool probing = false;
  absl::Time next_probe = absl::InfinitePast();
  bool holding = false;
};

}  // namespace cuminjunction

#endif  // FLEET_STORE_GATE_H_
