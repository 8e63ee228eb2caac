#ifndef TASK_TESTING_SCHEDULE_H_
#define TASK_TESTING_SCHEDULE_H_

// Random fault schedules for the task core.
//
//   ScheduleResult result = RunSchedule(MakeSchedule(seed));
//   for (const std::string& promise : result.broken) ...
//
// A schedule is a list of faults and operators' steps by step number. After its
// end everything is healed, and the work that is declared must come to its end.

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "task/testing/world.h"

namespace cuminjunction {

enum class Fault : uint8_t {
  kOutage = 0,
  kFailCalls,
  kLoseReply,
  kLateEffect,
  kPauseProcess,
  kPauseInCall,
  kCutOff,
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
  // Chooses the process, worker, task or document.
  uint32_t target = 0;
  // Seconds or a number of calls.
  uint32_t amount = 0;
};

struct Schedule {
  uint64_t seed = 0;
  int workers = 3;
  int planners = 2;
  bool one_planner_lease = false;
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
  schedule.one_planner_lease = below(3) == 0;
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
  std::vector<std::string> broken;
  size_t executions = 0;
  size_t fenced = 0;
  size_t evicted = 0;
  size_t resumed = 0;
};

// Documents that the schedules change between; 0 is the last one.
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
        world({.workers = schedule.workers,
               .planners = schedule.planners,
               .one_planner_lease = schedule.one_planner_lease}) {
    this->world.run = [](const TaskStart& start) {
      if (start.job == "watch" || start.job == "check")
        return std::pair(absl::Hours(100000), AttemptEnd::kSucceeded);
      const auto seconds = 15 + std::hash<std::string>()(start.task) % 40;
      return std::pair(absl::Seconds(seconds), start.job == "bad"
                                                   ? AttemptEnd::kFailed
                                                   : AttemptEnd::kSucceeded);
    };
    this->world.SetDocument(ScheduleDocument(0));
    this->world.before_step = [this](int step) {
      for (const FaultEvent& event : this->schedule.events) {
        if (event.step == step)
          this->Apply(event);
      }
      this->Restore();
    };
  }

  ScheduleResult Run() {
    while (this->world.steps < this->schedule.steps)
      this->world.Step();
    this->Heal();
    this->Finish();
    return this->Result();
  }

 private:
  World::Process* ProcessAt(uint32_t target) {
    const size_t workers = this->world.workers.size();
    const size_t index = target % (workers + this->world.planners.size());
    if (index < workers)
      return this->world.workers[index].get();
    return this->world.planners[index - workers].get();
  }

  World::AgentProcess* WorkerAt(uint32_t target) {
    return this->world.workers[target % this->world.workers.size()].get();
  }

  void Apply(const FaultEvent& event) {
    const absl::Time now = this->world.clock.Now();
    const absl::Duration amount = absl::Seconds(event.amount);
    World::Process* process = this->ProcessAt(event.target);
    World::AgentProcess* worker = this->WorkerAt(event.target);
    switch (event.fault) {
      case Fault::kOutage:
        this->world.outage_until = now + amount;
        break;
      case Fault::kFailCalls:
        process->table->failing_calls += 1 + static_cast<int>(event.amount % 4);
        break;
      case Fault::kLoseReply:
        process->table->lost_replies += 1 + static_cast<int>(event.amount % 3);
        break;
      case Fault::kLateEffect:
        this->world.late_delay = amount;
        ++process->table->late_commits;
        break;
      case Fault::kPauseProcess:
        process->paused_until = now + amount;
        break;
      case Fault::kPauseInCall:
        process->calls_to_pause = static_cast<int>(event.target / 16 % 12);
        process->call_pause = amount;
        break;
      case Fault::kCutOff:
        process->calls_to_cut = static_cast<int>(event.target / 16 % 6);
        process->cut_length = amount;
        break;
      case Fault::kReboot:
        this->world.Reboot(worker, absl::Seconds(event.amount % 40));
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
        worker->runtime->FailOne();
        break;
      default:
        this->ApplyOperator(event, worker->name);
    }
  }

