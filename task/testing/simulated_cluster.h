#ifndef TASK_TESTING_SIMULATED_CLUSTER_H_
#define TASK_TESTING_SIMULATED_CLUSTER_H_

// A simulated cluster: workers with agents, planners and operators that share
// one table and are driven step by step in one thread.
//
//   SimulatedCluster cluster({.workers = 2, .planners = 1});
//   cluster.SetDocument(document);
//   cluster.Run(absl::Seconds(100));
//   EXPECT_EQ(cluster.checker.Violations(), std::vector<std::string>());
//
// A process may be paused between its ticks and during any call to the table or
// the runtime. A paused call steps the rest of the cluster before it returns.
// If its process is killed during the pause, an exception unwinds the process.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/strings.h"
#include "base/time.h"
#include "task/operate.h"
#include "task/planner_loop.h"
#include "task/testing/checker.h"
#include "task/testing/fake_runtime.h"
#include "task/testing/faulty_table.h"
#include "task/testing/rows.h"
#include "task/worker_agent.h"

namespace cuminjunction {

// The steady clock of a VM, with its own rate and origin.
struct VmClock {
  const ManualClock* reference = nullptr;
  double rate = 1;
  absl::Time origin;

  absl::Time Now() const {
    return FromMicros(1'000'000'000) +
           (this->reference->Now() - this->origin) * this->rate;
  }
};

struct SimulatedClusterOptions {
  int workers = 3;
  int planners = 2;
  // True when all planners compete for one lease; otherwise each has its own.
  bool shared_planner_lease = false;
  Size capacity = {4000, 8192, 1};
  absl::Duration step = absl::Seconds(1);
  // Shorter than in production, so that a schedule covers several leases.
  LeasePolicy lease = {.length = absl::Seconds(60),
                       .renewal_interval = absl::Seconds(5),
                       .clock_drift_margin = 0.01,
                       .stop_margin = absl::Seconds(2),
                       .max_read_gap = absl::Seconds(10)};
};

class SimulatedCluster {
 public:
  // Unwinds a process that was killed.
  struct ProcessKilled {};

  // Common state of a simulated process, including the faults set for it.
  struct Process {
    std::string name;
    int incarnation = 0;
    absl::Time paused_until;
    bool ticking = false;
    bool killed = false;
    // A pause during a call: number of calls before it (negative for none) and
    // its duration.
    int calls_until_pause = -1;
    absl::Duration pause_duration;
    // A partition of this process from the table: number of calls before it
    // (negative for none) and its duration.
    int calls_until_partition = -1;
    absl::Duration partition_duration;
    absl::Time partitioned_until;
    std::unique_ptr<FaultyTable> table;
  };

  using Agent = WorkerAgent<FaultyTable, FakeRuntime, VmClock, ManualClock>;
  using Loop = PlannerLoop<FaultyTable, BestFitScorer, VmClock, ManualClock>;

  struct AgentProcess : Process {
    VmClock clock;
    std::unique_ptr<FakeRuntime> runtime;
    std::unique_ptr<Agent> agent;
  };

  struct PlannerProcess : Process {
    VmClock clock;
    std::unique_ptr<Planner<BestFitScorer>> planner;
    std::unique_ptr<Loop> loop;
    uint64_t document_version = 0;
  };

  explicit SimulatedCluster(const SimulatedClusterOptions& options)
      : options(options) {
    for (int i = 0; i < options.workers; ++i)
      this->AddAgentProcess(i);
    for (int i = 0; i < options.planners; ++i)
      this->AddPlannerProcess(i);
    this->operator_table = std::make_unique<FaultyTable>(&this->table);
    this->InstallFaults(this->operator_table.get());
  }

  // Advances the clock by one step and ticks every process that is not paused.
  void Step() {
    ++this->steps;
    this->clock.Advance(this->options.step);
    if (this->before_step)
      this->before_step(this->steps);
    this->ApplyDelayedCommits();
    for (auto& worker : this->workers)
      worker->runtime->Advance();
    this->Check();
    for (auto& planner : this->planners)
      this->TickPlanner(planner.get());
    for (auto& worker : this->workers)
      this->TickAgent(worker.get());
  }

