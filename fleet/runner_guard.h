#ifndef FLEET_RUNNER_GUARD_H_
#define FLEET_RUNNER_GUARD_H_

// Controls the runner on an agent's VM: renews its lease, starts, stops and
// paces its runs, and reports which runs are active or have ended.
//
//   RunnerGuard guard(&context, &runner, options, &log, &metrics, handlers);
//   guard.Begin();
//   guard.SetGrantDeadline(deadline);  // from the planner's last ping
//   guard.Start(born_ms, order, text);
//   guard.ConfirmEnds(born_ms, 57);
//
// Only the guard sends orders to the runner. It never extends the runner's
// lease beyond the planner's grant, and repeats an order whose answer was lost
// until its outcome is certain. Its fencing token is the wall-clock time of its
// start in milliseconds, raised when the runner has seen a higher one. The
// previous guard of the VM has ended by then, so the two do not race.
//
// An order without an answer may be carried out seconds later, also by the next
// incarnation of the runner. Each order therefore names the incarnation that it
// is meant for. As an incarnation may have the id of an earlier one, the guard
// also raises its fence when it detects a new incarnation: only a list that
// follows tells for certain which of the earlier orders were carried out there.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
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
#include "fleet/fleet_message.h"
#include "platform/runner.h"
#include "submission/crash.h"
#include "submission/pace.h"
#include "submission/scheduler.h"
#include "submission/types.h"

namespace cuminjunction {

// Limit of the pairs of images that ExportPairs() returns. All agents send
// theirs at the same time to an entry that takes over.
inline constexpr size_t kMaxExportedPairs = 500;

struct RunnerGuardHandlers {
  // The runner's incarnation or its runs have changed in a way that the planner
  // learns only from a full report.
  std::function<void()> on_changed;
  // Runs of the incarnation `born_ms` have ended; each end is passed once.
  std::function<void(int64_t born_ms, std::vector<EndedRun>&& ends)> on_ended;
  // The start of the run was refused by the runner, or abandoned.
  std::function<void(const TaskRef& task, uint32_t run, StartOutcome outcome)>
      on_refused;
  std::function<void(const TaskRef& task)> on_started;
  // Latency ratios of the serving images and the load of the co-located filling
  // images, about four times a second.
  std::function<void(const std::vector<ServingLatency>& serving,
                     const FillingLoad& filling)>
      on_sample;
};

struct RunnerGuardOptions {
  // The longest lease that the runner accepts.
  absl::Duration max_lease;
};

class RunnerGuard {
 public:
  // The pointers must outlive this object.
  RunnerGuard(boost::asio::io_context* context,
              Runner* runner,
              const RunnerGuardOptions& options,
              Log* log,
              Metrics* metrics,
              RunnerGuardHandlers handlers);

  // Starts the renewals of the runner's lease.
  void Begin();

  // Sets the time, by the boot clock, up to which the planner lets the runner
  // keep its runs.
  void SetGrantDeadline(absl::Time deadline);

  // Sets whether the failure domain of the VM is evacuated. While it is, starts
  // are refused, and those that wait for a call to the runner are abandoned.
  void SetEvacuated(bool is_evacuated) { this->evacuated = is_evacuated; }

  // Starts a run on the incarnation `ordered_born_ms`. Calls on_refused at once
  // if that is not the present one, while the runner is lost or drains, if the
  // grant has less than 300 ms left, while the failure domain is evacuated or
  // after `deadline`. While an earlier run of the task may still run or start
  // there, the start waits until that run is stopped. It is abandoned when it
  // is not delivered to the runner by the deadline.
  void Start(int64_t ordered_born_ms,
             const RunOrder& order,
             const std::string& text,
             absl::Time deadline = absl::InfiniteFuture());

  // Stops a run, and abandons its start if that is pending.
  void Stop(const TaskRef& task, uint32_t run);

  // Ends up to number `last_stored_end` are stored, so the runner may forget
  // them. Ignored when `ends_born_ms` is not the runner's present incarnation.
  void ConfirmEnds(int64_t ends_born_ms, uint64_t last_stored_end);

  // Sets the image, size and kind of a run that was started before a restart of
  // the agent.
  void Describe(const RunOrder& order);

  // Merges the planner's evidence on pairs of images.
  void MergePairs(const std::vector<InterferenceEstimate>& pairs) {
    this->neighbours.Merge(pairs);
  }

  // The latest of the guard's own evidence on pairs of images and the merged
  // one.
  std::vector<InterferenceEstimate> ExportPairs() const {
    return this->neighbours.Export(kMaxExportedPairs);
  }

  // Sets the processor capacity of the VM, in thousandths of a core.
  void SetProcessors(int64_t millicores) { this->processors = millicores; }

  // Sets the id of an incarnation, from its heartbeat. Until that of the
  // present incarnation is known, starts are refused and the lease is not
  // renewed.
  void SetIncarnationId(const std::string& id, int64_t born_ms_of_id);