  void KillProcess(uint32_t target) {
    const size_t workers = this->world.workers.size();
    const size_t index = target % (workers + this->world.planners.size());
    if (index < workers)
      this->world.Kill(this->world.workers[index].get());
    else
      this->world.Kill(this->world.planners[index - workers].get());
  }

  void ApplyOperator(const FaultEvent& event, const std::string& worker) {
    auto op = this->world.MakeOperator();
    const auto& tasks = this->world.checker.Tasks();
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
        this->world.SetDocument(ScheduleDocument(event.amount));
    }
  }

  // Ends the runtimes' outages.
  void Restore() {
    if (this->world.clock.Now() < this->runtimes_up_at)
      return;
    for (auto& worker : this->world.workers)
      worker->runtime->down = false;
  }

  void Heal() {
    this->schedule.events.clear();
    this->runtimes_up_at = absl::InfinitePast();
    this->world.outage_until = absl::InfinitePast();
    this->world.SetDocument(ScheduleDocument(0));
    this->Restore();
    for (auto& worker : this->world.workers) {
      worker->paused_until = absl::InfinitePast();
      worker->runtime->checkpoints_fail = false;
      this->HealProcess(worker.get());
    }
    for (auto& planner : this->world.planners) {
      planner->paused_until = absl::InfinitePast();
      this->HealProcess(planner.get());
    }
  }

  void HealProcess(World::Process* process) {
    process->calls_to_pause = -1;
    process->calls_to_cut = -1;
    process->cut_until = absl::InfinitePast();
    process->table->failing_calls = 0;
    process->table->lost_replies = 0;
    process->table->late_commits = 0;
  }

  // Readmits all workers and waits until the declared work has ended.
  void Finish() {
    for (int i = 0; i < kMostRounds && !this->IsDone(); ++i) {
      auto op = this->world.MakeOperator();
      for (auto& worker : this->world.workers)
        (void)op.ReadmitWorker(worker->name);
      (void)op.SetStopped("stock", false);
      (void)op.SetStopped("watch", false);
      this->world.Run(absl::Seconds(10));
    }
    if (!this->IsDone())
      this->world.checker.Break("P3: work does not come to its end: " +
                                this->unfinished);
  }

  bool IsDone() {
    this->world.Check();
    int64_t replicas = 0;
    for (const auto& [id, task] : this->world.checker.Tasks()) {
      this->unfinished = StrCat(id, " ", ToString(task.state));
      if (task.IsFinal() || task.state == TaskState::kParked) {
        if (task.HoldsCapacity())
          return false;
        continue;
      }
      if (task.kind == TaskKind::kBatch || !task.IsPlaced())
        return false;
      replicas += task.kind == TaskKind::kReplica ? 1 : 0;
    }
    this->unfinished = StrCat(replicas, " replicas");
    return replicas == 2 && this->RunningAgrees();
  }

  // Exactly what the rows say is running.
  bool RunningAgrees() {
    this->unfinished = "runtimes do not run what the rows say";
    for (const auto& worker : this->world.workers) {
      const auto row = this->world.checker.Workers().find(worker->name);
      if (row == this->world.checker.Workers().end() ||
          row->second.assignments.size() != worker->runtime->Running().size())
        return false;
    }
    return true;
  }

  ScheduleResult Result() {
    ScheduleResult result;
    result.broken = this->world.checker.Broken();
    for (const auto& worker : this->world.workers) {
      result.executions += worker->runtime->Executions().size();
      for (const Execution& one : worker->runtime->Executions())
        result.resumed += one.resume_object.empty() ? 0 : 1;
    }
    for (const auto& [id, task] : this->world.checker.Tasks())
      result.evicted += task.evictions;
    for (const auto& [id, worker] : this->world.checker.Workers())
      result.fenced += worker.epoch - 1;
    return result;
  }

  // Rounds of 10 s in which the work must come to its end: several leases,
  // back-offs and runs one after another.
  static constexpr int kMostRounds = 200;

  Schedule schedule;
  World world;
  absl::Time runtimes_up_at = absl::InfinitePast();
  std::string unfinished;
};

inline ScheduleResult RunSchedule(const Schedule& schedule) {
  return ScheduleRunner(schedule).Run();
}

}  // namespace cuminjunction

#endif  // TASK_TESTING_SCHEDULE_H_
