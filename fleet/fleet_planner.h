#ifndef FLEET_FLEET_PLANNER_H_
#define FLEET_FLEET_PLANNER_H_

// The planner of submissions in an entry. It claims the lease when no other
// entry plans, loads the state from the store, connects to all processes and
// carries out the Scheduler's decisions.
//
//   FleetPlanner planner(&context, &store, "front-1", delay, retention, &log,
//                        &metrics);
//   planner.SetPolicy(policy);
//   planner.Tick(view);   // every 100 ms, with the entry's PlannerView
//
// It lets each agent keep its runner running by grants, which it renews with
// each ping. While its commits succeed they are short, so that the work of a
// lost VM soon starts again elsewhere. While no entry reaches the store it
// makes long grants, so that no work is lost to the outage. A new planner waits
// until the grants that its predecessor may have made have expired before it
// starts tasks that may still run on workers that have not reported. The wait
// is shorter if long grants are ruled out.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/log.h"
#include "base/metrics.h"
#include "fleet/commit_batcher.h"
#include "fleet/fleet_message.h"
#include "fleet/planner_lease.h"
#include "fleet/planner_nodes.h"
#include "fleet/stored_fences.h"
#include "fleet/vacant_workers.h"
#include "platform/store.h"
#include "submission/evacuation.h"
#include "submission/policy.h"
#include "submission/prior_starts.h"
#include "submission/scheduler.h"

namespace cuminjunction {

// An entry's view of the current planner, which may be in another process.
// Times are by the boot clock.
struct PlannerView {
  // The planner has a connection to the entry.
  bool connected = false;
  absl::Time last_ping = absl::InfinitePast();
  // When the entry last reported to a planner that it does not reach the store,
  // or when it started.
  absl::Time last_unreachable_report = absl::InfinitePast();
  // The highest epoch that the entry has received.
  uint64_t epoch = 0;
  // The planner's last ping reported that its commits fail.
  bool commits_failing = false;
  // PolicyFollower::AsOf().
  absl::Time evacuations_as_of = absl::InfinitePast();
};

// Returns true if no long grant can be in force at `now`. A planner makes long
// grants only while every entry reports that it does not reach the store, and
// the entry that calls this last reported so, or started, at
// `last_unreachable_report`.
bool RulesOutLongGrants(absl::Time last_unreachable_report, absl::Time now);

class FleetPlanner {
 public:
  // The pointers must outlive this object. `claim_delay` is the result of
  // ClaimDelay(). The rows of a submission are removed `retention` after it has
  // ended. `evacuation_bound` is FleetSettings::evacuate_ms.
  FleetPlanner(boost::asio::io_context* context,
               Store* store,
               const std::string& vm,
               absl::Duration claim_delay,
               absl::Duration retention,
               absl::Duration evacuation_bound,
               Log* log,
               Metrics* metrics);

  // Sets the configuration. The process does not plan before the first call.
  void SetPolicy(const FleetPolicy& policy);

  // Orders submissions by WeightedWorkRule from the next takeover on.
  void EnableOverloadControl() { this->overload_control = true; }

  // Replaces the set of evacuated failure domains, also for the times when this
  // process plans later. Tells the agents at once.
  void SetEvacuations(const EvacuatedDomains& domains);

  // Claims the lease if no other entry plans. While this process plans, sends
  // pings, expires grants and queries, and plans.
  void Tick(const PlannerView& view);

  // Releases the lease, so that another entry can take over at once, and stops
  // planning. Then calls `done`. From when the release was sent on, neither
  // grants nor orders are sent, also while its reply is awaited.
  void Shutdown(std::function<void()> done);

  bool IsPlanning() const { return this->scheduler != nullptr; }

 private:
  struct LoadedRows;
  // A query to the adviser that is not answered yet.
  struct SentQuery {
    PermitQuery query;
    // VM of the agent that asks the adviser.
    std::string vm;
    absl::Time sent;
    absl::Time deadline;
  };

  // A message that waits for a read of the submissions.
  struct DeferredMessage {
    FleetMessage message;
    // The first read that was sent after the message had arrived.
    uint64_t read = 0;
  };

  struct SentStart {
    // StartRuns::number of the message.
    uint64_t number = 0;
    TaskRef task;
    uint32_t run = 0;
  };
  // Starts that were sent on a connection and may be in transit.
  struct SentStarts {
    uint64_t last_number = 0;
    std::deque<SentStart> runs;
    // RemoveEndedStarts() acts once there are this many.
    size_t next_removal_size = 0;
  };

