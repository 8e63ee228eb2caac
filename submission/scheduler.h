#ifndef SUBMISSION_SCHEDULER_H_
#define SUBMISSION_SCHEDULER_H_

// The planner's decisions about submissions: what to start on which VM, what to
// stop, and what to store.
//
//   Scheduler scheduler;
//   scheduler.SetPolicy(policy);
//   scheduler.Add(submission, std::nullopt, {}, now, wall);
//   scheduler.MergeReport(report, now);
//   for (const StartOrder& start : scheduler.Plan(now).starts) ...
//
// The scheduler has no sockets, threads or clocks. Starts are not stored. After
// a takeover the runs of an earlier planner are therefore unresolved: a task is
// not started until every worker of the earlier planner has reported or its
// grant has expired. See docs/deployment.md.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "submission/active.h"
#include "submission/crash.h"
#include "submission/early_cancellations.h"
#include "submission/evacuation.h"
#include "submission/evacuation_moves.h"
#include "submission/interference_model.h"
#include "submission/overload.h"
#include "submission/permits.h"
#include "submission/place.h"
#include "submission/placement_search.h"
#include "submission/policy.h"
#include "submission/preemption.h"
#include "submission/progress.h"
#include "submission/scheduler_types.h"
#include "submission/types.h"
#include "submission/worker.h"

namespace cuminjunction {

class Scheduler {
 public:
  // Replaces the configuration if `policy` has a higher version.
  void SetPolicy(const FleetPolicy& policy);

  // Replaces the set of evacuated failure domains. No task starts in one of
  // them from the next plan on, and long-running tasks move away. A domain that
  // is no longer in the set returns; see evacuation.h. A scheduler that has not
  // had a domain in its set does not know when its evacuation ended, and uses
  // the whole capacity of its VMs at once.
  void SetEvacuations(const EvacuatedDomains& domains, absl::Time now);

  // Sets whether plans order no starts, nor stops that make room for one or
  // move a task. Off at first.
  void HoldStarts(bool hold) { this->starts_held = hold; }

  // Replaces the planning rule and the share of the capacity that goes by age.
  // At first the rule is LeastWorkRule, and nothing goes by age.
  void SetPlanningRule(PlanningOrderFunction order, AgeingShare ageing) {
    this->planning_order = order;
    this->ageing = std::move(ageing);
  }

  // Adds a submission unless it is already present. Returns false, and adds
  // nothing, if it is not well-formed. `now` is of the boot clock, as in all
  // methods, and `wall` of the system clock, at the same moment.
  bool Add(const Submission& submission,
           const std::optional<Progress>& progress,
           PriorRuns prior_runs,
           absl::Time now,
           absl::Time wall);

  // Records that no earlier planner can have started the submission: its tasks
  // do not wait for silent workers.
  void Resolve(const std::string& id);

  // Adds a submission that ended under an earlier planner, at this time.
  void AddEnded(const std::string& id,
                const std::string& queue,
                SubmissionState state,
                absl::Time ended);

  // Cancels a submission. The cancellation also applies to a submission that is
  // added later, until TakeEarlyCancellationsBefore() returns its id.
  void Cancel(const std::string& id, absl::Time now);

  // Removes the cancellations before this time of submissions that were never
  // added, at most `max_count` of them, and returns the ids.
  std::vector<std::string> TakeEarlyCancellationsBefore(absl::Time time,
                                                        size_t max_count) {
    return this->early_cancellations.TakeBefore(time, max_count);
  }

  // Registers a worker on which an earlier planner may have started runs, and
  // the latest grant deadline that it can have from that planner.
  void ExpectWorker(const std::string& vm, absl::Time inherited_grant_deadline);

  // Lowers the deadline of all inherited grants to at most this time.
  void LimitInheritedGrants(absl::Time deadline);

  // Merges a full report, after which orders may be sent to the worker.
  void MergeReport(const WorkerReport& report, absl::Time now);

  // Updates the description of a runner within the same incarnation.
  void UpdateInfo(const std::string& vm, const RunnerInfo& info, bool alive);

  void OnDisconnected(const std::string& vm);

  // True if the worker may get a grant: its agent has reported on its present
  // connection. An agent that does not know yet what runs on its VM can't use
  // one, and a grant to it would only lengthen the wait for its runs if it
  // never reports.
  bool MayGrant(const std::string& vm) const;

  // Records that a grant was sent with this latest possible deadline.
  void ExtendGrant(const std::string& vm, absl::Time deadline);

