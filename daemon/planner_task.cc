#include "daemon/planner_task.h"

#include <chrono>

#include "base/strings.h"

namespace cuminjunction {

namespace {

PlannerOptions MakePlannerOptions(const std::string& process) {
  PlannerOptions options;
  options.name = process;
  return options;
}

PlannerLoopOptions MakeLoopOptions(const Settings& settings,
                                   const std::string& process) {
  PlannerLoopOptions options;
  options.process = process;
  options.worker_lease.length = absl::Seconds(settings.worker.lease_s);
  options.worker_lease.renew_every = absl::Seconds(settings.worker.renewal_s);
  return options;
}

}  // namespace

PlannerTask::PlannerTask(const Settings& settings,
                         const std::string& process,
                         const TaskCharts* charts,
                         const WorkerChangeListener& on_worker_changed,
                         Log* log,
                         Metrics* metrics)
    : table(settings.platform.table_url, settings.platform.timeout_ms),
      planner(MakePlannerOptions(process),
              charts,
              LearnedScorer(LearnedOptions()),
              log),
      loop(MakeLoopOptions(settings, process),
           &this->planner,
           &this->table,
           &this->steady,
           &this->wall,
           log),
      round_seconds(metrics->GetSummary("planner_round_seconds")),
      leading(metrics->GetGauge("planner_leading")),
      waiting(metrics->GetGauge("planner_waiting_tasks")),
      thread("planner"),
      timer(this->thread.Context()) {
  this->loop.SetWorkerChangedCallback(on_worker_changed);
  this->thread.Start();
  this->thread.Post([this] { this->Tick(); });
}

PlannerTask::~PlannerTask() {
  this->thread.Call([this] { this->timer.cancel(); });
  this->thread.Stop();
}

void PlannerTask::ScheduleTick() {
  this->timer.expires_after(
      absl::ToChronoMilliseconds(PlannerLoopOptions().tick));
  this->timer.async_wait([this](std::error_code error) {
    if (!error)
      this->Tick();
  });
}

void PlannerTask::Tick() {
  const absl::Time start = this->steady.Now();
  this->loop.Tick();
  this->round_seconds.Observe(
      absl::ToDoubleSeconds(this->steady.Now() - start));
  this->leading.Set(this->loop.IsLeading() ? 1 : 0);
  this->waiting.Set(
      static_cast<double>(this->planner.GetState()->WaitingCount()));
  this->ScheduleTick();
}

void PlannerTask::SetDocument(uint64_t version,
                              std::shared_ptr<const Document> document) {
  this->thread.Post([this, version, document = std::move(document)] {
    this->planner.SetDocument(version, *document);
    this->planner.GetScorer()->SetDocument(*document);
  });
}

bool PlannerTask::IsLeading() {
  return this->thread.Call([this] { return this->loop.IsLeading(); });
}

std::optional<Result<Explanation>> PlannerTask::Explain(
    const std::string& task) {
  return this->thread.Call([&]() -> std::optional<Result<Explanation>> {
    if (!this->loop.IsLeading())
      return std::nullopt;
    return this->planner.Explain(task);
  });
}

std::optional<std::vector<TaskRow>> PlannerTask::Tasks() {
  return this->thread.Call([&]() -> std::optional<std::vector<TaskRow>> {
    if (!this->loop.IsLeading() || !this->loop.IsComplete())
      return std::nullopt;
    std::vector<TaskRow> tasks;
    for (const auto& [id, entry] : this->planner.GetState()->Tasks())
      tasks.push_back(entry.row);
    return tasks;
  });
}

}  // namespace cuminjunction