  void Run(absl::Duration duration) {
    const absl::Time end = this->clock.Now() + duration;
    while (this->clock.Now() < end)
      this->Step();
  }

  void Check() {
    std::map<std::string, const FakeRuntime*> runtimes;
    for (const auto& worker : this->workers)
      runtimes[worker->name] = worker->runtime.get();
    this->checker.Check(runtimes, this->options.capacity);
  }

  // Restarts a process. A process that is in a tick is unwound first.
  void Kill(AgentProcess* worker) {
    worker->killed = worker->ticking;
    if (!worker->ticking)
      this->StartAgent(worker);
  }
  void Kill(PlannerProcess* planner) {
    planner->killed = planner->ticking;
    if (!planner->ticking)
      this->StartPlanner(planner);
  }

  // Ends all attempts on the VM and starts its agent again after `downtime`.
  void Reboot(AgentProcess* worker, absl::Duration downtime) {
    worker->runtime->Reboot();
    worker->clock.origin = this->clock.Now();
    worker->paused_until = this->clock.Now() + downtime;
    this->Kill(worker);
  }

  void SetDocument(const Document& new_document) {
    ++this->document_version;
    this->document = new_document;
  }

  // Returns an operator whose table has no faults of its own and is down only
  // during an outage of the store.
  Operator<FaultyTable> MakeOperator() {
    return {&this->charts, StrCat(++this->operator_count),
            this->operator_table.get()};
  }

  const TaskRow* FindTask(const std::string& id) {
    this->Check();
    const auto found = this->checker.Tasks().find(id);
    return found == this->checker.Tasks().end() ? nullptr : &found->second;
  }

  SimulatedClusterOptions options;
  ManualClock clock{FromMicros(1'000'000'000'000)};
  const TaskCharts charts = LoadTestCharts();
  MemoryTable table;
  InvariantChecker checker{&this->table};
  std::vector<std::unique_ptr<AgentProcess>> workers;
  std::vector<std::unique_ptr<PlannerProcess>> planners;
  std::unique_ptr<FaultyTable> operator_table;
  absl::Time outage_until;
  absl::Duration commit_delay = absl::Seconds(30);
  int steps = 0;
  // Called at the start of each step, including steps within a paused call.
  std::function<void(int step)> before_step;
  // Returns the duration and the outcome of an attempt.
  FakeRuntime::ExecutionPlan plan_execution = [](const TaskStart& start) {
    return std::pair(
        start.job.starts_with("watch") || start.job.starts_with("check")
            ? absl::Hours(100000)
            : absl::Seconds(30),
        AttemptEnd::kSucceeded);
  };

 private:
  void InstallFaults(FaultyTable* table) {
    table->is_down = [this] { return this->clock.Now() < this->outage_until; };
    table->delay = [this](const Transaction& transaction) {
      this->delayed_commits.emplace_back(this->clock.Now() + this->commit_delay,
                                         transaction);
    };
  }

  void AddAgentProcess(int index) {
    auto worker = std::make_unique<AgentProcess>();
    AgentProcess* raw = worker.get();
    worker->name = StrCat("w", index + 1);
    // Clock rates within the lease's margin of 1% of one another.
    worker->clock = {&this->clock, index % 2 == 0 ? 0.995 : 1.004,
                     this->clock.Now()};
    worker->runtime = std::make_unique<FakeRuntime>(
        worker->name, [raw] { return raw->clock.Now(); },
        [this](const TaskStart& start) { return this->plan_execution(start); });
    worker->runtime->on_call = [this, raw] { this->OnCall(raw); };
    this->StartAgent(raw);
    this->workers.push_back(std::move(worker));
  }

  void StartAgent(AgentProcess* worker) {
    this->ResetProcess(worker);
    WorkerAgentOptions agent;
    agent.declared = MakeWorkerRow(worker->name, this->options.capacity);
    agent.declared.rack = StrCat("rack-", worker->name);
    agent.process = StrCat(worker->incarnation);
    agent.lease = this->options.lease;
    agent.retry = {.max_attempts = 5,
                   .initial_backoff = absl::Seconds(2),
                   .max_backoff = absl::Seconds(10)};
    agent.poll_interval = absl::Seconds(4);
    worker->agent = std::make_unique<Agent>(
        agent, &this->charts, worker->table.get(), worker->runtime.get(),
        &worker->clock, &this->clock);
  }