  // Releases the runs of workers whose grants have expired, and returns these
  // workers. Each is returned once, until the next grant to it. Call this only
  // while no other planner can have granted more.
  std::vector<std::string> ExpireGrants(absl::Time now);

  // Returns the workers that have reported, run nothing and get no new tasks,
  // since their runner drains or does not answer. Leaves out those for which an
  // earlier planner's grant may be in force.
  std::vector<std::string> IdleLeavingWorkers(absl::Time now) const;

  // Handles the word of a stopping agent that nothing runs on its VM any more,
  // and releases the runs there. Returns false, and leaves that to
  // ExpireGrants(), while an earlier planner's grant may be in force: a later
  // process of the agent may accept it.
  bool OnVacated(const std::string& vm, absl::Time now);

  void OnStartResult(const std::string& vm,
                     const TaskRef& task,
                     uint32_t run,
                     StartOutcome start_outcome,
                     absl::Time now);

  // Records that a runner has started a task of this submission.
  void OnStarted(const std::string& id);

  void OnEnded(const std::string& vm,
               const EndedRun& ended_run,
               absl::Time now);

  // Adds a latency sample of a serving image; see InterferenceModel.
  void AddLatencySample(const std::string& vm,
                        const std::string& serving,
                        double latency_ratio,
                        const FillingLoad& filling,
                        absl::Time now) {
    this->interference_model.AddSample(vm, serving, latency_ratio, filling,
                                       now);
  }

  // Merges the interference estimates of an agent, which may come from an
  // earlier planner.
  void MergeInterference(const std::vector<InterferenceEstimate>& pairs) {
    this->interference_model.Merge(pairs);
  }

  // Interference estimates of the pairs of images on a VM, of those that have
  // samples. Each call covers the next kMaxPairsInNotice pairs.
  std::vector<InterferenceEstimate> NextInterferenceOn(const std::string& vm);

  // Handles the adviser's answer to a query, or its failure.
  void OnPermits(const PermitQuery& query,
                 const std::vector<GrantedRunner>& granted,
                 absl::Time valid_until) {
    this->permits.OnAnswer(query, granted, valid_until);
  }
  void OnPermitsFailed(const PermitQuery& query, absl::Time now) {
    this->permits.OnFailed(query, now);
  }

  // Expected duration of the adviser's answer to a query.
  absl::Duration AdviceTime(const PermitQuery& query) const;

  // Returns the starts, stops and permit queries to send now. At most
  // kMaxStartsInPlan starts are returned, the most urgent ones, and
  // Orders::more is set if there may be others.
  Orders Plan(absl::Time now);

  // Returns the submissions whose progress must be stored. For a final state,
  // one SubmissionRow replaces both rows of the submission.
  std::vector<std::pair<std::string, Progress>> TakeDirty();

  // The row to store for a submission that has ended.
  SubmissionRow EndedRow(const std::string& id, absl::Time wall) const;

  // Records that the final state returned by TakeDirty() is in the store.
  void MarkStored(const std::string& id, SubmissionState state, absl::Time now);

  // Returns at most `max_count` submissions that ended before this time, the
  // oldest first. Each is returned once, and stays present until Forget().
  std::vector<std::string> TakeEndedBefore(absl::Time time, size_t max_count);

  // Removes a submission that TakeEndedBefore() returned.
  void Forget(const std::string& id);

  // Returns the tasks given up since the last call. Their submissions have
  // failed.
  std::vector<GivenUpTask> TakeGivenUp();

  // Returns the state changes since the last call that need not be stored.
  std::vector<StateChange> TakeChanges();

  // States of all submissions. A final state that is not stored yet is reported
  // as running.
  std::vector<StateChange> AllStates() const;

  // Returns the long-running tasks that have had no run for kHeldAfter. A start
  // that was ordered counts as a run unless earlier ones were refused.
  std::vector<HeldTask> HeldTasks(absl::Time now) const;

  // Counts the VMs by what keeps the task from them.
  ObstacleCounts CountObstacles(const TaskRef& task, absl::Time now);

  // Number of submissions without a started task, by queue.
  std::map<std::string, uint64_t> WaitingCounts() const;

  // Capacity and unstarted work of the submissions that end, by service.
  std::vector<ServiceLoad> ServiceLoads(absl::Time now) const;

  bool HasSubmission(const std::string& id) const {
    return this->submissions.contains(id);
  }

  // True if the submission is present and its state is not final.
  bool IsLive(const std::string& id) const { return this->live.contains(id); }

