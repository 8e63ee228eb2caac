#ifndef FLEET_FLEET_ENTRY_H_
#define FLEET_FLEET_ENTRY_H_

// An entry on the users' platform: accepts submissions from callers, answers
// queries of their state, and is a candidate for the planner's role.
//
//   Result<std::unique_ptr<FleetEntry>> entry = FleetEntry::Start(settings,
//   &log);
//   ...
//   entry.value()->Shutdown();
//
// An accepted submission has its row in the store. The row of a refused one is
// not stored and never will be. With neither certain, the answer is that the
// outcome is unknown.

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/random/random.h"
#include "absl/time/time.h"
#include "base/event_thread.h"
#include "base/http_front.h"
#include "base/log.h"
#include "base/metrics.h"
#include "fleet/fleet_planner.h"
#include "fleet/metrics_front.h"
#include "fleet/node_row.h"
#include "fleet/planner_port.h"
#include "fleet/policy_follower.h"
#include "fleet/submission_settler.h"
#include "platform/store.h"
#include "settings/settings.h"
#include "submission/policy.h"
#include "submission/types.h"

namespace cuminjunction {

class FleetEntry {
 public:
  // Starts the entry's thread. Fails with the system's error when the entry
  // can't listen on one of its addresses.
  static Result<std::unique_ptr<FleetEntry>> Start(const Settings& settings,
                                                   Log* log);
  ~FleetEntry();
  FleetEntry(const FleetEntry&) = delete;
  FleetEntry& operator=(const FleetEntry&) = delete;

  // Stops gracefully: reports not ready, releases the planner's lease, answers
  // the requests that still arrive, and closes the callers' connections.
  void Shutdown();

 private:
  // A cancel of a submission without a row. A row that is still on its way to
  // the store must not be stored after the answer, so the cancellation is.
  struct UnknownCancel {
    HttpExchange* exchange = nullptr;
    std::string id;
    absl::Time deadline;
    // An earlier commit of it may have been, or may still be, carried out.
    bool unresolved = false;
  };

  FleetEntry(const Settings& settings, Log* log);

  Status Listen();
  void Tick();
  void OnRequest(HttpExchange* exchange);
  void OnSubmit(HttpExchange* exchange,
                const Queue& queue,
                const std::string& id);
  void OnSettled(HttpExchange* exchange,
                 const Submission& submission,
                 const SettledSubmission& settled);
  void AcceptSubmission(HttpExchange* exchange,
                        const Submission& submission,
                        int64_t row_version);
  void OnStateQuery(HttpExchange* exchange, const std::string& id);
  void OnCancel(HttpExchange* exchange, const std::string& id);
  void SendCancel(HttpExchange* exchange,
                  const std::string& id,
                  absl::Time deadline);
  void FinishCancel(HttpExchange* exchange, const std::string& id);
  // Stores the waiting cancels of unknown submissions together, at once or when
  // the last such commit is long enough ago.
  void StoreUnknownCancels();
  void OnUnknownCancelsReply(std::vector<UnknownCancel>&& cancels,
                             std::error_code error);
  void FinishUnknownCancel(const UnknownCancel& cancel);
  // A planner is connected that may reach the store.
  bool MayPlannerStore() const;
  // Sends a request, of which the number is set here, to the planner. Returns
  // false, without a call of `done`, when no planner with a reachable store is
  // connected. `done` gets kUnknown when no answer came in time; the row may
  // still be stored later.
  bool RelayToPlanner(StoreRequest request,
                      absl::Time deadline,
                      std::function<void(const SubmissionReply&)> done);
  // Asks the planner to store a cancellation that the store refused from this
  // entry.
  bool RelayCancel(const std::string& id,
                   absl::Time deadline,
                   std::function<void(bool stored)> done);
  void OnWaitingCount(HttpExchange* exchange, const Queue& queue);
  // Reads a submission's state from the store; no value without a row.
  void ReadState(const std::string& id,
                 std::function<void(std::error_code,
                                    std::optional<SubmissionState>)> done);
  void OnReadyRequest(HttpExchange* exchange);
  void OnMessage(FleetMessage&& message);
  void OnPlannerConnected();
  void SetState(const std::string& id, SubmissionState state);
  absl::Duration Retention() const;
  // Removes entries of `expiry_queue` that are older than the retention, with
  // their ids in `unresolved_ids` and their final states.
  void RemoveExpired(absl::Time now);
  void Reply(HttpExchange* exchange, unsigned status, std::string body);
  void RecordAnswer(const HttpExchange& exchange, unsigned status);
  // `useful_within` limits the Retry-After of an answer 503 or 429.
  void Refuse(HttpExchange* exchange,
              unsigned status,
              const std::string& id,
              std::string_view reason,
              absl::Duration useful_within = absl::InfiniteDuration());
  // Sends the refusal; `retry_after_s` is 0 for none.
  void SendRefusal(HttpExchange* exchange,
                   unsigned status,
                   const std::string& id,
                   std::string_view reason,
                   int64_t retry_after_s);
  // Time within which a retry of a refused submission has any use.
  absl::Duration UsefulRetry(const Submission& submission) const;
  // Refuses a submission that certainly can't be of use; see
  // FindCertainBacklog(). Returns false, and does nothing, in case of doubt.
  bool RefuseIfOverloaded(HttpExchange* exchange,
                          const Queue& queue,
                          const Submission& submission);
  void OnCapacityNotice(CapacityNotice&& notice);
  // Notes whether the store is available.
  void FollowStoreOutage(absl::Time now);
  bool IsReady() const;