  // Sets `failing_epoch` to the epoch of the current planner if it reported
  // that its commits fail, else to 0.
  bool ShouldClaim(const PlannerView& view,
                   absl::Time now,
                   uint64_t* failing_epoch);
  void OnClaimed(uint64_t epoch);
  void StepDown();
  void LoadNext(const std::shared_ptr<LoadedRows>& rows);
  void OnLoaded(const std::shared_ptr<LoadedRows>& loaded);
  // Reads all pages of a table. `done` is not called once the term has changed.
  void ReadTable(const std::string& table,
                 std::function<void(RowsReply&&)> done);
  void ReadPage(const std::string& table,
                const std::string& from,
                std::shared_ptr<RowsReply> pages,
                std::function<void(RowsReply&&)> done);
  // Reads all rows of a table that changed after this version, or the whole
  // table for version 0. Fails with kHistoryGone like Store::Feed().
  void ReadChanges(const std::string& table,
                   int64_t version,
                   std::function<void(RowsReply&&)> done);
  void ReadFeedPart(const std::string& table,
                    int64_t version,
                    std::shared_ptr<RowsReply> parts,
                    std::function<void(RowsReply&&)> done);
  // Connects to a node whose row has changed since the tables were loaded. If
  // it is an agent without a row then, waits for the tasks that the planner
  // before may have started there.
  void AddChangedNode(const std::string& vm, const NodeRow& row);
  void ApplyNodeRows(const std::vector<StoreRow>& rows);
  void FollowNodeFeed();
  // Reads submissions and cancellations whose notices were lost.
  void ReconcileFromFeeds(absl::Time now);
  void ReconcileTable(const std::string& table);
  void AddSubmissionRow(const StoreRow& row);
  // Adds a submission of which an earlier planner may have started tasks.
  void AddSubmission(const Submission& submission,
                     const std::optional<Progress>& progress);
  void AddEnded(const SubmissionRow& row, absl::Time now, absl::Time wall);
  void RemoveExpiredSubmissions(absl::Time now);
  // Removes old cancellations of submissions that were never stored. Returns
  // true if there may be more.
  bool RemoveEarlyCancellations(absl::Time now);
  // Reads the fences at a low rate, and removes old ones.
  void RemoveFences(absl::Time now);
  void OnNodeMessage(const std::string& vm, FleetMessage&& message);
  // Defers a message until the submissions that it names have been read and a
  // grant may be made to the node, and with it all later messages of that node.
  // Returns false if that is not necessary.
  bool DeferMessage(const std::string& vm, FleetMessage* message);
  // Queues a message behind the deferred ones of its node.
  void Defer(const std::string& vm, FleetMessage&& message);
  // Returns false if the message names a submission that the planner does not
  // have, so that it has to be read first.
  bool HasSubmissionsOf(const FleetMessage& message) const;
  // Reads the submissions for the deferred messages, unless that is under way.
  void ReadUnknownSubmissions();
  // Handles the messages that had arrived when this read was sent, and those
  // whose submissions are known. The others wait for the next read.
  void HandleDeferredMessages(uint64_t read);
  void HandleNodeMessage(const std::string& vm, FleetMessage&& message);
  void OnStoreRequest(const std::string& vm, const StoreRequest& request);
  // Stores or fences a submission for an entry that the store refuses, and
  // sends it the outcome.
  void CommitForEntry(const std::string& vm, const StoreRequest& request);
  void OnCommittedForEntry(const std::string& vm,
                           const StoreRequest& request,
                           CommitReply&& reply);
  void OnWorkerNotice(const std::string& vm, WorkerNotice&& notice);
  void DescribeTo(const std::string& vm);
  // Writes lines on the long-running tasks that have had no run for long, with
  // what keeps them from each VM.
  void LogHeldTasks(absl::Time now);
  // Writes a line for each evacuation that has begun or ended since the last
  // call. A planner that has just started knows no VMs yet, and waits.
  void LogEvacuations(absl::Time now);
  void LogEvacuation(const char* event, const std::string& domain);
  // Writes a line when the planner stops or resumes ordering starts because its
  // knowledge of the evacuations is too old.
  void UpdateStartsHeld(absl::Time now);
  // Writes a line for each crash that counted against the task.
  void LogGivenUp(const GivenUpTask& given_up);
  // Stores that nothing can run on the worker.
  void MarkVacant(const std::string& vm);
  // Removes that mark, after which grants can be made to the worker.
  void ClearVacancy(const std::string& vm);
  void SchedulePlan();
  void PlanAndSend();
  void SendOrders(const Orders& orders);
  // Removes the sent starts of runs that are no longer placed on the VM. All
  // others may be in transit, however many they are.
  void RemoveEndedStarts(const std::string& vm, SentStarts* starts) const;
  void SendQuery(const PermitQuery& query, absl::Time now);
  void OnPermitAnswer(const PermitAnswer& answer);
  // Fails the queries for which `should_fail` returns true.
  void FailQueries(const std::function<bool(const SentQuery&)>& should_fail,
                   absl::Time now);
  // Commits changed progress and final states, then confirms the ended runs.
  void Flush();
  void SendStates(const std::vector<StateChange>& changes);
  void SendWaitingCounts(absl::Time now);
  // Sends a CapacityNotice, and sets the gauges of capacity and backlog.
  void SendServiceLoads(absl::Time now);
  void SetLoadGauges(const std::vector<ServiceLoad>& loads);
  absl::Duration CurrentGrant(absl::Time now) const;
  // Returns the latest deadline of the grants that the previous planner made.
  absl::Time InheritedGrantDeadline(bool long_grants_made) const;
  void OnNoLongGrants();
  // Returns true if the last successful commit was too long ago. No submission
  // is added then; see PriorStarts.
  bool CommitsFailing(absl::Time now) const;
  // Resolves the submission of a row that no earlier planner can have started.
  void ResolveIfNew(const StoreRow& row);
  // Reads the newest submissions often while tasks wait for silent workers.
  absl::Duration ReconcileInterval() const;