  // Handles the announcement of the incarnation `born_ms_of_leaving` that it is
  // shutting down. It may live on for some seconds, so its runs count until a
  // refused connection or the expiry of the lease shows their end. The
  // announcement may arrive late: it has no effect on other incarnations.
  void OnRunnerShutdown(int64_t born_ms_of_leaving);

  // Withdraws that announcement: it was of another incarnation with the same
  // id.
  void CancelShutdown(int64_t born_ms_of_ready);

  // True once the runner has reported its runs, or every lease that an earlier
  // agent may have given it has expired.
  bool AreRunsKnown() const { return this->runs_known; }

  // False from the expiry of the last lease, or the detection of a new
  // incarnation, until the next full report of the runner.
  bool IsRunnerAlive() const { return this->alive; }

  // Handles the word of an incarnation of the runner that it drains: its end is
  // no crash.
  void OnRunnerDraining(int64_t born_ms_of_draining) {
    this->draining_born_ms = born_ms_of_draining;
  }

  // The crashes of the runner in the last minute.
  std::vector<RunnerCrash> Crashes() const;

  // The runner's present incarnation has announced its shutdown.
  bool IsShuttingDown() const {
    const int64_t present =
        this->born_ms == 0 ? this->heard_born_ms : this->born_ms;
    return present != 0 && this->shutdown_born_ms == present;
  }

  // Start of the runner's present incarnation, by the runner; 0 before its
  // first answer.
  int64_t BornMs() const { return this->born_ms; }

  // The runs that the runner lists, and those whose start is pending.
  std::vector<ActiveRun> Running() const;

  // The ends that are not confirmed, or the first of them.
  const std::vector<EndedRun>& Ended() const { return this->ended; }

  // The runner may have ends that are not in Ended() yet. A run that is in
  // neither list may be one of these.
  bool HasMoreEnds() const { return this->more_ends; }

  // Ends all timers and callbacks. The runner keeps its present lease.
  void Close();

 private:
  struct PendingStart {
    RunOrder order;
    std::string text;
    // The incarnation that the start is meant for.
    std::string incarnation;
    absl::Time ordered_at;
    // No call that starts the run is sent after this time.
    absl::Time deadline;
    // The answer to an attempt was lost: the runner may have started the run,
    // or may still do so.
    bool unresolved = false;
    // Set when the start is abandoned: the outcome to report once it is certain
    // that the run is stopped.
    std::optional<StartOutcome> abandon_outcome;
    // When the runner confirmed the start. The start stays pending until a
    // report that was requested later lists the run.
    absl::Time accepted_at = absl::InfiniteFuture();
    // The runner has confirmed the start, at `accepted_at`.
    bool confirmed = false;
    // The runner has answered a stop of the run, and refuses late copies of the
    // start.
    bool stopped = false;
    uint32_t attempts = 0;
    // A line has told that the start has no answer.
    bool unanswered_logged = false;
  };
  struct RunDescription {
    // When the runner confirmed the start; unknown for a run that an earlier
    // process of the agent has started.
    std::optional<absl::Time> started_at;
    bool fills = false;
    int64_t latency_objective_ms = 0;
    std::string image;
    int64_t millicores = 0;
    int pace_percent = 100;
  };

