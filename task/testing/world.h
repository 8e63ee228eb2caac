#ifndef TASK_TESTING_WORLD_H_
#define TASK_TESTING_WORLD_H_

// A few workers with agents, planners and operators on one table, driven step
// by step in one thread.
//
// A process may be paused between its ticks and in the middle of any call to
// table or runtime: the call then first lets the rest of the world go on. A
// process that is killed meanwhile is unwound by an exception.

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

// A clock of a VM: runs at its own rate from an own origin.
struct VmClock {
  const ManualClock* truth = nullptr;
  double rate = 1;
  absl::Time origin;

  absl::Time Now() const {
    return FromMicros(1'000'000'000) +
           (this->truth->Now() - this->origin) * this->rate;
  }
};

struct WorldOptions {
  int workers = 3;
  int planners = 2;
  // All planners compete for one lease, or each has its own.
  bool one_planner_lease = false;
  Size capacity = {4000, 8192, 1};
  absl::Duration step = absl::Seconds(1);
  // Shorter than in production, so that a schedule covers several leases.
  LeasePolicy lease = {.length = absl::Seconds(60),
                       .renewal_interval = absl::Seconds(5),
                       .clock_drift_margin = 0.01,
                       .stop_margin = absl::Seconds(2),
                       .max_read_gap = absl::Seconds(10)};
};

class World {
 public:
  // Unwinds a process that was killed.
  struct ProcessKilled {};

  // State of a process that faults work on.
  struct Process {
    std::string name;
    int starts = 0;
    absl::Time paused_until;
    bool busy = false;
    bool killed = false;
    // The pause in the middle of a call: calls until then, and its length.
    int calls_to_pause = -1;
    absl::Duration call_pause;
    // When the process alone can't reach the table: calls until then, and how
    // long.
    int calls_to_cut = -1;
    absl::Duration cut_length;
    absl::Time cut_until;
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
    uint64_t version = 0;
  };

  explicit World(const WorldOptions& options) : options(options) {
    for (int i = 0; i < options.workers; ++i)
      this->AddWorker(i);
    for (int i = 0; i < options.planners; ++i)
      this->AddPlanner(i);
    this->operator_table = std::make_unique<FaultyTable>(&this->table);
    this->Connect(this->operator_table.get());
  }