  // True if the submissions of all these runs are present. An agent may report
  // a run of a submission that was stored after this planner read the table,
  // and that the previous planner started. Read its row before MergeReport() or
  // OnEnded(), which treat an unknown submission as one that does not exist.
  bool HasSubmissionsOf(const std::vector<ActiveRun>& running,
                        const std::vector<EndedRun>& ended) const;
  const Worker* FindWorker(const std::string& vm) const;
  size_t WorkerCount() const { return this->workers.size(); }
  // Workers of earlier planners that have neither reported nor lost their
  // grants.
  size_t UnresolvedCount() const { return this->unresolved.size(); }
  size_t LiveCount() const { return this->live.size(); }

 private:
  struct StepCandidate;

  Worker& GetOrAddWorker(const std::string& vm);
  void SetInfo(Worker* worker, const RunnerInfo& info);
  void ApplyEvacuations(Worker* worker);
  ActiveSubmission* FindActive(const std::string& id);
  void Place(ActiveSubmission* active,
             const TaskRef& task,
             TaskSlot* slot,
             Worker* worker,
             uint32_t run,
             absl::Time now);
  void Release(ActiveSubmission* active, const TaskRef& task, TaskSlot* slot);
  void DropRunsExcept(Worker* worker,
                      const std::set<TaskRef>& reported,
                      absl::Time now);
  // Adds to, and removes from, the stale runs of the worker and of the task.
  void NoteStaleRun(Worker* worker, const TaskRef& task, uint32_t run);
  void ForgetStaleRun(Worker* worker, const TaskRef& task, uint32_t run);
  void ForgetStaleRuns(Worker* worker);
  // Counts a crash of the VM's runner against the tasks that it was running,
  // once, and gives up those that crash each runner.
  void RecordCrash(const std::string& vm,
                   const RunnerCrash& crash,
                   absl::Time now);
  void GiveUpCulprits(const std::vector<TaskRef>& affected);
  // Removes these crashes, which a culprit has caused, from the records of all
  // tasks against which they do not speak more strongly.
  void ExplainCrashes(const std::vector<CrashRecord>& crashes);
  using WorkerCost = std::function<std::optional<double>(Worker* worker)>;
  // Returns a VM for a task that may crash its runner: without recent starts,
  // not the one of the last crash if there is another, and with the least work
  // to lose. Returns null if there is none yet.
  Worker* ChooseWorkerForSuspect(const TaskSlot& slot,
                                 const WorkerCost& cost_on,
                                 Orders* orders,
                                 absl::Time now,
                                 double* cost);
  // Computes the worker's crash risk unless this plan has done so.
  void RefreshCrashRisk(Worker* worker, Orders* orders, absl::Time now);
  void EndSubmission(ActiveSubmission* active, SubmissionState state);
  void CompleteTask(ActiveSubmission* active, const TaskRef& task);
  void CompleteGang(ActiveSubmission* active, const TaskRef& task);
  void CountWorkerFailure(Worker* worker, const TaskSlot& slot, absl::Time now);
  void StopUnwanted(Orders* orders);
  void AddOccurrences(absl::Time now);
  // Returns the steps with tasks to start, and sets `order` to their indexes in
  // the order of the planning rule.
  std::vector<StepCandidate> CollectCandidates(absl::Time now,
                                               std::vector<uint32_t>* order);
  // Starts tasks of the step until nothing fits or the plan is full.
  void StartStep(StepCandidate* candidate,
                 WorkerOrder* order,
                 UnplaceableShapes* unplaceable,
                 Orders* orders,
                 absl::Time now);
  // Starts all tasks of the step, or none.
  void StartGang(StepCandidate* candidate,
                 const WorkerOrder& order,
                 Orders* orders,
                 absl::Time now);
  // Returns false if the VMs together lack room for all tasks of the step.
  bool HasRoomForGang(const StepCandidate& candidate,
                      PlacementContext context,
                      Orders* orders,
                      absl::Time now);
  // Computes the worker's latency outlooks unless this plan has done so.
  void RefreshOutlooks(Worker* worker, absl::Time now);
  // Adds the tasks of a ready step to QueuedWork::blocking_work.
  void AddBlockingWork(const ActiveSubmission& active,
                       const Step& step,
                       const StepSlots& slots,
                       absl::Time now,
                       QueuedWork* queued) const;
  // Returns PlacementCost() with current latency outlooks.
  std::optional<double> CostOn(Worker* worker,
                               const Step& step,
                               const PlacementContext& context,
                               absl::Time now);
  // Returns the cost of one more task of the candidate's step on the worker, or
  // nullopt if it can't run there.
  std::optional<double> Evaluate(const StepCandidate& candidate,
                                 PlacementContext* context,
                                 Worker* worker,
                                 Orders* orders,
                                 absl::Time now);
  // Counts the placed tasks of the candidate's step by VM, and returns how many
  // tasks it visited. PlaceCandidate() keeps the counts up to date.
  uint64_t CountPlaced(StepCandidate* candidate);
  void AddHeldTasks(const ActiveSubmission& active,
                    const StepRef& step_ref,
                    absl::Time now,
                    std::vector<HeldTask>* held_tasks) const;
  // True if a task of the step will fit on a VM once a suspect that has just
  // started there is no longer kept apart.
  bool FitsAfterIsolation(const StepCandidate& candidate, absl::Time now) const;
  void EvacuateDraining(Orders* orders, absl::Time now);
  // Holds room for the long-running tasks that are being stopped, and returns
  // their number; nullopt if no task may be stopped for an evacuation now:
  // there is none, one of those tasks has no room, or the planner has stalled.
  std::optional<size_t> HoldRoomForMoves(absl::Time now);
  // Holds room for the long-running tasks that wait, as far as there is any.
  // Returns false if too many wait.
  bool HoldRoomForWaitingTasks(absl::Time now);
  // Holds room for one more task of the step on a warm VM. Returns false if
  // there is none, and sets `lacks_permit` if a VM has room but no permit.
  bool HoldRoom(const ActiveSubmission& active,
                const StepRef& step_ref,
                absl::Time now,
                bool* lacks_permit = nullptr);
  // Stops long-running tasks in evacuated domains; see evacuation_moves.h.
  void MoveEvacuated(size_t moves_under_way, Orders* orders, absl::Time now);
  void MoveInterferingTasks(Orders* orders, absl::Time now);
  // The tasks on a VM that may be stopped for a long-running one.
  std::vector<PreemptionCandidate> PreemptionCandidates(const Worker& worker,
                                                        absl::Time now);
  void Preempt(const StepCandidate& candidate, Orders* orders, absl::Time now);
  bool MayStart(const TaskSlot& slot, absl::Time now) const;
  // Places a task of the candidate's step on the worker.
  void PlaceCandidate(StepCandidate* candidate,
                      uint32_t index,
                      Worker* worker,
                      uint32_t run,
                      absl::Time now);
  // Appends the order to start a task that has been placed.
  void AppendStart(const StepCandidate& candidate,
                   uint32_t index,
                   const Worker& worker,
                   double cost,
                   Orders* orders,
                   absl::Time now);
  void OrderStart(StepCandidate* candidate,
                  uint32_t index,
                  Worker* worker,
                  uint32_t run,
                  double cost,
                  Orders* orders,
                  absl::Time now);