  boost::asio::io_context* context;
  Store* store;
  // Sends the commits of submissions that the planner stores for entries.
  CommitBatcher batcher;
  std::string vm;
  absl::Duration retention;
  absl::Duration evacuation_bound;
  bool overload_control = false;
  Log* log;
  Counter& starts_total;
  Counter& stops_total;
  // Of these, long-running tasks that move out of an evacuated domain.
  Counter& evacuation_moves_total;
  Counter& ends_total;
  Counter& takeovers_total;
  // Long-running tasks that have had no run for kHeldAfter.
  Gauge& held_tasks;
  // Evacuated failure domains; 0 unless this process plans.
  Gauge& evacuated_domains;
  Metrics* metrics;
  // Labels of the gauges of the last notice, which are set to 0 if the next one
  // lacks them.
  std::map<std::string, std::set<std::string>> load_labels;
  // Time from when a step could start until the order for each of its tasks.
  Histogram& start_wait_seconds;
  // Time from the end of a run, or another change, until it is stored.
  Histogram& store_wait_seconds;
  // Time from the claim of the lease until all tables are loaded.
  Histogram& load_seconds;
  FleetPolicy policy;
  EvacuatedDomains evacuations;
  // PlannerView::evacuations_as_of of the last tick.
  absl::Time evacuations_as_of = absl::InfinitePast();
  // The evacuations that have a line, and the time from which lines are
  // written.
  EvacuatedDomains logged_evacuations;
  absl::Time evacuation_lines_from = absl::InfiniteFuture();
  bool starts_held = false;
  PlannerNodes nodes;
  PlannerLease lease;
  boost::asio::steady_timer plan_timer;
  bool plan_scheduled = false;
  // Delay before the next plan.
  absl::Duration plan_pause;
  bool stopping = false;
  // PlannerView::last_unreachable_report of the last tick.
  absl::Time last_unreachable_report = absl::InfinitePast();
  // Long grants of an earlier planner may be in force.
  bool long_grants_possible = true;
  // Number of the period in which this process plans; grows with each claim and
  // each end, so that replies to calls of an earlier period are ignored.
  uint64_t term = 0;
  // Since when the current planner has had no connection to this entry.
  absl::Time disconnected_since = absl::InfinitePast();
  // What the planners before the current term can have started.
  PriorStarts prior_starts{absl::InfiniteFuture()};
  // Not null while this process plans.
  std::unique_ptr<Scheduler> scheduler;
  // Version up to which each table was read; 0 to read the whole table again.
  std::map<std::string, int64_t> feed_versions;
  // Tables that ReconcileTable() is reading.
  std::set<std::string> feeds_in_progress;
  absl::Time next_reconcile = absl::InfinitePast();
  absl::Time next_waiting_notice = absl::InfinitePast();
  absl::Time next_removal = absl::InfinitePast();
  absl::Time next_held_check = absl::InfinitePast();
  absl::Time next_fence_read = absl::InfinitePast();
  StoredFences fences;
  // Held tasks that have a line, and when they get the next one.
  std::map<TaskRef, absl::Time> held_lines;
  // Progress rows of submissions whose final state is stored, to be removed
  // with the next commit.
  std::vector<StoreRemove> stale_progress;
  // By VM.
  std::map<std::string, SentStarts> sent_starts;
  // Messages that wait for a read of the submissions, in order, by VM.
  std::map<std::string, std::deque<DeferredMessage>> deferred;
  VacantWorkers vacant;
  bool reading_submissions = false;
  // Number of reads for deferred messages that were sent.
  uint64_t submission_reads = 0;
  uint64_t next_query_number = 1;
  std::map<uint64_t, SentQuery> queries;
  // Ended runs to confirm after the next commit, by VM: RunnerInfo::born_ms of
  // the runner's incarnation and the number of the last run.
  std::map<std::string, std::pair<int64_t, uint64_t>> ends_to_confirm;
};

}  // namespace cuminjunction

#endif  // FLEET_FLEET_PLANNER_H_