  Settings settings;
  Log* log;
  Metrics metrics;
  EventThread thread;
  boost::asio::steady_timer tick_timer;
  std::unique_ptr<Store> store;
  std::unique_ptr<NodeRegistration> registration;
  std::unique_ptr<PolicyFollower> follower;
  std::unique_ptr<FleetPlanner> planner;
  std::unique_ptr<PlannerPort> port;
  std::unique_ptr<SubmissionSettler> settler;
  std::unique_ptr<HttpFront> front;
  std::unique_ptr<HttpFront> ready_front;
  std::unique_ptr<MetricsFront> metrics_front;
  bool stopping = false;
  PlannerView view;
  absl::flat_hash_map<std::string, SubmissionState> states;
  // Submissions accepted within the last seconds, which are sent to a new
  // planner.
  std::deque<std::pair<absl::Time, Submission>> recently_accepted;
  // The same for submissions that were cancelled.
  std::deque<std::pair<absl::Time, std::string>> recently_cancelled;
  // Submissions whose row this entry may or may not have stored. A later
  // request for one must not be answered as refused.
  absl::flat_hash_set<std::string> unresolved_ids;
  // Submissions in the order in which they were added to `unresolved_ids` or
  // got a final state in `states`, with the time.
  std::deque<std::pair<absl::Time, std::string>> expiry_queue;
  // Cancels of unknown submissions that wait for the next commit of such.
  std::deque<UnknownCancel> unknown_cancels;
  absl::Time next_unknown_commit = absl::InfinitePast();
  bool unknown_commit_scheduled = false;
  // Callbacks of unanswered requests to the planner, by request number. The
  // first number is random, since the planner may still answer requests of an
  // earlier process of this VM.
  uint64_t next_relay_number;
  std::map<uint64_t, std::function<void(const SubmissionReply&)>>
      pending_relays;
  // Waiting submissions of each queue, and when the planner sent the counts.
  std::map<std::string, uint64_t> waiting_counts;
  absl::Time waiting_counts_at = absl::InfinitePast();
  // Last echo of this entry's clock in a ping: later messages of the planner
  // were sent after this time.
  absl::Time last_echo = absl::InfinitePast();
  // The last usable CapacityNotice by service, when it arrived, and a time
  // before which it was not sent.
  std::map<std::string, ServiceLoad> loads;
  absl::Time loads_received_at = absl::InfinitePast();
  absl::Time loads_sent_after = absl::InfinitePast();
  uint64_t loads_epoch = 0;
  // Since when the store has been unavailable; InfiniteFuture() while it is
  // not.
  absl::Time store_unavailable_since = absl::InfiniteFuture();
  // Spreads the callers that are told to return.
  absl::BitGen random;
};

}  // namespace cuminjunction

#endif  // FLEET_FLEET_ENTRY_H_