  void AddPlannerProcess(int index) {
    auto planner = std::make_unique<PlannerProcess>();
    planner->name = StrCat("p", index + 1);
    planner->clock = {&this->clock, index % 2 == 0 ? 1.005 : 0.996,
                      this->clock.Now()};
    this->StartPlanner(planner.get());
    this->planners.push_back(std::move(planner));
  }

  void StartPlanner(PlannerProcess* planner) {
    this->ResetProcess(planner);
    const std::string process =
        StrCat(planner->name, "-", planner->incarnation);
    PlannerOptions options;
    options.name = process;
    options.placer.evictions_per_second = 0.2;
    planner->planner = std::make_unique<Planner<BestFitScorer>>(
        options, &this->charts, BestFitScorer(), nullptr);
    planner->document_version = 0;
    PlannerLoopOptions loop;
    loop.process = process;
    if (!this->options.shared_planner_lease)
      loop.lease_name = planner->name;
    loop.worker_lease = this->options.lease;
    loop.follower.recent_commits = 50;
    loop.follower.page = 20;
    planner->loop = std::make_unique<Loop>(loop, planner->planner.get(),
                                           planner->table.get(),
                                           &planner->clock, &this->clock);
  }

  void ResetProcess(Process* process) {
    ++process->incarnation;
    process->killed = false;
    process->calls_until_pause = -1;
    process->table = std::make_unique<FaultyTable>(&this->table);
    process->table->on_call = [this, process] { this->OnCall(process); };
    this->InstallFaults(process->table.get());
    process->table->is_down = [this, process] {
      return this->IsPartitioned(process);
    };
  }

  bool IsPartitioned(Process* process) {
    const absl::Time now = this->clock.Now();
    if (process->calls_until_partition >= 0 &&
        process->calls_until_partition-- == 0)
      process->partitioned_until = now + process->partition_duration;
    return now < process->partitioned_until || now < this->outage_until;
  }

  // Called at the start of each call of a process. Applies a pause that is due.
  void OnCall(Process* process) {
    if (process->calls_until_pause < 0 || process->calls_until_pause-- > 0)
      return;
    const absl::Time end = this->clock.Now() + process->pause_duration;
    while (this->clock.Now() < end && !process->killed)
      this->Step();
    if (process->killed)
      throw ProcessKilled();
  }

  bool CanTick(const Process& process) const {
    return !process.ticking && this->clock.Now() >= process.paused_until;
  }

  void TickAgent(AgentProcess* worker) {
    if (!this->CanTick(*worker))
      return;
    worker->ticking = true;
    try {
      worker->agent->Tick();
    } catch (const ProcessKilled&) {
      this->StartAgent(worker);
    }
    worker->ticking = false;
    this->Check();
  }

  void TickPlanner(PlannerProcess* planner) {
    if (!this->CanTick(*planner))
      return;
    planner->ticking = true;
    try {
      // Planners receive a new document at different times.
      if (planner->document_version != this->document_version &&
          (this->steps + planner->incarnation) % 3 == 0) {
        planner->document_version = this->document_version;
        planner->planner->SetDocument(this->document_version, this->document);
      }
      planner->loop->Tick();
    } catch (const ProcessKilled&) {
      this->StartPlanner(planner);
    }
    planner->ticking = false;
    this->Check();
  }

  void ApplyDelayedCommits() {
    std::vector<std::pair<absl::Time, Transaction>> waiting;
    for (auto& [due, transaction] : std::exchange(this->delayed_commits, {})) {
      if (due <= this->clock.Now())
        (void)this->table.Commit(transaction);
      else
        waiting.emplace_back(due, transaction);
    }
    this->delayed_commits.insert(this->delayed_commits.end(), waiting.begin(),
                                 waiting.end());
  }

  uint64_t document_version = 0;
  Document document;
  int operator_count = 0;
  std::vector<std::pair<absl::Time, Transaction>> delayed_commits;
};

}  // namespace cuminjunction

#endif  // TASK_TESTING_SIMULATED_CLUSTER_H_