  // Lets every process that is not paused tick once.
  void Step() {
    ++this->steps;
    this->clock.Advance(this->options.step);
    if (this->before_step)
      this->before_step(this->steps);
    this->TakeLateEffects();
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

  // Starts a process anew. One that is in the middle of a tick is unwound.
  void Kill(AgentProcess* worker) {
    worker->killed = worker->busy;
    if (!worker->busy)
      this->StartAgent(worker);
  }
  void Kill(PlannerProcess* planner) {
    planner->killed = planner->busy;
    if (!planner->busy)
      this->StartPlanner(planner);
  }

  // Ends everything on the VM and starts it after a while.
  void Reboot(AgentProcess* worker, absl::Duration downtime) {
    worker->runtime->Reboot();
    worker->clock.origin = this->clock.Now();
    worker->paused_until = this->clock.Now() + downtime;
    this->Kill(worker);
  }

  void SetDocument(const Document& new_document) {
    ++this->version;
    this->document = new_document;
  }

  // The operators' steps go to a healthy process.
  Operator<FaultyTable> MakeOperator() {
    return {&this->charts, StrCat(++this->operators),
            this->operator_table.get()};
  }

  const TaskRow* FindTask(const std::string& id) {
    this->Check();
    const auto found = this->checker.Tasks().find(id);
    return found == this->checker.Tasks().end() ? nullptr : &found->second;
  }

  WorldOptions options;
  ManualClock clock{FromMicros(1'000'000'000'000)};
  const TaskCharts charts = LoadTestCharts();
  MemoryTable table;
  Checker checker{&this->table};
  std::vector<std::unique_ptr<AgentProcess>> workers;
  std::vector<std::unique_ptr<PlannerProcess>> planners;
  std::unique_ptr<FaultyTable> operator_table;
  absl::Time outage_until;
  absl::Duration late_delay = absl::Seconds(30);
  int steps = 0;
  // Called at the begin of each step, also of those within a paused call.
  std::function<void(int step)> before_step;
  // How long an attempt runs and how it ends.
  FakeRuntime::Plan run = [](const TaskStart& start) {
    return std::pair(
        start.job.starts_with("watch") || start.job.starts_with("check")
            ? absl::Hours(100000)
            : absl::Seconds(30),
        AttemptEnd::kSucceeded);
  };

 private:
  void Connect(FaultyTable* table) {
    table->is_down = [this] { return this->clock.Now() < this->outage_until; };
    table->delay = [this](const Transaction& transaction) {
      this->late.emplace_back(this->clock.Now() + this->late_delay,
                              transaction);
    };
  }

  void AddWorker(int index) {
    auto worker = std::make_unique<AgentProcess>();
    AgentProcess* raw = worker.get();
    worker->name = StrCat("w", index + 1);
    // Rates within the margin of 1% of one another.
    worker->clock = {&this->clock, index % 2 == 0 ? 0.995 : 1.004,
                     this->clock.Now()};
    worker->runtime = std::make_unique<FakeRuntime>(
        worker->name, [raw] { return raw->clock.Now(); },
        [this](const TaskStart& start) { return this->run(start); });
    worker->runtime->on_call = [this, raw] { this->OnCall(raw); };
    this->StartAgent(raw);
    this->workers.push_back(std::move(worker));
  }

  void StartAgent(AgentProcess* worker) {
    this->Restart(worker);
    WorkerAgentOptions agent;
    agent.declared = MakeWorkerRow(worker->name, this->options.capacity);
    agent.declared.rack = StrCat("rack-", worker->name);
    agent.process = StrCat(worker->starts);
    agent.lease = this->options.lease;
    agent.retry = {.max_attempts = 5,
                   .initial_backoff = absl::Seconds(2),
                   .max_backoff = absl::Seconds(10)};
    agent.poll_every = absl::Seconds(4);
    worker->agent = std::make_unique<Agent>(
        agent, &this->charts, worker->table.get(), worker->runtime.get(),
        &worker->clock, &this->clock);
  }

  void AddPlanner(int index) {
    auto planner = std::make_unique<PlannerProcess>();
    planner->name = StrCat("p", index + 1);
    planner->clock = {&this->clock, index % 2 == 0 ? 1.005 : 0.996,
                      this->clock.Now()};
    this->StartPlanner(planner.get());
    this->planners.push_back(std::move(planner));
  }

  void StartPlanner(PlannerProcess* planner) {
    this->Restart(planner);
    const std::string process = StrCat(planner->name, "-", planner->starts);
    PlannerOptions options;
    options.name = process;
    options.placer.evictions_per_second = 0.2;
    planner->planner = std::make_unique<Planner<BestFitScorer>>(
        options, &this->charts, BestFitScorer(), nullptr);
    planner->version = 0;
    PlannerLoopOptions loop;
    loop.process = process;
    if (!this->options.one_planner_lease)
      loop.lease_name = planner->name;
    loop.worker_lease = this->options.lease;
    loop.follower.recent_commits = 50;
    loop.follower.page = 20;
    planner->loop = std::make_unique<Loop>(loop, planner->planner.get(),
                                           planner->table.get(),
                                           &planner->clock, &this->clock);
  }

  void Restart(Process* process) {
    ++process->starts;
    process->killed = false;
    process->calls_to_pause = -1;
    process->table = std::make_unique<FaultyTable>(&this->table);
    process->table->on_call = [this, process] { this->OnCall(process); };
    this->Connect(process->table.get());
    process->table->is_down = [this, process] { return this->IsCut(process); };
  }

  bool IsCut(Process* process) {
    const absl::Time now = this->clock.Now();
    if (process->calls_to_cut >= 0 && process->calls_to_cut-- == 0)
      process->cut_until = now + process->cut_length;
    return now < process->cut_until || now < this->outage_until;
  }

  // A process makes a call: the place for a pause in the middle of a tick.
  void OnCall(Process* process) {
    if (process->calls_to_pause < 0 || process->calls_to_pause-- > 0)
      return;
    const absl::Time end = this->clock.Now() + process->call_pause;
    while (this->clock.Now() < end && !process->killed)
      this->Step();
    if (process->killed)
      throw ProcessKilled();
  }

  bool MayTick(const Process& process) const {
    return !process.busy && this->clock.Now() >= process.paused_until;
  }

  void TickAgent(AgentProcess* worker) {
    if (!this->MayTick(*worker))
      return;
    worker->busy = true;
    try {
      worker->agent->Tick();
    } catch (const ProcessKilled&) {
      this->StartAgent(worker);
    }
    worker->busy = false;
    this->Check();
  }

  void TickPlanner(PlannerProcess* planner) {
    if (!this->MayTick(*planner))
      return;
    planner->busy = true;
    try {
      // Processes learn of a new document at different times.
      if (planner->version != this->version &&
          (this->steps + planner->starts) % 3 == 0) {
        planner->version = this->version;
        planner->planner->SetDocument(this->version, this->document);
      }
      planner->loop->Tick();
    } catch (const ProcessKilled&) {
      this->StartPlanner(planner);
    }
    planner->busy = false;
    this->Check();
  }

  void TakeLateEffects() {
    std::vector<std::pair<absl::Time, Transaction>> waiting;
    for (auto& [due, transaction] : std::exchange(this->late, {})) {
      if (due <= this->clock.Now())
        (void)this->table.Commit(transaction);
      else
        waiting.emplace_back(due, transaction);
    }
    this->late.insert(this->late.end(), waiting.begin(), waiting.end());
  }

  uint64_t version = 0;
  Document document;
  int operators = 0;
  std::vector<std::pair<absl::Time, Transaction>> late;
};

}  // namespace cuminjunction

#endif  // TASK_TESTING_WORLD_H_
