#ifndef TASK_TESTING_SCHEDULE_H_
#define TASK_TESTING_SCHEDULE_H_

// Random fault schedules for the task core.
//
//   ScheduleResult result = RunSchedule(MakeSchedule(seed));
//   for (const std::string& violation : result.violations) ...
//
// A schedule is a list of faults and operator actions, each with the step at
// which it is applied. After the last step all faults are cleared, and the
// declared work must then complete.

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "task/testing/simulated_cluster.h"

namespace cuminjunction {

// A fault, or an action of an operator or of the configuration, which is
// applied in the same way.
enum class Fault : uint8_t {
  kOutage = 0,
  kFailCalls,
  kLoseReply,
  kDelayedCommit,
  kPauseProcess,
  kPauseInCall,
  kPartition,
  kReboot,
  kKillProcess,
  kRuntimeDown,
  kCheckpointsFail,
  kTaskFails,
  kCancelTask,
  kDrain,
  kReadmit,
  kStopJob,
  kChangeDocument,
  kCount,
};

struct FaultEvent {
  int step = 0;
  Fault fault = Fault::kOutage;
  // Selects the process, worker, task or job.
  uint32_t target = 0;
  // A duration in seconds, a number of calls, or the variant of a document.
  uint32_t amount = 0;
};

struct Schedule {
  uint64_t seed = 0;
  int workers = 3;
  int planners = 2;
  bool shared_planner_lease = false;
  int steps = 240;
  std::vector<FaultEvent> events;
};

inline Schedule MakeSchedule(uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto below = [&](uint64_t n) { return random() % n; };
  Schedule schedule;
  schedule.seed = seed;
  schedule.workers = 2 + static_cast<int>(below(3));
  schedule.planners = 2 + static_cast<int>(below(2));
  schedule.shared_planner_lease = below(3) == 0;
  const uint64_t count = 4 + below(24);
  for (uint64_t i = 0; i < count; ++i) {
    FaultEvent event;
    event.step = static_cast<int>(below(schedule.steps));
    event.fault =
        static_cast<Fault>(below(static_cast<uint64_t>(Fault::kCount)));
    event.target = static_cast<uint32_t>(random());
    event.amount = static_cast<uint32_t>(below(150));
    schedule.events.push_back(event);
  }
  return schedule;
}

struct ScheduleResult {
  std::vector<std::string> violations;
  size_t executions = 0;
  size_t fenced = 0;
  size_t evicted = 0;
  size_t resumed = 0;
};

// Returns one of the documents between which the schedules switch. After the
// faults are cleared, variant 0 is in force.
inline Document ScheduleDocument(uint32_t variant) {
  Document out;
  const auto add_job =
      [&](const std::string& name, JobKind kind, Size size, Urgency urgency,
          const std::vector<std::string>& depends_on, int64_t count) {
        out.jobs[name] = {name,    "growers",  kind,  size,
                          urgency, depends_on, count, name};
      };
  const bool tight = variant % 5 == 4;
  out.accounts["growers"] = {
      "growers", 1, {tight ? 2000 : 100000, 1000000, 100}};
  add_job("stock", JobKind::kBatch, {1000, 500, 0}, Urgency::kBatch, {}, 4);
  add_job("bad", JobKind::kBatch, {500, 100, 0}, Urgency::kBatch, {}, 1);
  add_job("after-bad", JobKind::kBatch, {500, 100, 0}, Urgency::kBatch, {"bad"},
          1);
  if (variant % 5 != 2) {
    add_job("plan", JobKind::kBatch, {2000, 500, 0}, Urgency::kNormal,
            {"stock"}, 2);
  }
  if (variant % 5 == 1)
    add_job("rush", JobKind::kBatch, {3000, 500, 0}, Urgency::kUrgent, {}, 2);
  add_job("watch", JobKind::kWatcher, {300, 100, 0}, Urgency::kNormal, {}, 2);
  out.services["check"].name = "check";
  out.services["check"].account = "growers";
  out.services["check"].replicas = variant % 5 == 3 ? 4 : 2;
  out.services["check"].size = {300, 100, 0};
  out.services["check"].urgency = Urgency::kUrgent;
  return out;
}

class ScheduleRunner {
 public:
  explicit ScheduleRunner(const Schedule& schedule)
      : schedule(schedule),
        cluster({.workers = schedule.workers,
                 .planners = schedule.planners,
                 .shared_planner_lease = schedule.shared_planner_lease}) {
    this->cluster.plan_execution = [](const TaskStart& start) {
      if (start.job == "watch" || start.job == "check")
        return std::pair(absl::Hours(100000), AttemptEnd::kSucceeded);
      const auto seconds = 15 + std::hash<std::string>()(start.task) % 40;
      return std::pair(absl::Seconds(seconds), start.job == "bad"
                                                   ? AttemptEnd::kFailed
                                                   : AttemptEnd::kSucceeded);
    };
    this->cluster.SetDocument(ScheduleDocument(0));
    this->cluster.before_step = [this](int step) {
      for (const FaultEvent& event : this->schedule.events) {
        if (event.step == step)
          this->Apply(event);
      }
      this->RestoreRuntimes();
    };
  }