  // Sends a call that renews the lease, confirms ends and reads the runs.
  void RenewLease();
  void RenewLeaseAfter(absl::Duration delay);
  void OnReport(RunnerReport&& report);
  // The id of the runner's present incarnation; empty if it is not known.
  std::string IncarnationId() const;
  OrderAddress Address() const { return {this->IncarnationId(), this->fence}; }
  // Raises the fence, so that the incarnation refuses all orders that were sent
  // before, once it has received a call under the new fence.
  void StartIncarnationChange(int64_t new_born_ms);
  void UpdateRuns(RunnerReport&& report, bool first_report);
  // Stops runs that were neither listed before nor have a pending start.
  void StopUnexpectedRuns(const std::map<TaskRef, RunningFigure>& before);
  // Writes a line for each run of the previous report that the runner no longer
  // lists, and whose end it does not list either.
  void LogVanishedRuns(const std::map<TaskRef, RunningFigure>& before);
  // Writes a line for each start that has had no answer for long.
  void LogUnansweredStarts(absl::Time now);
  // Removes the pending starts whose outcome the last report shows, and stops
  // the runs of those that it does not list: a copy may still be carried out.
  // While more ends may follow, starts that are not listed stay pending.
  void ResolveStarts();
  // Called when a call had no answer: declares the runner lost once every lease
  // has expired.
  void CheckLeaseExpiry(absl::Time now);
  // Replaces the runs of the present incarnation by those that the first list
  // of the next one shows.
  void OnNewIncarnation(const RunnerReport& report, absl::Time now);
  // Keeps the runs that ended with the present incarnation as a crash, unless
  // it had announced its end.
  void RecordEndOfIncarnation(int64_t new_born_ms, absl::Time now);
  // Returns the runs and pending starts on the runner, whose lists had no
  // answer from this time on, and writes a line for each.
  std::vector<LostRun> CollectLostRuns(absl::Time silent_at);
  // Removes all runs and pending starts, but not the ends.
  void ClearRuns();
  void RecordClock(const OrderReply& reply, absl::Time now);
  // Returns the expiry, on the runner's clock, of the longest lease that the
  // grant allows, and moves `lease_expiry` accordingly. Returns no value when
  // the grant has expired or the runner has not answered for too long.
  std::optional<int64_t> NextLeaseExpiryMs(absl::Time now);
  // Returns how long the runner may delay its answer until a run ends.
  absl::Duration LongPollTimeout() const;
  void SendStart(const TaskRef& task);
  void OnStartReply(const TaskRef& task, uint32_t run, const OrderReply& reply);
  void RetryStart(const TaskRef& task, uint32_t run);
  // Returns why a start with this deadline must not be sent to the runner now,
  // if so.
  std::optional<StartOutcome> ForbiddenStart(absl::Time deadline) const;
  // An earlier run of the task is listed, or its stop has no certain answer.
  bool MayEarlierRunExist(const TaskRef& task, uint32_t run) const;
  void AbandonStart(const TaskRef& task, StartOutcome outcome);
  // Repeats the stop until the runner has answered. With `resolve_start` the
  // pending start of the run is then resolved by the next report.
  void SendStop(const TaskRef& task, uint32_t run, bool resolve_start);
  // Raises the fence above that of a call, which the runner has refused.
  void RaiseFenceAbove(int64_t refused_fence);
  bool IsDraining() const {
    return this->IsShuttingDown() || this->draining_born_ms == this->born_ms;
  }
  // Stops the runs from time to time while there is no grant, independently of
  // the calls that wait for an answer.
  void WatchGrant();
  void StopRunsWithoutGrant(absl::Time now);
  // Returns the largest latency ratio of each serving image, and updates
  // `over_since`.
  std::vector<ServingLatency> LatencyRatios(absl::Time now);
  void PaceFillingTasks(absl::Time now);
  void SendPace(const TaskRef& task, uint32_t run, int percent);
  void RunAfter(absl::Duration delay, std::function<void()> action);

  boost::asio::io_context* context;
  Runner* runner;
  RunnerGuardOptions options;
  Log* log;
  RunnerGuardHandlers handlers;
  Counter& lost_total;
  // Time from the planner's order to the runner's confirmation of the start.
  Histogram& start_seconds;
  boost::asio::steady_timer renewal_timer;
  // False after Close(). Pending callbacks check it before they use this
  // object.
  std::shared_ptr<bool> active = std::make_shared<bool>(true);
  int64_t fence;
  bool runs_known = false;
  bool alive = false;
  bool renewing = false;
  // The failure domain of the VM is evacuated.
  bool evacuated = false;
  // Time of the first failed renewal since the last one that was answered. A
  // renewal is always in flight and breaks when the runner crashes.
  std::optional<absl::Time> silent_since;
  // An incarnation and its id, from the last heartbeat.
  std::string heard_id;
  int64_t heard_born_ms = 0;
  // A new incarnation was detected, and the fence was raised for it.
  bool changing_incarnation = false;
  // The last incarnation that has said that it drains.
  int64_t draining_born_ms = 0;
  // Runs of an incarnation whose lease has expired. If the runner returns as
  // another incarnation, it has crashed; otherwise it was only cut off.
  std::vector<LostRun> expired_runs;
  // Crashes and when they were noticed, the oldest first.
  std::deque<std::pair<absl::Time, RunnerCrash>> crashes;
  // The last incarnation that has announced its shutdown, and the time by which
  // it should have ended. A connection that is refused from then on shows that
  // it has.
  int64_t shutdown_born_ms = 0;
  absl::Time shutdown_deadline = absl::InfiniteFuture();
  absl::Time renewal_sent_at;
  int64_t born_ms = 0;
  // The runner's clock in its last answer, and the time of that answer.
  int64_t clock_ms = 0;
  absl::Time clock_at = absl::InfinitePast();
  absl::Time grant_deadline = absl::InfinitePast();
  // Time by which every lease that was sent has expired for certain.
  absl::Time lease_expiry;
  // Highest number of an end that was passed to on_ended.
  uint64_t last_reported_end = 0;
  uint64_t last_confirmed_end = 0;
  std::map<TaskRef, RunningFigure> running;
  std::vector<EndedRun> ended;
  // RunnerReport::more_ends of the last report.
  bool more_ends = false;
  std::map<TaskRef, PendingStart> starting;
  // Runs with a stop that is repeated until its outcome is certain.
  std::set<std::pair<TaskRef, uint32_t>> stopping;
  std::map<TaskRef, RunDescription> descriptions;
  InterferenceModel neighbours;
  std::map<std::string, ImagePace> paces;
  // Start of the period in which the latency ratio of a serving image has been
  // above 1; images at or below 1 have no entry.
  std::map<std::string, absl::Time> over_since;
  int64_t processors = 0;
  absl::Time next_sample = absl::InfinitePast();
};

}  // namespace cuminjunction

#endif  // FLEET_RUNNER_GUARD_H_