  // Queries the adviser for a step that has tasks without a VM, or whose tasks
  // are to move.
  void QueryPermits(const ActiveSubmission& active,
                    const StepRef& step_ref,
                    Orders* orders,
                    absl::Time now);
  // Returns the ticket for a step on the worker, empty if it needs none, or
  // null if it needs one and there is none.
  const std::string* TicketFor(const ActiveSubmission& active,
                               uint32_t occurrence,
                               uint32_t step,
                               const Worker& worker,
                               absl::Time now) const;

  FleetPolicy policy;
  PlanningOrderFunction planning_order = &OrderOf<LeastWorkRule>;
  AgeingShare ageing{0};
  EvacuatedDomains evacuated_domains;
  bool starts_held = false;
  // A domain has been in the set.
  bool had_evacuations = false;
  DomainReturns domain_returns;
  InterferenceModel interference_model;
  Permits permits;
  absl::flat_hash_map<std::string, std::unique_ptr<ActiveSubmission>>
      submissions;
  // Submissions whose state is not final, by id.
  std::map<std::string, ActiveSubmission*> live;
  EarlyCancellations early_cancellations;
  // Submissions whose final state is stored, by the time when they ended.
  std::set<std::pair<absl::Time, std::string>> ended;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::set<std::string> unresolved;
  std::set<std::string> dirty;
  std::vector<StateChange> changes;
  std::vector<GivenUpTask> given_up;
  absl::Time next_move = absl::InfinitePast();
  absl::Time last_plan = absl::InfinitePast();
  // No task is stopped for an evacuation before this time; see kMaxPlanGap.
  absl::Time next_evacuation_move = absl::InfinitePast();
  uint64_t plan_number = 0;
  // Runs that must be stopped: those of unknown or final submissions, stale
  // ones, and second runs of a task that is done.
  std::vector<StopOrder> unwanted;
};

}  // namespace cuminjunction

#endif  // SUBMISSION_SCHEDULER_H_