  ScheduleResult Run() {
    while (this->cluster.steps < this->schedule.steps)
      this->cluster.Step();
    this->ClearFaults();
    this->RunToCompletion();
    return this->MakeResult();
  }

 private:
  SimulatedCluster::Process* ProcessAt(uint32_t target) {
    const size_t workers = this->cluster.workers.size();
    const size_t index = target % (workers + this->cluster.planners.size());
    if (index < workers)
      return this->cluster.workers[index].get();
    return this->cluster.planners[index - workers].get();
  }

  SimulatedCluster::AgentProcess* WorkerAt(uint32_t target) {
    return this->cluster.workers[target % this->cluster.workers.size()].get();
  }

  void Apply(const FaultEvent& event) {
    const absl::Time now = this->cluster.clock.Now();
    const absl::Duration amount = absl::Seconds(event.amount);
    SimulatedCluster::Process* process = this->ProcessAt(event.target);
    SimulatedCluster::AgentProcess* worker = this->WorkerAt(event.target);
    switch (event.fault) {
      case Fault::kOutage:
        this->cluster.outage_until = now + amount;
        break;
      case Fault::kFailCalls:
        process->table->failing_calls += 1 + static_cast<int>(event.amount % 4);
        break;
      case Fault::kLoseReply:
        process->table->lost_replies += 1 + static_cast<int>(event.amount % 3);
        break;
      case Fault::kDelayedCommit:
        this->cluster.commit_delay = amount;
        ++process->table->late_commits;
        break;
      case Fault::kPauseProcess:
        process->paused_until = now + amount;
        break;
      case Fault::kPauseInCall:
        process->calls_until_pause = static_cast<int>(event.target / 16 % 12);
        process->pause_duration = amount;
        break;
      case Fault::kPartition:
        process->calls_until_partition =
            static_cast<int>(event.target / 16 % 6);
        process->partition_duration = amount;
        break;
      case Fault::kReboot:
        this->cluster.Reboot(worker, absl::Seconds(event.amount % 40));
        break;
      case Fault::kKillProcess:
        this->KillProcess(event.target);
        break;
      case Fault::kRuntimeDown:
        worker->runtime->down = true;
        this->runtimes_up_at = now + amount;
        break;
      case Fault::kCheckpointsFail:
        worker->runtime->checkpoints_fail = event.amount % 2 == 0;
        break;
      case Fault::kTaskFails:
        worker->runtime->FailFirstRunning();
        break;
      default:
        this->ApplyOperator(event, worker->name);
    }
  }

  void KillProcess(uint32_t target) {
    const size_t workers = this->cluster.workers.size();
    const size_t index = target % (workers + this->cluster.planners.size());
    if (index < workers)
      this->cluster.Kill(this->cluster.workers[index].get());
    else
      this->cluster.Kill(this->cluster.planners[index - workers].get());
  }

  void ApplyOperator(const FaultEvent& event, const std::string& worker) {
    auto op = this->cluster.MakeOperator();
    const auto& tasks = this->cluster.checker.Tasks();
    switch (event.fault) {
      case Fault::kCancelTask:
        if (!tasks.empty()) {
          auto it = tasks.begin();
          std::advance(it, event.target % tasks.size());
          const std::string id = it->first;
          (void)op.CancelTask(id, "operator");
        }
        break;
      case Fault::kDrain:
        (void)op.DrainWorker(worker);
        break;
      case Fault::kReadmit:
        (void)op.ReadmitWorker(worker);
        break;
      case Fault::kStopJob:
        (void)op.SetStopped(event.target % 2 == 0 ? "stock" : "watch",
                            event.amount % 3 != 0);
        break;
      default:
        this->cluster.SetDocument(ScheduleDocument(event.amount));
    }
  }

  // Makes the runtimes available again once their outage has ended.
  void RestoreRuntimes() {
    if (this->cluster.clock.Now() < this->runtimes_up_at)
      return;
    for (auto& worker : this->cluster.workers)
      worker->runtime->down = false;
  }

  void ClearFaults() {
    this->schedule.events.clear();
    this->runtimes_up_at = absl::InfinitePast();
    this->cluster.outage_until = absl::InfinitePast();
    this->cluster.SetDocument(ScheduleDocument(0));
    this->RestoreRuntimes();
    for (auto& worker : this->cluster.workers) {
      worker->paused_until = absl::InfinitePast();
      worker->runtime->checkpoints_fail = false;
      this->ClearProcessFaults(worker.get());
    }
    for (auto& planner : this->cluster.planners) {
      planner->paused_until = absl::InfinitePast();
      this->ClearProcessFaults(planner.get());
    }
  }

  void ClearProcessFaults(SimulatedCluster::Process* process) {
    process->calls_until_pause = -1;
    process->calls_until_partition = -1;
    process->partitioned_until = absl::InfinitePast();
    process->table->failing_calls = 0;
    process->table->lost_replies = 0;
    process->table->late_commits = 0;
  }

  // Readmits all workers and runs until the declared work has completed.
  void RunToCompletion() {
    for (int i = 0; i < kMaxRounds && !this->IsComplete(); ++i) {
      auto op = this->cluster.MakeOperator();
      for (auto& worker : this->cluster.workers)
        (void)op.ReadmitWorker(worker->name);
      (void)op.SetStopped("stock", false);
      (void)op.SetStopped("watch", false);
      this->cluster.Run(absl::Seconds(10));
    }
    if (!this->IsComplete())
      this->cluster.checker.AddViolation(
          "P3: declared work does not complete: " + this->incomplete_reason);
  }

  bool IsComplete() {
    this->cluster.Check();
    int64_t replicas = 0;
    for (const auto& [id, task] : this->cluster.checker.Tasks()) {
      this->incomplete_reason = StrCat(id, " ", ToString(task.state));
      if (task.IsFinal() || task.state == TaskState::kParked) {
        if (task.HoldsCapacity())
          return false;
        continue;
      }
      if (task.kind == TaskKind::kBatch || !task.IsPlaced())
        return false;
      replicas += task.kind == TaskKind::kReplica ? 1 : 0;
    }
    this->incomplete_reason = StrCat(replicas, " replicas");
    return replicas == 2 && this->RuntimesMatchRows();
  }

  // True when each runtime runs as many attempts as its worker row assigns.
  bool RuntimesMatchRows() {
    this->incomplete_reason =
        "runtimes do not match the assignments in the rows";
    for (const auto& worker : this->cluster.workers) {
      const auto row = this->cluster.checker.Workers().find(worker->name);
      if (row == this->cluster.checker.Workers().end() ||
          row->second.assignments.size() != worker->runtime->Running().size())
        return false;
    }
    return true;
  }

  ScheduleResult MakeResult() {
    ScheduleResult result;
    result.violations = this->cluster.checker.Violations();
    for (const auto& worker : this->cluster.workers) {
      result.executions += worker->runtime->Executions().size();
      for (const Execution& one : worker->runtime->Executions())
        result.resumed += one.resume_object.empty() ? 0 : 1;
    }
    for (const auto& [id, task] : this->cluster.checker.Tasks())
      result.evicted += task.evictions;
    for (const auto& [id, worker] : this->cluster.checker.Workers())
      result.fenced += worker.epoch - 1;
    return result;
  }

  // Rounds of 10 s within which the work must complete: enough for several
  // leases, backoffs and runs in sequence.
  static constexpr int kMaxRounds = 200;

  Schedule schedule;
  SimulatedCluster cluster;
  absl::Time runtimes_up_at = absl::InfinitePast();
  std::string incomplete_reason;
};

inline ScheduleResult RunSchedule(const Schedule& schedule) {
  return ScheduleRunner(schedule).Run();
}

}  // namespace cuminjunction

#endif  // TASK_TESTING_SCHEDULE_H_
